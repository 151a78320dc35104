package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/estimate"
	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/room"
	"github.com/catkingap/catkingap/sharing"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// answerMargin is the part of the objective that is left for the answer to
	// reach the caller.
	answerMargin = 8 * time.Millisecond
	// uselessFactor is how many times the objective may pass before the answer is
	// of no use to the caller.
	uselessFactor = 3
)

// isUsable returns true if a worker may get work.
func (m *Machine) isUsable(now time.Time, n *node) bool {
	return m.access == evacuation.Open && n.listed && n.answered && !n.isRowBehind() && !n.Draining && n.silentSince.IsZero() && !now.Before(n.holdUntil) &&
		!n.isCrowded() && m.detector.Allowed(now, n.ID, true) && !n.hasOrphans() && len(n.lapsingEnds) == 0 && m.cold.Free(now, &n.cold, n.Pool, 1) > 0
}

// isRowBehind returns true if the worker's row is one of an earlier incarnation. The present one
// may be of another kind and have another capacity.
func (n *node) isRowBehind() bool { return n.rowLife < n.Life }

func (n *node) hasOrphans() bool { return n.hasRun(func(r *run) bool { return r.task == nil }) }

// hasRun returns true if a worker has a run for which is returns true.
func (n *node) hasRun(is func(*run) bool) bool {
	for _, r := range n.runs {
		if is(r) {
			return true
		}
	}
	return false
}

// suits returns true if a worker is of the kind that a task needs and has the capacity for
// it.
func (n *node) suits(t *task) bool { return t.step().Size.Fits(n.Capacity) && n.isOfKind(t) }

func (n *node) isOfKind(t *task) bool {
	return n.IsOfKind(t.job.spec.Pool, t.step().Label)
}

// expectedRunTime returns the expected run time of a task on a worker.
func (m *Machine) expectedRunTime(n *node, t *task) time.Duration {
	return n.slowdown.Scale(m.estimateOn(n, t))
}

// estimateOn returns the estimate of a task on a worker that is neither fast nor slow.
func (m *Machine) estimateOn(n *node, t *task) time.Duration {
	d := t.estimate()
	if rack := t.step().Rack; rack != "" && !slices.Contains(n.Labels, rack) {
		d = scaled(d, m.config.FarFactor)
	}
	return d
}

// mayStart returns true if no run of a job can be running unknown to this owner.
// Callers send a job again only after what an earlier owner started of it has
// ended, so only jobs that a host resubmits have to wait.
func (m *Machine) mayStart(now time.Time, j *job) bool {
	if j.leaving {
		return false
	}
	if j.stored && (m.ownershipUncertain || (j.resubmitted && !m.storedLoaded)) {
		// Another owner may run it, or the ends that workers have listed of it are
		// not handled yet.
		return false
	}
	open := m.takeoverEnd
	if !j.stored {
		open = latest(open, j.submitted.Add(m.callerLease()))
	}
	if !j.resubmitted || !now.Before(open) {
		return true
	}
	return m.IsTakeoverComplete()
}

// advance handles due workers, starts the tasks that can start, and sends due
// polls.
func (m *Machine) advance(now time.Time) {
	if m.stopped {
		return
	}
	if !m.lastEvent.IsZero() && now.Sub(m.lastEvent) > maxEventGap {
		m.ownershipUncertain = true
	}
	m.lastEvent = now
	m.handleDue(now)
	m.startQueued(now)
	m.scheduleChanged(now)
}

// uselessTime returns how long after its objective an answer becomes of no use to
// the caller.
func uselessTime(objective time.Duration) time.Duration { return (uselessFactor - 1) * objective }

const (
	// maxFailedSearches bounds the searches for a worker that fail in one attempt to start a job,
	// and maxTriedTasks the tasks that are examined. The next attempt goes on with the others.
	maxFailedSearches = 16
	maxTriedTasks     = 256
	// maxOpenStarts bounds the starts that are not answered yet, each of which holds a connection
	// or waits for one. They are answered within milliseconds.
	maxOpenStarts = 512
)

// startJob starts the tasks of a job for which there is a worker, and returns true
// if any was started. Tasks that need the same are alike: if one has to wait, so do the
// others.
func (m *Machine) startJob(now time.Time, j *job) bool {
	if m.hasPreviousRuns(j.spec.ID) || !m.mayStart(now, j) {
		return false
	}
	tardy := m.bestCase(now, j) != onTime
	var full *task
	started, failed := 0, 0
	count, first := len(j.waiting), j.firstTried
	if m.hasReservation(j) {
		// Workers are reserved for the first tasks that wait.
		first = 0
	}
	j.firstTried = 0
	for k := range count {
		i := (first + k) % count
		if failed == maxFailedSearches || k-started == maxTriedTasks || !m.mayOpenStart() {
			j.firstTried = i
			break
		}
		t := j.waiting[i]
		m.examined++
		standing := m.standing(now, t)
		if standing >= crash.Held || (standing == crash.Clear && full != nil && t.isLike(full) && m.plan.Count(t.holder()) == 0) {
			continue
		}
		n := m.chooseWorker(now, t, tardy)
		if n == nil {
			failed++
			if standing == crash.Isolated {
				m.reserve(now, t)
			}
			if standing == crash.Clear {
				full = t
			}
			continue
		}
		if j.class == late {
			m.lateRateOf(j.spec.Pool).Started(t.step().Size.Cores)
		}
		m.start(now, t, n)
		started++
	}
	if started > 0 {
		j.removeStarted()
	}
	return started > 0
}

// mayOpenStart returns true if one more start may be sent.
func (m *Machine) mayOpenStart() bool {
	if m.openStarts < maxOpenStarts {
		return true
	}
	m.startsHeld = true
	return false
}

// startAnswered counts the answer to a start. Jobs that were held back are tried again.
func (m *Machine) startAnswered() {
	m.openStarts = max(0, m.openStarts-1)
	if m.startsHeld {
		m.startsHeld, m.capacityGrew = false, true
		m.actions.HeldStarts++
	}
}

// isLike returns true if a task waits as long as another one of its job does.
func (t *task) isLike(x *task) bool {
	if t.name.Step == x.name.Step {
		return true
	}
	a, b := t.step(), x.step()
	return a.Size == b.Size && a.Label == b.Label && a.Rack == b.Rack && a.Estimate == b.Estimate && a.PerWorker == 0 && b.PerWorker == 0
}

// removeStarted removes the tasks that have a run from those that wait.
func (j *job) removeStarted() {
	kept := j.waiting[:0]
	firstTried := 0
	for i, t := range j.waiting {
		if i == j.firstTried {
			firstTried = len(kept)
		}
		if t.run == nil {
			kept = append(kept, t)
		}
	}
	clear(j.waiting[len(kept):])
	j.waiting, j.firstTried = kept, firstTried
}

// chooseWorker returns the worker for a task, or nil if the task has to wait. A
// task waits for a faster worker as long as that one can still meet the objective.
// Of the workers that meet the objective the fastest is taken: work ends sooner, and
// estimates are too far off to spare fast workers for tasks that may need them. Among
// equals, the one with the least free capacity is taken. Workers near the task's data
// come first, cold ones after warm ones, and those on which the task has failed last. A tardy task cannot meet
// its objective: it goes to the fastest worker on which its result is still of use. A
// suspect goes to an idle worker if there is any, and an isolated task to no other one.
func (m *Machine) chooseWorker(now time.Time, t *task, tardy bool) *node {
	m.refreshChanged(now)
	if n := m.reserved.node; n != nil && m.reserved.task == t {
		if len(n.runs) == 0 && m.isUsable(now, n) && m.accepts(now, n, t) && t.isInTime(now, m.expectedRunTime(n, t), tardy) {
			return n
		}
		return nil
	}
	s := t.step()
	standing := m.standing(now, t)
	type search struct {
		list   *room.List[*node]
		factor float64
	}
	searches := []search{{list: m.freeIndex.List(t.job.spec.Pool, s.Label), factor: 1}}
	if s.Rack != "" {
		searches = []search{{list: m.freeIndex.List(t.job.spec.Pool, s.Rack), factor: 1}, {list: searches[0].list, factor: m.config.FarFactor}}
	}
	for _, idle := range [...]bool{true, false} {
		if idle && standing != crash.Suspect {
			continue
		}
		for _, failed := range [...]bool{false, true} {
			if failed && len(t.failedWorkers) == 0 && t.attempts == 0 {
				break
			}
			for _, isCold := range [...]bool{false, true} {
				if isCold && !m.cold.AnyCold(now) {
					break
				}
				for _, x := range searches {
					mayShare := func(n *node) bool {
						return n.cold.IsCold(now) == isCold && (standing == crash.Clear || standing.MayShare(idle, len(n.runs) == 0, n.hasSuspect()))
					}
					if n := m.searchList(now, t, x.list, x.factor, tardy, failed, mayShare); n != nil {
						return n
					}
				}
			}
		}
	}
	return m.chooseReserved(now, t, tardy)
}

// searchList searches a list for a worker. On its workers a task takes at least
// factor times as long as its estimate and the slowdown of the worker predict.
// Parameter failed allows workers on which the task has failed, and mayShare returns
// whether the task may start beside what a worker runs.
func (m *Machine) searchList(now time.Time, t *task, l *room.List[*node], factor float64, tardy, failed bool, mayShare func(*node) bool) *node {
	estimate := scaled(t.estimate(), factor)
	within := func(c room.SpeedClass) bool { return t.isInTime(now, scaled(estimate, c.LowestSlowdown()), tardy) }
	n, _ := l.Search(t.step().Size, within, func(n *node) bool {
		m.visited++
		return mayShare(n) && (failed || !t.hasFailedOn(n)) && m.accepts(now, n, t) &&
			t.isInTime(now, m.expectedRunTime(n, t), tardy)
	})
	return n
}

// accepts returns true if a worker suits a task, and if its lease can be long enough
// without outliving the caller.
func (m *Machine) accepts(now time.Time, n *node, t *task) bool {
	return n.suits(t) && m.withinWorkerLimit(n, t) && m.maxLease(now, n, t.job) >= minLease && !m.leaseOutlives(n, t.job)
}

// isInTime returns true if a run with the expected run time d meets the objective or, if
// the task is tardy, is still of use.
func (t *task) isInTime(now time.Time, d time.Duration, tardy bool) bool {
	if tardy {
		return t.job.isWorthwhile(now, d+answerMargin)
	}
	return d <= t.job.objective.Sub(now)-answerMargin
}

// hasFailedOn returns true if the task has failed on a worker, or if it has failed
// at all while the last run on that worker failed too.
func (t *task) hasFailedOn(n *node) bool {
	return slices.Contains(t.failedWorkers, n.ID) || (t.attempts > 0 && n.failures > 0)
}

// withinWorkerLimit returns true if the limit of tasks of one step per worker
// allows one more task. A worker on trial runs one task at a time.
func (m *Machine) withinWorkerLimit(n *node, t *task) bool {
	if n.slowdown.OnTrial() && len(n.runs) > 0 {
		return false
	}
	bound := t.step().PerWorker
	if bound == 0 {
		return true
	}
	for _, r := range n.runs {
		if r.task != nil && r.task.job == t.job && r.task.name.Step == t.name.Step {
			bound--
		}
	}
	return bound > 0
}

// start sends the start of a task's next run to a worker.
func (m *Machine) start(now time.Time, t *task, n *node) {
	lease := m.maxLease(now, n, t.job)
	t.lastRun = max(t.lastRun, m.highestPreviousRun(t)) + 1
	r := &run{key: runKey{task: t.id, run: t.lastRun}, node: n, task: t, size: t.step().Size, state: startSent, sent: now, incarnation: n.Life, expected: m.expectedRunTime(n, t)}
	if m.standing(now, t) != crash.Clear {
		r.suspect, r.exclusive = true, len(n.runs) == 0
		m.actions.SuspectStarts++
	}
	m.openStarts++
	m.plan.Started(n, t.holder())
	n.runs[r.key] = r
	n.used = n.used.Plus(r.size)
	m.markChanged(n)
	t.run = r
	m.queue.countUsed(t.job, r.size.Cores)
	t.job.begun = true
	t.job.recordStart(now, r)
	m.detector.Started(now, n.ID)
	if m.cold.Started(now, &n.cold, n.Pool) {
		m.actions.ColdStarts++
	}
	m.meanCores = estimate.MeanCores(m.meanCores, r.size.Cores)
	m.actions.Starts = append(m.actions.Starts, worker.Start{
		Order: m.order(n), Task: t.name, Run: t.lastRun, Payload: t.job.spec.Payload, Until: n.extendLease(now, lease),
	})
}

func compareRunKeys(a, b runKey) int {
	return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.run, b.run))
}

// refusalReason returns why a job is not accepted and when its caller should come
// back, or an empty reason. Under a lasting overload, work that cannot end in time
// would take the capacity of work that can. Function retryAfter tells while capacity is short
// when the caller should come back.
func (m *Machine) refusalReason(now time.Time, j *job, final bool, retryAfter func(*sharing.Shares, time.Time, *work.Job) time.Duration) (string, time.Duration) {
	wait, atOnce := m.expectedWait(now, j)
	if atOnce {
		return "", 0
	}
	if !final {
		return "there is no room at once", wait
	}
	run := m.fastestRunTime(j)
	if end := now.Add(wait + run); end.After(j.uselessAt) || end.After(j.deadline) {
		return "the work ahead takes too long", wait
	}
	onTime := !now.Add(scaled(run, onTimeFactor)).After(j.objective)
	if onTime && !j.resubmitted && m.queue.poolShares(j.spec.Pool).IsShort() &&
		now.Add(wait+scaled(run, onTimeFactor)).After(j.objective) && !m.canStartAtOnce(now, j) {
		return "the work ahead in its queue takes too long", retryAfter(m.queue.poolShares(j.spec.Pool), now, &j.spec)
	}
	return "", 0
}

// expectedWait returns how long it takes until there is capacity for the first step
// of a job, and true if there is enough at once.
func (m *Machine) expectedWait(now time.Time, j *job) (time.Duration, bool) {
	if m.queue.isFirst(j) && m.canStartAtOnce(now, j) {
		return 0, true
	}
	m.refreshChanged(now)
	first := j.spec.Steps[0]
	waiting := first.Count
	if m.mayStart(now, j) {
		waiting -= m.freeIndex.List(j.spec.Pool, first.Label).Count(first.Size, first.Count)
	}
	return m.queue.poolShares(j.spec.Pool).WaitFor(j.spec.Queue, j.spec.Priority, j.latestStart, max(0, waiting)*first.Size.Cores), false
}

// canStartAtOnce returns true if all tasks of a job's first step can start at once.
func (m *Machine) canStartAtOnce(now time.Time, j *job) bool {
	m.refreshChanged(now)
	first := j.spec.Steps[0]
	return m.mayStart(now, j) && m.freeIndex.List(j.spec.Pool, first.Label).Count(first.Size, first.Count) >= first.Count
}
