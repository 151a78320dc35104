package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/explain"
	"github.com/catkingap/catkingap/sharing"
)

// Explain tells what would become of a job that was submitted now, by the decisions that a
// submission meets. It changes nothing.
func (m *Machine) Explain(now time.Time, s Submission) *explain.Placement {
	j := newJob(now, s)
	t, tardy := j.tasks[0], m.bestCase(now, j) != onTime
	reason, retryAfter := m.refusalReason(now, j, true, (*sharing.Shares).PreviewRetryAfter)
	wait, _ := m.expectedWait(now, j)
	if m.mustGoElsewhere(&s) {
		reason, retryAfter = ReasonEvacuated, 0
	}
	p := &explain.Placement{WaitMs: explain.Ms(wait), Refusal: reason, RetryAfterMs: explain.Ms(retryAfter)}
	if n := m.chooseWorker(now, t, tardy); n != nil && reason == "" {
		p.Worker = n.ID
	}
	for _, n := range m.ordered {
		x := explain.Worker{ID: n.ID, FreeCores: n.free().Cores, AgeMs: explain.Ms(now.Sub(latest(n.clock.At, m.began))), RuledOut: m.ruledOut(now, n, t, tardy)}
		if r := m.plan.Of(n); r != nil {
			x.ReservedFor = r.Holder.job.spec.ID
		}
		p.Workers = append(p.Workers, x)
	}
	return p
}

// ruledOut returns why a task cannot start on a worker now, or an empty text.
func (m *Machine) ruledOut(now time.Time, n *node, t *task, tardy bool) string {
	size := t.step().Size
	return explain.First(
		explain.Check{Holds: m.access == evacuation.Evacuated, Reason: ReasonEvacuated},
		explain.Check{Holds: m.access == evacuation.Unknown, Reason: "it is not known yet whether the data centre is evacuated"},
		explain.Check{Holds: !n.isOfKind(t), Reason: "another pool, or without the label"},
		explain.Check{Holds: !size.Fits(n.Capacity), Reason: "too small"},
		explain.Check{Holds: !n.listed, Reason: "no longer listed"},
		explain.Check{Holds: n.Draining, Reason: "draining"},
		explain.Check{Holds: !n.silentSince.IsZero(), Reason: "silent"},
		explain.Check{Holds: !n.answered || n.isRowBehind(), Reason: "has not answered in its present incarnation"},
		explain.Check{Holds: m.cold.Free(now, &n.cold, n.Pool, 1) == 0, Reason: "cold, and gets no more starts at present"},
		explain.Check{Holds: !m.isUsable(now, n), Reason: "gets no work after failures, or has runs that are not known"},
		explain.Check{Holds: !m.takesOthers(n), Reason: "kept for a task under which workers were lost"},
		explain.Check{Holds: !size.Fits(n.free()), Reason: "not enough free capacity"},
		explain.Check{Holds: m.plan.Of(n) != nil && !size.Fits(m.plan.Of(n).Spare), Reason: "reserved"},
		explain.Check{Holds: !t.isInTime(now, m.expectedRunTime(n, t), tardy), Reason: "too slow for the objective"},
		explain.Check{Holds: !m.accepts(now, n, t), Reason: "its lease cannot be long enough"},
	)
}
