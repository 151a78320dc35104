// Package throttle limits the share of jobs that a host submits to an owner whose
// processor does not keep up. It is meant for bursts beyond what the owner of some
// hundred workers can decide. Without a limit the owner would lag behind with all jobs
// and give up those that other owners could have finished in time.
package throttle

import "time"

const (
	// maxLag is the lag of an owner above which fewer jobs are submitted to it: half of
	// the time that an order to a worker may take.
	maxLag = 30 * time.Millisecond
	// minInterval is the shortest time between two changes of the share: two ticks of an
	// owner, after which it knows its lag.
	minInterval = 50 * time.Millisecond
	// drainTime is the time within which an owner has to catch up.
	drainTime = 400 * time.Millisecond
	// step is added to the share at each change while the owner keeps up: all jobs are
	// submitted again within half a second after a burst.
	step = 0.1
	// minShare is the share that is always submitted, so that an owner that has caught
	// up is used. maxChange bounds the error of one change.
	minShare, maxChange = 0.1, 4.0
)

// Gate decides which jobs are submitted to one owner. The zero value passes all jobs.
type Gate struct {
	// excess is the share of the jobs that the owner cannot handle. draining is the
	// share of the others that is held back to let the owner catch up.
	excess, draining float64
	lag              time.Duration
	changedAt        time.Time
	// credit is the accumulated fraction of the next job that passes.
	credit float64
}

// ObserveLag handles the lag that an owner has reported at now.
func (g *Gate) ObserveLag(now time.Time, lag time.Duration) {
	passed := now.Sub(g.changedAt)
	if passed < minInterval {
		return
	}
	growth := lag - g.lag
	g.changedAt, g.lag = now, lag
	if lag <= maxLag {
		g.excess, g.draining = max(0, g.excess-step), 0
		return
	}
	// Work arriving per unit of work that the owner completes.
	load := min(maxChange, max(1/maxChange, 1+growth.Seconds()/passed.Seconds()))
	g.excess = 1 - min(1, max(minShare, g.passShare()/load))
	g.draining = min(1, lag.Seconds()/drainTime.Seconds())
}

// passShare returns the share of the jobs that pass.
func (g *Gate) passShare() float64 { return max(minShare, (1-g.excess)*(1-g.draining)) }

// Allow returns true if the next job is to be submitted. The jobs that pass are spread
// evenly.
func (g *Gate) Allow() bool {
	g.credit += g.passShare()
	if g.credit < 1 {
		return false
	}
	g.credit--
	return true
}
