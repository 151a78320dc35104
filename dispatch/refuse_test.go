package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// TestJobThatCanNotEndInTimeIsRefused has a job wait while all capacity is taken.
// Its caller must be refused as soon as the answer can no longer be of use, and not
// only at its deadline.
func TestJobThatCanNotEndInTimeIsRefused(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	for call := range uint64(2) {
		s := submission(work.ID(fmt.Sprint("long", call)), call, 1)
		s.Remaining, s.Job.Steps[0].Estimate = time.Minute, 10*time.Second
		m.Submit(at(2), s)
		for _, x := range m.TakeActions().Starts {
			m.Started(at(3), x, worker.Answer{Verdict: worker.Accepted, Clock: 1003})
		}
	}
	s := submission("waits", 3, 1)
	s.Remaining = 5 * time.Second
	m.Submit(at(10), s)
	refused := 0
	for ms := 10; ms < 2000 && refused == 0; ms += 25 {
		m.Tick(at(ms))
		for _, r := range m.TakeActions().Replies {
			is.Equal(r.Job, work.ID("waits"))
			is.Equal(r.Result, dispatch.Refused)
			refused = ms
		}
	}
	// The objective is 156 ms. An answer is of use up to three times the objective,
	// and the work takes 60 ms.
	is.True(refused >= 10+3*156-60)
	is.True(refused <= 10+3*156-60+50)
}

// TestLateJobStartsInSpareRoom has a job arrive so late that its answer misses
// three times its objective. It must be served all the same if nothing else needs
// the capacity and its caller still waits.
func TestLateJobStartsInSpareRoom(t *testing.T) {
	tests := map[string]struct {
		left   time.Duration
		busy   bool
		starts int
	}{
		"all room is free":                       {left: time.Second, starts: 2},
		"its caller gives up before the end":     {left: 80 * time.Millisecond},
		"other work has taken the room it needs": {left: time.Second, busy: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			if test.busy {
				startOne(is, m, at(10))
			}
			s := submission("late", 3, 2)
			s.Waited, s.Remaining = time.Second, test.left
			m.Submit(at(20), s)
			a := m.TakeActions()
			is.Equal(len(a.Starts), test.starts)
			is.Equal(len(a.Replies) == 1 && a.Replies[0].Result == dispatch.Refused, test.starts == 0)
		})
	}
}
