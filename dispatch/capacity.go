package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/room"
)

// capacity counts the free and used capacity of all workers. It is updated
// incrementally, by the workers that events change.
type capacity struct {
	pools map[ident.Pool]*poolCapacity
	// tasks is the number of tasks of mean size that can start at once.
	tasks int
	// unanswered is the number of workers that have not answered yet, and expected the
	// number of those of them that are not silent.
	unanswered, expected int
}

// poolCapacity counts the cores of the listed workers of a pool. freeCores counts
// only workers that may get work.
type poolCapacity struct {
	usedCores, freeCores int
}

func (s *capacity) pool(p ident.Pool) *poolCapacity { return index.GetOrCreate(s.pools, p) }

// contribution is what one worker adds to the counts and to the index of free
// capacity.
type contribution struct {
	pool                 ident.Pool
	usedCores, freeCores int
	tasks                int
	unanswered, expected int
	// entry is the worker's entry in the index of free capacity, or nil.
	entry *room.Worker[*node]
}

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
	s := contribution{pool: n.Pool}
	if n.listed {
		s.usedCores = n.used.Cores
	}
	if !n.answered {
		s.unanswered = 1
		if n.silentSince.IsZero() {
			s.expected = 1
		}
	}
	if m.isUsable(now, n) && m.takesOthers(n) {
		free := n.Capacity.Minus(n.used)
		s.freeCores = free.Cores
		if m.meanCores > 0 {
			s.tasks = m.cold.Free(now, &n.cold, n.Pool, int(float64(free.Cores)/m.meanCores))
		}
		s.entry = &room.Worker[*node]{Item: n, ID: n.ID, Pool: n.Pool, Labels: n.Labels, Free: free, LogSlowdown: n.slowdown.Log()}
	}
	m.setContribution(n, s)
}

// removeNode removes a worker from the counts and the index.
func (m *Machine) removeNode(n *node) {
	m.setContribution(n, contribution{pool: n.Pool})
	m.timers.Clear(n)
	m.changed = slices.DeleteFunc(m.changed, func(x *node) bool { return x == n })
	n.changed, n.stale = false, false
}

// setContribution replaces the contribution of a worker.
func (m *Machine) setContribution(n *node, s contribution) {
	old := n.contribution
	before, after := m.capacity.pool(old.pool), m.capacity.pool(s.pool)
	before.usedCores -= old.usedCores
	before.freeCores -= old.freeCores
	after.usedCores += s.usedCores
	after.freeCores += s.freeCores
	m.capacity.tasks += s.tasks - old.tasks
	m.capacity.unanswered += s.unanswered - old.unanswered
	m.capacity.expected += s.expected - old.expected
	if s.entry != nil && (old.entry == nil || hasGrown(old.entry, s.entry)) {
		m.capacityGrew = true
	}
	switch {
	case old.entry != nil && s.entry != nil && sameEntry(old.entry, s.entry):
		s.entry = old.entry
	default:
		if old.entry != nil {
			m.freeIndex.Remove(old.entry)
		}
		if s.entry != nil {
			m.freeIndex.Add(s.entry)
		}
	}
	n.contribution = s
}

// hasGrown returns true if a worker can take a task that it could not take before.
func hasGrown(old, x *room.Worker[*node]) bool {
	return x.Free.Cores > old.Free.Cores || x.Free.Memory > old.Free.Memory || x.Free.Graphics > old.Free.Graphics ||
		x.LogSlowdown < old.LogSlowdown || !slices.Equal(old.Labels, x.Labels)
}

func sameEntry(a, b *room.Worker[*node]) bool {
	return a.Free == b.Free && a.LogSlowdown == b.LogSlowdown && a.Pool == b.Pool && slices.Equal(a.Labels, b.Labels)
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
	m.refreshChanged(now)
}

// scheduleChanged polls the changed workers that are due for a poll, and sets their
// timers.
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
