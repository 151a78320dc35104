package dispatch

import (
	"time"

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
