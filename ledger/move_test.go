package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// states returns the state rows.
func (t *table) states() map[work.ID]storage.Row {
	found := map[work.ID]storage.Row{}
	for key, r := range t.rows {
		if id := ledger.ID(key); key == ledger.StateKey(id) {
			found[id] = r
		}
	}
	return found
}

// transfer moves all jobs to another data centre, as the owner of another one does. It
// returns whether all writes were applied.
func (t *table) transfer(is *is.I, fence []storage.Condition, to ident.DataCentre) bool {
	is.Helper()
	var transfers []ledger.Transfer
	for id, r := range t.states() {
		e, err := ledger.ReadEntry(r)
		is.NoErr(err)
		transfers = append(transfers, ledger.Transfer{ID: id, Row: e, Revision: r.Revision, To: to})
	}
	writes, err := ledger.TransferWrites(fence, transfers)
	is.NoErr(err)
	for _, w := range writes {
		is.True(len(w.Conditions)+len(w.Puts) <= 100)
		if !t.commit(w).Applied {
			return false
		}
	}
	return true
}

// TestJobMovedByAnotherOwner moves jobs away from an owner that was cut off. It must drop
// them, without storing the ends that it has not stored.
func TestJobMovedByAnotherOwner(t *testing.T) {
	end := worker.EndID{Worker: "w", Incarnation: 1, Number: 1}
	tests := map[string]func(is *is.I, tb *table, s *ledger.Store) ledger.Outcome{
		"it reads the rows": func(_ *is.I, tb *table, s *ledger.Store) ledger.Outcome {
			o, unknown, _ := s.Compare(tb.states())
			is.New(t).Equal(len(unknown), 0)
			return o
		},
		"it writes the end of a run": func(is *is.I, tb *table, s *ledger.Store) ledger.Outcome { return writeAll(is, tb, s) },
		"a write without an answer": func(is *is.I, tb *table, s *ledger.Store) ledger.Outcome {
			next(is, s)
			s.HandleResult(storage.Result{}, errLost)
			return writeAll(is, tb, s)
		},
	}
	for name, notice := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable()
			s := tb.claim()
			accept(is, s, newJob("j"))
			writeAll(is, tb, s)
			is.True(tb.transfer(is, nil, "coast-b"))
			is.True(s.RecordEnd("j", 0, 1, true, end))
			o := notice(is, tb, s)
			is.Equal(o.Moved, []ledger.MovedJob{{ID: "j", To: "coast-b", UnstoredEnds: []worker.EndID{end}}})
			is.Equal(len(o.StoredEnds), 0)
			is.True(!o.Fenced)
			is.Equal(len(tb.state(is, "j").Progress.Done), 0)
			_, unknown, _ := s.Compare(tb.states())
			is.Equal(len(unknown), 0)
			_, ok, err := s.Next()
			is.NoErr(err)
			is.True(!ok)
		})
	}
}

// TestJobIsMovedHereWhileItIsSubmittedAgain submits a job a second time at an owner to which it is
// being moved. The owner must learn that the job is its own.
func TestJobIsMovedHereWhileItIsSubmittedAgain(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	accept(is, tb.claim(), newJob("other"))
	first := ledger.NewStore(ledger.Config{DataCentre: "coast-b", Retention: retention})
	accept(is, first, newJob("j"))
	w := next(is, first)
	w.Conditions = w.Conditions[1:]
	tb.commit(w)
	s := tb.claim()
	accept(is, s, newJob("j"))
	is.True(tb.transfer(is, nil, "coast-a"))
	_, unknown, _ := s.Compare(tb.states())
	is.Equal(len(unknown), 0)
	o := s.HandleResult(tb.commit(next(is, s)), nil)
	is.Equal(o.AlreadyStored, []work.ID{"j"})
	is.True(o.Recheck)
	_, unknown, _ = s.Compare(tb.states())
	is.Equal(len(unknown), 1)
	is.True(s.Load("j", newJob("j"), unknown["j"], tb.states()["j"].Revision))
	is.True(!s.Load("j", newJob("j"), unknown["j"], tb.states()["j"].Revision))
}

// TestStaleReadBringsNoMovedJobBack compares with rows that were read before a job was moved away.
// The job must not be taken over again, which only a later row of it allows.
func TestStaleReadBringsNoMovedJobBack(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	s := tb.claim()
	accept(is, s, newJob("j"))
	writeAll(is, tb, s)
	before := tb.states()
	is.True(s.Move("j", "coast-b"))
	is.Equal(len(writeAll(is, tb, s).Moved), 1)
	for after := time.Duration(0); after < retention; after += retention / 4 {
		s.Expire(start.Add(after))
		_, unknown, _ := s.Compare(before)
		is.Equal(len(unknown), 0)
	}
	is.True(tb.transfer(is, nil, "coast-a"))
	_, unknown, _ := s.Compare(tb.states())
	is.Equal(len(unknown), 1)
}

// TestTransferIsFenced checks that jobs are moved only while the rows of the fence stand, in
// writes that the table takes.
func TestTransferIsFenced(t *testing.T) {
	is := is.New(t)
	const jobs = 120
	tb := newTable()
	s := tb.claim()
	for n := range jobs {
		accept(is, s, newJob(work.ID(fmt.Sprint("j", n))))
	}
	writeAll(is, tb, s)
	fence := []storage.Condition{{Key: ownerKey, Revision: tb.rows[ownerKey].Revision}}
	late := []storage.Condition{{Key: ownerKey, Revision: tb.rows[ownerKey].Revision - 1}}
	is.True(!tb.transfer(is, late, "coast-b"))
	is.Equal(tb.state(is, "j7").DataCentre, ident.DataCentre("coast-a"))
	is.True(tb.transfer(is, fence, "coast-b"))
	is.Equal(tb.state(is, "j7").DataCentre, ident.DataCentre("coast-b"))
	is.True(tb.rows[ledger.InboxKey("coast-b")].Revision != 0)
	other := ledger.NewStore(ledger.Config{DataCentre: "coast-b", OwnerKey: "catkingap/owner.coast-b", Retention: retention})
	_, unknown, _ := other.Compare(tb.states())
	is.Equal(len(unknown), jobs)
}

// TestMove passes a job on to another data centre while answers to the write are lost. The job
// must have one owner whose row names it, and a cancellation must hold.
func TestMove(t *testing.T) {
	const other = ident.DataCentre("coast-b")
	tests := map[string]struct {
		move  func(is *is.I, tb *table, s *ledger.Store) ledger.Outcome
		moved bool
		state ledger.State
	}{
		"the answer comes": {
			move:  func(is *is.I, tb *table, s *ledger.Store) ledger.Outcome { return writeAll(is, tb, s) },
			moved: true, state: ledger.Accepted,
		},
		"the answer is lost": {
			move: func(is *is.I, tb *table, s *ledger.Store) ledger.Outcome {
				tb.commit(next(is, s))
				s.HandleResult(storage.Result{}, errLost)
				return writeAll(is, tb, s)
			},
			moved: true, state: ledger.Accepted,
		},
		"the write is lost": {
			move: func(is *is.I, tb *table, s *ledger.Store) ledger.Outcome {
				next(is, s)
				s.HandleResult(storage.Result{}, errLost)
				return writeAll(is, tb, s)
			},
			moved: true, state: ledger.Accepted,
		},
		"the answer is lost, and the job is back meanwhile": {
			move: func(is *is.I, tb *table, s *ledger.Store) ledger.Outcome {
				tb.commit(next(is, s))
				s.HandleResult(storage.Result{}, errLost)
				is.True(tb.transfer(is, nil, "coast-a"))
				o := writeAll(is, tb, s)
				_, unknown, _ := s.Compare(tb.states())
				is.Equal(len(unknown), 1)
				is.True(tb.transfer(is, nil, other))
				return o
			},
			moved: true, state: ledger.Accepted,
		},
		"it is cancelled before": {
			move: func(is *is.I, tb *table, s *ledger.Store) ledger.Outcome {
				w, ok, err := ledger.Cancel(start, "j", tb.rows[ledger.StateKey("j")])
				is.NoErr(err)
				is.True(ok && tb.commit(w).Applied)
				return writeAll(is, tb, s)
			},
			state: ledger.Cancelled,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb := newTable()
			s := tb.claim()
			accept(is, s, newJob("j"))
			is.True(!s.Move("j", other)) // It is not stored yet.
			writeAll(is, tb, s)
			is.True(s.Move("j", other))
			o := test.move(is, tb, s)
			is.Equal(len(o.Moved) == 1, test.moved)
			e := tb.state(is, "j")
			is.Equal(e.State, test.state)
			is.Equal(e.DataCentre == other, test.moved)
			if test.moved {
				is.True(tb.rows[ledger.InboxKey(other)].Revision != 0)
				is.True(!s.IsKnown("j"))
			}
		})
	}
}
