package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
)

// lateRate measures how fast the late jobs of a pool start.
type lateRate struct {
	// started counts the cores of late jobs that have started, and since is when that
	// count began.
	started int
	since   time.Time
	// rate is the mean number of cores that late jobs start on per second. Zero
	// means that it is not known.
	rate float64
}

// rateWeight is the weight of one tick in the mean rate. Ticks are 25 ms apart, so
// the rate follows a burst of some seconds within a quarter of a second.
const rateWeight = 0.1

// measure adds the starts since the last tick, while late jobs wait. As long as the
// rate is not known, late jobs may get all capacity: maxRate is the number of cores
// freed per second.
func (r *lateRate) measure(now time.Time, maxRate float64) {
	took := now.Sub(r.since).Seconds()
	started := float64(r.started)
	r.started, r.since = 0, now
	if r.rate == 0 {
		r.rate = maxRate
		return
	}
	if took > 0 {
		r.rate += rateWeight * (started/took - r.rate)
	}
}

// wait returns how long it takes until late jobs that need the given number of
// cores have started.
func (r *lateRate) wait(cores int) time.Duration {
	if r.rate == 0 {
		return 0
	}
	return min(maxWait, time.Duration(float64(cores)/r.rate*float64(time.Second)))
}

// maxWait bounds an expected wait, so that it can be added to a time without
// overflow.
const maxWait = time.Hour

// lateRateOf returns the rate at which late jobs of a pool start.
func (m *Machine) lateRateOf(p ident.Pool) *lateRate { return index.GetOrCreate(m.lateRates, p) }

// shed refuses the late jobs that will not start while they are of use, judged by
// the rate at which late jobs have started lately. In bursts beyond the capacity of
// all workers, such jobs would wait in vain up to the last moment.
func (m *Machine) shed(now time.Time) {
	waiting := slices.Clone(m.queue.jobs[late].Items())
	ahead := map[ident.Pool]int{}
	for _, j := range waiting {
		if _, ok := ahead[j.spec.Pool]; !ok {
			ahead[j.spec.Pool] = 0
			m.lateRateOf(j.spec.Pool).measure(now, m.capacity.Pool(j.spec.Pool).Rate(m.meanRunTime))
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
		if !j.stored && now.Add(m.lateRateOf(j.spec.Pool).wait(cores)+m.fastestRunTime(j)).After(j.uselessAt) {
			m.refuseQueued(now, j)
			continue
		}
		ahead[j.spec.Pool] = cores
	}
}
