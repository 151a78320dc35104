package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/lookahead"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// TestLargeTasksAreServedInABurst checks the share of jobs in time whose tasks need 40 to 48
// cores of a worker's 64 or 96, at twice the usual load. Without reservations, smaller tasks
// take the capacity that comes free, and 0.32 of them are served in time.
func TestLargeTasksAreServedInABurst(t *testing.T) {
	const share = 0.45
	is := is.New(t)
	p := simulateBurstWith(2, func(l *loadSim) { l.m.config.LookAhead = true })
	o := p.widthOutcome(func(a callerAnswer) bool { return a.cores >= 40_000 })
	t.Logf("%s", o)
	is.True(float64(o.inTime) >= share*float64(o.jobs))
}

// TestWholeWorkerIsFreedForATask keeps all workers busy with small tasks, more of which always
// wait, and adds a stored job whose task fills a worker, in cores or in memory. It must start
// within passedOverTime. Without reservations it waits for as long as small ones come.
func TestWholeWorkerIsFreedForATask(t *testing.T) {
	const (
		workers, waiting = 16, 40
		// The small runs before it end within 3.2 ms: 32 run at a time, and one of them ends
		// each 100 us. A reservation is made within two ticks of 25 ms.
		passedOverTime = 60 * time.Millisecond
	)
	for name, size := range map[string]work.Size{
		"all cores":  {Cores: 64_000, Memory: 64},
		"all memory": {Cores: 1_000, Memory: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSaturated(workers, waiting)
			s.m.AddStored(s.now, work.Job{
				ID: "whole", Pool: "pool-0", Attempts: 2, Stretch: 1000, Target: time.Hour,
				Steps: []work.Step{{Count: 1, Size: size, Estimate: 100 * time.Millisecond}},
			}, work.Progress{}, false)
			j, begin := s.m.jobs["whole"], s.now
			for i := 0; !j.begun; i++ {
				if i%250 == 0 {
					s.m.Tick(s.now)
					s.accept()
				}
				if s.now.Sub(begin) > passedOverTime {
					t.Fatal("the task has not started")
				}
				s.cycle()
			}
			t.Logf("started after %s", s.now.Sub(begin))
			is.True(s.m.queue.tasks >= waiting)
		})
	}
}

// reservedMachine returns a machine of two workers, each of which runs a task of 40 cores, and a
// waiting job of 60 cores for which one of them is reserved.
func reservedMachine(t *testing.T) (*saturated, *node) {
	t.Helper()
	is := is.New(t)
	s := newSaturated(2, 0)
	s.m.AddStored(s.now, work.Job{
		ID: "large", Pool: "pool-0", Attempts: 2, Stretch: 1000, Target: time.Hour,
		Steps: []work.Step{{Count: 1, Size: work.Size{Cores: 60_000, Memory: 64}, Estimate: 100 * time.Millisecond}},
	}, work.Progress{}, false)
	s.m.Tick(s.now)
	is.Equal(len(s.m.plan.All()), 1)
	return s, s.m.plan.All()[0].Worker
}

// TestReservationEnds checks that a reservation ends with its job and with its worker, and that
// the capacity is then free for others.
func TestReservationEnds(t *testing.T) {
	tests := map[string]struct {
		event func(s *saturated, n *node)
		cause lookahead.Cause
	}{
		"job ends": {
			event: func(s *saturated, _ *node) {
				s.m.drop(s.now, s.m.jobs["large"])
				s.m.advance(s.now)
			},
			cause: lookahead.Unneeded,
		},
		"worker is silent": {
			event: func(s *saturated, n *node) {
				s.m.PollAnswered(s.now, s.now, worker.Poll{Order: worker.Order{Worker: n.ID}}, nil, worker.Unanswered)
			},
			cause: lookahead.Unusable,
		},
		"worker is draining": {
			event: func(s *saturated, n *node) { s.setWorkers(n.ID, func(w *worker.Worker) { w.Draining = true }) },
			cause: lookahead.Unusable,
		},
		"worker has shrunk": {
			event: func(s *saturated, n *node) { s.setWorkers(n.ID, func(w *worker.Worker) { w.Capacity.Cores = 50_000 }) },
			cause: lookahead.Unusable,
		},
		"worker has restarted": {
			event: func(s *saturated, n *node) { s.setWorkers(n.ID, func(w *worker.Worker) { w.Life = 2 }) },
			cause: lookahead.Unusable,
		},
		"overdue": {
			event: func(s *saturated, _ *node) { s.m.Tick(s.now.Add(400 * time.Millisecond)) },
			cause: lookahead.Overdue,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, n := reservedMachine(t)
			s.m.TakeActions()
			test.event(s, n)
			is.Equal(s.m.TakeActions().Reservations[string(test.cause)], 1)
		})
	}
}

// setWorkers changes the row of a worker.
func (s *saturated) setWorkers(id worker.ID, change func(*worker.Worker)) {
	var list []worker.Worker
	for _, n := range s.m.ordered {
		w := n.Worker
		if w.ID == id {
			change(&w)
		}
		list = append(list, w)
	}
	s.m.SetWorkers(s.now, list)
}

// TestNothingIsReservedWhileNothingWaits checks that a load that leaves capacity free has no
// reservations, so that placing is as it was without them.
func TestNothingIsReservedWhileNothingWaits(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			l := newLoadSim(seed, func(float64) float64 { return 0.5 })
			l.m.config.LookAhead = true
			waited := false
			l.observe = func(a Actions) {
				waited = waited || !l.m.queue.isEmpty()
				is.True(waited || len(a.Reservations) == 0)
			}
			l.run()
			is.True(!waited)
		})
	}
}

// addLargeJobs adds stored jobs with a task each that nearly fills a worker.
func (s *saturated) addLargeJobs(count int) {
	for i := range count {
		s.m.AddStored(s.now, work.Job{
			ID: work.ID(fmt.Sprint("large-", i)), Pool: "pool-0", Attempts: 2, Stretch: 1, Target: time.Millisecond,
			Steps: []work.Step{{Count: 1, Size: work.Size{Cores: 60_000, Memory: 64}, Estimate: 100 * time.Millisecond}},
		}, work.Progress{}, false)
	}
}

// BenchmarkTickWithLargeTasks measures the cost of a tick while many large tasks wait.
func BenchmarkTickWithLargeTasks(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{117, 300}, {890, 1000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.waiting), func(b *testing.B) {
			s := newSaturated(size.workers, size.waiting)
			s.addLargeJobs(100)
			for b.Loop() {
				s.m.Tick(s.now)
			}
		})
	}
}

// BenchmarkEventWithReservations measures the cost of a cycle of events while large tasks wait,
// with a tick each 25 ms.
func BenchmarkEventWithReservations(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{117, 300}, {890, 1000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.waiting), func(b *testing.B) {
			s := newSaturated(size.workers, size.waiting)
			cycles, reserved := 0, 0
			for b.Loop() {
				if cycles++; cycles%250 == 1 {
					b.StopTimer()
					s.addLargeJobs(100)
					s.m.Tick(s.now)
					s.accept()
					b.StartTimer()
				}
				reserved += len(s.m.plan.All())
				s.cycle()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/eventsPerCycle, "ns/event")
			b.ReportMetric(float64(reserved)/float64(b.N), "reservations")
		})
	}
}

// TestSuspectTakesNoReservation checks that a task under which a worker was lost does not start
// beside other runs on a worker that was reserved for its step before.
func TestSuspectTakesNoReservation(t *testing.T) {
	is := is.New(t)
	s, n := reservedMachine(t)
	r := s.m.plan.All()[0]
	x := r.Holder.job.tasks[0]
	r.Holder.job.spec.Steps[0].Size.Cores = 1000
	is.Equal(s.m.chooseReserved(s.now, x, true), n)
	loss := crash.Loss{Life: crash.Life{Worker: "w9", Incarnation: 1}, Proof: crash.Crashed, Run: 1, InTime: true}
	s.m.crashes.Add(s.now, crash.TaskLosses{Task: x.id, Losses: crash.History{loss}})
	is.True(s.m.standing(s.now, x) != crash.Clear)
	is.Equal(s.m.chooseReserved(s.now, x, true), nil)
}
