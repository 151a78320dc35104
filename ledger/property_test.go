package ledger_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// doneTask is a task that a worker has completed.
type doneTask struct {
	job  work.ID
	task int
}

// history records what callers and workers were told of the jobs.
type history struct {
	is    *is.I
	table *table
	store *ledger.Store
	// delayed holds writes without an answer, which may take effect at any time.
	delayed []storage.Write
	// accepted, abandoned and cancelled hold the jobs of which callers were told so,
	// and forgotten the done tasks whose ends workers may have forgotten.
	accepted, abandoned, cancelled map[work.ID]bool
	forgotten                      map[doneTask]bool
	// tasksByEnd holds the task of each end, and lastNumber the number of the last end.
	tasksByEnd map[worker.EndID]doneTask
	lastNumber worker.EndNumber
}

// newIs returns assertions that end one check of the property test.
func newIs(r *rapid.T) *is.I { return is.New(r) }

// step runs one random event.
func (h *history) step(t *rapid.T) {
	id := work.ID(fmt.Sprint("j", rapid.IntRange(0, 4).Draw(t, "job")))
	switch rapid.IntRange(0, 10).Draw(t, "event") {
	case 0:
		if !h.abandoned[id] && accept(newIs(t), h.store, newJob(id)) {
			h.accepted[id] = true
		}
	case 1:
		if h.store.Abandon(id) && !h.accepted[id] {
			h.abandoned[id] = true
		}
	case 2, 3:
		if !h.accepted[id] {
			return
		}
		h.lastNumber++
		task := rapid.IntRange(0, 1).Draw(t, "task")
		end := worker.EndID{Worker: "w1", Incarnation: 1, Number: h.lastNumber}
		h.tasksByEnd[end] = doneTask{id, task}
		if !h.store.RecordEnd(id, task, 1, true, end) {
			h.forget(end)
		}
	case 4:
		if h.accepted[id] && h.forgotten[doneTask{id, 0}] && h.forgotten[doneTask{id, 1}] {
			h.store.End(start, id, ledger.Completed)
		}
	case 5:
		h.cancel(id)
	case 6:
		// Another owner takes over and reads the table.
		h.store = h.table.claim()
		h.table.load(h.is, h.store)
	case 7:
		if n := len(h.delayed); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(t, "late")
			h.table.commit(h.delayed[i])
		}
	case 8:
		if h.accepted[id] {
			h.store.End(start, id, ledger.Failed)
		}
	default:
		h.write(rapid.IntRange(0, 4).Draw(t, "answer"))
	}
}

// write executes the next write, whose answer may be lost.
func (h *history) write(answer int) {
	w, ok, err := h.store.Next()
	h.is.NoErr(err)
	if !ok {
		return
	}
	var o ledger.Outcome
	switch answer {
	case 0:
		h.delayed = append(h.delayed, w)
		o = h.store.HandleResult(storage.Result{}, errLost)
	case 1:
		h.table.commit(w)
		h.delayed = append(h.delayed, w)
		o = h.store.HandleResult(storage.Result{}, errLost)
	case 2:
		o = h.store.HandleResult(storage.Result{}, errNotSent)
	default:
		o = h.store.HandleResult(h.table.commit(w), nil)
	}
	for _, j := range o.Accepted {
		h.is.True(!h.cancelled[j.ID]) // A job that was cancelled first never starts.
		h.accepted[j.ID] = true
	}
	for _, id := range o.AlreadyStored {
		h.accepted[id] = true
	}
	for _, end := range o.StoredEnds {
		h.forget(end)
	}
}

// forget records that a worker may have forgotten an end.
func (h *history) forget(end worker.EndID) { h.forgotten[h.tasksByEnd[end]] = true }

// cancel cancels a job as another host does.
func (h *history) cancel(id work.ID) {
	r, ok := h.table.rows[ledger.StateKey(id)]
	if !ok {
		w, err := ledger.Tombstone(start, id, "coast-a")
		h.is.NoErr(err)
		h.cancelled[id] = h.table.commit(w).Applied
		return
	}
	w, open, err := ledger.Cancel(start, id, r)
	h.is.NoErr(err)
	if open && h.table.commit(w).Applied {
		h.cancelled[id] = true
	}
}

// check compares what callers and workers were told with the table.
func (h *history) check() {
	for id := range h.accepted {
		h.is.True(h.table.state(h.is, id) != nil) // An accepted job is stored.
	}
	for id := range h.abandoned {
		e := h.table.state(h.is, id)
		h.is.True(e == nil || (e.IsTombstone() && h.cancelled[id])) // A job that was reported as not run is not stored.
	}
	for id := range h.cancelled {
		h.is.Equal(h.table.state(h.is, id).State, ledger.Cancelled)
	}
	for d := range h.forgotten {
		e := h.table.state(h.is, d.job)
		over := e.State != ledger.Accepted
		stored := false
		for _, task := range e.Progress.Done {
			stored = stored || task == d.task
		}
		h.is.True(over || stored) // An end that a worker may forget is stored.
	}
}

// TestLedgerProperties runs random sequences of acceptances, ends, cancellations,
// changes of owner and writes that lose their answer or take effect late.
func TestLedgerProperties(t *testing.T) {
	is := is.New(t)
	is.NoErr(flag.Set("rapid.nofailfile", "true"))
	if !isSet("rapid.seed") {
		is.NoErr(flag.Set("rapid.seed", propertySeed))
	}
	if !isSet("rapid.checks") {
		is.NoErr(flag.Set("rapid.checks", propertyChecks))
	}
	events := 0
	rapid.Check(t, func(r *rapid.T) {
		table := newTable()
		h := &history{
			is: newIs(r), table: table, store: table.claim(),
			accepted: map[work.ID]bool{}, abandoned: map[work.ID]bool{}, cancelled: map[work.ID]bool{},
			forgotten: map[doneTask]bool{}, tasksByEnd: map[worker.EndID]doneTask{},
		}
		for range rapid.IntRange(1, 60).Draw(r, "events") {
			h.step(r)
			h.check()
			events++
		}
	})
	t.Logf("%d events", events)
}

// The seed and the checks of the property test: half a million events in all.
const (
	propertySeed   = "20261204"
	propertyChecks = "25000"
)

// isSet returns true if the command line sets a flag.
func isSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}
