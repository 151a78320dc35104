package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/work"
)

// class is the part of the queue that a job is in. Jobs of a lower class get
// room first. Load: bursts beyond the room of all workers, which would otherwise
// make all jobs late and leave many half done.
type class int

const (
	// begun jobs have runs, whose work would be lost.
	begun class = iota
	// onTime jobs can meet their objective, also if their estimates are off.
	onTime
	// late jobs can still be of use to their callers.
	late
	// useless jobs come too late to be of use while others wait. Those that have not
	// begun are refused, so that their callers are told at once to come back.
	useless

	classes = 4
)

// queue holds the jobs with tasks that may start.
type queue struct {
	jobs [classes]index.Sorted[*job]
	// tasks is the number of tasks that may start, and cores what they need, by
	// the time at which their jobs must start.
	tasks int
	cores map[period]int
	// fresh holds the jobs that were not tried since they can start something.
	fresh []*job
	// all is true if all jobs are to be tried.
	all bool
}

func newQueue() *queue {
	q := &queue{cores: map[period]int{}}
	for c := range q.jobs {
		q.jobs[c] = index.NewSorted(compareJobs)
	}
	return q
}

// compareJobs orders jobs by priority and then by the time at which they must
// start to meet their objective. Load: bursts, in which short jobs have little
// time to spare and long ones much.
func compareJobs(a, b *job) int {
	if c := cmp.Compare(a.spec.Priority, b.spec.Priority); c != 0 {
		return c
	}
	if c := a.latest.Compare(b.latest); c != 0 {
		return c
	}
	return cmp.Compare(a.spec.ID, b.spec.ID)
}

// period is a short time in which jobs of one priority must start.
type period struct {
	priority work.Priority
	number   int64
}

// periodTime is the length of a period: what a wait is told in, against the 156 ms
// of the shortest jobs.
const periodTime = 20 * time.Millisecond

func (j *job) period() period {
	return period{priority: j.spec.Priority, number: j.latest.UnixNano() / int64(periodTime)}
}

// need changes the cores that are needed for a job's waiting tasks.
func (q *queue) need(j *job, change int) {
	p := j.period()
	if q.cores[p] += change; q.cores[p] == 0 {
		delete(q.cores, p)
	}
}

// put puts a job into its place, or takes it out if nothing of it may start.
func (q *queue) put(j *job, c class) {
	if j.queued {
		q.tasks -= j.queuedTasks
		q.need(j, -j.queuedCores)
		if j.class != c || len(j.waiting) == 0 || !j.live {
			q.jobs[j.class].Remove(j)
			j.queued = false
		}
	}
	if len(j.waiting) == 0 || !j.live {
		j.queuedTasks, j.queuedCores, j.leastCores = 0, 0, 0
		return
	}
	if !j.queued {
		q.jobs[c].Insert(j)
		j.queued, j.class = true, c
	}
	j.count()
	q.tasks += j.queuedTasks
	q.need(j, j.queuedCores)
}

// count counts the tasks that may start.
func (j *job) count() {
	j.queuedTasks, j.queuedCores, j.leastCores = len(j.waiting), 0, 0
	for i, t := range j.waiting {
		cores := t.step().Size.Cores
		j.queuedCores += cores
		if i == 0 || cores < j.leastCores {
			j.leastCores = cores
		}
	}
}

// sort puts all jobs into the classes that they are in now.
func (q *queue) sort(classOf func(*job) class) {
	var moved []*job
	for c := range q.jobs {
		for _, j := range q.jobs[c].Items() {
			if classOf(j) != j.class {
				moved = append(moved, j)
			}
		}
	}
	for _, j := range moved {
		q.put(j, classOf(j))
	}
}

// ahead returns about how many cores the tasks need that go before those of a job.
func (q *queue) ahead(j *job) int {
	own := j.period()
	cores := 0
	for p, x := range q.cores {
		if p.priority < own.priority || (p.priority == own.priority && p.number < own.number) {
			cores += x
		}
	}
	return cores
}

// leads returns true if no job goes before a job.
func (q *queue) leads(j *job) bool {
	for c := range q.jobs {
		if q.jobs[c].Before(j) > 0 {
			return false
		}
	}
	return true
}

// empty returns true if no job waits.
func (q *queue) empty() bool { return q.tasks == 0 }

// first returns the first jobs for which fits returns true, at most limit of the
// first seen ones.
func (q *queue) first(fits func(*job) bool, seen, limit int) []*job {
	var found []*job
	for c := range q.jobs {
		for _, j := range q.jobs[c].Items() {
			if seen--; seen < 0 {
				return found
			}
			if !fits(j) {
				continue
			}
			if found = append(found, j); len(found) == limit {
				return found
			}
		}
	}
	return found
}

const (
	// triedJobs and seenJobs bound how many jobs are tried, and looked at, when
	// room comes free. The rest is tried with the next tick.
	triedJobs = 16
	seenJobs  = 64
)

// enqueue puts a job with waiting tasks into its place in the queue.
func (m *Machine) enqueue(now time.Time, j *job) {
	if !j.live {
		return
	}
	m.queue.put(j, m.classOf(now, j))
	m.retry(j)
}

// retry has a job tried with the end of this event.
func (m *Machine) retry(j *job) {
	if j.queued && !j.fresh {
		j.fresh = true
		m.queue.fresh = append(m.queue.fresh, j)
	}
}

const (
	// sureFactor is how many times its expected time a job may take and still count
	// as on time: estimates are off by some 40 %, tasks of one job by some 15 %.
	// Load: bursts beyond the room of all workers, in which jobs that start at the
	// last moment end late, and take the room of others that then do the same.
	sureFactor = 1.6
	// lateFactor is how many times its expected time a late job may take and still
	// end before its caller gives up: work that ends after that is thrown away.
	lateFactor = 1.4
)

// classOf returns the class of a job.
func (m *Machine) classOf(now time.Time, j *job) class {
	run := m.fastest(j)
	h := j.hope(now, run)
	switch {
	case h == useless:
		return useless
	case j.begun:
		return begun
	case now.Add(scaled(run, sureFactor)).After(j.objective):
		return late
	}
	return h
}

// hope returns what the fastest worker of its pool could still achieve for a job:
// onTime, late or useless.
func (m *Machine) hope(now time.Time, j *job) class { return j.hope(now, m.fastest(j)) }

// hope returns what a run that is expected to take run could still achieve.
func (j *job) hope(now time.Time, run time.Duration) class {
	switch {
	case !now.Add(run).After(j.objective):
		return onTime
	case !now.Add(run).After(j.uselessAt) && j.meetsDeadline(now, run):
		return late
	}
	return useless
}

// fastest returns the expected run time of a job on the fastest worker of its pool.
func (m *Machine) fastest(j *job) time.Duration {
	return pace{log: m.room.Pace(j.spec.Pool)}.scale(j.chain)
}

// meetsDeadline returns true if a run that is expected to take d ends before the
// caller gives up. Nobody waits for a kept job, and what has begun is tried as long as
// it may.
func (j *job) meetsDeadline(now time.Time, d time.Duration) bool {
	if !j.begun {
		d = scaled(d, lateFactor)
	}
	return j.kept || !now.Add(d).After(j.deadline)
}

// worthwhile returns true if a tardy run that is expected to take d is of use. What has
// begun is, up to the deadline, and what starts only because nothing else waits.
func (j *job) worthwhile(now time.Time, d time.Duration) bool {
	return j.kept || (j.meetsDeadline(now, d) && (j.begun || j.class == useless || !now.Add(d).After(j.uselessAt)))
}

// begin notes that something of a job has started.
func (m *Machine) begin(j *job) {
	j.begun = true
	m.pendingKnown = m.pendingKnown && !j.kept
}

// startQueued starts what can start. After an event that made room the first jobs
// of the queue are tried, and those that are new to it.
func (m *Machine) startQueued(now time.Time) {
	q := m.queue
	seen, limit := seenJobs, triedJobs
	if q.all {
		seen, limit = q.tasks, q.tasks
	}
	if !q.empty() && (q.all || m.roomier) {
		for _, j := range q.first(m.fits, seen, limit) {
			if m.settleTouched(now); m.fits(j) {
				m.startWaiting(now, j)
			}
		}
	}
	slices.SortFunc(q.fresh, func(a, b *job) int {
		if c := cmp.Compare(a.class, b.class); c != 0 {
			return c
		}
		return compareJobs(a, b)
	})
	for _, j := range q.fresh {
		m.startWaiting(now, j)
	}
	for _, j := range q.fresh {
		j.fresh = false
	}
	q.fresh, q.all, m.roomier = q.fresh[:0], false, false
}

// fits returns true if a worker has enough free cores for the smallest waiting task
// of a job.
func (m *Machine) fits(j *job) bool {
	return j.leastCores <= m.room.List(j.spec.Pool, "").Largest()
}

// startWaiting starts the tasks of a job that have a worker, or refuses it if it has
// become of no use.
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
		m.queue.put(j, m.classOf(now, j))
	}
}

// refuseUseless refuses a job that has become of no use, unless something of it runs,
// it is kept, or there is room that nothing else waits for.
func (m *Machine) refuseUseless(now time.Time, j *job) bool {
	if j.begun || j.kept || m.spare(now, j) {
		return false
	}
	m.giveUp(now, j)
	return true
}

// spare returns true if a job can start at once with all tasks of its first step and end
// before its caller gives up, and no job waits that is of more use. Load: calm times, in
// which a job comes late since its owner was replaced or a cut has ended.
func (m *Machine) spare(now time.Time, j *job) bool {
	for c := range useless {
		if m.queue.jobs[c].Len() > 0 {
			return false
		}
	}
	return j.meetsDeadline(now, m.fastest(j)) && m.roomAtOnce(now, j)
}
