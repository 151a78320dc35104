package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/worker"
)

// watchAt returns when a worker is to be looked at. That goes on as long as
// something runs there, is not known or must be acknowledged.
func (m *Machine) watchAt(now time.Time, n *node) time.Time {
	if n.watching {
		return never
	}
	at := never
	switch {
	case !n.adopted || !n.silent.IsZero():
		if !n.listed && len(n.runs) == 0 && !now.Before(m.open) {
			return never
		}
		at = n.nextLook
	case n.hasConfirmed():
		at = n.nextLook
	default:
		if n.listed {
			at = after(n.clockAt.Add(clockTime))
		}
		if n.noted < n.forgettable() && !n.noteAt.IsZero() {
			at = earliest(at, n.noteAt)
		}
	}
	return latest(at, n.nextLook)
}

// watch looks at a worker if it is time.
func (m *Machine) watch(now time.Time, n *node) {
	if now.Before(m.watchAt(now, n)) {
		return
	}
	l := worker.Look{}
	if n.adopted && n.silent.IsZero() && n.hasConfirmed() {
		l.Wait = watchTime
	}
	n.watching = true
	m.lookFor(now, n, l)
}

// hasConfirmed returns true if the worker is known to have a run.
func (n *node) hasConfirmed() bool {
	for _, r := range n.runs {
		if r.state != ordered {
			return true
		}
	}
	return false
}
