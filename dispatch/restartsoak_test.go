package dispatch_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	soakTime     = 60 * time.Second
	soakWorkers  = 9
	soakMaxLease = time.Second
	// soakOrderTimeout is after how long an owner gives up an order.
	soakOrderTimeout = 60 * time.Millisecond
	// soakRowLifetime is how long the row of a worker stays in the list after its crash.
	soakRowLifetime = 4500 * time.Millisecond
	// maxDeadlyRuns is the number of workers that a task may crash: five of which it is known
	// that they crashed, and one of which it is not known yet.
	maxDeadlyRuns = 6
)

// fault records that a rule was broken.
func (s *restartSoak) fault(format string, args ...any) {
	s.faults = append(s.faults, fmt.Sprintf("%7.3f ", s.now.Sub(begin).Seconds())+fmt.Sprintf(format, args...))
}

// checkEnd checks that a job is not shown as failed without cause, nor as completed before its
// tasks are done.
func (s *restartSoak) checkEnd(id work.ID, result dispatch.Result) {
	for task, runs := range s.runs {
		if work.JobOfTask(task) != id {
			continue
		}
		crashes, done := 0, false
		for _, r := range runs {
			if r.crashed {
				crashes++
			}
			done = done || r.how == worker.Done
		}
		if result == dispatch.Completed && !done {
			s.fault("MIXED: job %s is completed, task %s is not", id, task)
		}
		if result == dispatch.Failed && crashes >= 2 {
			return
		}
	}
	if result == dispatch.Failed {
		s.fault("LOST: job %s has failed, and no two workers have crashed under a task of it", id)
	}
}

// submit hands in a job whose tasks take the given time.
func (s *restartSoak) submit(id work.ID, stored bool, tasks int, took time.Duration) {
	s.took[id], s.stored[id] = took, stored
	x := submission(id, uint64(len(s.took)), tasks)
	x.Job.Steps[0].Estimate = took
	if stored {
		s.m.AddStored(s.now, x.Job, work.Progress{}, false)
		return
	}
	x.Remaining, x.Job.Target = 10*time.Second, 5*time.Second
	s.m.Submit(s.now, x)
}

// play restarts workers and submits jobs for soakTime.
func (s *restartSoak) play() {
	jobs := 0
	for at := time.Second; at < soakTime; at += s.between(200*time.Millisecond, 3*time.Second) {
		s.after(at, func() {
			for _, i := range s.random.Perm(soakWorkers)[:1+s.random.IntN(2)] {
				w := s.workers[s.ids[i]]
				down := s.between(100*time.Millisecond, 2500*time.Millisecond)
				s.crash(w, down)
				switch s.random.IntN(4) {
				case 0:
					// A second restart soon after the first one.
					s.after(down+s.between(time.Millisecond, 300*time.Millisecond), func() { s.crash(w, s.between(100*time.Millisecond, time.Second)) })
				case 1:
					s.after(down+s.between(20*time.Millisecond, 400*time.Millisecond), func() { w.silentUntil = s.now.Add(s.between(200*time.Millisecond, 2500*time.Millisecond)) })
				}
				for range 1 + s.random.IntN(3) {
					s.after(down+s.between(0, 400*time.Millisecond), func() {
						jobs++
						id := work.ID(fmt.Sprint("j", jobs))
						if s.random.IntN(30) == 0 {
							s.deadly[id] = true
							s.submit(id, s.random.IntN(2) == 0, 1, 20*time.Millisecond)
							return
						}
						s.submit(id, s.random.IntN(2) == 0, 1+s.random.IntN(12), s.between(20*time.Millisecond, 400*time.Millisecond))
					})
				}
			}
		})
	}
	s.runUntil(begin.Add(soakTime + 20*time.Second))
	for id, stored := range s.stored {
		if _, ended := s.jobEnds[id]; stored && !ended {
			s.fault("LOST: stored job %s has not ended", id)
		}
		if _, replied := s.replies[id]; !stored && !replied {
			s.fault("LOST: caller of job %s got no answer", id)
		}
	}
	for id := range s.deadly {
		if n := len(s.runs[string(id)+".0.0.0"]); n > maxDeadlyRuns {
			s.fault("BUDGET: a task of %s has crashed %d workers", id, n)
		}
	}
}

// TestSoakOfRestartedWorkers plays some seeds. SOAK_SEEDS sets how many, and SOAK_LATE the share of
// the orders that are carried out seconds later: some of these break a rule, since no worker can
// refuse a late order that is the first one to reach its present incarnation.
func TestSoakOfRestartedWorkers(t *testing.T) {
	seeds, late := 50, 0.0
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = n
	}
	if x, err := strconv.ParseFloat(os.Getenv("SOAK_LATE"), 64); err == nil {
		late = x
	}
	for seed := range seeds {
		soak(t, uint64(seed+1), func(s *restartSoak) { s.late = late })
	}
}

// soak plays a seed. No rule may be broken.
func soak(t *testing.T, seed uint64, configure func(s *restartSoak)) *restartSoak {
	t.Helper()
	s := newRestartSoak(seed)
	configure(s)
	t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
		is := is.New(t)
		s.play()
		for _, f := range s.faults {
			t.Log(f)
		}
		is.Equal(len(s.faults), 0)
	})
	return s
}

// soakSeeds returns the seeds that SOAK_SEEDS asks for, or the given ones.
func soakSeeds(seeds ...uint64) []uint64 {
	n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS"))
	if err != nil {
		return seeds
	}
	seeds = nil
	for seed := range n {
		seeds = append(seeds, uint64(seed+1))
	}
	return seeds
}

// TestSoakOfLateAcknowledgements carries out three of ten acknowledgements of ends seconds later
// (TWICE: the next incarnation of a worker forgot ends that its owner had not seen). The seeds
// have failed before.
func TestSoakOfLateAcknowledgements(t *testing.T) {
	for _, seed := range soakSeeds(7, 12, 18, 31, 33, 35, 41, 54, 71, 76, 747) {
		soak(t, seed, func(s *restartSoak) { s.lateAcknowledgements = 0.3 })
	}
}

// TestSoakOfLateOrders carries out one of twenty orders seconds later (TWICE: the next incarnation
// of a worker carried out starts that were meant for the earlier one). Starts that come before any
// order to the next incarnation are counted, since nothing can refuse them. The seeds have failed
// before.
func TestSoakOfLateOrders(t *testing.T) {
	excused := 0
	for _, seed := range soakSeeds(1, 3, 22, 24, 26, 57, 61, 94, 98, 105) {
		s := soak(t, seed, func(s *restartSoak) { s.late, s.excuse = 0.05, true })
		excused += s.excused
	}
	t.Log("starts that no worker could refuse:", excused)
}
