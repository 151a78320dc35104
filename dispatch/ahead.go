package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/lookahead"
)

// holder is what a worker is reserved for: any waiting task of a step.
type holder struct {
	job  *job
	step int
}

func (t *task) holder() holder { return holder{job: t.job, step: t.name.Step} }

// waiting returns a waiting task of the step, or nil, and the number of them.
func (h holder) waiting() (first *task, count int) {
	if !h.job.live {
		return nil, 0
	}
	for _, t := range h.job.waiting {
		if t.name.Step == h.step {
			count++
			first = t
		}
	}
	return first, count
}

// aheadReservation is a worker that is kept for a waiting task.
type aheadReservation = lookahead.Reservation[*node, holder]

// expectedEnds returns the expected ends of the runs of a worker, in their order.
func (m *Machine) expectedEnds(now time.Time, n *node) []lookahead.End {
	ends := make([]lookahead.End, 0, len(n.runs))
	for _, r := range n.runs {
		var e lookahead.Run
		if r.task != nil {
			e = lookahead.Run{Sent: r.sent, RunTime: m.expectedRunTime(n, r.task), Percent: r.percent, PercentAt: r.percentAt}
			if j := r.task.job; j.doneRuns > 0 {
				e.RunTime = scaled(e.RunTime, j.runTimeRatios/float64(j.doneRuns))
			}
		}
		ends = append(ends, lookahead.End{At: e.ExpectedEnd(now), Size: r.size})
	}
	lookahead.SortEnds(ends)
	return ends
}

// followPlan ends the reservations that have become void, and tries the jobs whose tasks
// have got the capacity that they wait for.
func (m *Machine) followPlan(now time.Time) {
	for _, r := range slices.Clone(m.plan.All()) {
		n := r.Worker
		switch _, waiting := r.Holder.waiting(); {
		case waiting < m.plan.Count(r.Holder):
			m.endReservation(r, lookahead.Elsewhere)
		case m.nodes[n.ID] != n || !m.isUsable(now, n) || !m.takesOthers(n) || !r.Size.Fits(n.Capacity):
			m.endReservation(r, lookahead.Unusable)
		case n.changed && r.Size.Fits(n.Capacity.Minus(n.used)):
			m.markUntried(r.Holder.job)
		}
	}
}

// endUnneeded ends the reservations of a job that has fewer waiting tasks than those.
func (m *Machine) endUnneeded(j *job) {
	for _, r := range slices.Clone(m.plan.All()) {
		if _, waiting := r.Holder.waiting(); r.Holder.job == j && waiting < m.plan.Count(r.Holder) {
			m.endReservation(r, lookahead.Elsewhere)
		}
	}
}

func (m *Machine) endReservation(r *aheadReservation, c lookahead.Cause) {
	m.plan.End(r, c)
	m.markChanged(r.Worker)
}

// updateReservation returns what the reservation of a worker leaves to other tasks.
func (m *Machine) updateReservation(now time.Time, r *aheadReservation) {
	n := r.Worker
	r.Opening, _ = lookahead.FirstOpening(now, n.Capacity.Minus(n.used), r.Size, m.expectedEnds(now, n))
}

// planAhead reserves workers for the first waiting tasks that fit nowhere. It looks at all
// workers and is called once a tick.
func (m *Machine) planAhead(now time.Time) {
	if m.queue.isEmpty() {
		return
	}
	for _, r := range slices.Clone(m.plan.All()) {
		if r.IsOverdue(now) {
			m.endReservation(r, lookahead.Overdue)
		}
	}
	limit := lookahead.MaxReservations(len(m.ordered))
	ends := map[*node][]lookahead.End{}
	seen := 0
	for c := range useless {
		for _, j := range m.queue.jobs[c].Items() {
			if seen++; seen > maxSeenJobs || len(m.plan.All()) >= limit {
				return
			}
			m.planJob(now, j, limit, ends)
		}
	}
}

// planJob reserves workers for the waiting tasks of a job, as long as there are fewer than
// limit reservations.
func (m *Machine) planJob(now time.Time, j *job, limit int, ends map[*node][]lookahead.End) {
	if !lookahead.IsLarge(j.minCores, m.meanCores) || m.hasPreviousRuns(j.spec.ID) || !m.mayStart(now, j) {
		return
	}
	tardy := m.bestCase(now, j) != onTime
	seen := map[holder]int{}
	for _, t := range j.waiting {
		h := t.holder()
		if seen[h]++; seen[h] <= m.plan.Count(h) || m.standing(now, t) != crash.Clear {
			continue
		}
		if len(m.plan.All()) >= limit || !m.reserveAhead(now, t, tardy, ends) {
			return
		}
	}
}

// reserveAhead reserves the worker on which a task is expected to end first. It returns
// false if there is none, or if the task fits now.
func (m *Machine) reserveAhead(now time.Time, t *task, tardy bool, ends map[*node][]lookahead.End) bool {
	var best lookahead.Choice[*node]
	for _, n := range m.ordered {
		if m.plan.Of(n) != nil || !m.isUsable(now, n) || !m.takesOthers(n) || !m.accepts(now, n, t) || t.hasFailedOn(n) {
			continue
		}
		m.visited++
		if ends[n] == nil {
			ends[n] = m.expectedEnds(now, n)
		}
		o, ok := lookahead.FirstOpening(now, n.Capacity.Minus(n.used), t.step().Size, ends[n])
		if run := m.expectedRunTime(n, t); ok && t.isInTime(o.At, run, tardy) {
			best.Offer(n, o, run)
		}
	}
	if !best.Found || best.Opening.At.Equal(now) {
		return false
	}
	m.plan.Reserve(now, best.Worker, t.holder(), t.step().Size, best.Opening)
	m.markChanged(best.Worker)
	return true
}

// chooseReserved returns the reserved worker on which a task can start now, or nil. A task
// for which another one waits there must be expected to end before that.
func (m *Machine) chooseReserved(now time.Time, t *task, tardy bool) *node {
	if len(m.plan.All()) == 0 || m.standing(now, t) != crash.Clear {
		return nil
	}
	var backfill *node
	for _, r := range m.plan.All() {
		n := r.Worker
		run := m.expectedRunTime(n, t)
		if !t.step().Size.Fits(n.Capacity.Minus(n.used)) || !m.isUsable(now, n) || !m.takesOthers(n) || !m.accepts(now, n, t) || t.hasFailedOn(n) || !t.isInTime(now, run, tardy) {
			continue
		}
		if r.Holder == t.holder() {
			return n
		}
		if backfill == nil && r.AllowsBackfill(now, run) {
			backfill = n
		}
	}
	return backfill
}

// noteStart updates the reservations for the start of a task.
func (m *Machine) noteStart(t *task, n *node) {
	r := m.plan.Of(n)
	switch {
	case r == nil:
	case r.Holder == t.holder():
		m.endReservation(r, lookahead.Used)
	case !t.step().Size.Fits(r.Spare):
		m.plan.Backfilled++
	}
}

// fitsReserved returns true if a reserved worker has enough free cores for the smallest
// waiting task of a job.
func (m *Machine) fitsReserved(j *job) bool {
	return slices.ContainsFunc(m.plan.All(), func(r *aheadReservation) bool {
		return j.minCores <= r.Worker.Capacity.Cores-r.Worker.used.Cores
	})
}
