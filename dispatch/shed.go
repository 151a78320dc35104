package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
)

// lateRoom measures the room that the late jobs of a pool get.
type lateRoom struct {
	// started counts the cores of late jobs that have started since at.
	started int
	at      time.Time
	// rate is the mean number of cores that late jobs start in a second. Zero means
	// that it is not known.
	rate float64
}

// rateWeight is the weight of one tick in the mean rate. Ticks are 25 ms apart, so
// that it follows a burst of some seconds within a quarter of one.
const rateWeight = 0.1

// measure takes in what has started since the last tick, while late jobs wait. As
// long as nothing is known, they may get all room: most is what comes free in a second.
func (r *lateRoom) measure(now time.Time, most float64) {
	took := now.Sub(r.at).Seconds()
	started := float64(r.started)
	r.started, r.at = 0, now
	if r.rate == 0 {
		r.rate = most
		return
	}
	if took > 0 {
		r.rate += rateWeight * (started/took - r.rate)
	}
}

// wait returns how long it takes until late jobs have started that need some cores.
func (r *lateRoom) wait(cores int) time.Duration {
	if r.rate == 0 {
		return 0
	}
	return min(maxWait, time.Duration(float64(cores)/r.rate*float64(time.Second)))
}

// maxWait bounds an expected wait, so that it can be added to a time.
const maxWait = time.Hour

// lateRoomOf returns what is known of a pool's room for late jobs.
func (m *Machine) lateRoomOf(p ident.Pool) *lateRoom { return index.Entry(m.lateRooms, p) }

// shed refuses the late jobs that will not get room while they are of use, by the room
// that late jobs have got lately. Load: bursts beyond the room of all workers, in which
// jobs would wait for nothing up to the last moment.
func (m *Machine) shed(now time.Time) {
	waiting := slices.Clone(m.queue.jobs[late].Items())
	ahead := map[ident.Pool]int{}
	for _, j := range waiting {
		if _, ok := ahead[j.spec.Pool]; !ok {
			ahead[j.spec.Pool] = 0
			m.lateRoomOf(j.spec.Pool).measure(now, m.stock.pool(j.spec.Pool).rate(m.meanRun))
		}
	}
	for p := range m.lateRooms {
		if _, ok := ahead[p]; !ok {
			delete(m.lateRooms, p)
		}
	}
	if m.stock.unheard > 0 {
		// What workers run that have not answered yet may end soon.
		return
	}
	for _, j := range waiting {
		if !m.opened(now, j) {
			continue
		}
		cores := ahead[j.spec.Pool] + j.queuedCores
		if !j.kept && now.Add(m.lateRoomOf(j.spec.Pool).wait(cores)+m.fastest(j)).After(j.uselessAt) {
			m.giveUp(now, j)
			continue
		}
		ahead[j.spec.Pool] = cores
	}
}

// rate returns the cores that come free in a second if all tasks take the mean run time.
func (s *poolStock) rate(meanRun time.Duration) float64 {
	if meanRun <= 0 {
		return 0
	}
	return float64(s.usedCores+s.freeCores) / meanRun.Seconds()
}
