package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/worker"
)

// SetWorkers replaces the list of workers. A worker that is missing gets no new
// work, and its runs are followed to their end.
func (m *Machine) SetWorkers(now time.Time, workers []worker.Worker) {
	m.listRead = true
	listed := make(map[worker.ID]bool, len(workers))
	known := map[worker.ID]bool{}
	if now.Before(m.takeoverEnd) {
		for _, w := range m.config.PreviousWorkers {
			known[w.ID] = true
			m.setWorker(now, w)
		}
	}
	for _, w := range workers {
		listed[w.ID] = true
		m.setWorker(now, w)
	}
	ids := make([]worker.ID, 0, len(m.nodes))
	for id, n := range m.nodes {
		n.listed = listed[id]
		if !n.listed && !known[id] && len(n.runs) == 0 {
			m.removeNode(n)
			delete(m.nodes, id)
			continue
		}
		ids = append(ids, id)
		m.markChanged(n)
	}
	slices.Sort(ids)
	m.ordered = m.ordered[:0]
	for _, id := range ids {
		m.ordered = append(m.ordered, m.nodes[id])
	}
	m.detector.SetServers(ids)
	m.generation++
	m.advance(now)
}

// setWorker adds or updates one worker. A row that names another incarnation or address is
// only a hint, since other writers may have written it: the worker is asked before its runs
// count as lost, where it was as long as a connection can be made there.
func (m *Machine) setWorker(now time.Time, w worker.Worker) {
	n := m.nodes[w.ID]
	if n == nil {
		n = &node{runs: map[runKey]*run{}}
		n.Address, n.Life = w.Address, w.Life
		m.nodes[w.ID] = n
	}
	n.rowAddress = w.Address
	if !n.known || n.replaced || !n.silentSince.IsZero() {
		n.Address = w.Address
	}
	if w.Life > n.Life && w.Life != n.rowLife {
		n.answered, n.askedAt, n.nextPoll = false, now, now
		n.token.Replace()
		m.pollAtOnce(now, n)
	}
	n.rowLife = w.Life
	w.Address, w.Life = n.Address, n.Life
	n.Worker, n.largest = w, n.largest.Max(w.Capacity)
	m.updateColdness(now, n)
}

// Generation returns the number of changes to the result of Workers.
func (m *Machine) Generation() uint64 { return m.generation }

// Workers returns the workers that may run tasks now, or that may do so before
// other hosts have received this list. It includes workers that have not answered
// yet.
func (m *Machine) Workers() []worker.Worker {
	workers := make([]worker.Worker, 0, len(m.ordered))
	for _, n := range m.ordered {
		workers = append(workers, n.Worker)
	}
	return workers
}
