package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/incarnation"
	"github.com/catkingap/catkingap/worker"
)

// RaiseToken allows for orders with a higher fencing token: a revision at which this owner was
// not replaced, so that the token of the next owner is higher still.
func (m *Machine) RaiseToken(t worker.Token) { m.token = max(m.token, t) }

// answeringNode returns the worker that has answered an order, or nil if the answer is of no
// use. A refused token ends the ownership unless the worker was sent a higher one.
func (m *Machine) answeringNode(o worker.Order, v worker.Verdict) *node {
	n := m.nodes[o.Worker]
	if n == nil || m.stopped {
		return nil
	}
	if v == worker.Fenced && !n.token.IsReplaced(o.Token) {
		m.actions.Fenced = true
		return nil
	}
	m.markChanged(n)
	return n
}

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
		n.token.Replace()
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
		if n.clock.HasRestarted(sent, clock) {
			n.forgetEnds()
			m.replaceToken(now, n)
			m.assumeLongestLease(now, n)
		}
		n.clock = incarnation.Clock{Reading: clock, At: now}
	}
}

// forgetEnds drops what is known of a worker's ends, since a new incarnation
// numbers them anew. The next poll tells which incarnation it is.
func (n *node) forgetEnds() {
	n.answered = false
	n.seen, n.acknowledged, n.forgotten, n.reportClock, n.unstored, n.lapsingEnds = 0, 0, 0, 0, nil, nil
}

// extendLease returns the worker's clock after d, and notes that its lease may last until then.
func (n *node) extendLease(now time.Time, d time.Duration) worker.Clock {
	if n.clock.Reading == 0 {
		return 0
	}
	until := n.clock.After(now, d)
	n.leaseEnd = latest(n.leaseEnd, n.clock.LapseAt(until))
	return until
}
