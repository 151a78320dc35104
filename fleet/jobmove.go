package fleet

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/relocation"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// moveStranded passes jobs that no worker here can continue on to data centres that have
// workers for them.
func (s *jobStore) moveStranded() {
	found := 0
	s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) { found = len(m.StrandedJobs(now)) })
	if found == 0 {
		return
	}
	centres := s.owner.usableWorkers()
	delete(centres, s.owner.owner.DataCentre)
	s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for _, x := range m.StrandedJobs(now) {
			if to, ok := relocation.Choose(&x.Job, x.Done, centres); ok && s.ledger.Move(x.Job.ID, to) {
				m.Leave(x.Job.ID)
			}
		}
	})
}

// betterCentre returns a data centre that has workers for a job, if this one has none.
func (s *jobStore) betterCentre(j *work.Job) (ident.DataCentre, bool) {
	canRun := true
	s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) { canRun = m.CanRun(now, j) })
	if canRun || s.isKnown(j.ID) {
		return "", false
	}
	centres := s.owner.usableWorkers()
	delete(centres, s.owner.owner.DataCentre)
	return relocation.Choose(j, nil, centres)
}

// usableWorkers returns the workers that may run moved jobs: those of this owner, and those
// of the owners that this host hears.
func (w *Owner) usableWorkers() map[ident.DataCentre][]worker.Worker {
	heard := w.owners.contacts.heardOwners(time.Now())
	centres := map[ident.DataCentre][]worker.Worker{}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	centres[w.owner.DataCentre] = w.machine.AvailableWorkers(w.owners.contacts.clock())
	for d, workers := range w.machine.OtherWorkers() {
		if _, ok := heard[d]; ok && w.owners.contacts.evacuation.Access(d) != evacuation.Evacuated {
			centres[d] = slices.DeleteFunc(slices.Clone(workers), func(x worker.Worker) bool { return x.Draining })
		}
	}
	return centres
}
