package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/estimate"
	"github.com/catkingap/catkingap/incarnation"
	"github.com/catkingap/catkingap/report"
	"github.com/catkingap/catkingap/worker"
)

// handleNewIncarnation handles the first report of a new incarnation of a worker, which
// answers a poll that was sent at the time sent. The new incarnation may have got starts
// before it was known. It has the runs that it lists. Those that a worker had before the poll
// was sent and that are not listed have ended with an earlier incarnation. Of the others it
// is not known yet which incarnation got their start, if any: the next polls tell.
func (m *Machine) handleNewIncarnation(now, sent time.Time, n *node, report *worker.Report) {
	listed := listedRuns(report)
	var ended, open []*run
	for _, r := range n.sortedRuns() {
		switch {
		case slices.Contains(listed, r.key):
		case r.wasConfirmed(sent):
			ended = append(ended, r)
		default:
			open = append(open, r)
		}
	}
	m.loseWorker(now, n, ended, open, LossCrashed)
	for _, r := range open {
		m.reopen(now, r)
	}
	n.forgetEnds()
	n.Life = report.Incarnation
	m.replaceToken(now, n)
	m.generation++
	n.pollOpen, n.clock.Reading = false, 0
	n.leaseEnd, n.acknowledgeAt = time.Time{}, time.Time{}
	m.assumeLongestLease(now, n)
	m.stopLateStarts(now, n, listed)
	n.slowdown = estimate.Worker{}
	m.markChanged(n)
}

// replaceToken has a new incarnation refuse the orders that were meant for earlier ones. If there is
// no higher token, one is asked for. For the time that the table takes to store a heartbeat, no
// work starts on the worker: a late acknowledgement could have it forget its ends.
func (m *Machine) replaceToken(now time.Time, n *node) {
	n.token.Replace()
	if n.token.IsMissing(m.token) {
		m.actions.TokenWanted = true
		n.holdUntil = latest(n.holdUntil, now.Add(pollRetryDelay))
	}
}

// stopLateStarts has a new incarnation refuse the starts that an earlier one left without an
// answer, whose tasks may have started elsewhere since. It does not know of earlier stops.
func (m *Machine) stopLateStarts(now time.Time, n *node, listed []runKey) {
	for _, k := range n.lateStarts.Sorted(now, compareRunKeys) {
		if n.runs[k] == nil && !slices.Contains(listed, k) {
			m.actions.Stops = append(m.actions.Stops, worker.Stop{Order: m.order(n), Task: k.task, Run: k.run})
		}
	}
}

// listedRuns returns the runs that a report lists, at work or ended.
func listedRuns(report *worker.Report) []runKey {
	listed := make([]runKey, 0, len(report.Running)+len(report.Ended))
	for _, x := range report.Running {
		listed = append(listed, runKey{task: x.Task, run: x.Run})
	}
	for _, e := range report.Ended {
		listed = append(listed, runKey{task: e.Task, run: e.Run})
	}
	return listed
}

// wasConfirmed returns true if a worker was known to have the run before t.
func (r *run) wasConfirmed(t time.Time) bool {
	return !r.confirmedAt.IsZero() && !r.presumed && r.confirmedAt.Before(t)
}

// reopen prepares a run whose start may have reached an earlier incarnation of its worker for
// the answers of the present one, which does not know of earlier stops.
func (m *Machine) reopen(now time.Time, r *run) {
	switch {
	case r.presumed:
		r.state, r.presumed, r.confirmedAt = startSent, false, time.Time{}
	case r.state == stopping && r.confirmedAt.IsZero() && !r.stopAccepted.IsZero():
		m.stop(now, r, "")
	}
}

// assumeLongestLease notes that a worker with runs may hold the longest lease: an incarnation
// shortens to that each lease which ends at a time on the clock of an earlier one.
func (m *Machine) assumeLongestLease(now time.Time, n *node) {
	if len(n.runs) > 0 {
		n.leaseEnd = latest(n.leaseEnd, now.Add(incarnation.LapseTime(m.config.MaxLease)))
	}
}

// loseUnlistedRun ends a run that its worker no longer lists. If the worker has restarted
// since the start was sent, the run was one of an earlier incarnation.
func (m *Machine) loseUnlistedRun(now time.Time, r *run) {
	if r.earlierLoss == nil {
		m.loseRun(now, r, LossUnlisted)
		return
	}
	l := *r.earlierLoss
	l.Unconfirmed = l.Unconfirmed && r.confirmedAt.IsZero()
	m.actions.WorkerLosses = append(m.actions.WorkerLosses, report.WorkerLoss{
		Worker: l.Life.Worker, Incarnation: l.Life.Incarnation, Cause: LossCrashed, Tasks: []string{r.key.task},
	})
	m.recordLoss(now, r, l)
	m.loseRun(now, r, LossCrashed)
}
