package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

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
	begin   = time.Unix(1_800_000_000, 0)
	errLost = errors.New("the answer was lost")
	refused = &storage.NotSentError{Cause: errors.New("refused")}
)

// table applies writes as the platform's table does.
type table struct {
	rows     map[string]storage.Row
	revision ident.Revision
}

func newTable() *table { return &table{rows: map[string]storage.Row{}} }

// claim makes a new owner, and returns its book.
func (t *table) claim() *ledger.Book {
	t.revision++
	t.rows[ownerKey] = storage.Row{Key: ownerKey, Revision: t.revision}
	return ledger.NewBook(ledger.Config{DataCentre: "coast-a", OwnerKey: ownerKey, Token: worker.Token(t.revision), Retention: retention})
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

// state returns the stored state of a job, or nothing.
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

// load hands all stored jobs to a book.
func (t *table) load(is *is.I, b *ledger.Book) {
	is.Helper()
	for key, r := range t.rows {
		id := ledger.ID(key)
		if key != ledger.StateKey(id) {
			continue
		}
		e, err := ledger.ReadEntry(r)
		is.NoErr(err)
		var j work.Job
		if !e.Over() {
			j, err = ledger.ReadJob(t.rows[ledger.JobKey(id)])
			is.NoErr(err)
		}
		b.Load(id, j, e, r.Revision)
	}
}

func aJob(id work.ID) work.Job {
	return work.Job{ID: id, Queue: "q", Payload: "x", Steps: []work.Step{{Count: 2, Size: work.Size{Cores: 500}}}}
}

// next returns the next write, which must exist.
func next(is *is.I, b *ledger.Book) storage.Write {
	is.Helper()
	w, ok, err := b.Next()
	is.NoErr(err)
	is.True(ok)
	return w
}

// writeAll writes until nothing is left, and returns what came of it.
func writeAll(is *is.I, t *table, b *ledger.Book) ledger.Outcome {
	is.Helper()
	var all ledger.Outcome
	for {
		w, ok, err := b.Next()
		is.NoErr(err)
		if !ok {
			return all
		}
		o := b.Written(t.commit(w), nil)
		all.Accepted = append(all.Accepted, o.Accepted...)
		all.Known = append(all.Known, o.Known...)
		all.Stored = append(all.Stored, o.Stored...)
		all.Cancelled = append(all.Cancelled, o.Cancelled...)
		all.Deposed = all.Deposed || o.Deposed
	}
}

var mark = worker.EndID{Worker: "w1", Life: 1, Number: 7}

// TestAcceptance stores a job while the table fails in different ways.
func TestAcceptance(t *testing.T) {
	tests := map[string]struct {
		// answers are those to the first writes; applied tells which of them
		// took effect.
		answers []error
		applied []bool
		// late writes take effect after the next one was sent.
		late bool
	}{
		"at once":                     {},
		"refused first":               {answers: []error{refused}, applied: []bool{false}},
		"answer lost, not written":    {answers: []error{errLost}, applied: []bool{false}},
		"answer lost, written":        {answers: []error{errLost}, applied: []bool{true}},
		"two answers lost, written":   {answers: []error{errLost, errLost}, applied: []bool{false, true}},
		"lost, refused, then written": {answers: []error{errLost, refused}, applied: []bool{true, false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			b := table.claim()
			is.True(!b.Accept(aJob("j")))
			for i, err := range test.answers {
				w := next(is, b)
				if test.applied[i] {
					table.commit(w)
				}
				o := b.Written(storage.Result{}, err)
				is.Equal(len(o.Accepted), 0)
				is.True(o.Pause > 0)
			}
			o := writeAll(is, table, b)
			is.Equal(o.Accepted, []work.Job{aJob("j")})
			is.Equal(table.state(is, "j").State, ledger.Accepted)
			is.True(b.Accept(aJob("j"))) // It is known from now on.
			is.Equal(len(writeAll(is, table, b).Accepted), 0)
		})
	}
}

// TestJobOfAnotherOwner hands in a job that another owner has stored.
func TestJobOfAnotherOwner(t *testing.T) {
	is := is.New(t)
	table := newTable()
	first := table.claim()
	first.Accept(aJob("j"))
	writeAll(is, table, first)
	other := table.claim()
	other.Accept(aJob("j"))
	other.Accept(aJob("k"))
	o := writeAll(is, table, other)
	is.Equal(o.Known, []work.ID{"j"})
	is.Equal(o.Accepted, []work.Job{aJob("k")}) // The other job of the write is not held up.
}

// TestAbandon has a caller give up: only a job that is surely not stored may be
// said not to run.
func TestAbandon(t *testing.T) {
	tests := map[string]struct {
		write     func(b *ledger.Book, w storage.Write, t *table)
		abandoned bool
	}{
		"not sent":    {abandoned: true},
		"refused":     {write: func(b *ledger.Book, _ storage.Write, _ *table) { b.Written(storage.Result{}, refused) }, abandoned: true},
		"under way":   {write: func(*ledger.Book, storage.Write, *table) {}},
		"answer lost": {write: func(b *ledger.Book, _ storage.Write, _ *table) { b.Written(storage.Result{}, errLost) }},
		"stored":      {write: func(b *ledger.Book, w storage.Write, t *table) { b.Written(t.commit(w), nil) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			b := table.claim()
			b.Accept(aJob("j"))
			if test.write != nil {
				test.write(b, next(is, b), table)
			}
			is.Equal(b.Abandon("j"), test.abandoned)
			if test.abandoned {
				writeAll(is, table, b)
				is.True(table.state(is, "j") == nil)
			}
		})
	}
}

// TestEndsGoTogether checks that ends which come while a write is under way
// share the next one, and that none is confirmed before it is stored.
func TestEndsGoTogether(t *testing.T) {
	is := is.New(t)
	table := newTable()
	b := table.claim()
	for i := range 10 {
		b.Accept(aJob(work.ID(fmt.Sprint("j", i))))
	}
	writeAll(is, table, b)
	is.True(b.Note("j0", 0, 1, true, mark))
	w := next(is, b)
	for i := range 10 {
		is.True(b.Note(work.ID(fmt.Sprint("j", i)), 1, 1, true, worker.EndID{Worker: "w1", Life: 1, Number: worker.EndNumber(i)}))
	}
	b.End(begin, "j0", ledger.Completed)
	_, ok, err := b.Next()
	is.NoErr(err)
	is.True(!ok) // One write at a time.
	is.Equal(b.Written(table.commit(w), nil).Stored, []worker.EndID{mark})
	before := table.revision
	is.Equal(len(writeAll(is, table, b).Stored), 10)
	is.Equal(table.revision, before+1)
	is.Equal(table.state(is, "j0").State, ledger.Completed)
	is.Equal(table.state(is, "j1").Progress.Done, []int{1})
}

// TestTransactionSize checks that a write stays within what the table takes.
func TestTransactionSize(t *testing.T) {
	is := is.New(t)
	table := newTable()
	b := table.claim()
	for i := range 500 {
		b.Accept(aJob(work.ID(fmt.Sprint("j", i))))
	}
	stored := 0
	for stored < 500 {
		w := next(is, b)
		is.True(len(w.Conditions)+len(w.Puts)+len(w.Deletes) <= 100)
		stored += len(b.Written(table.commit(w), nil).Accepted)
	}
}

// TestDeposedOwner has an owner write after another one has taken its place:
// nothing of it takes effect.
func TestDeposedOwner(t *testing.T) {
	is := is.New(t)
	table := newTable()
	b := table.claim()
	b.Accept(aJob("j"))
	writeAll(is, table, b)
	next2 := table.claim()
	b.Note("j", 0, 1, true, mark)
	b.Accept(aJob("k"))
	o := writeAll(is, table, b)
	is.True(o.Deposed)
	is.Equal(len(o.Stored)+len(o.Accepted), 0)
	is.Equal(len(table.state(is, "j").Progress.Done), 0)
	is.True(table.state(is, "k") == nil)
	table.load(is, next2)
	is.Equal(next2.Open(), 1)
}

// TestCancelByAnotherHost cancels a job at different moments. Its state stays
// cancelled, and its rows go when nobody asks for them any more.
func TestCancelByAnotherHost(t *testing.T) {
	tests := map[string]func(b *ledger.Book){
		"quiet":              func(*ledger.Book) {},
		"with a new end":     func(b *ledger.Book) { b.Note("j", 0, 1, true, mark) },
		"told before":        func(b *ledger.Book) { b.Cancel(begin, "j") },
		"completed just now": func(b *ledger.Book) { b.End(begin, "j", ledger.Completed) },
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			b := table.claim()
			b.Accept(aJob("j"))
			writeAll(is, table, b)
			before(b)
			w, open, err := ledger.Cancel(begin, "j", table.rows[ledger.StateKey("j")])
			is.NoErr(err)
			is.True(open)
			is.True(table.commit(w).Applied)
			writeAll(is, table, b)
			b.Cancel(begin, "j")
			is.Equal(table.state(is, "j").State, ledger.Cancelled)
			is.Equal(b.Open(), 0)
			b.Expire(begin.Add(retention + time.Second))
			writeAll(is, table, b)
			is.Equal(len(table.rows), 1) // The owner's row.
			_, open, err = ledger.Cancel(begin, "j", storage.Row{Value: mustEncode(is, ledger.Entry{State: ledger.Completed})})
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

// TestExpire removes the rows of a job that ended, and not before its time.
func TestExpire(t *testing.T) {
	is := is.New(t)
	table := newTable()
	b := table.claim()
	b.Accept(aJob("j"))
	writeAll(is, table, b)
	b.End(begin, "j", ledger.Completed)
	writeAll(is, table, b)
	_, ok := table.rows[ledger.JobKey("j")]
	is.True(!ok) // New owners read only the specifications of open jobs.
	b.Expire(begin.Add(retention - time.Second))
	writeAll(is, table, b)
	is.True(table.state(is, "j") != nil)
	later := table.claim()
	table.load(is, later)
	later.Expire(begin.Add(retention)) // The time counts anew for a new owner.
	later.Expire(begin.Add(2*retention - time.Second))
	writeAll(is, table, later)
	is.True(table.state(is, "j") != nil)
	later.Expire(begin.Add(2*retention + time.Second))
	// The answer to the removal is lost.
	table.commit(next(is, later))
	later.Written(storage.Result{}, errLost)
	writeAll(is, table, later)
	is.Equal(len(table.rows), 1)
}

// TestStateOutlivesAWrongClock has a job ended by a host whose clock is an hour
// behind: its state can be asked for as long as that of any other job.
func TestStateOutlivesAWrongClock(t *testing.T) {
	const behind = time.Hour
	tests := map[string]func(is *is.I, t *table, b *ledger.Book) *ledger.Book{
		"completed under the owner before": func(is *is.I, t *table, b *ledger.Book) *ledger.Book {
			b.End(begin.Add(-behind), "j", ledger.Completed)
			writeAll(is, t, b)
			later := t.claim()
			t.load(is, later)
			return later
		},
		"cancelled by another host": func(is *is.I, t *table, b *ledger.Book) *ledger.Book {
			w, _, err := ledger.Cancel(begin.Add(-behind), "j", t.rows[ledger.StateKey("j")])
			is.NoErr(err)
			is.True(t.commit(w).Applied)
			b.Note("j", 0, 1, true, mark)
			writeAll(is, t, b)
			return b
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := newTable()
			first := table.claim()
			first.Accept(aJob("j"))
			writeAll(is, table, first)
			b := end(is, table, first)
			b.Expire(begin.Add(time.Second))
			writeAll(is, table, b)
			is.True(table.state(is, "j") != nil)
			b.Expire(begin.Add(retention + 2*time.Second))
			writeAll(is, table, b)
			is.True(table.state(is, "j") == nil)
		})
	}
}

// TestEndAfterTheJobFailed has a task be done just after its job has failed: the
// worker may forget that only once the failure is stored, or a later owner runs
// the task again.
func TestEndAfterTheJobFailed(t *testing.T) {
	is := is.New(t)
	table := newTable()
	b := table.claim()
	b.Accept(aJob("j"))
	writeAll(is, table, b)
	b.End(begin, "j", ledger.Failed)
	is.True(b.Note("j", 0, 1, true, mark))
	w := next(is, b)
	other := worker.EndID{Worker: "w1", Life: 1, Number: 8}
	is.True(b.Note("j", 1, 1, true, other)) // The write is under way.
	is.Equal(b.Written(storage.Result{}, errLost).Stored, nil)
	is.True(!table.commit(w).Applied || table.state(is, "j").State == ledger.Failed)
	is.Equal(writeAll(is, table, b).Stored, []worker.EndID{mark, other})
	is.True(!b.Note("j", 1, 2, true, other)) // The failure is stored.
}

// TestStateStoredLate has the table away when a job ends: callers see the end only
// once it is stored, and can ask for it as long as promised from then on.
func TestStateStoredLate(t *testing.T) {
	const away = 30 * time.Second
	is := is.New(t)
	table := newTable()
	b := table.claim()
	b.Accept(aJob("j"))
	writeAll(is, table, b)
	b.End(begin, "j", ledger.Completed)
	for after := time.Duration(0); after < away; after += time.Second {
		next(is, b)
		b.Written(storage.Result{}, refused)
		b.Expire(begin.Add(after))
	}
	writeAll(is, table, b)
	b.Expire(begin.Add(away))
	b.Expire(begin.Add(away + retention - 2*time.Second))
	writeAll(is, table, b)
	is.True(table.state(is, "j") != nil)
	is.Equal(table.state(is, "j").State, ledger.Completed)
	b.Expire(begin.Add(away + retention + 2*time.Second))
	writeAll(is, table, b)
	is.True(table.state(is, "j") == nil)
}
