package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/estimate"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/sharing"
	"github.com/catkingap/catkingap/work"
)

// class is the part of the queue that a job is in. Jobs of a lower class get
// capacity first. Without classes, a burst beyond the capacity of all workers would
// make all jobs late and leave many half done.
type class int

const (
	// begun jobs have started. Their work so far would be lost.
	begun class = iota
	// onTime jobs can meet their objective even if their estimates are off.
	onTime
	// late jobs can still be of use to their callers.
	late
	// useless jobs end too late to be of use while others wait. Those that have not
	// begun are refused, so that their callers are told at once to come back later.
	useless

	classes class = 4
)

// queue holds the jobs with tasks that may start.
type queue struct {
	jobs [classes]*sharing.List[group, *job]
	// shares divides the cores of each pool among its queues.
	shares map[ident.Pool]*sharing.Shares
	// tasks is the number of tasks that may start.
	tasks int
	// untried holds the jobs for which no start was attempted since they became
	// able to start.
	untried []*job
	// tryAll is true if all jobs are to be tried.
	tryAll bool
}

// group is a queue of a pool.
type group struct {
	pool  ident.Pool
	queue work.Queue
}

func (j *job) group() group { return group{pool: j.spec.Pool, queue: j.spec.Queue} }

func newQueue() *queue {
	q := &queue{shares: map[ident.Pool]*sharing.Shares{}}
	for c := range q.jobs {
		q.jobs[c] = sharing.NewList((*job).group, compareJobs)
	}
	return q
}

// compareJobs orders jobs by priority and then by the time at which they must start
// to meet their objective: in a burst, short jobs have little time to spare and
// long jobs have much.
func compareJobs(a, b *job) int {
	return cmp.Or(cmp.Compare(a.spec.Priority, b.spec.Priority), a.latestStart.Compare(b.latestStart), cmp.Compare(a.spec.ID, b.spec.ID))
}

func (q *queue) poolShares(p ident.Pool) *sharing.Shares { return index.GetOrCreate(q.shares, p) }

// isOver returns true if a queue uses more than its share of its pool.
func (q *queue) isOver(g group) bool { return q.poolShares(g.pool).IsOver(g.queue) }

// countUsed changes the number of cores that the runs of a job's queue use.
func (q *queue) countUsed(j *job, change int) {
	q.poolShares(j.spec.Pool).Use(j.spec.Queue, change)
}

// items returns the jobs of a class in their order.
func (q *queue) items(c class) []*job { return q.jobs[c].Items(q.isOver) }

// countBacklog changes the number of cores that a job's waiting tasks need. Late jobs do
// not count: those on time come before them.
func (q *queue) countBacklog(j *job, c class, change int) {
	if c <= onTime {
		q.poolShares(j.spec.Pool).Wait(j.spec.Queue, j.spec.Priority, j.latestStart, change)
	}
}

// put moves a job to a class of the queue, or removes it if none of its tasks may
// start.
func (q *queue) put(j *job, c class) {
	if j.queued {
		q.tasks -= j.queuedTasks
		q.countBacklog(j, j.class, -j.backlogCores)
		if j.class != c || len(j.waiting) == 0 || !j.live {
			q.jobs[j.class].Remove(j)
			j.queued = false
		}
	}
	if len(j.waiting) == 0 || !j.live {
		j.queuedTasks, j.queuedCores, j.backlogCores, j.minCores = 0, 0, 0, 0
		return
	}
	if !j.queued {
		q.jobs[c].Insert(j)
		j.queued, j.class = true, c
	}
	j.countWaiting()
	q.tasks += j.queuedTasks
	q.countBacklog(j, c, j.backlogCores)
}

// countWaiting counts the tasks that may start and their cores.
func (j *job) countWaiting() {
	j.queuedTasks, j.queuedCores, j.backlogCores, j.minCores = len(j.waiting), 0, 0, 0
	for i, t := range j.waiting {
		cores := t.step().Size.Cores
		j.queuedCores += cores
		if len(t.failedWorkers) == 0 {
			// A task under which workers were lost may be held back, and takes no cores then.
			j.backlogCores += cores
		}
		if i == 0 || cores < j.minCores {
			j.minCores = cores
		}
	}
}

// reclassify moves all jobs to their present classes.
func (q *queue) reclassify(classOf func(*job) class) {
	for c := range classes {
		for _, j := range q.items(c) {
			if x := classOf(j); x != c {
				q.put(j, x)
			}
		}
	}
}

// isFirst returns true if no job of its pool comes before a job.
func (q *queue) isFirst(j *job) bool {
	competes := func(g group) bool { return g.pool == j.spec.Pool }
	return !slices.ContainsFunc(q.jobs[:], func(l *sharing.List[group, *job]) bool { return l.HasBefore(j, q.isOver, competes) })
}

// isEmpty returns true if no job waits.
func (q *queue) isEmpty() bool { return q.tasks == 0 }

// firstMatching returns the first jobs for which fits returns true. It examines at
// most seen jobs and returns at most limit.
func (q *queue) firstMatching(fits func(*job) bool, seen, limit int) []*job {
	var found []*job
	for _, l := range q.jobs {
		l.Walk(q.isOver, func(j *job) bool {
			if seen--; seen >= 0 && fits(j) {
				found = append(found, j)
			}
			return seen > 0 && len(found) < limit
		})
		if seen <= 0 || len(found) == limit {
			break
		}
	}
	return found
}

const (
	// maxTriedJobs and maxSeenJobs bound how many jobs are tried and examined when
	// capacity is freed. The others are tried at the next tick.
	maxTriedJobs = 16
	maxSeenJobs  = 64
)

// enqueue puts a job with waiting tasks into the queue.
func (m *Machine) enqueue(now time.Time, j *job) {
	if !j.live {
		return
	}
	m.queue.put(j, m.classOf(now, j))
	m.markUntried(j)
}

// markUntried has an attempt made to start a job at the end of this event.
func (m *Machine) markUntried(j *job) {
	if j.queued && !j.untried {
		j.untried = true
		m.queue.untried = append(m.queue.untried, j)
	}
}

const (
	// onTimeFactor is how many times its expected time a job may take and still
	// count as on time: estimates are off by some 40 %, and tasks of one job by
	// some 15 %. Without it, jobs that start at the last moment of a burst would
	// end late, and take the capacity of others that then do the same.
	onTimeFactor = 1.6
	// lateFactor is how many times its expected time a late job may take and still
	// end before its caller gives up. Work that ends after that is wasted.
	lateFactor = 1.4
)

// classOf returns the present class of a job.
func (m *Machine) classOf(now time.Time, j *job) class {
	run := m.fastestRunTime(j)
	h := j.bestCase(now, run)
	switch {
	case h == useless:
		return useless
	case j.begun:
		return begun
	case now.Add(scaled(run, onTimeFactor)).After(j.objective):
		return late
	}
	return h
}

// bestCase returns what the fastest worker of its pool could still achieve for a
// job: onTime, late or useless.
func (m *Machine) bestCase(now time.Time, j *job) class { return j.bestCase(now, m.fastestRunTime(j)) }

// bestCase returns what a run with the given expected run time could still achieve.
func (j *job) bestCase(now time.Time, run time.Duration) class {
	switch {
	case !now.Add(run).After(j.objective):
		return onTime
	case !now.Add(run).After(j.uselessAt) && j.meetsDeadline(now, run):
		return late
	}
	return useless
}

// fastestRunTime returns the expected run time of a job on the fastest worker of
// its pool.
func (m *Machine) fastestRunTime(j *job) time.Duration {
	return estimate.Scale(j.chainEstimate, m.freeIndex.LowestLogSlowdown(j.spec.Pool))
}

// meetsDeadline returns true if a run with the expected run time d ends before the
// caller gives up. A stored job has no caller that waits. A job that has begun
// needs no margin.
func (j *job) meetsDeadline(now time.Time, d time.Duration) bool {
	if !j.begun {
		d = scaled(d, lateFactor)
	}
	return j.stored || !now.Add(d).After(j.deadline)
}

// isWorthwhile returns true if a tardy run with the expected run time d is of use.
// Up to the deadline, this holds for jobs that have begun and for jobs that start
// only because nothing else waits.
func (j *job) isWorthwhile(now time.Time, d time.Duration) bool {
	return j.stored || (j.meetsDeadline(now, d) && (j.begun || j.class == useless || !now.Add(d).After(j.uselessAt)))
}

// markRan records that a worker has carried out a start of a job.
func (m *Machine) markRan(j *job) {
	m.pendingValid = m.pendingValid && (j.ran || !j.stored)
	j.begun, j.ran = true, true
}

// confirm records that a worker has the run whose start was sent to it.
func (m *Machine) confirm(now time.Time, r *run) {
	if r.state != startSent {
		return
	}
	r.state, r.confirmedAt = running, now
	if r.task != nil {
		m.markRan(r.task.job)
	}
}

// startQueued starts the tasks that can start. After an event that freed capacity,
// it tries the first jobs of the queue. It always tries the jobs that were not
// tried yet.
func (m *Machine) startQueued(now time.Time) {
	q := m.queue
	seen, limit := maxSeenJobs, maxTriedJobs
	if q.tryAll {
		seen, limit = q.tasks, q.tasks
		if m.config.LookAhead {
			m.planAhead(now)
			m.refreshChanged(now)
		}
	}
	if !q.isEmpty() && (q.tryAll || m.capacityGrew) {
		for _, j := range q.firstMatching(m.fits, seen, limit) {
			if m.refreshChanged(now); m.fits(j) {
				m.startWaiting(now, j)
			}
		}
	}
	slices.SortFunc(q.untried, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.class, b.class), sharing.CompareOver(q.isOver(a.group()), q.isOver(b.group())), compareJobs(a, b))
	})
	for _, j := range q.untried {
		m.startWaiting(now, j)
	}
	for _, j := range q.untried {
		j.untried = false
	}
	q.untried, q.tryAll, m.capacityGrew = q.untried[:0], false, false
}

// fits returns true if a worker has enough free cores for the smallest waiting task
// of a job.
func (m *Machine) fits(j *job) bool {
	return j.minCores <= m.freeIndex.List(j.spec.Pool, "").Largest() || m.isReserved(j)
}

// startWaiting starts the tasks of a job for which there is a worker, or refuses
// the job if it has become useless.
func (m *Machine) startWaiting(now time.Time, j *job) {
	if !j.queued || !j.live {
		return
	}
	m.visited++
	if c := m.classOf(now, j); c != j.class {
		m.queue.put(j, c)
	}
	if j.class == useless && m.refuseUseless(now, j) {
		return
	}
	if m.startJob(now, j) {
		m.endVoidReservations(now)
		m.queue.put(j, m.classOf(now, j))
	}
}

// refuseUseless refuses a job that has become useless, unless it has begun, is
// stored, or can use spare capacity.
func (m *Machine) refuseUseless(now time.Time, j *job) bool {
	if j.begun || j.stored || m.hasSpareCapacity(now, j) {
		return false
	}
	m.refuseQueued(now, j)
	return true
}

// hasSpareCapacity returns true if a job can start at once with all tasks of its
// first step and end before its caller gives up, while no job of more use waits. In
// calm times this serves a job that comes late because its owner was replaced or a
// network partition has ended.
func (m *Machine) hasSpareCapacity(now time.Time, j *job) bool {
	for c := range useless {
		if m.queue.jobs[c].Len() > 0 {
			return false
		}
	}
	return j.meetsDeadline(now, m.fastestRunTime(j)) && m.canStartAtOnce(now, j)
}
