package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/room"
)

// stock counts what all workers have. Events change it by what they touch.
type stock struct {
	pools map[ident.Pool]*poolStock
	// tasks is the number of tasks of mean size that can start at once.
	tasks int
	// unheard is the number of workers that have not answered yet.
	unheard int
}

// poolStock counts what the listed workers of a pool have. Free counts only
// those that may get work.
type poolStock struct {
	usedCores, freeCores int
}

func (s *stock) pool(p ident.Pool) *poolStock { return index.Entry(s.pools, p) }

// share is what one worker adds to the counts and to the index of free room.
type share struct {
	pool                 ident.Pool
	usedCores, freeCores int
	tasks                int
	unheard              int
	// offer is what the index of free room has of the worker, or nil.
	offer *room.Worker[*node]
}

// touch notes that something has changed at a worker.
func (m *Machine) touch(n *node) {
	if !n.touched {
		n.touched = true
		m.touched = append(m.touched, n)
	}
	n.stale = true
}

// settleTouched brings the counts and the index up to date.
func (m *Machine) settleTouched(now time.Time) {
	for _, n := range m.touched {
		if n.stale {
			m.refresh(now, n)
		}
	}
}

// refresh brings what is counted of one worker up to date.
func (m *Machine) refresh(now time.Time, n *node) {
	n.stale = false
	m.visited++
	s := share{pool: n.Pool}
	if n.listed {
		s.usedCores = n.used.Cores
	}
	if !n.adopted {
		s.unheard = 1
	}
	if m.usable(now, n) {
		free := n.Capacity.Minus(n.used)
		s.freeCores = free.Cores
		if m.cores > 0 {
			s.tasks = int(float64(free.Cores) / m.cores)
		}
		s.offer = &room.Worker[*node]{Item: n, ID: n.ID, Pool: n.Pool, Labels: n.Labels, Free: free, Pace: n.pace.log}
	}
	m.count(n, s)
}

// remove takes a worker out of the counts and the index.
func (m *Machine) remove(n *node) {
	m.count(n, share{pool: n.Pool})
	m.alarms.Clear(n)
	m.touched = slices.DeleteFunc(m.touched, func(x *node) bool { return x == n })
	n.touched, n.stale = false, false
}

// count replaces what is counted of a worker.
func (m *Machine) count(n *node, s share) {
	old := n.share
	before, after := m.stock.pool(old.pool), m.stock.pool(s.pool)
	before.usedCores -= old.usedCores
	before.freeCores -= old.freeCores
	after.usedCores += s.usedCores
	after.freeCores += s.freeCores
	m.stock.tasks += s.tasks - old.tasks
	m.stock.unheard += s.unheard - old.unheard
	if s.offer != nil && (old.offer == nil || roomier(old.offer, s.offer)) {
		m.roomier = true
	}
	switch {
	case old.offer != nil && s.offer != nil && sameOffer(old.offer, s.offer):
		s.offer = old.offer
	default:
		if old.offer != nil {
			m.room.Remove(old.offer)
		}
		if s.offer != nil {
			m.room.Add(s.offer)
		}
	}
	n.share = s
}

// roomier returns true if a worker can take a task that it could not before.
func roomier(old, x *room.Worker[*node]) bool {
	return x.Free.Cores > old.Free.Cores || x.Free.Memory > old.Free.Memory || x.Free.Graphics > old.Free.Graphics ||
		x.Pace < old.Pace || !slices.Equal(old.Labels, x.Labels)
}

func sameOffer(a, b *room.Worker[*node]) bool {
	return a.Free == b.Free && a.Pace == b.Pace && a.Pool == b.Pool && slices.Equal(a.Labels, b.Labels)
}

// attend does what is due at the workers that this event has touched, and at
// those whose time has come.
func (m *Machine) attend(now time.Time) {
	for {
		n, due := m.alarms.Due(now)
		if !due {
			break
		}
		m.touch(n)
		m.tickNode(now, n)
	}
	m.settleTouched(now)
}

// rearm looks at the touched workers where that is due, and notes when something
// is to be done there next.
func (m *Machine) rearm(now time.Time) {
	slices.SortFunc(m.touched, func(a, b *node) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, n := range m.touched {
		if n.stale {
			m.refresh(now, n)
		}
		m.watch(now, n)
		n.touched = false
		if at := m.alarm(now, n); at.Equal(never) {
			m.alarms.Clear(n)
		} else {
			m.alarms.Set(n, at)
		}
	}
	clear(m.touched)
	m.touched = m.touched[:0]
}

// lapsedPause is the time between two looks at the lease of a silent worker, whose
// runs of kept jobs stay until it answers.
const lapsedPause = 25 * time.Millisecond

// never is later than all times.
var never = time.Unix(1<<40, 0)

// after is the first time after t.
func after(t time.Time) time.Time { return t.Add(1) }

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// alarm returns when something is to be done at a worker that no event tells.
func (m *Machine) alarm(now time.Time, n *node) time.Time {
	at := m.watchAt(now, n)
	if now.Before(n.holdUntil) {
		at = earliest(at, n.holdUntil)
	}
	if trial := m.judge.Trial(n.ID); now.Before(trial) {
		at = earliest(at, trial)
	}
	if !n.silent.IsZero() && len(n.runs) > 0 {
		at = earliest(at, latest(after(n.lapsed), now.Add(lapsedPause)))
	}
	for _, r := range n.runs {
		switch {
		case r.state == stopping && r.barred.IsZero():
			at = earliest(at, r.nextStop)
		case r.task == nil && r.state != stopping:
			at = earliest(at, after(r.orphanUntil))
		case r.state == atWork && r.task != nil:
			at = earliest(at, latest(r.checkAt, after(r.sent.Add(m.patience(now, n, r)))))
		}
	}
	return at
}
