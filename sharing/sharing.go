// Package sharing divides the cores of a pool of workers among its queues while there are
// too few: which queues are below their fair share, how long a job waits in the share of
// its queue, and when a refused caller should come back. Shares are weighted by the usual
// demand of the queues. The package has no side effects.
package sharing

import (
	"time"

	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/work"
)

// Shares is the state of the queues of one pool. Its zero value has no queues.
type Shares struct {
	// began is when demand was first counted.
	began  time.Time
	queues map[work.Queue]*queue
	// weight is the sum of the weights of all queues, and used that of their cores in use.
	weight float64
	used   int
}

// queue is the state of one queue.
type queue struct {
	demand demand
	// weight is the usual demand in core-seconds per second.
	weight float64
	// used is the number of cores that runs of the queue use.
	used int
	// runTime is the mean run time of recent tasks, weighted by their cores, or the
	// estimate of the first task.
	runTime time.Duration
	// runs is true once runTime is that of runs.
	runs    bool
	backlog backlog
}

// runTimeWeight is the weight of one run in the mean run time of its queue. Run times have
// a spread of 0.4, so the mean of some 30 runs is within 0.1.
const runTimeWeight = 0.03

func (s *Shares) queue(name work.Queue) *queue {
	if s.queues == nil {
		s.queues = map[work.Queue]*queue{}
	}
	return index.GetOrCreate(s.queues, name)
}

// Offer records that a job was submitted, which is part of the demand of its queue.
func (s *Shares) Offer(now time.Time, j *work.Job) {
	if s.began.IsZero() {
		s.began = now
	}
	q := s.queue(j.Queue)
	if q.demand.began.IsZero() {
		q.demand = newDemand(s.began)
	}
	coreSeconds := 0.0
	for _, x := range j.Steps {
		coreSeconds += float64(x.Count*x.Size.Cores) * x.Estimate.Seconds()
	}
	q.demand.add(now, coreSeconds)
	if q.runTime == 0 && len(j.Steps) > 0 {
		q.runTime = j.Steps[0].Estimate
	}
	if q.demand.complete == 0 {
		s.weigh(q)
	}
}

// weigh brings the weight of a queue up to date.
func (s *Shares) weigh(q *queue) {
	s.weight -= q.weight
	q.weight = q.demand.usual()
	s.weight += q.weight
}

// Tick brings the weights up to date, and forgets queues without demand, waiting work or
// runs.
func (s *Shares) Tick(now time.Time) {
	for name, q := range s.queues {
		if q.demand.began.IsZero() || !q.demand.advance(now) {
			continue
		}
		s.weigh(q)
		if q.used == 0 && q.backlog.total == 0 && q.demand.isUnused() {
			s.weight -= q.weight
			delete(s.queues, name)
		}
	}
}

// Use changes the number of cores that the runs of a queue use.
func (s *Shares) Use(name work.Queue, change int) {
	s.queue(name).used += change
	s.used += change
}

// Ran records the run time of a task that has completed.
func (s *Shares) Ran(name work.Queue, took time.Duration) {
	q := s.queue(name)
	if !q.runs {
		q.runs, q.runTime = true, took
		return
	}
	q.runTime += time.Duration(runTimeWeight * float64(took-q.runTime))
}

// Wait changes the number of cores that the waiting tasks of a queue need, of jobs of a
// priority that must start by latestStart.
func (s *Shares) Wait(name work.Queue, p work.Priority, latestStart time.Time, change int) {
	s.queue(name).backlog.add(periodOf(p, latestStart), change)
}

// HasWaiting returns true if a task waits.
func (s *Shares) HasWaiting() bool {
	for _, q := range s.queues {
		if q.backlog.total > 0 {
			return true
		}
	}
	return false
}

// share returns the number of the cores in use that are the fair share of a queue.
func (s *Shares) share(q *queue) float64 {
	if s.weight <= 0 {
		return float64(s.used)
	}
	return q.weight / s.weight * float64(s.used)
}

// IsOver returns true if a queue uses more than its share. Its waiting work gets cores
// after that of the other queues.
func (s *Shares) IsOver(name work.Queue) bool {
	q := s.queues[name]
	return q != nil && float64(q.used) > s.share(q)
}

// rate returns how many cores the runs of a queue free per second.
func (q *queue) rate() float64 {
	if q.runTime <= 0 {
		return 0
	}
	return float64(q.used) / q.runTime.Seconds()
}

// WaitFor returns how long it takes until the waiting tasks of a queue that come before
// those of a job, and then the given number of cores of its own tasks, have started.
func (s *Shares) WaitFor(name work.Queue, p work.Priority, latestStart time.Time, cores int) time.Duration {
	q := s.queue(name)
	return s.waitFor(q, float64(q.backlog.ahead(periodOf(p, latestStart))+cores))
}

// waitFor returns how long it takes until a queue has got cores. Up to its share it gets
// what queues over their share free, beside what its own runs free.
func (s *Shares) waitFor(q *queue, cores float64) time.Duration {
	if cores <= 0 || q.runTime <= 0 || s.used == 0 {
		return 0
	}
	share, used := s.share(q), float64(q.used)
	if used >= share {
		return waitFor(cores, q.rate())
	}
	returned := 0.0
	for _, o := range s.queues {
		if float64(o.used) > s.share(o) {
			returned += o.rate()
		}
	}
	if returned <= 0 {
		return waitFor(cores, share/q.runTime.Seconds())
	}
	until := (share - used) / returned
	if started := (returned + q.rate()) * until; cores > started {
		return time.Duration(until*float64(time.Second)) + waitFor(cores-started, share/q.runTime.Seconds())
	}
	return waitFor(cores, returned+q.rate())
}
