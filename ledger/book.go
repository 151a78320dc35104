package ledger

import (
	"bytes"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// maxItems is the number of conditions, puts and deletes that one
	// transaction of the platform's table may hold.
	maxItems = 100
	// itemsPerJob is the most that one job takes of them.
	itemsPerJob = 4
	// maxBytes bounds the values of one transaction, well below the megabyte
	// that the platform's table takes.
	maxBytes = 500_000
	// errorPause is the time between a write that failed and the next one.
	errorPause = 100 * time.Millisecond
)

// Config builds a Book.
type Config struct {
	DataCentre ident.DataCentre
	// OwnerKey and Token are the owner's row and its revision.
	OwnerKey string
	Token    worker.Token
	// Retention is how long the state of a job can be asked for after its end.
	Retention time.Duration
}

// Outcome is what a write has brought about.
type Outcome struct {
	// Accepted holds the jobs that are stored now and may start.
	Accepted []work.Job
	// Known holds jobs that were handed in and are stored already, for any
	// owner.
	Known []work.ID
	// Stored holds the ends that workers may forget.
	Stored []worker.EndID
	// Cancelled holds the jobs that another host has cancelled.
	Cancelled []work.ID
	// Deposed is true if another host owns the workers.
	Deposed bool
	// Pause is how long to wait before the next write.
	Pause time.Duration
}

// Book is what one owner knows of its stored jobs.
type Book struct {
	config  Config
	entries map[work.ID]*entry
	// dirty holds the jobs whose rows must be written, in order.
	dirty []work.ID
	// batch holds the jobs of the write that is under way.
	batch   []*entry
	deposed bool
}

// entry is one job.
type entry struct {
	id  work.ID
	job work.Job
	row Entry
	// revision is that of the state row, or zero if there is none yet.
	revision ident.Revision
	// sent holds the values that were sent without a clear answer: each may be
	// the row's by now.
	sent [][]byte
	// value is the one that is under way, flying the ends that it stores, and
	// ends those that come with the next one.
	value  []byte
	flying []worker.EndID
	ends   []worker.EndID
	// queued is true while the entry is in dirty.
	queued bool
	// over is when this owner learned that the job has ended, or last saw that the
	// end was not stored; or zero.
	over time.Time
	// removing is true once the rows are to be deleted.
	removing bool
	// told is true if the table has a row that tells of the cancelling.
	told bool
}

// NewBook returns a book without jobs.
func NewBook(c Config) *Book { return &Book{config: c, entries: map[work.ID]*entry{}} }

// Load takes in a job that an earlier owner has stored. The job is of no
// interest if it is over.
func (b *Book) Load(id work.ID, job work.Job, row Entry, r ident.Revision) {
	b.entries[id] = &entry{id: id, job: job, row: row, revision: r, told: row.State == Cancelled}
}

// LoadBarred takes in a job that a host of this data centre has cancelled before it
// was stored, given the row that tells so.
func (b *Book) LoadBarred(r storage.Row) {
	row, err := ReadEntry(r)
	if id := ID(r.Key); err == nil && row.Barred() && row.DataCentre == b.config.DataCentre && b.entries[id] == nil {
		b.Load(id, work.Job{}, row, r.Revision)
	}
}

// Accept asks for a job to be stored. It returns true if it is already.
func (b *Book) Accept(job work.Job) bool {
	if e := b.entries[job.ID]; e != nil {
		return e.revision != 0
	}
	e := &entry{id: job.ID, job: job, row: Entry{DataCentre: b.config.DataCentre, Queue: job.Queue, State: Accepted}}
	b.entries[job.ID] = e
	b.touch(e)
	return false
}

// Abandon takes back a job whose caller has given up. It returns true if the
// job is not stored and will not be.
func (b *Book) Abandon(id work.ID) bool {
	e := b.entries[id]
	switch {
	case e == nil:
		return true
	case e.revision != 0 || len(e.sent) > 0 || slices.Contains(b.batch, e):
		return false
	}
	delete(b.entries, id)
	return true
}

// Note takes in that a run has ended. It returns false if that needs no storing.
// An end that changes nothing has to wait for a state that is not stored yet.
func (b *Book) Note(id work.ID, task int, r work.Run, done bool, end worker.EndID) bool {
	e := b.entries[id]
	if e == nil {
		return false
	}
	isNew := !e.row.Over() && e.row.Progress.Note(task, r, done)
	if !isNew && !b.unstored(e) {
		return false
	}
	e.ends = append(e.ends, end)
	b.touch(e)
	return true
}

// End takes in that a job has ended.
func (b *Book) End(now time.Time, id work.ID, s State) {
	e := b.entries[id]
	if e == nil || e.row.Over() {
		return
	}
	e.over = now
	e.row.End(now, s)
	b.touch(e)
}

// Cancel takes in that another host has cancelled a job.
func (b *Book) Cancel(now time.Time, id work.ID) {
	if e := b.entries[id]; e != nil {
		e.told = true
		if e.over.IsZero() {
			e.over = now
		}
		if !e.row.Over() {
			e.row.End(now, Cancelled)
		}
	}
}

// Expire plans the removal of jobs that ended long ago. The time counts from when
// this owner learned of the end or has stored it, on its own steady clock: the wall
// clocks of hosts jump, callers see only what is stored, and a state that goes too
// early lets a late request run the job again.
func (b *Book) Expire(now time.Time) {
	for _, e := range b.entries {
		switch {
		case !e.row.Over() || e.removing:
		case e.over.IsZero(), b.unstored(e):
			e.over = now
		case now.Sub(e.over) > b.config.Retention:
			e.removing = true
			b.touch(e)
		}
	}
}

// unstored returns true if the newest state of an entry may not be stored yet.
func (b *Book) unstored(e *entry) bool { return e.queued || slices.Contains(b.batch, e) }

// Over returns true if a job has ended.
func (b *Book) Over(id work.ID) bool {
	e := b.entries[id]
	return e == nil || e.row.Over()
}

// Open returns the number of jobs that have not ended.
func (b *Book) Open() int {
	n := 0
	for _, e := range b.entries {
		if !e.row.Over() {
			n++
		}
	}
	return n
}

func (b *Book) touch(e *entry) {
	if !e.queued {
		e.queued = true
		b.dirty = append(b.dirty, e.id)
	}
}

// Next returns the next write, or false if there is none or one is under way.
// All that came together since the last one goes into one transaction.
func (b *Book) Next() (storage.Write, bool, error) {
	if b.deposed || len(b.batch) > 0 {
		return storage.Write{}, false, nil
	}
	w := storage.Write{Conditions: []storage.Condition{{Key: b.config.OwnerKey, Revision: ident.Revision(b.config.Token)}}}
	items, size := 1, 0
	for len(b.dirty) > 0 && items+itemsPerJob <= maxItems && size < maxBytes {
		e := b.entries[b.dirty[0]]
		b.dirty = b.dirty[1:]
		if e == nil || !e.queued {
			continue
		}
		e.queued = false
		if err := e.add(&w); err != nil {
			return storage.Write{}, false, err
		}
		e.flying, e.ends = append(e.flying, e.ends...), nil
		b.batch = append(b.batch, e)
		items = len(w.Conditions) + len(w.Puts) + len(w.Deletes)
		size += len(e.value) + len(e.job.Payload)
	}
	return w, len(b.batch) > 0, nil
}

// add adds what is to be written of an entry.
func (e *entry) add(w *storage.Write) error {
	w.Conditions = append(w.Conditions, storage.Condition{Key: StateKey(e.id), Revision: e.revision})
	if e.removing {
		e.value = nil
		w.Deletes = append(w.Deletes, StateKey(e.id))
		if e.told {
			w.Deletes = append(w.Deletes, CancelKey(e.id))
		}
		return nil
	}
	var err error
	if e.value, err = e.row.Encode(); err != nil {
		return err
	}
	w.Puts = append(w.Puts, storage.Put{Key: StateKey(e.id), Value: e.value})
	if e.revision == 0 {
		spec, err := msgpack.Marshal(&e.job)
		if err != nil {
			return err
		}
		w.Puts = append(w.Puts, storage.Put{Key: JobKey(e.id), Value: spec})
	} else if e.row.Over() && e.job.ID != "" {
		// Only the state of an ended job is asked for, and a new owner reads all
		// specifications that there are.
		w.Deletes = append(w.Deletes, JobKey(e.id))
	}
	return nil
}

// Written takes the answer to the write that is under way.
func (b *Book) Written(r storage.Result, err error) Outcome {
	batch := b.batch
	b.batch = nil
	var o Outcome
	switch {
	case err != nil:
		o.Pause = errorPause
		lost := !errors.As(err, new(*storage.NotSentError))
		for _, e := range batch {
			if lost {
				e.sent = append(e.sent, e.value)
			}
			b.again(e)
		}
	case r.Applied:
		for _, e := range batch {
			b.applied(e, r.Revision, &o)
		}
	default:
		b.conflict(batch, r.Current, &o)
	}
	return o
}

// again plans the same write once more.
func (b *Book) again(e *entry) {
	e.ends, e.flying = append(e.flying, e.ends...), nil
	b.touch(e)
}

// applied takes in that the newest value of an entry is stored.
func (b *Book) applied(e *entry, r ident.Revision, o *Outcome) {
	if e.removing && e.value == nil {
		b.removed(e, o)
		return
	}
	if e.revision == 0 && !e.row.Over() {
		o.Accepted = append(o.Accepted, e.job)
	}
	o.Stored = append(o.Stored, e.flying...)
	e.revision, e.sent, e.flying = r, nil, nil
	if e.row.Over() {
		// Only the state of an ended job is asked for.
		e.job = work.Job{}
	}
}

// removed takes in that the rows of an entry are gone.
func (b *Book) removed(e *entry, o *Outcome) {
	delete(b.entries, e.id)
	o.Stored = append(o.Stored, append(e.flying, e.ends...)...)
}

// conflict takes in that a condition of the write does not hold.
func (b *Book) conflict(batch []*entry, current []storage.Row, o *Outcome) {
	rows := make(map[string]storage.Row, len(current))
	for _, r := range current {
		rows[r.Key] = r
	}
	if rows[b.config.OwnerKey].Revision != ident.Revision(b.config.Token) {
		b.deposed, o.Deposed = true, true
		return
	}
	for _, e := range batch {
		r, ok := rows[StateKey(e.id)]
		switch {
		case !ok && e.revision == 0, ok && r.Revision == e.revision:
			// Another entry's condition did not hold.
			b.again(e)
		case !ok:
			// A removal without an answer has taken effect.
			b.removed(e, o)
		default:
			b.overtaken(e, r, o)
		}
	}
}

// overtaken takes in that the state row of an entry is another one than was
// expected: one that this owner wrote without an answer, or one of another host.
func (b *Book) overtaken(e *entry, r storage.Row, o *Outcome) {
	if slices.ContainsFunc(e.sent, func(v []byte) bool { return bytes.Equal(v, r.Value) }) {
		if bytes.Equal(r.Value, e.value) {
			b.applied(e, r.Revision, o)
			return
		}
		if e.revision == 0 && !e.row.Over() {
			o.Accepted = append(o.Accepted, e.job)
		}
		e.revision = r.Revision
		b.again(e)
		return
	}
	row, err := ReadEntry(r)
	switch {
	case e.revision == 0 && err == nil && row.Barred():
		// From now on its state says what became of it.
		e.row.State, e.row.Ended, e.revision, e.told, e.job = Cancelled, row.Ended, r.Revision, true, work.Job{}
		o.Known = append(o.Known, e.id)
		b.again(e)
	case e.revision == 0:
		// Another owner has stored the job, or this one did before.
		delete(b.entries, e.id)
		o.Known = append(o.Known, e.id)
	case err == nil && row.State == Cancelled:
		o.Cancelled = append(o.Cancelled, e.id)
		o.Stored = append(o.Stored, append(e.flying, e.ends...)...)
		e.row, e.revision, e.sent, e.flying, e.ends, e.told = row, r.Revision, nil, nil, nil, true
		if e.removing {
			b.touch(e)
		}
	default:
		// The row was written by hand: what this owner knows goes on.
		e.revision = r.Revision
		b.again(e)
	}
}
