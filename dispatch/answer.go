package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/worker"
)

// handleAnswer records whether a worker has answered an order that was sent at the time sent,
// which is zero if it is not known. A worker that leaves an order unanswered gets no work until
// it has answered a poll.
func (m *Machine) handleAnswer(now, sent time.Time, n *node, v worker.Verdict, clock worker.Clock) {
	if v == worker.Unanswered || v == worker.Unsent || v == worker.Refusing {
		if !now.Before(m.lossyUntil) {
			// From now on the runs of all workers are checked sooner.
			for _, x := range m.ordered {
				m.markChanged(x)
			}
		}
		m.lossyUntil = now.Add(lossyPeriod)
		if v != worker.Unanswered {
			n.Address = n.rowAddress
		}
		if v == worker.Refusing && n.failedWithin(now, refusalTime) {
			n.refusing = true
			m.noteRefusing(now, n)
		}
		if n.silentSince.IsZero() {
			n.silentSince = now
			m.pollAtOnce(now, n)
		}
		return
	}
	n.silentSince, n.pollDelay, n.refusing = time.Time{}, 0, false
	if clock > 0 && v != worker.Replaced {
		if clock < n.earliestClock(sent) {
			n.forgetEnds()
			m.assumeLongestLease(now, n)
		}
		n.clock, n.clockAt = clock, now
	}
}

// incarnationClockGap is how far the clock of a worker must go back to belong to
// another incarnation. Answers that overtake each other are less than two seconds
// apart.
const incarnationClockGap = worker.Clock(2000)

// earliestClock returns the earliest time that the clock of a worker can show in the answer to
// an order that was sent at the time sent, unless the worker has restarted.
func (n *node) earliestClock(sent time.Time) worker.Clock {
	if sent.Before(n.clockAt) {
		return n.clock - incarnationClockGap
	}
	return n.clock + worker.Clock(scaled(sent.Sub(n.clockAt), 1-clockDrift).Milliseconds())
}

// forgetEnds drops what is known of a worker's ends, since a new incarnation
// numbers them anew. The next poll tells which incarnation it is.
func (n *node) forgetEnds() {
	n.answered = false
	n.seen, n.acknowledged, n.reportClock, n.unstored, n.lapsingEnds = 0, 0, 0, nil, nil
}

// extendLease returns the worker's clock after d, and notes that its lease may last
// until then.
func (n *node) extendLease(now time.Time, d time.Duration) worker.Clock {
	if n.clock == 0 {
		return 0
	}
	clock := n.clock + worker.Clock((now.Sub(n.clockAt) + d).Milliseconds())
	lapsed := n.clockAt.Add(lapseTime(time.Duration(clock-n.clock) * time.Millisecond))
	if lapsed.After(n.leaseEnd) {
		n.leaseEnd = lapsed
	}
	return clock
}
