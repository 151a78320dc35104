package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/lookahead"
	"github.com/catkingap/catkingap/work"
)

// holder is what a worker is reserved for: any waiting task of a step.
type holder struct {
	job  *job
	step int
}

func (t *task) holder() holder { return holder{job: t.job, step: t.name.Step} }

// waiting returns the number of waiting tasks of the step.
func (h holder) waiting() int {
	count := 0
	for _, t := range h.job.waiting {
		if h.job.live && !h.job.leaving && t.name.Step == h.step {
			count++
		}
	}
	return count
}

// mayBeReserved returns true if a worker can be reserved for a task of the given size.
func (m *Machine) mayBeReserved(now time.Time, n *node) bool {
	return m.nodes[n.ID] == n && m.isUsable(now, n) && m.takesOthers(n)
}

// endVoidReservations ends the reservations that cannot or need not be used any more.
func (m *Machine) endVoidReservations(now time.Time) {
	m.plan.EndVoid(holder.waiting, func(r *lookahead.Reservation[*node, holder]) bool {
		return m.mayBeReserved(now, r.Worker) && r.Size.Fits(r.Worker.Capacity)
	})
}

// followPlan updates the reservations after an event. It tries the jobs whose tasks have got
// the capacity that they wait for.
func (m *Machine) followPlan(now time.Time) {
	m.endVoidReservations(now)
	for _, r := range m.plan.All() {
		if r.Worker.changed && r.Size.Fits(r.Worker.free()) {
			m.markUntried(r.Holder.job)
		}
	}
}

// expectedEnds returns the expected ends of the runs of a worker, in their order.
func (m *Machine) expectedEnds(now time.Time, n *node) []lookahead.End {
	ends := make([]lookahead.End, 0, len(n.runs))
	for _, r := range n.runs {
		var x lookahead.Run
		if r.task != nil {
			runTime := scaled(m.expectedRunTime(n, r.task), r.task.job.observed.MeanRatio())
			x = lookahead.Run{Sent: r.sent, RunTime: runTime, Percent: r.percent, PercentAt: r.percentAt}
		}
		ends = append(ends, lookahead.End{At: x.ExpectedEnd(now), Size: r.size})
	}
	lookahead.SortEnds(ends)
	return ends
}

// freeForOthers returns the free capacity of a worker that is not reserved.
func (m *Machine) freeForOthers(now time.Time, n *node) work.Size {
	r := m.plan.Of(n)
	if r == nil {
		return n.free()
	}
	r.Opening, _ = lookahead.FirstOpening(now, n.free(), r.Size, m.expectedEnds(now, n))
	return r.Spare
}

// planAhead reserves workers for the first large tasks that wait. It looks at all workers, and
// is called once a tick.
func (m *Machine) planAhead(now time.Time) {
	m.plan.EndOverdue(now)
	limit, examined := lookahead.MaxReservations(len(m.ordered)), 0
	ends := map[*node][]lookahead.End{}
	for c := range useless {
		for _, j := range m.queue.items(c) {
			large := lookahead.IsLarge(j.minCores, m.meanCores) || (m.fits(j) && lookahead.IsPassedOver(now, j.submitted))
			if !large || m.hasPreviousRuns(j.spec.ID) || !m.mayStart(now, j) {
				continue
			}
			seen := map[holder]int{}
			for _, t := range j.waiting {
				h := t.holder()
				if seen[h]++; seen[h] <= m.plan.Count(h) || m.standing(now, t) != crash.Clear {
					continue
				}
				if examined += len(m.ordered); len(m.plan.All()) >= limit || examined > lookahead.MaxExamined {
					return
				}
				if !m.reserveAhead(now, t, ends) {
					break
				}
			}
		}
	}
}

// reserveAhead reserves the worker on which a task fits first, if the task is of use there. It
// returns false if there is none, or if the task fits now.
func (m *Machine) reserveAhead(now time.Time, t *task, ends map[*node][]lookahead.End) bool {
	tardy := m.bestCase(now, t.job) != onTime
	var best *node
	var first lookahead.Opening
	for _, n := range m.ordered {
		x, known := ends[n]
		if !known {
			m.visited++
			if m.plan.Of(n) == nil && m.mayBeReserved(now, n) {
				x = m.expectedEnds(now, n)
			}
			ends[n] = x
		}
		if x == nil || !t.step().Size.Fits(n.Capacity) {
			continue
		}
		o, ok := lookahead.FirstOpening(now, n.free(), t.step().Size, x)
		if ok && (best == nil || o.At.Before(first.At)) && t.isInTime(o.At, lookahead.Certainly(m.expectedRunTime(n, t)), tardy) &&
			m.accepts(now, n, t) && !t.hasFailedOn(n) {
			best, first = n, o
		}
	}
	if best == nil || first.At.Equal(now) {
		return false
	}
	m.plan.Reserve(now, best, t.holder(), t.step().Size, first)
	ends[best] = nil
	return true
}

// chooseReserved returns a worker that is reserved for a task and on which it can start now, or
// nil.
func (m *Machine) chooseReserved(now time.Time, t *task, tardy bool) *node {
	for _, r := range m.plan.All() {
		if n := r.Worker; r.Holder == t.holder() && m.standing(now, t) == crash.Clear && t.step().Size.Fits(n.free()) && m.mayBeReserved(now, n) &&
			m.accepts(now, n, t) && t.isInTime(now, m.expectedRunTime(n, t), tardy) {
			return n
		}
	}
	return nil
}

// hasReservation returns true if a worker is reserved for a job.
func (m *Machine) hasReservation(j *job) bool {
	return slices.ContainsFunc(m.plan.All(), func(r *lookahead.Reservation[*node, holder]) bool { return r.Holder.job == j })
}

// isReserved returns true if a worker with enough free cores is reserved for a job.
func (m *Machine) isReserved(j *job) bool {
	return slices.ContainsFunc(m.plan.All(), func(r *lookahead.Reservation[*node, holder]) bool {
		return r.Holder.job == j && r.Size.Fits(r.Worker.free())
	})
}
