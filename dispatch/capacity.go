package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/catkingap/catkingap/room"
)

// markChanged records that a worker has changed.
func (m *Machine) markChanged(n *node) {
	if !n.changed {
		n.changed = true
		m.changed = append(m.changed, n)
	}
	n.stale = true
}

// refreshChanged updates the counts and the index for all changed workers.
func (m *Machine) refreshChanged(now time.Time) {
	for _, n := range m.changed {
		if n.stale {
			m.refresh(now, n)
		}
	}
}

// refresh updates the contribution of one worker.
func (m *Machine) refresh(now time.Time, n *node) {
	n.stale = false
	m.visited++
	m.noteCrowded(n)
	s := room.Contribution[*node]{Pool: n.Pool}
	if n.listed {
		s.UsedCores = n.used.Cores
	}
	if !n.answered {
		s.Unanswered = 1
		if n.silentSince.IsZero() {
			s.Expected = 1
		}
	}
	if m.isUsable(now, n) && m.takesOthers(n) {
		s.FreeCores = n.free().Cores
		if m.meanCores > 0 {
			s.Tasks = m.cold.Free(now, &n.cold, n.Pool, int(float64(s.FreeCores)/m.meanCores))
		}
		s.Entry = &room.Worker[*node]{
			Item: n, ID: n.ID, Pool: n.Pool, Labels: n.Labels, Free: m.freeForOthers(now, n), LogSlowdown: n.slowdown.Log(),
		}
	}
	m.capacityGrew = m.capacity.Replace(&n.contribution, s) || m.capacityGrew
}

// removeNode removes a worker from the counts and the index.
func (m *Machine) removeNode(n *node) {
	m.capacity.Replace(&n.contribution, room.Contribution[*node]{Pool: n.Pool})
	m.timers.Clear(n)
	m.changed = slices.DeleteFunc(m.changed, func(x *node) bool { return x == n })
	n.changed, n.stale = false, false
}

// handleDue handles the workers whose timers are due, and updates the counts for
// the workers that this event has changed.
func (m *Machine) handleDue(now time.Time) {
	for {
		n, due := m.timers.PopDue(now)
		if !due {
			break
		}
		m.markChanged(n)
		m.tickNode(now, n)
	}
	m.followPlan(now)
	m.refreshChanged(now)
}

// scheduleChanged polls the changed workers that are due for a poll, and sets their timers.
func (m *Machine) scheduleChanged(now time.Time) {
	slices.SortFunc(m.changed, func(a, b *node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, n := range m.changed {
		if n.stale {
			m.refresh(now, n)
		}
		m.pollIfDue(now, n)
		n.changed = false
		if at := m.nextTimer(now, n); at.Equal(never) {
			m.timers.Clear(n)
		} else {
			m.timers.Set(n, at)
		}
	}
	clear(m.changed)
	m.changed = m.changed[:0]
}

// lapsedCheckInterval is the time between two checks of the lease of a silent
// worker, whose runs of stored jobs stay until it answers.
const lapsedCheckInterval = 25 * time.Millisecond

// never is later than all other times.
var never = time.Unix(1<<40, 0)

// justAfter returns the first time after t.
func justAfter(t time.Time) time.Time { return t.Add(1) }

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// nextTimer returns when a worker next needs attention without an event.
func (m *Machine) nextTimer(now time.Time, n *node) time.Time {
	at := m.nextPollAt(now, n)
	if extra, wanted := n.pace.NextExtra(); wanted {
		at = earliest(at, extra)
	}
	if now.Before(n.holdUntil) {
		at = earliest(at, n.holdUntil)
	}
	if m.cold.Free(now, &n.cold, n.Pool, 1) == 0 {
		at = earliest(at, m.cold.Next(now, &n.cold, n.Pool))
	}
	if probe := m.detector.NextProbe(n.ID); now.Before(probe) {
		at = earliest(at, probe)
	}
	if !n.silentSince.IsZero() && len(n.runs) > 0 {
		at = earliest(at, latest(justAfter(n.leaseEnd), n.lapseChecked.Add(lapsedCheckInterval)))
	}
	if len(n.lapsingEnds) > 0 {
		at = earliest(at, justAfter(latest(n.leaseEnd, now)))
	}
	if change := n.slowdown.NextChange(); !change.IsZero() {
		at = earliest(at, latest(change, now))
	}
	for _, r := range n.runs {
		switch {
		case r.state == stopping && r.stopAccepted.IsZero():
			at = earliest(at, r.nextStop)
		case r.task == nil && r.state != stopping:
			at = earliest(at, justAfter(r.orphanUntil))
		case r.state == running && r.task != nil:
			at = earliest(at, latest(r.nextCheck, justAfter(r.sent.Add(m.checkAfter(now, n, r)))))
		}
	}
	return at
}
