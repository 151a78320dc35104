package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

const rowBytes = 2000

// chainJob returns a job of steps that each come after the one before, with random labels,
// which cannot be compressed.
func chainJob(id work.ID, steps, labelBytes int) work.Job {
	random := rand.New(rand.NewPCG(1, 2))
	j := newJob(id)
	j.Steps = nil
	for i := range steps {
		var label strings.Builder
		for range labelBytes {
			label.WriteByte(byte(random.IntN(256)))
		}
		s := work.Step{Count: 1, Size: work.Size{Cores: 500}, Label: label.String()}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// TestLargeSpecification stores jobs whose specifications take several rows. A new owner must
// read them, and nothing of them may be left after their end.
func TestLargeSpecification(t *testing.T) {
	for name, j := range map[string]work.Job{
		"one row": newJob("j"), "compressed": chainJob("j", 400, 0), "several rows": chainJob("j", 100, 200),
	} {
		for _, cancelled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cancelled %v", name, cancelled), func(t *testing.T) {
				is := is.New(t)
				tb := newTable()
				s := ledger.NewStore(ledger.Config{DataCentre: "coast-a", OwnerKey: ownerKey, Retention: retention, RowBytes: rowBytes})
				accept(is, s, j)
				is.Equal(len(writeAll(is, tb, s).Accepted), 1)
				for _, r := range tb.rows {
					is.True(len(r.Value) <= rowBytes)
				}
				_, unknown, _ := ledger.NewStore(ledger.Config{DataCentre: "coast-a"}).Compare(tb.states())
				read, err := ledger.ReadJob(tb.rows, "j", unknown["j"])
				is.NoErr(err)
				is.Equal(read, j)
				if cancelled {
					w, ok, err := ledger.Cancel(start, "j", tb.rows[ledger.StateKey("j")])
					is.NoErr(err)
					is.True(ok && tb.commit(w).Applied)
				} else {
					s.End(start, "j", ledger.Completed)
					writeAll(is, tb, s)
				}
				for key := range tb.rows {
					is.True(!strings.HasPrefix(key, ledger.JobGroup+"/"))
				}
			})
		}
	}
}

// TestTooLargeJob checks that a job that the table cannot store is refused before it is written.
func TestTooLargeJob(t *testing.T) {
	is := is.New(t)
	s := newTable().claim()
	_, err := s.Accept(chainJob("j", 100, 8000))
	is.True(errors.As(err, new(*ledger.TooLargeError)))
	_, ok, err := s.Next()
	is.NoErr(err)
	is.True(!ok)
}

// TestRejectedWriteFailsOnlyTheJobAtFault has the table reject each write that holds one of ten
// jobs. The others must be stored.
func TestRejectedWriteFailsOnlyTheJobAtFault(t *testing.T) {
	is := is.New(t)
	tb := newTable()
	s := tb.claim()
	for n := range 10 {
		accept(is, s, newJob(work.ID(fmt.Sprint("j", n))))
	}
	var all ledger.Outcome
	for range 30 {
		w, ok, err := s.Next()
		is.NoErr(err)
		if !ok {
			break
		}
		var o ledger.Outcome
		if holds(w, ledger.StateKey("j4")) {
			o = s.HandleResult(storage.Result{}, &storage.RejectedError{Status: 400})
		} else {
			o = s.HandleResult(tb.commit(w), nil)
		}
		all.Accepted, all.Rejected = append(all.Accepted, o.Accepted...), append(all.Rejected, o.Rejected...)
	}
	is.Equal(len(all.Accepted), 9)
	is.Equal(all.Rejected, []work.ID{"j4"})
}

// holds returns true if a write puts a row.
func holds(w storage.Write, key string) bool {
	for _, p := range w.Puts {
		if p.Key == key {
			return true
		}
	}
	return false
}
