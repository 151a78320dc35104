package ledger

import (
	"bytes"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// maxItems is the number of conditions, puts and deletes that one
	// transaction of the platform's table may hold.
	maxItems = 100
	// maxBytes bounds the values of one transaction. The platform's table takes a
	// megabyte, in which values are a third larger.
	maxBytes = 500_000
	// retryDelay is the time between a failed write and the next one.
	retryDelay = 100 * time.Millisecond
)

// Config configures a Store.
type Config struct {
	DataCentre ident.DataCentre
	// OwnerKey and Token are the owner's row and its revision.
	OwnerKey string
	Token    worker.Token
	// Retention is how long the state of a job can be asked for after its end.
	Retention time.Duration
	// RowBytes bounds the value of a row, in bytes. Zero means a default.
	RowBytes int
}

// Store holds the stored jobs of one owner and plans the writes of their rows.
type Store struct {
	config  Config
	entries map[work.ID]*entry
	// dirty holds the jobs whose rows must be written, in the order of the writes.
	dirty []work.ID
	// batch holds the jobs of the pending write.
	batch []*entry
	// fenced is true once another owner has taken the workers.
	fenced bool
	// moved holds the jobs that were moved away, until no earlier read of their rows can be
	// under way.
	moved map[work.ID]movedMark
}

// entry is one job.
type entry struct {
	id  work.ID
	job work.Job
	// weight is that of the job, or zero once only its state is kept.
	weight intake.Bytes
	row    Entry
	// specification holds the rows of the job's specification until they are stored.
	specification []storage.Put
	// revision is the revision of the state row, or zero if it is not stored yet.
	revision ident.Revision
	// unconfirmed holds the values of writes without an answer. Each of them may be
	// the value of the row by now.
	unconfirmed [][]byte
	// value is the value of the last write, and valueCentre the data centre in it.
	value       []byte
	valueCentre ident.DataCentre
	// pendingEnds holds the ends that the pending write stores, and nextEnds those
	// that the next one stores.
	pendingEnds []worker.EndID
	nextEnds    []worker.EndID
	// queued is true while the entry is in dirty, and alone if it must not share a write,
	// because the table has rejected one that held it.
	queued, alone bool
	// expiryStart is when this owner learned that the job has ended, or last found
	// that the end was not stored. It is zero until this owner knows either.
	expiryStart time.Time
	// removing is true once the rows are to be deleted.
	removing bool
	// hasCancelRow is true if the table has a cancellation row of the job.
	hasCancelRow bool
}

// NewStore returns a Store without jobs.
func NewStore(c Config) *Store {
	if c.RowBytes == 0 {
		c.RowBytes = defaultRowBytes
	}
	return &Store{config: c, entries: map[work.ID]*entry{}, moved: map[work.ID]movedMark{}}
}

// Load adds a job that another owner has stored. The specification is not used if the
// job has ended. It returns false if the job is known.
func (s *Store) Load(id work.ID, job work.Job, row Entry, r ident.Revision) bool {
	if s.entries[id] != nil {
		return false
	}
	e := &entry{id: id, job: job, row: row, revision: r, hasCancelRow: row.State == Cancelled}
	if row.HasEnded() {
		e.forgetJob()
	} else {
		e.weight = job.Weight()
	}
	s.entries[id] = e
	return true
}

// LoadTombstone adds the job of a cancellation row if the row is a tombstone of this
// data centre.
func (s *Store) LoadTombstone(r storage.Row) {
	row, err := ReadEntry(r)
	if id := ID(r.Key); err == nil && row.IsTombstone() && row.DataCentre == s.config.DataCentre && s.entries[id] == nil {
		s.Load(id, work.Job{}, row, r.Revision)
	}
}

// Accept plans to store a job. It returns true if the job is stored already, and a
// *TooLargeError if the table cannot store it.
func (s *Store) Accept(job work.Job) (bool, error) {
	if e := s.entries[job.ID]; e != nil {
		return e.revision != 0, nil
	}
	specification, err := specificationPuts(&job, s.config.RowBytes)
	if err != nil {
		return false, err
	}
	e := &entry{id: job.ID, job: job, weight: job.Weight(), specification: specification, row: Entry{DataCentre: s.config.DataCentre, Queue: job.Queue, State: Accepted}}
	if len(specification) > 1 {
		e.row.Rows = len(specification)
	}
	s.entries[job.ID] = e
	s.markDirty(e)
	return false, nil
}

// Abandon removes a job whose caller has given up. It returns true if the job is
// not stored and will not be.
func (s *Store) Abandon(id work.ID) bool {
	e := s.entries[id]
	switch {
	case e == nil:
		return true
	case e.revision != 0 || len(e.unconfirmed) > 0 || slices.Contains(s.batch, e):
		return false
	}
	delete(s.entries, id)
	return true
}

// RecordEnd handles that a run has ended. It returns false if that need not be
// stored. An end that changes nothing still waits until the present state is stored.
func (s *Store) RecordEnd(id work.ID, task int, r work.Run, done bool, end worker.EndID) bool {
	e := s.entries[id]
	if e == nil {
		return false
	}
	isNew := !e.row.HasEnded() && e.row.Progress.Record(task, r, done)
	if !isNew && !s.isUnstored(e) {
		return false
	}
	e.nextEnds = append(e.nextEnds, end)
	s.markDirty(e)
	return true
}

// RecordLosses replaces the losses of workers under a task. Other jobs than the stored
// ones are ignored.
func (s *Store) RecordLosses(x crash.TaskLosses) {
	e := s.entries[work.JobOfTask(x.Task)]
	if e == nil || e.row.HasEnded() {
		return
	}
	losses := slices.DeleteFunc(slices.Clone(e.row.Losses), func(k crash.TaskLosses) bool { return k.Task == x.Task })
	if len(x.Losses) > 0 {
		losses = append(losses, x)
	}
	e.row.Losses = losses
	s.markDirty(e)
}

// End handles that a job has ended.
func (s *Store) End(now time.Time, id work.ID, state State) {
	e := s.entries[id]
	if e == nil || e.row.HasEnded() {
		return
	}
	e.expiryStart = now
	e.row.End(now, state)
	s.markDirty(e)
}

// Cancel handles that another host has cancelled a job.
func (s *Store) Cancel(now time.Time, id work.ID) {
	if e := s.entries[id]; e != nil {
		e.hasCancelRow = true
		if e.expiryStart.IsZero() {
			e.expiryStart = now
		}
		if !e.row.HasEnded() {
			e.row.End(now, Cancelled)
		}
	}
}

// Expire plans the removal of jobs that ended longer ago than the retention. The
// time counts from when this owner learned of the end or stored it, on its own
// monotonic clock: the wall clocks of hosts jump, callers see only what is stored,
// and a state that is removed too early lets a late request run the job again.
func (s *Store) Expire(now time.Time) {
	for id, x := range s.moved {
		switch {
		case x.since.IsZero():
			x.since = now
			s.moved[id] = x
		case now.Sub(x.since) > s.config.Retention:
			delete(s.moved, id)
		}
	}
	for _, e := range s.entries {
		switch {
		case !e.row.HasEnded() || e.removing:
		case e.expiryStart.IsZero(), s.isUnstored(e):
			e.expiryStart = now
		case now.Sub(e.expiryStart) > s.config.Retention:
			e.removing = true
			s.markDirty(e)
		}
	}
}

// isUnstored returns true if the latest state of an entry may not be stored yet.
func (s *Store) isUnstored(e *entry) bool { return e.queued || slices.Contains(s.batch, e) }

// IsKnown returns true if a job is stored by this owner, or is to be.
func (s *Store) IsKnown(id work.ID) bool { return s.entries[id] != nil }

// HasEnded returns true if a job has ended.
func (s *Store) HasEnded(id work.ID) bool {
	e := s.entries[id]
	return e == nil || e.row.HasEnded()
}

// CountOpen returns the number of jobs that have not ended.
func (s *Store) CountOpen() int {
	n := 0
	for _, e := range s.entries {
		if !e.row.HasEnded() {
			n++
		}
	}
	return n
}

// markDirty plans a write of an entry.
func (s *Store) markDirty(e *entry) {
	if !e.queued {
		e.queued = true
		s.dirty = append(s.dirty, e.id)
	}
}

// Next returns the next write, or false if there is none or one is pending. It
// puts as many of the changes since the last one as possible into one transaction.
func (s *Store) Next() (storage.Write, bool, error) {
	if s.fenced || len(s.batch) > 0 {
		return storage.Write{}, false, nil
	}
	w := storage.Write{Conditions: []storage.Condition{{Key: s.config.OwnerKey, Revision: ident.Revision(s.config.Token)}}}
	items, size := 1, 0
	for len(s.dirty) > 0 {
		e := s.entries[s.dirty[0]]
		if e == nil || !e.queued {
			s.dirty = s.dirty[1:]
			continue
		}
		rows, err := e.write()
		if err != nil {
			return storage.Write{}, false, err
		}
		more := len(rows.Conditions) + len(rows.Puts) + len(rows.Deletes) + 1
		if len(s.batch) > 0 && (e.alone || s.batch[0].alone || items+more > maxItems || size+rows.Size() > maxBytes) {
			break
		}
		s.dirty = s.dirty[1:]
		e.queued = false
		w.Conditions = append(w.Conditions, rows.Conditions...)
		w.Puts = append(w.Puts, rows.Puts...)
		w.Deletes = append(w.Deletes, rows.Deletes...)
		if !e.removing && e.valueCentre != s.config.DataCentre {
			putInbox(&w, s.config.DataCentre, e.valueCentre)
		}
		e.pendingEnds, e.nextEnds = append(e.pendingEnds, e.nextEnds...), nil
		s.batch = append(s.batch, e)
		items += more
		size += rows.Size()
	}
	return w, len(s.batch) > 0, nil
}

// write returns the rows of an entry.
func (e *entry) write() (storage.Write, error) {
	w := storage.Write{Conditions: []storage.Condition{{Key: StateKey(e.id), Revision: e.revision}}}
	if e.removing {
		e.value = nil
		w.Deletes = append(w.Deletes, StateKey(e.id))
		if e.hasCancelRow {
			w.Deletes = append(w.Deletes, CancelKey(e.id))
		}
		return w, nil
	}
	if e.revision == 0 {
		w.Puts = slices.Clone(e.specification)
	} else if e.row.HasEnded() && e.job.ID != "" {
		// Only the state of an ended job is needed, and a new owner reads all
		// specifications in the table.
		w.Deletes = specificationKeys(e.id, e.row.Rows)
	}
	var err error
	if e.value, err = e.row.Encode(); err != nil {
		return w, err
	}
	e.valueCentre = e.row.DataCentre
	w.Puts = append(w.Puts, storage.Put{Key: StateKey(e.id), Value: e.value})
	return w, nil
}

// HandleResult handles the answer to the pending write.
func (s *Store) HandleResult(r storage.Result, err error) Outcome {
	batch := s.batch
	s.batch = nil
	var o Outcome
	switch {
	case errors.As(err, new(*storage.RejectedError)):
		s.rejected(batch, &o)
	case err != nil:
		o.Pause = retryDelay
		uncertain := !errors.As(err, new(*storage.NotSentError))
		for _, e := range batch {
			if uncertain {
				e.unconfirmed = append(e.unconfirmed, e.value)
			}
			s.retry(e)
		}
	case r.Applied:
		for _, e := range batch {
			s.applied(e, r.Revision, &o)
		}
	default:
		s.conflict(batch, r.Current, &o)
	}
	return o
}

// rejected handles that the table does not take a write. Its jobs are written one by one,
// so that only the one at fault fails: a job that is not stored yet is rejected, and a later
// state of another one waits for its next change.
func (s *Store) rejected(batch []*entry, o *Outcome) {
	for _, e := range batch {
		switch {
		case len(batch) > 1:
			e.alone = true
			s.retry(e)
		case e.revision == 0 && len(e.unconfirmed) == 0:
			delete(s.entries, e.id)
			o.Rejected = append(o.Rejected, e.id)
		default:
			e.nextEnds, e.pendingEnds = append(e.pendingEnds, e.nextEnds...), nil
		}
	}
}

// retry plans to repeat the write of an entry.
func (s *Store) retry(e *entry) {
	e.nextEnds, e.pendingEnds = append(e.pendingEnds, e.nextEnds...), nil
	s.markDirty(e)
}

// applied handles that the last value of an entry is stored at revision r.
func (s *Store) applied(e *entry, r ident.Revision, o *Outcome) {
	if e.removing && e.value == nil {
		s.removed(e, o)
		return
	}
	if e.revision == 0 && !e.row.HasEnded() {
		o.Accepted = append(o.Accepted, e.job)
	}
	o.StoredEnds = append(o.StoredEnds, e.pendingEnds...)
	e.revision, e.unconfirmed, e.pendingEnds, e.alone, e.specification = r, nil, nil, false, nil
	if e.valueCentre != "" && e.valueCentre != s.config.DataCentre {
		s.movedAway(e, e.valueCentre, r, e.nextEnds, o)
		return
	}
	if e.row.HasEnded() {
		e.forgetJob()
	}
}

// removed handles that the rows of an entry are deleted.
func (s *Store) removed(e *entry, o *Outcome) {
	delete(s.entries, e.id)
	o.StoredEnds = append(o.StoredEnds, append(e.pendingEnds, e.nextEnds...)...)
}

// conflict handles a write of which a condition does not hold.
func (s *Store) conflict(batch []*entry, current []storage.Row, o *Outcome) {
	rows := make(map[string]storage.Row, len(current))
	for _, r := range current {
		rows[r.Key] = r
	}
	if rows[s.config.OwnerKey].Revision != ident.Revision(s.config.Token) {
		s.fenced, o.Fenced = true, true
		return
	}
	for _, e := range batch {
		r, ok := rows[StateKey(e.id)]
		switch {
		case !ok && e.revision == 0, ok && r.Revision == e.revision:
			// The condition of another entry did not hold.
			s.retry(e)
		case !ok:
			// A removal whose answer was lost has taken effect.
			s.removed(e, o)
		default:
			s.rowChanged(e, r, o)
		}
	}
}

// rowChanged handles that the state row of an entry differs from the expected one:
// this owner wrote it without an answer, or another host wrote it.
func (s *Store) rowChanged(e *entry, r storage.Row, o *Outcome) {
	row, err := ReadEntry(r)
	if err == nil && e.revision != 0 && row.DataCentre != s.config.DataCentre && !bytes.Equal(r.Value, e.value) {
		s.movedAway(e, row.DataCentre, r.Revision, append(e.pendingEnds, e.nextEnds...), o)
		return
	}
	if slices.ContainsFunc(e.unconfirmed, func(v []byte) bool { return bytes.Equal(v, r.Value) }) {
		if bytes.Equal(r.Value, e.value) {
			s.applied(e, r.Revision, o)
			return
		}
		if e.revision == 0 && !e.row.HasEnded() {
			o.Accepted = append(o.Accepted, e.job)
		}
		e.revision = r.Revision
		s.retry(e)
		return
	}
	switch {
	case e.revision == 0 && err == nil && row.IsTombstone():
		// The job is cancelled: its entry takes over the tombstone.
		e.row.State, e.row.Ended, e.revision, e.hasCancelRow, e.job = Cancelled, row.Ended, r.Revision, true, work.Job{}
		e.weight = 0
		o.AlreadyStored = append(o.AlreadyStored, e.id)
		s.retry(e)
	case e.revision == 0:
		// Another owner has stored the job, or this one has before. It may have been moved
		// here meanwhile.
		delete(s.entries, e.id)
		o.AlreadyStored = append(o.AlreadyStored, e.id)
		o.Recheck = o.Recheck || (err == nil && row.DataCentre == s.config.DataCentre)
	case err == nil && row.State == Cancelled:
		o.Cancelled = append(o.Cancelled, e.id)
		o.StoredEnds = append(o.StoredEnds, append(e.pendingEnds, e.nextEnds...)...)
		e.row, e.revision, e.unconfirmed, e.pendingEnds, e.nextEnds, e.hasCancelRow = row, r.Revision, nil, nil, nil, true
		if e.removing {
			s.markDirty(e)
		}
	case err == nil && e.valueCentre != "" && e.valueCentre != s.config.DataCentre:
		// The job was moved away, and is back.
		s.movedAway(e, row.DataCentre, r.Revision-1, append(e.pendingEnds, e.nextEnds...), o)
		o.Recheck = true
	default:
		// The row was written by hand: the state of this owner replaces it.
		e.revision = r.Revision
		s.retry(e)
	}
}
