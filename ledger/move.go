package ledger

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// InboxPrefix is the prefix of the rows by which owners learn that jobs were moved to
// their data centres. They are in the group of the hosts, which every host follows.
const InboxPrefix = "catkingap/inbox."

// InboxKey returns the key of the row that changes when jobs are moved to a data centre.
func InboxKey(c ident.DataCentre) string { return InboxPrefix + string(c) }

// MovedJob is a job that the owner of another data centre continues.
type MovedJob struct {
	ID work.ID
	To ident.DataCentre
	// UnstoredEnds holds the ends of runs that are not stored, and never will be.
	UnstoredEnds []worker.EndID
}

// movedMark is the revision of a job's row at which the job was known to be moved away, and
// since when that is remembered, or zero.
type movedMark struct {
	revision ident.Revision
	since    time.Time
}

// Move plans to pass a job on to another data centre. It returns false if the job has
// ended, or is not stored yet.
func (s *Store) Move(id work.ID, to ident.DataCentre) bool {
	e := s.entries[id]
	if e == nil || e.revision == 0 || e.row.HasEnded() || e.removing {
		return false
	}
	e.row.DataCentre = to
	s.markDirty(e)
	return true
}

// Compare compares the known jobs with the state rows of all data centres. The outcome
// holds the jobs that others have moved away. Compare returns the open jobs of this data
// centre that are not known.
func (s *Store) Compare(rows map[work.ID]storage.Row) (Outcome, map[work.ID]Entry, []error) {
	var o Outcome
	var unreadable []error
	unknown := map[work.ID]Entry{}
	for id, r := range rows {
		row, err := ReadEntry(r)
		if err != nil {
			unreadable = append(unreadable, err)
			continue
		}
		e := s.entries[id]
		switch own := row.DataCentre == s.config.DataCentre; {
		case own && e == nil && s.moved[id].revision < r.Revision:
			unknown[id] = row
		case !own && e != nil && e.revision != 0 && e.revision < r.Revision:
			s.movedAway(e, row.DataCentre, r.Revision, append(e.pendingEnds, e.nextEnds...), &o)
		}
	}
	return o, unknown, unreadable
}

// movedAway removes a job that belongs to another data centre since revision r.
func (s *Store) movedAway(e *entry, to ident.DataCentre, r ident.Revision, unstored []worker.EndID, o *Outcome) {
	delete(s.entries, e.id)
	s.batch = slices.DeleteFunc(s.batch, func(x *entry) bool { return x == e })
	s.moved[e.id] = movedMark{revision: r}
	o.Moved = append(o.Moved, MovedJob{ID: e.id, To: to, UnstoredEnds: unstored})
}

// Transfer moves a stored job to another data centre.
type Transfer struct {
	ID work.ID
	// Row is the state of the job, and Revision its revision.
	Row      Entry
	Revision ident.Revision
	To       ident.DataCentre
}

// TransferWrites returns the writes by which an owner moves jobs of another owner that has
// stopped. The fence holds the conditions under which it may do so.
func TransferWrites(fence []storage.Condition, transfers []Transfer) ([]storage.Write, error) {
	var writes []storage.Write
	perWrite := (maxItems - len(fence)) / itemsPerTransfer
	for part := range slices.Chunk(transfers, perWrite) {
		w := storage.Write{Conditions: slices.Clone(fence)}
		for _, t := range part {
			from := t.Row.DataCentre
			t.Row.DataCentre = t.To
			value, err := t.Row.Encode()
			if err != nil {
				return nil, err
			}
			key := StateKey(t.ID)
			w.Conditions = append(w.Conditions, storage.Condition{Key: key, Revision: t.Revision})
			w.Puts = append(w.Puts, storage.Put{Key: key, Value: value})
			putInbox(&w, from, t.To)
		}
		writes = append(writes, w)
	}
	return writes, nil
}

// itemsPerTransfer is the number of items of a transaction that one job needs at most: a
// condition, a put, and the row of the inbox.
const itemsPerTransfer = 3

// putInbox adds the row of a data centre's inbox to a write, once. Its value only informs
// people who read the table.
func putInbox(w *storage.Write, from, to ident.DataCentre) {
	key := InboxKey(to)
	if !slices.ContainsFunc(w.Puts, func(p storage.Put) bool { return p.Key == key }) {
		w.Puts = append(w.Puts, storage.Put{Key: key, Value: []byte(from)})
	}
}
