package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	ownerKey  = "catkingap/owner.coast-a"
	retention = 2 * time.Minute
)

var (
	start      = time.Unix(1_800_000_000, 0)
	errLost    = errors.New("the answer was lost")
	errNotSent = &storage.NotSentError{Cause: errors.New("refused")}
)

// table applies writes as the platform's table does.
type table struct {
	rows     map[string]storage.Row
	revision ident.Revision
}

func newTable() *table { return &table{rows: map[string]storage.Row{}} }

// claim makes a new owner and returns its store.
func (t *table) claim() *ledger.Store {
	t.revision++
	t.rows[ownerKey] = storage.Row{Key: ownerKey, Revision: t.revision}
	return ledger.NewStore(ledger.Config{DataCentre: "coast-a", OwnerKey: ownerKey, Token: worker.Token(t.revision), Retention: retention})
}

func (t *table) commit(w storage.Write) storage.Result {
	var current []storage.Row
	holds := true
	for _, c := range w.Conditions {
		r, ok := t.rows[c.Key]
		holds = holds && r.Revision == c.Revision
		if ok {
			current = append(current, r)
		}
	}
	if !holds {
		return storage.Result{Current: current}
	}
	t.revision++
	for _, p := range w.Puts {
		t.rows[p.Key] = storage.Row{Key: p.Key, Value: p.Value, Revision: t.revision}
	}
	for _, k := range w.Deletes {
		delete(t.rows, k)
	}
	return storage.Result{Applied: true, Revision: t.revision}
}

// state returns the stored state of a job, or nil.
func (t *table) state(is *is.I, id work.ID) *ledger.Entry {
	is.Helper()
	r, ok := t.rows[ledger.StateKey(id)]
	if !ok {
		return nil
	}
	e, err := ledger.ReadEntry(r)
	is.NoErr(err)
	return &e
}

// load loads all stored jobs into a store.
func (t *table) load(is *is.I, s *ledger.Store) {
	is.Helper()
	for key, r := range t.rows {
		id := ledger.ID(key)
		if key != ledger.StateKey(id) {
			continue
		}
		e, err := ledger.ReadEntry(r)
		is.NoErr(err)
		var j work.Job
		if !e.HasEnded() {
			j, err = ledger.ReadJob(t.rows, id, e)
			is.NoErr(err)
		}
		s.Load(id, j, e, r.Revision)
	}
}

func newJob(id work.ID) work.Job {
	return work.Job{ID: id, Queue: "q", Payload: "x", Steps: []work.Step{{Count: 2, Size: work.Size{Cores: 500}}}}
}

// accept plans to store a job, and returns whether it is stored already.
func accept(is *is.I, s *ledger.Store, j work.Job) bool {
	is.Helper()
	known, err := s.Accept(j)
	is.NoErr(err)
	return known
}

// next returns the next write, which must exist.
func next(is *is.I, s *ledger.Store) storage.Write {
	is.Helper()
	w, ok, err := s.Next()
	is.NoErr(err)
	is.True(ok)
	return w
}

// writeAll executes all writes of a store and returns their combined outcome.
func writeAll(is *is.I, t *table, s *ledger.Store) ledger.Outcome {
	is.Helper()
	var all ledger.Outcome
	for {
		w, ok, err := s.Next()
		is.NoErr(err)
		if !ok {
			return all
		}
		o := s.HandleResult(t.commit(w), nil)
		all.Accepted = append(all.Accepted, o.Accepted...)
		all.AlreadyStored = append(all.AlreadyStored, o.AlreadyStored...)
		all.StoredEnds = append(all.StoredEnds, o.StoredEnds...)
		all.Cancelled = append(all.Cancelled, o.Cancelled...)
		all.Moved = append(all.Moved, o.Moved...)
		all.Fenced = all.Fenced || o.Fenced
	}
}

var testEnd = worker.EndID{Worker: "w1", Incarnation: 1, Number: 7}

// TestLossesAreStored checks that the next owner knows the workers that were lost under a
// task, and that a worker which has answered again is not kept.
func TestLossesAreStored(t *testing.T) {
	is := is.New(t)
	table := newTable()
	s := table.claim()
	accept(is, s, newJob("j"))
	writeAll(is, table, s)
	lost := func(task string, p crash.Proof) crash.TaskLosses {
		return crash.TaskLosses{Task: task, Losses: crash.History{{Life: crash.Life{Worker: "w1", Incarnation: 1}, Proof: p, Alone: true}}}
	}
	s.RecordLosses(lost("j.0.0.0", crash.Presumed))
	s.RecordLosses(lost("j.0.0.1", crash.Presumed))
	s.RecordLosses(lost("another.0.0.1", crash.Presumed))
	writeAll(is, table, s)
	s.RecordLosses(lost("j.0.0.0", crash.Crashed))
	s.RecordLosses(crash.TaskLosses{Task: "j.0.0.1"})
	writeAll(is, table, s)
	is.Equal(table.state(is, "j").Losses, []crash.TaskLosses{lost("j.0.0.0", crash.Crashed)})
	next := table.claim()
	table.load(is, next)
	next.RecordLosses(lost("j.0.0.1", crash.Gone))
	writeAll(is, table, next)
	is.Equal(table.state(is, "j").Losses, []crash.TaskLosses{lost("j.0.0.0", crash.Crashed), lost("j.0.0.1", crash.Gone)})
}

// TestAcceptance checks that a job is accepted once while the table fails in
// different ways.
func TestAcceptance(t *testing.T) {
	tests := map[string]struct {
		// answers holds the answers to the first writes, and applied which of
		// them took effect.
		answers []error
		applied []bool
		// late writes take effect after the next one was sent.
		late bool
	}{
		"at once":                     {},
		"refused first":               {answers: []error{errNotSent}, applied: []bool{false}},
		"answer lost, not written":    {answers: []error{errLost}, applied: []bool{false}},
		"answer lost, written late":   {answers: []error{errLost}, applied: []bool{false}, late: true},
		"answer lost, written":        {answers: []error{errLost}, applied: []bool{true}},
		"two answers lost, written":   {answers: []error{errLost, errLost}, applied: []bool{false, true}},
		"lost, refused, then written": {answers: []error{errLost, errNotSent}, applied: []bool{true, false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			s := table.claim()
			is.True(!accept(is, s, newJob("j")))
			var delayed storage.Write
			for i, err := range test.answers {
				w := next(is, s)
				delayed = w
				if test.applied[i] {
					table.commit(w)
				}
				o := s.HandleResult(storage.Result{}, err)
				is.Equal(len(o.Accepted), 0)
				is.True(o.Pause > 0)
			}
			var o ledger.Outcome
			if test.late {
				w := next(is, s)
				table.commit(delayed)
				o = s.HandleResult(table.commit(w), nil)
			}
			accepted := append(o.Accepted, writeAll(is, table, s).Accepted...)
			is.Equal(accepted, []work.Job{newJob("j")})
			is.Equal(table.state(is, "j").State, ledger.Accepted)
			is.True(accept(is, s, newJob("j"))) // It is stored by now.
			is.Equal(len(writeAll(is, table, s).Accepted), 0)
		})
	}
}

// TestJobOfAnotherOwner submits a job that another owner has stored.
func TestJobOfAnotherOwner(t *testing.T) {
	is := is.New(t)
	table := newTable()
	first := table.claim()
	accept(is, first, newJob("j"))
	writeAll(is, table, first)
	other := table.claim()
	accept(is, other, newJob("j"))
	accept(is, other, newJob("k"))
	o := writeAll(is, table, other)
	is.Equal(o.AlreadyStored, []work.ID{"j"})
	is.Equal(o.Accepted, []work.Job{newJob("k")}) // The other job of the write is not held up.
}

// TestAbandon checks that when a caller gives up, a job is reported as not run only
// if it is provably not stored.
func TestAbandon(t *testing.T) {
	tests := map[string]struct {
		write     func(s *ledger.Store, w storage.Write, t *table)
		abandoned bool
	}{
		"not sent":    {abandoned: true},
		"refused":     {write: func(s *ledger.Store, _ storage.Write, _ *table) { s.HandleResult(storage.Result{}, errNotSent) }, abandoned: true},
		"under way":   {write: func(*ledger.Store, storage.Write, *table) {}},
		"answer lost": {write: func(s *ledger.Store, _ storage.Write, _ *table) { s.HandleResult(storage.Result{}, errLost) }},
		"stored":      {write: func(s *ledger.Store, w storage.Write, t *table) { s.HandleResult(t.commit(w), nil) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			s := table.claim()
			accept(is, s, newJob("j"))
			if test.write != nil {
				test.write(s, next(is, s), table)
			}
			is.Equal(s.Abandon("j"), test.abandoned)
			if test.abandoned {
				writeAll(is, table, s)
				is.True(table.state(is, "j") == nil)
			}
		})
	}
}

// TestEndsGoTogether checks that ends which arrive while a write is pending share
// the next one, and that none is confirmed before it is stored.
func TestEndsGoTogether(t *testing.T) {
	is := is.New(t)
	table := newTable()
	s := table.claim()
	for i := range 10 {
		accept(is, s, newJob(work.ID(fmt.Sprint("j", i))))
	}
	writeAll(is, table, s)
	is.True(s.RecordEnd("j0", 0, 1, true, testEnd))
	w := next(is, s)
	for i := range 10 {
		is.True(s.RecordEnd(work.ID(fmt.Sprint("j", i)), 1, 1, true, worker.EndID{Worker: "w1", Incarnation: 1, Number: worker.EndNumber(i)}))
	}
	s.End(start, "j0", ledger.Completed)
	_, ok, err := s.Next()
	is.NoErr(err)
	is.True(!ok) // One write at a time.
	is.Equal(s.HandleResult(table.commit(w), nil).StoredEnds, []worker.EndID{testEnd})
	before := table.revision
	is.Equal(len(writeAll(is, table, s).StoredEnds), 10)
	is.Equal(table.revision, before+1)
	is.Equal(table.state(is, "j0").State, ledger.Completed)
	is.Equal(table.state(is, "j1").Progress.Done, []int{1})
}

// TestTransactionSize checks that a write stays within the limits of the table.
func TestTransactionSize(t *testing.T) {
	is := is.New(t)
	table := newTable()
	s := table.claim()
	for i := range 500 {
		accept(is, s, newJob(work.ID(fmt.Sprint("j", i))))
	}
	stored := 0
	for stored < 500 {
		w := next(is, s)
		is.True(len(w.Conditions)+len(w.Puts)+len(w.Deletes) <= 100)
		stored += len(s.HandleResult(table.commit(w), nil).Accepted)
	}
}

// TestDeposedOwner checks that no write of an owner takes effect after another one
// has replaced it.
func TestDeposedOwner(t *testing.T) {
	is := is.New(t)
	table := newTable()
	s := table.claim()
	accept(is, s, newJob("j"))
	writeAll(is, table, s)
	successor := table.claim()
	s.RecordEnd("j", 0, 1, true, testEnd)
	accept(is, s, newJob("k"))
	o := writeAll(is, table, s)
	is.True(o.Fenced)
	is.Equal(len(o.StoredEnds)+len(o.Accepted), 0)
	is.Equal(len(table.state(is, "j").Progress.Done), 0)
	is.True(table.state(is, "k") == nil)
	table.load(is, successor)
	is.Equal(successor.CountOpen(), 1)
}

// TestCancelByAnotherHost checks that a job that another host cancels stays
// cancelled whatever its owner does at the time, and that its rows are removed
// after the retention.
func TestCancelByAnotherHost(t *testing.T) {
	tests := map[string]func(s *ledger.Store){
		"no event":           func(*ledger.Store) {},
		"with a new end":     func(s *ledger.Store) { s.RecordEnd("j", 0, 1, true, testEnd) },
		"owner knows":        func(s *ledger.Store) { s.Cancel(start, "j") },
		"completed just now": func(s *ledger.Store) { s.End(start, "j", ledger.Completed) },
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			s := table.claim()
			accept(is, s, newJob("j"))
			writeAll(is, table, s)
			before(s)
			w, open, err := ledger.Cancel(start, "j", table.rows[ledger.StateKey("j")])
			is.NoErr(err)
			is.True(open)
			is.True(table.commit(w).Applied)
			writeAll(is, table, s)
			s.Cancel(start, "j")
			is.Equal(table.state(is, "j").State, ledger.Cancelled)
			is.Equal(s.CountOpen(), 0)
			s.Expire(start.Add(retention + time.Second))
			writeAll(is, table, s)
			is.Equal(len(table.rows), 1) // The owner's row.
			_, open, err = ledger.Cancel(start, "j", storage.Row{Value: mustEncode(is, ledger.Entry{State: ledger.Completed})})
			is.NoErr(err)
			is.True(!open)
		})
	}
}

func mustEncode(is *is.I, e ledger.Entry) []byte {
	is.Helper()
	value, err := e.Encode()
	is.NoErr(err)
	return value
}

// TestExpire checks that the rows of an ended job are removed after the retention
// and not before.
func TestExpire(t *testing.T) {
	is := is.New(t)
	table := newTable()
	s := table.claim()
	accept(is, s, newJob("j"))
	writeAll(is, table, s)
	s.End(start, "j", ledger.Completed)
	writeAll(is, table, s)
	_, ok := table.rows[ledger.JobKey("j")]
	is.True(!ok) // New owners read only the specifications of open jobs.
	s.Expire(start.Add(retention - time.Second))
	writeAll(is, table, s)
	is.True(table.state(is, "j") != nil)
	later := table.claim()
	table.load(is, later)
	later.Expire(start.Add(retention)) // The time starts again for a new owner.
	later.Expire(start.Add(2*retention - time.Second))
	writeAll(is, table, later)
	is.True(table.state(is, "j") != nil)
	later.Expire(start.Add(2*retention + time.Second))
	// The answer to the removal is lost.
	table.commit(next(is, later))
	later.HandleResult(storage.Result{}, errLost)
	writeAll(is, table, later)
	is.Equal(len(table.rows), 1)
}

// TestStateOutlivesAWrongClock checks that the state of a job is kept for the whole
// retention if a host whose clock is an hour behind has ended the job.
func TestStateOutlivesAWrongClock(t *testing.T) {
	const clockLag = time.Hour
	tests := map[string]func(is *is.I, t *table, s *ledger.Store) *ledger.Store{
		"completed under an earlier owner": func(is *is.I, t *table, s *ledger.Store) *ledger.Store {
			s.End(start.Add(-clockLag), "j", ledger.Completed)
			writeAll(is, t, s)
			later := t.claim()
			t.load(is, later)
			return later
		},
		"cancelled by another host": func(is *is.I, t *table, s *ledger.Store) *ledger.Store {
			w, _, err := ledger.Cancel(start.Add(-clockLag), "j", t.rows[ledger.StateKey("j")])
			is.NoErr(err)
			is.True(t.commit(w).Applied)
			s.RecordEnd("j", 0, 1, true, testEnd)
			writeAll(is, t, s)
			return s
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			first := table.claim()
			accept(is, first, newJob("j"))
			writeAll(is, table, first)
			s := end(is, table, first)
			s.Expire(start.Add(time.Second))
			writeAll(is, table, s)
			is.True(table.state(is, "j") != nil)
			s.Expire(start.Add(retention + 2*time.Second))
			writeAll(is, table, s)
			is.True(table.state(is, "j") == nil)
		})
	}
}

// TestEndAfterTheJobFailed checks that a worker may forget a task that completes
// just after its job has failed only once the failure is stored. Otherwise a later
// owner would run the task again.
func TestEndAfterTheJobFailed(t *testing.T) {
	is := is.New(t)
	table := newTable()
	s := table.claim()
	accept(is, s, newJob("j"))
	writeAll(is, table, s)
	s.End(start, "j", ledger.Failed)
	is.True(s.RecordEnd("j", 0, 1, true, testEnd))
	w := next(is, s)
	other := worker.EndID{Worker: "w1", Incarnation: 1, Number: 8}
	is.True(s.RecordEnd("j", 1, 1, true, other)) // The write is pending.
	is.Equal(s.HandleResult(storage.Result{}, errLost).StoredEnds, nil)
	is.True(!table.commit(w).Applied || table.state(is, "j").State == ledger.Failed)
	is.Equal(writeAll(is, table, s).StoredEnds, []worker.EndID{testEnd, other})
	is.True(!s.RecordEnd("j", 1, 2, true, other)) // The failure is stored.
}

// TestStateStoredLate checks that the retention of a job that ends while the table
// is down starts when the end is stored, since callers see it only from then on.
func TestStateStoredLate(t *testing.T) {
	const outage = 30 * time.Second
	is := is.New(t)
	table := newTable()
	s := table.claim()
	accept(is, s, newJob("j"))
	writeAll(is, table, s)
	s.End(start, "j", ledger.Completed)
	for after := time.Duration(0); after < outage; after += time.Second {
		next(is, s)
		s.HandleResult(storage.Result{}, errNotSent)
		s.Expire(start.Add(after))
	}
	writeAll(is, table, s)
	s.Expire(start.Add(outage))
	s.Expire(start.Add(outage + retention - 2*time.Second))
	writeAll(is, table, s)
	is.True(table.state(is, "j") != nil)
	is.Equal(table.state(is, "j").State, ledger.Completed)
	s.Expire(start.Add(outage + retention + 2*time.Second))
	writeAll(is, table, s)
	is.True(table.state(is, "j") == nil)
}
