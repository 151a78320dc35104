package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/report"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// unknownWorkerTime is how long after the start of an ownership a worker that is not listed
// counts as gone. The list is read within less.
const unknownWorkerTime = 3 * time.Second

// refusalTime is how long after the first order without an answer a worker that has crashed
// refuses connections. It is polled at once after such an order.
const refusalTime = 150 * time.Millisecond

// failedWithin returns true if a worker has left no order unanswered for longer than d.
func (n *node) failedWithin(now time.Time, d time.Duration) bool {
	return n.silentSince.IsZero() || now.Sub(n.silentSince) <= d
}

// blame records the loss of a worker for the tasks that it ran. For runs in open, which may
// have been lost with it, the loss is kept until that is known. A worker that was draining is
// not lost under its tasks. If a worker was silent before it refused connections, or refused
// none, its runs may have ended before it crashed, and starts without an answer may never have
// reached it.
func (m *Machine) blame(now time.Time, n *node, c report.LossCause, runs, open []*run) {
	if c == LossLeft {
		return
	}
	proof, inTime := crash.Presumed, n.refusing
	if c == LossCrashed {
		proof, inTime = crash.Crashed, n.refusing || n.failedWithin(now, refusalTime)
	}
	blamed := slices.DeleteFunc(slices.Concat(runs, open), func(r *run) bool { return !r.stopAccepted.IsZero() })
	crashing := map[*run]bool{}
	for _, r := range blamed {
		if r.task != nil && m.crashingQueues.Crash(now, r.task.job.spec.Queue) {
			crashing[r] = true
		}
	}
	for _, r := range blamed {
		l := crash.Loss{
			Life: crash.Life{Worker: n.ID, Incarnation: n.Life}, Proof: proof, Run: r.key.run, InTime: inTime,
			Unconfirmed: r.presumed || r.confirmedAt.IsZero(),
			Alone:       len(blamed) == 1, Excused: len(crashing) > 0 && !crashing[r],
		}
		if slices.Contains(open, r) {
			r.earlierLoss = &l
			continue
		}
		m.recordLoss(now, r, l)
	}
}

// recordLoss records the loss of a worker for the task of a run.
func (m *Machine) recordLoss(now time.Time, r *run, l crash.Loss) {
	if r.suspect && l.InTime && !l.Unconfirmed {
		m.noteCulprit(now, r)
	}
	m.crashes.Add(now, crash.TaskLosses{Task: r.key.task, Losses: crash.History{l}})
}

// noteCulprit records that a suspect, of which a worker runs only one, has probably
// crashed it.
func (m *Machine) noteCulprit(now time.Time, r *run) {
	if r.task != nil {
		m.crashingQueues.Note(now, r.task.job.spec.Queue)
	}
}

// noteRefusing handles that a worker refuses connections: if it runs a suspect, that has
// probably crashed it. This is no proof.
func (m *Machine) noteRefusing(now time.Time, n *node) {
	for _, r := range n.runs {
		if r.suspect && r.state == running && !r.presumed {
			m.noteCulprit(now, r)
		}
	}
}

// standing tells whether a task may start, and where. While any queue is known for crashes,
// suspects are isolated: what runs beside one may be lost with it.
func (m *Machine) standing(now time.Time, t *task) crash.Standing {
	if m.crashes.IsEmpty() {
		return crash.Clear
	}
	s := m.crashes.Losses(t.id).Standing()
	if s == crash.Suspect && m.crashingQueues.AnyCrashes(now) {
		return crash.Isolated
	}
	return s
}

// hasSuspect returns true if a worker runs a suspect.
func (n *node) hasSuspect() bool { return n.hasRun(func(r *run) bool { return r.suspect }) }

// condemnedTask returns a task of a job that has crashed its workers, or nil.
func (m *Machine) condemnedTask(now time.Time, j *job) *task {
	if m.crashes.IsEmpty() {
		return nil
	}
	for _, t := range j.tasks {
		if !t.done && m.standing(now, t) == crash.Condemned {
			return t
		}
	}
	return nil
}

// tryGiveUp ends the job of a task that workers were lost under if the task has crashed
// them. It also does so if the queue is known for crashes and another run would be of no
// use to the caller: the job has run and has not failed, so the caller may send it again.
// It returns true if the job has ended.
func (m *Machine) tryGiveUp(now time.Time, t *task) bool {
	j, cause := t.job, report.TooLate
	switch m.standing(now, t) {
	case crash.Clear:
		return false
	case crash.Condemned:
		cause = report.TaskCrashes
	default:
		if j.stored || !m.crashingQueues.Crash(now, j.spec.Queue) || m.bestCase(now, j) != useless {
			return false
		}
	}
	m.actions.GivenUp = append(m.actions.GivenUp, report.GivenUp{Job: j.spec.ID, Task: t.id, Workers: m.crashes.Losses(t.id).Workers(), Cause: cause})
	if cause == report.TaskCrashes {
		m.finish(now, j, Failed, cause.Reason())
		return true
	}
	m.end(now, j, Expired, cause.Reason())
	m.drop(now, j)
	return true
}

// AddLosses adds losses under tasks that are known from other owners or from the table.
func (m *Machine) AddLosses(now time.Time, all []crash.TaskLosses) {
	for _, x := range all {
		m.crashes.Add(now, x)
	}
}

// resolveLosses finds out what became of the workers that are presumed lost.
func (m *Machine) resolveLosses(now time.Time) {
	for _, l := range m.crashes.Presumed() {
		var tasks []string
		switch n := m.nodes[l.Worker]; {
		case n == nil && now.Before(m.began.Add(unknownWorkerTime)):
			continue
		case n == nil:
			tasks = m.resolveLossElsewhere(now, l)
		case n.Life > l.Incarnation, n.replaced:
			tasks = m.crashes.Confirm(now, l, crash.Crashed)
		case n.Life == l.Incarnation && n.answered && n.silentSince.IsZero():
			tasks = m.crashes.Withdraw(now, l)
		default:
			continue
		}
		for _, name := range tasks {
			m.applyStanding(now, name)
		}
	}
}

// applyStanding acts on a change of the losses under a task that waits.
func (m *Machine) applyStanding(now time.Time, name string) {
	if t := m.findTask(name); t != nil && !t.done && t.run == nil && !m.tryGiveUp(now, t) {
		m.markUntried(t.job)
	}
}

// refuteLosses drops the losses that a report disproves: a worker that lists a run was not lost
// under it in an earlier incarnation.
func (m *Machine) refuteLosses(now time.Time, n *node, report *worker.Report) {
	if m.crashes.IsEmpty() {
		return
	}
	for _, k := range listedRuns(report) {
		if m.crashes.Refute(now, k.task, k.run, crash.Life{Worker: n.ID, Incarnation: n.Life}) {
			m.applyStanding(now, k.task)
		}
	}
}

// ReviewLosses drops the losses that the workers of other owners have disproved. Function known
// returns what is known of the tasks of a job.
func (m *Machine) ReviewLosses(now time.Time, known func(work.ID) []crash.TaskLosses) {
	for _, task := range m.crashes.Review(now, known) {
		m.applyStanding(now, task)
	}
}

// resolveLossElsewhere finds out what became of a worker that this owner does not have, by its
// row in another data centre.
func (m *Machine) resolveLossElsewhere(now time.Time, l crash.Life) []string {
	w, listed := m.otherWorker(l.Worker)
	switch {
	case !listed:
		return m.crashes.Confirm(now, l, crash.Gone)
	case w.Life > l.Incarnation:
		return m.crashes.Confirm(now, l, crash.Crashed)
	}
	return m.crashes.Withdraw(now, l)
}

// reservation is a worker that gets no other work until a suspect can start on it.
type reservation struct {
	node *node
	task *task
}

// reserve keeps the worker with the least work free for a suspect that found no idle
// worker. One worker is reserved at a time.
func (m *Machine) reserve(now time.Time, t *task) {
	if m.reserved.node != nil {
		return
	}
	var best *node
	for _, n := range m.ordered {
		if n.suits(t) && m.isUsable(now, n) && !n.isExclusive() && (best == nil || n.used.Cores < best.used.Cores) {
			best = n
		}
	}
	if best != nil {
		m.reserved = reservation{node: best, task: t}
		m.markChanged(best)
	}
}

// followReservation has the task of the reservation start once its worker is idle. It ends
// the reservation if the task no longer waits or the worker cannot be used.
func (m *Machine) followReservation(now time.Time) {
	n, t := m.reserved.node, m.reserved.task
	switch {
	case n == nil:
	case !t.job.live || t.done || t.run != nil || !m.isUsable(now, n) || m.nodes[n.ID] != n:
		m.reserved = reservation{}
		m.markChanged(n)
	case len(n.runs) == 0:
		m.markUntried(t.job)
	}
}

// isExclusive returns true if a worker runs a suspect, beside which nothing is started.
func (n *node) isExclusive() bool { return n.hasRun(func(r *run) bool { return r.exclusive }) }

// takesOthers returns true if tasks without reservation may start on a worker.
func (m *Machine) takesOthers(n *node) bool { return n != m.reserved.node && !n.isExclusive() }
