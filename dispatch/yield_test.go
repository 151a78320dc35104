package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// TestWaitingJobsYield has jobs wait while all capacity is taken and another owner
// gets free capacity. As many tasks must leave as that owner has capacity for, once
// each, and none of jobs that have begun.
func TestWaitingJobsYield(t *testing.T) {
	tests := map[string]struct {
		room   int
		waited time.Duration
		change func(*dispatch.Submission)
		yields int
	}{
		"there is room elsewhere":           {room: 4, waited: 60 * time.Millisecond, yields: 4},
		"there is room for one of two jobs": {room: 3, waited: 60 * time.Millisecond, yields: 2},
		"there is room for half a job":      {room: 1, waited: 60 * time.Millisecond},
		"there is no room elsewhere":        {waited: 60 * time.Millisecond},
		"they have just come":               {room: 4, waited: 20 * time.Millisecond},
		"they have left an owner before":    {room: 4, waited: 60 * time.Millisecond, change: func(s *dispatch.Submission) { s.Pinned = true }},
		"they may have begun elsewhere":     {room: 4, waited: 60 * time.Millisecond, change: func(s *dispatch.Submission) { s.Resubmitted = true }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			first := submission("first", 1, 2)
			first.Remaining, first.Job.Steps[0].Estimate = time.Minute, 10*time.Second
			m.Submit(at(2), first)
			for _, x := range m.TakeActions().Starts {
				m.Started(at(3), x, worker.Answer{Verdict: worker.Accepted, Clock: 1003})
			}
			for i, id := range []work.ID{"a", "b"} {
				s := submission(id, uint64(i+2), 2)
				s.Remaining, s.Job.Target, s.Final = 5*time.Second, time.Second, true
				if test.change != nil {
					test.change(&s)
				}
				m.Submit(at(10), s)
			}
			is.Equal(len(m.TakeActions().Starts), 0)
			now := at(10).Add(test.waited)
			is.Equal(m.Yield(now, test.room), test.yields)
			replies := m.TakeActions().Replies
			is.Equal(2*len(replies), test.yields)
			for _, r := range replies {
				is.Equal(r.Result, dispatch.Busy)
			}
			_, queued := m.Jobs()
			is.Equal(queued, 4-test.yields)
		})
	}
}

// TestJobForALostKindOfWorkerIsYielded loses the worker of a kind for which a job waits, while
// workers of other kinds are idle. The job must be yielded to owners that have such workers.
func TestJobForALostKindOfWorkerIsYielded(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	idle, rare := testWorker("w1"), testWorker("w2")
	rare.Labels = append(slices.Clone(rare.Labels), "rare")
	m.SetWorkers(begin, []worker.Worker{idle, rare})
	answerPolls(m, at(1), m.TakeActions(), worker.Report{Incarnation: 1, Clock: 1000})
	var started int
	for call := range uint64(4) {
		s := submission(work.ID(fmt.Sprint("j", call)), call, 1)
		s.Job.Steps[0].Label = "rare"
		s.Job.Target = time.Second
		m.Submit(at(1500), s)
		started += len(m.TakeActions().Starts)
	}
	is.True(started > 0 && started < 4)
	m.SetWorkers(at(1510), []worker.Worker{idle})
	is.Equal(m.Yield(at(1600), 4), 4-started) // each has one task
}
