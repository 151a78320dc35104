package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/cold"
	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// machineWithColdWorkers returns a Machine whose given workers have just started.
func machineWithColdWorkers(perSecond float64, isCold func(worker.ID) bool, ids ...worker.ID) *dispatch.Machine {
	m := readyMachine(ids...)
	m.SetColdLimits(at(1), map[ident.Pool]cold.Limits{pool: {PerSecond: perSecond, Slack: 5}})
	var workers []worker.Worker
	for _, id := range ids {
		w := testWorker(id)
		w.Cold = cold.Told{Known: true}
		if isCold(id) {
			w.Cold.Remaining = 10 * time.Second
		}
		workers = append(workers, w)
	}
	m.SetWorkers(at(1), workers)
	m.TakeActions()
	return m
}

// TestColdWorkerGetsItsRate has more jobs wait than a cold worker sustains, each of which takes a
// moment. It must get them at its rate, without an event that would wake the queue.
func TestColdWorkerGetsItsRate(t *testing.T) {
	for name, test := range map[string]struct {
		perSecond   float64
		least, most int
	}{
		"four per second": {perSecond: 4, least: 4*4 - 1, most: 4*4 + 4},
		"no limit":        {least: 60, most: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := machineWithColdWorkers(test.perSecond, func(worker.ID) bool { return true }, "w1")
			for call := range uint64(60) {
				m.Submit(at(2), longSubmission(work.ID(fmt.Sprint("j", call)), call, 1))
			}
			starts, cold, number := 0, 0, worker.EndNumber(0)
			for ms := 5; ms < 4000; ms += 5 {
				m.Tick(at(ms))
				a := m.TakeActions()
				cold += a.ColdStarts
				for _, s := range acceptStarts(m, ms, a) {
					starts++
					number++
					r := worker.Report{Incarnation: 1, Clock: worker.Clock(1001 + ms), Ended: []worker.Ended{
						{Number: number, Task: s.Task.String(), Run: s.Run, Result: worker.Done},
					}}
					m.PollAnswered(at(ms+1), at(ms), worker.Poll{Order: worker.Order{Worker: "w1"}, Extra: true}, &r, worker.Accepted)
				}
			}
			is.True(starts >= test.least && starts <= test.most)
			is.Equal(cold, starts)
		})
	}
}

// TestWarmWorkersComeFirst guards against cold workers that get work which warm ones could end in
// time, and against jobs that wait for a warm worker although only a cold one is free.
func TestWarmWorkersComeFirst(t *testing.T) {
	is := is.New(t)
	m := machineWithColdWorkers(4, func(id worker.ID) bool { return id < "w3" }, "w1", "w2", "w3")
	var chosen []worker.ID
	for call := range uint64(3) {
		m.Submit(at(2), longSubmission(work.ID(fmt.Sprint("j", call)), call, 1))
		for _, s := range m.TakeActions().Starts {
			chosen = append(chosen, s.Worker)
		}
	}
	is.Equal(len(chosen), 3)
	is.Equal(chosen[:2], []worker.ID{"w3", "w3"})
	is.True(chosen[2] < "w3")
}

// TestRunTimesOnColdWorkersAreNotLearned runs tasks on a warm and on a cold worker, where they take
// ten times as long as estimated. Once that one is warm too, it must get tasks that only a worker
// of usual speed ends in time.
func TestRunTimesOnColdWorkersAreNotLearned(t *testing.T) {
	is := is.New(t)
	m := machineWithColdWorkers(4, func(id worker.ID) bool { return id == "w1" }, "w1", "w2")
	m.Submit(at(2), longSubmission("first", 1, 3))
	starts := acceptStarts(m, 3, m.TakeActions())
	is.Equal(len(starts), 3)
	is.Equal(starts[2].Worker, worker.ID("w1"))
	endRuns(m, 63, starts[:2])
	endRuns(m, 603, starts[2:])
	m.TakeActions()
	m.Tick(at(10_500))
	answerPolls(m, at(10_501), m.TakeActions(), worker.Report{Incarnation: 1, Clock: 11_500})
	m.Submit(at(10_502), submission("j", 2, 4))
	is.Equal(len(m.TakeActions().Starts), 4)
}
