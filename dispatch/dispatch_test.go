package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

var begin = time.Unix(1_800_000_000, 0)

const (
	hostA = ident.Host("host-a")
	hostB = ident.Host("host-b")
	pool  = ident.Pool("groyne-log")
)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func newMachine(known ...worker.Worker) *dispatch.Machine {
	return dispatch.New(begin, dispatch.Config{
		Token: 7, MaxLease: time.Second, FarFactor: 2, Known: known, Sure: known != nil,
		Ejection: ejection.Config{MaxShare: 0.5, Failures: 3, MinProbe: 500 * time.Millisecond, MaxProbe: 5 * time.Second},
	})
}

func aWorker(id worker.ID) worker.Worker {
	return worker.Worker{
		ID: id, Life: 1, Address: string(id) + ":1", Pool: pool, DataCentre: "coast-a",
		Capacity: work.Size{Cores: 64_000, Memory: 1000},
	}
}

// submission returns a job of tasks that take half of a worker each.
func submission(id work.ID, call uint64, tasks int) dispatch.Submission {
	return dispatch.Submission{
		Host: hostA, Call: call, Left: 2 * time.Second, Final: true,
		Job: work.Job{
			ID: id, Pool: pool, Attempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond,
			Steps: []work.Step{{Count: tasks, Size: work.Size{Cores: 27_000, Memory: 64}, Estimate: 60 * time.Millisecond}},
		},
	}
}

// answerLooks answers the looks of some actions with the same report.
func answerLooks(m *dispatch.Machine, now time.Time, a dispatch.Actions, r worker.Report) {
	for _, l := range a.Looks {
		report := r
		m.Looked(now, now.Add(-time.Millisecond), l, &report, worker.Accepted)
	}
}

// openMachine returns a machine whose workers have answered and run nothing.
func openMachine(ids ...worker.ID) *dispatch.Machine {
	m := newMachine()
	var workers []worker.Worker
	for _, id := range ids {
		workers = append(workers, aWorker(id))
	}
	m.SetWorkers(begin, workers)
	answerLooks(m, at(1), m.Take(), worker.Report{Life: 1, Clock: 1000})
	m.Take()
	return m
}

// TestRunFoundAfterSubmission has a caller's job arrive at a new owner before
// the worker that runs its task has answered: the run is taken over, not
// started a second time.
func TestRunFoundAfterSubmission(t *testing.T) {
	tests := map[string]struct {
		report worker.Report
		result dispatch.Result
	}{
		"at work": {report: worker.Report{Life: 1, Clock: 1000, Running: []worker.Running{{Task: "j.0.0.0", Run: 1}}}},
		"done": {
			report: worker.Report{Life: 1, Clock: 1000, Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, How: worker.Done}}},
			result: dispatch.Completed,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(aWorker("w1"))
			m.SetWorkers(begin, []worker.Worker{aWorker("w2")})
			looks := m.Take().Looks
			is.Equal(len(looks), 2)
			m.Looked(at(1), begin, looks[1], &worker.Report{Life: 1, Clock: 1000}, worker.Accepted)
			s := submission("j", 1, 1)
			s.Again = true
			m.Submit(at(2), s)
			is.Equal(len(m.Take().Starts), 0)
			m.Looked(at(3), begin, looks[0], &test.report, worker.Accepted)
			m.Tick(at(50))
			a := m.Take()
			is.Equal(len(a.Starts), 0)
			if test.result != "" {
				is.Equal(len(a.Replies), 1)
				is.Equal(a.Replies[0].Result, test.result)
			}
		})
	}
}
