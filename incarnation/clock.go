package incarnation

import (
	"time"

	"github.com/catkingap/catkingap/worker"
)

const (
	// Drift is the share by which a worker's clock may run slower than true time.
	Drift = 0.02
	// LapseMargin is added to the time at which a lease must have lapsed. It covers the time
	// that a worker takes to end its runs.
	LapseMargin = 60 * time.Millisecond
	// clockGap is how far the clock of a worker must go back to belong to another
	// incarnation. Answers that overtake each other are less than two seconds apart.
	clockGap = worker.Clock(2000)
)

// Clock is what is known of the clock of a worker, which starts anew with each incarnation.
type Clock struct {
	// Reading was the worker's clock at the time At. Zero means that it is not known.
	Reading worker.Clock
	At      time.Time
}

// HasRestarted returns true if the clock of the same incarnation can not show a reading in the
// answer to an order that was sent at the time sent.
func (c *Clock) HasRestarted(sent time.Time, reading worker.Clock) bool {
	if sent.Before(c.At) {
		return reading < c.Reading-clockGap
	}
	return reading < c.Reading+worker.Clock(time.Duration((1-Drift)*float64(sent.Sub(c.At))).Milliseconds())
}

// After returns the worker's clock at d after now.
func (c *Clock) After(now time.Time, d time.Duration) worker.Clock {
	return c.Reading + worker.Clock((now.Sub(c.At) + d).Milliseconds())
}

// LapseAt returns when a lease must have lapsed that ends at a time on the worker's clock.
func (c *Clock) LapseAt(end worker.Clock) time.Time {
	return c.At.Add(LapseTime(time.Duration(end-c.Reading) * time.Millisecond))
}

// LapseTime returns the time after which a lease of d has lapsed on a worker's clock, however
// slow that clock runs.
func LapseTime(d time.Duration) time.Duration {
	return time.Duration(float64(d)/(1-Drift)) + LapseMargin
}
