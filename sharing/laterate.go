package sharing

import "time"

// LateRate measures how fast the late jobs of a pool start.
type LateRate struct {
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

// Started counts a started task of a late job.
func (r *LateRate) Started(cores int) { r.started += cores }

// Measure adds the starts since the last tick, while late jobs wait. As long as the
// rate is not known, late jobs may get all capacity: maxRate is the number of cores
// freed per second.
func (r *LateRate) Measure(now time.Time, maxRate float64) {
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

// Wait returns how long it takes until late jobs that need the given number of
// cores have started.
func (r *LateRate) Wait(cores int) time.Duration {
	if r.rate == 0 {
		return 0
	}
	return waitFor(float64(cores), r.rate)
}

// maxWait bounds an expected wait, so that it can be added to a time without
// overflow.
const maxWait = time.Hour

// waitFor returns how long it takes to free cores at a rate per second.
func waitFor(cores, rate float64) time.Duration {
	if cores <= 0 {
		return 0
	}
	return time.Duration(min(cores/rate, maxWait.Seconds()) * float64(time.Second))
}
