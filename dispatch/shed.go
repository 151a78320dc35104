package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/sharing"
)

// lateRateOf returns the rate at which late jobs of a pool start.
func (m *Machine) lateRateOf(p ident.Pool) *sharing.LateRate {
	return index.GetOrCreate(m.lateRates, p)
}

// shed refuses the late jobs that will not start while they are of use, judged by
// the rate at which late jobs have started lately. In bursts beyond the capacity of
// all workers, such jobs would wait in vain up to the last moment.
func (m *Machine) shed(now time.Time) {
	waiting := m.queue.items(late)
	ahead := map[ident.Pool]int{}
	for _, j := range waiting {
		if _, ok := ahead[j.spec.Pool]; !ok {
			ahead[j.spec.Pool] = 0
			m.lateRateOf(j.spec.Pool).Measure(now, m.capacity.Pool(j.spec.Pool).Rate(m.meanRunTime))
		}
	}
	for p := range m.lateRates {
		if _, ok := ahead[p]; !ok {
			delete(m.lateRates, p)
		}
	}
	if m.capacity.Expected > 0 {
		// Workers that have not answered yet may have runs that end soon.
		return
	}
	for _, j := range waiting {
		if !m.mayStart(now, j) {
			continue
		}
		cores := ahead[j.spec.Pool] + j.queuedCores
		tooLate := now.Add(m.lateRateOf(j.spec.Pool).Wait(cores) + m.fastestRunTime(j)).After(j.uselessAt)
		if !j.stored && (tooLate || (m.queue.poolShares(j.spec.Pool).IsShort() && !m.canStartAtOnce(now, j))) {
			m.refuseQueued(now, j)
			continue
		}
		ahead[j.spec.Pool] = cores
	}
}
