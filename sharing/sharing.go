// Package sharing divides the cores of a pool of workers among its queues while there are
// too few: which queues are below their fair share, how long a job waits in the share of
// its queue, and when a refused caller should come back. Shares are weighted by the usual
// demand of the queues. The package has no side effects.
package sharing

import (
	"time"

	"github.com/catkingap/catkingap/ident"
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
	// waiting is the number of cores that waiting tasks need.
	waiting int
	// free is the number of free cores at the last tick.
	free int
	// runTime is the mean run time of recent tasks of all queues, or zero if there is none.
	runTime time.Duration
	// short is true while capacity is short, and changing is since when it seems to have
	// changed, or zero.
	short    bool
	changing time.Time
	// shortSince is when capacity became short last, and bookedUntil is until when the
	// spare capacity is expected to be taken by refused callers that come back.
	shortSince, bookedUntil time.Time
	// reported is true if a shortage was reported last, at reportedAt. lastShort is when
	// capacity was short last.
	reported              bool
	reportedAt, lastShort time.Time
}

// queue is the state of one queue.
type queue struct {
	priority work.Priority
	demand   demand
	// weight is the usual demand in core-seconds per second.
	weight float64
	// used is the number of cores that runs of the queue use.
	used int
	// runTime is the mean run time of recent tasks, or zero if there is none.
	runTime time.Duration
	backlog backlog
	// refused counts the jobs refused since the last report.
	refused int
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
	q.priority = j.Priority
	q.demand.add(now, coreSeconds(j))
	if q.demand.complete == 0 {
		s.weigh(q)
	}
}

// coreSeconds returns the core-time that a job is estimated to take.
func coreSeconds(j *work.Job) float64 {
	sum := 0.0
	for _, x := range j.Steps {
		sum += float64(x.Count*x.Size.Cores) * x.Estimate.Seconds()
	}
	return sum
}

// weigh brings the weight of a queue up to date.
func (s *Shares) weigh(q *queue) {
	s.weight -= q.weight
	q.weight = q.demand.usual()
	s.weight += q.weight
}

// Tick finds out whether capacity is short while a number of cores is free, brings the weights
// up to date, and forgets queues without demand, waiting work or runs.
func (s *Shares) Tick(now time.Time, p ident.Pool, free int) (Shortage, bool) {
	s.free = free
	s.followShortage(now)
	for name, q := range s.queues {
		if !q.demand.began.IsZero() {
			q.demand.advance(now)
			if !q.demand.changed {
				continue
			}
		}
		q.demand.changed = false
		s.weigh(q)
		if q.used == 0 && q.backlog.total == 0 && q.demand.isUnused() {
			s.weight -= q.weight
			delete(s.queues, name)
		}
	}
	return s.report(now, p)
}

// Use changes the number of cores that the runs of a queue use.
func (s *Shares) Use(name work.Queue, change int) {
	s.queue(name).used += change
	s.used += change
}

// Ran records the run time of a task that has completed.
func (s *Shares) Ran(name work.Queue, took time.Duration) {
	for _, mean := range [...]*time.Duration{&s.queue(name).runTime, &s.runTime} {
		if *mean == 0 {
			*mean = took
		}
		*mean += time.Duration(runTimeWeight * float64(took-*mean))
	}
}

// Wait changes the number of cores that the waiting tasks of a queue need, of jobs of a
// priority that must start by latestStart.
func (s *Shares) Wait(name work.Queue, p work.Priority, latestStart time.Time, change int) {
	s.queue(name).backlog.add(periodOf(p, latestStart), change)
	s.waiting += change
}

// Cores returns the number of cores that the runs of a queue use, and the number that its
// waiting tasks need.
func (s *Shares) Cores(name work.Queue) (used, waiting int) {
	if q := s.queues[name]; q != nil {
		return q.used, q.backlog.total
	}
	return 0, 0
}

// share returns the fair share of a queue in a number of cores.
func (s *Shares) share(q *queue, cores int) float64 {
	if s.weight <= 0 {
		return float64(cores)
	}
	return q.weight / s.weight * float64(cores)
}

// guaranteedPart is the part of its share that each queue gets before any other queue gets
// more. The rest goes by priority: queues of short jobs need little of it, and lose most callers
// if they get none.
const guaranteedPart = 0.85

// guaranteed returns the number of cores that a queue gets before others get more.
func (s *Shares) guaranteed(q *queue, cores int) float64 { return guaranteedPart * s.share(q, cores) }

// IsOver returns true if capacity is short and a queue uses more than is guaranteed to it. Its
// waiting work gets cores after that of the other queues.
func (s *Shares) IsOver(name work.Queue) bool {
	q := s.queues[name]
	return q != nil && float64(q.used) > s.guaranteed(q, s.used) && s.IsShort()
}

// turnover returns how many cores per second a queue can start on while it has the given
// number, or zero if that is not known.
func (s *Shares) turnover(q *queue, cores float64) float64 {
	runTime := q.runTime
	if runTime == 0 {
		runTime = s.runTime
	}
	if runTime <= 0 {
		return 0
	}
	return cores / runTime.Seconds()
}

// inflow returns how many cores per second a queue can start on while all queues have waiting
// work: those that its own runs free, and those of queues that yield to it.
func (s *Shares) inflow(q *queue) float64 {
	isBelow := float64(q.used) < s.guaranteed(q, s.used)
	rate := s.turnover(q, max(float64(q.used), s.guaranteed(q, s.free)))
	for _, o := range s.queues {
		if o != q && float64(o.used) > s.guaranteed(o, s.used) && (isBelow || o.priority > q.priority) {
			rate += s.turnover(o, float64(o.used))
		}
	}
	return rate
}

// shortWait is the wait for all waiting work from which capacity is short. It is less than
// half of the 76 ms for which a job of 60 ms can wait, so that bursts that fit are no shortage.
const shortWait = 30 * time.Millisecond

// shortDelay is how long more work or less work must wait before capacity is or is no longer
// short. A job that waits for the end of the run before it is no shortage.
const shortDelay = 100 * time.Millisecond

// IsShort returns true while capacity is short and work waits.
func (s *Shares) IsShort() bool { return s.short && s.waiting > 0 }

// followShortage finds out whether capacity is short.
func (s *Shares) followShortage(now time.Time) {
	if s.lacksCores() == s.short {
		s.changing = time.Time{}
		return
	}
	if s.changing.IsZero() {
		s.changing = now
	}
	if now.Sub(s.changing) >= shortDelay {
		if !s.short {
			s.shortSince = s.changing
		}
		s.short, s.changing = !s.short, time.Time{}
	}
}

// lacksCores returns true if more work waits than can start within shortWait.
func (s *Shares) lacksCores() bool {
	rate := 0.0
	for _, q := range s.queues {
		rate += s.turnover(q, float64(q.used)+s.share(q, s.free))
	}
	return s.waiting > 0 && float64(s.waiting) > rate*shortWait.Seconds()
}

// overtaking is how many times the work ahead of a job has started before it does: jobs
// that must start sooner come in and overtake it, and cores that were lent come back late.
const overtaking = 3

// WaitFor returns how long it takes until the waiting tasks of a queue that come before
// those of a job, and then the given number of cores of its own tasks, have started.
func (s *Shares) WaitFor(name work.Queue, p work.Priority, latestStart time.Time, cores int) time.Duration {
	q := s.queue(name)
	rate := s.inflow(q)
	if rate <= 0 {
		return 0
	}
	return waitFor(overtaking*float64(q.backlog.ahead(periodOf(p, latestStart)))+float64(cores), rate)
}
