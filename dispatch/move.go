package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// unreachableTime is how long a worker must be silent for stored jobs not to wait for it.
// Workers that crash are back after some seconds, and a job that is moved away loses what
// its tasks have near them.
const unreachableTime = 4 * time.Second

// AvailableWorkers returns the workers that may get work now or soon: they are listed, do
// not drain, and have not been silent for long.
func (m *Machine) AvailableWorkers(now time.Time) []worker.Worker {
	var workers []worker.Worker
	for _, n := range m.ordered {
		if n.listed && !n.Draining && (n.silentSince.IsZero() || now.Sub(n.silentSince) < unreachableTime) {
			workers = append(workers, n.Worker)
		}
	}
	return workers
}

// MoveAway drops a stored job that another owner continues. The given ends of its runs are
// not stored: its tasks may run again elsewhere, so each worker may forget them only after
// its lease has lapsed.
func (m *Machine) MoveAway(now time.Time, id work.ID, unstored []worker.EndID) {
	if m.stopped {
		return
	}
	if j := m.jobs[id]; j != nil && j.stored {
		m.emitRecord(now, j, Moved, "another data centre continues the job")
		m.drop(now, j)
	}
	for _, e := range unstored {
		if n := m.nodes[e.Worker]; n != nil && n.Life == e.Incarnation {
			n.lapsingEnds = append(n.lapsingEnds, e.Number)
			m.markChanged(n)
		}
	}
	m.advance(now)
}

// forgetLapsedEnds lets a worker forget the ends of jobs that were moved away, once its
// lease has lapsed.
func (m *Machine) forgetLapsedEnds(now time.Time, n *node) {
	if len(n.lapsingEnds) == 0 || !now.After(n.leaseEnd) {
		return
	}
	for _, number := range n.lapsingEnds {
		delete(n.unstored, number)
	}
	n.lapsingEnds = nil
	n.scheduleAcknowledgement(now)
	m.markChanged(n)
}
