package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/polling"
	"github.com/catkingap/catkingap/worker"
)

// nextPollAt returns when a worker is to be polled next. Polls continue as long as
// the worker has runs, its state is unknown, or ends must be acknowledged.
func (m *Machine) nextPollAt(now time.Time, n *node) time.Time {
	if n.pollOpen {
		return never
	}
	at := never
	switch {
	case !n.answered || !n.silentSince.IsZero():
		if !n.listed && len(n.runs) == 0 && !now.Before(m.takeoverEnd) {
			return never
		}
		at = n.nextPoll
	case n.hasConfirmedRun():
		at = n.nextPoll
	default:
		if n.listed {
			at = justAfter(n.clock.At.Add(maxClockAge))
		}
		if n.acknowledged < n.highestForgettable() && !n.acknowledgeAt.IsZero() {
			at = earliest(at, n.acknowledgeAt)
		}
	}
	return latest(latest(at, n.nextPoll), n.pace.Next())
}

// pollIfDue polls a worker if it is time.
func (m *Machine) pollIfDue(now time.Time, n *node) {
	m.sendExtraPoll(now, n)
	if now.Before(m.nextPollAt(now, n)) {
		return
	}
	l := worker.Poll{}
	if n.answered && n.silentSince.IsZero() && n.hasConfirmedRun() {
		l.Wait = pollWait
	}
	n.pollOpen = true
	m.sendPoll(now, n, l)
}

// hasConfirmedRun returns true if the worker is known to have a run.
func (n *node) hasConfirmedRun() bool {
	for _, r := range n.runs {
		if r.state != startSent {
			return true
		}
	}
	return false
}

// rows returns the number of runs of a worker and of its ends that are not acknowledged.
func (n *node) rows() int {
	return len(n.runs) + int(max(0, n.seen-max(n.acknowledged, n.forgotten)))
}

// isCrowded returns true if a worker may get no further run because it would not list its end.
func (n *node) isCrowded() bool { return n.rows() >= polling.MaxRows }

// noteCrowded reports a worker that has become crowded.
func (m *Machine) noteCrowded(n *node) {
	if n.isCrowded() && !n.crowded {
		m.actions.CrowdedWorkers = append(m.actions.CrowdedWorkers, n.ID)
	}
	n.crowded = n.isCrowded()
}

// noteForgotten records which ends the worker does not list any more.
func (n *node) noteForgotten(listed []worker.Ended) {
	if len(listed) == 0 {
		return
	}
	lowest := slices.MinFunc(listed, func(a, b worker.Ended) int { return cmp.Compare(a.Number, b.Number) })
	n.forgotten = max(n.forgotten, lowest.Number-1)
}

// acknowledgeDelay returns how long ends may wait to be acknowledged by the poll that goes along
// with a next start. A worker with many runs and ends is told at once.
func (n *node) acknowledgeDelay() time.Duration {
	if n.rows() >= polling.CrowdedRows {
		return 0
	}
	return acknowledgeDelay
}
