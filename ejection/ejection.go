// Package ejection decides which servers get no work because they fail too much
// of it, and when an ejected server is probed. It is pure: the caller passes the
// current time.
package ejection

import "time"

// Config builds a Detector.
type Config struct {
	// MaxShare limits the ejected servers, as a fraction of all servers.
	MaxShare float64
	// Failures is the number of failures in a row after which a server may be
	// ejected.
	Failures int
	// MinProbe and MaxProbe bound the time between two probes of an ejected
	// server. It doubles with each failed probe.
	MinProbe, MaxProbe time.Duration
}

// Change tells how an event changed the state of a server.
type Change string

// The changes of a server.
const (
	None     Change = ""
	Ejected  Change = "ejected"
	Returned Change = "returned"
)

const (
	// serverRateSmoothing is the weight of a result in the failure rate of a
	// server, and poolRateSmoothing its weight in that of the pool.
	serverRateSmoothing = 0.2
	poolRateSmoothing   = 0.01
	// ejectionMargin is how much higher than the failure rate of the pool that
	// of a server must be before the server is ejected.
	ejectionMargin = 0.3
	// nonRetryableProbeFactor is how many times longer an ejected server waits
	// for a probe with work that must not be sent again than for a probe with
	// work that may be.
	nonRetryableProbeFactor = 10
	// hintValidity is the time for which the ejection by a peer counts.
	hintValidity = time.Minute
	// slowStartIncrease is the number of tasks that each answer adds to the
	// limit of a server that is new or has returned.
	slowStartIncrease = 2
	// slowStartDoubling is the time in which that limit doubles, and
	// maxSlowStartDoublings the number of times that it does.
	slowStartDoubling     = 100 * time.Millisecond
	maxSlowStartDoublings = 10
)

// record holds the results and the state of one server.
type record struct {
	failureRate         float64
	consecutiveFailures int
	answers             int
	// firstStart is when the server got its first work since it was added or
	// returned.
	firstStart    time.Time
	ejected       bool
	probing       bool
	probeInterval time.Duration
	nextProbe     time.Time
	hintedAt      time.Time
}

// Detector detects and ejects the failing servers of one pool.
type Detector[Name comparable] struct {
	config  Config
	records map[Name]*record
	ejected int
	// failureRate is the failure rate of the pool.
	failureRate float64
}

// NewDetector returns a Detector without servers.
func NewDetector[Name comparable](c Config) *Detector[Name] {
	return &Detector[Name]{config: c, records: map[Name]*record{}}
}

// SetServers replaces the set of servers. The records of servers that stay are
// kept.
func (d *Detector[Name]) SetServers(names []Name) {
	old := d.records
	d.records = make(map[Name]*record, len(names))
	d.ejected = 0
	for _, n := range names {
		r := old[n]
		if r == nil {
			r = &record{}
		}
		if r.ejected {
			d.ejected++
		}
		d.records[n] = r
	}
}

// Allowed returns true if a server may get work now. Retryable is true for work
// that may be sent again if it fails.
func (d *Detector[Name]) Allowed(now time.Time, n Name, retryable bool) bool {
	r := d.records[n]
	if r == nil || !r.ejected {
		return true
	}
	if r.probing {
		return false
	}
	if retryable {
		return !now.Before(r.nextProbe)
	}
	return !now.Before(r.nextProbe.Add((nonRetryableProbeFactor - 1) * r.probeInterval))
}

// NextProbe returns the time of the next probe of an ejected server. It returns
// the zero time if the server is not ejected or is being probed.
func (d *Detector[Name]) NextProbe(n Name) time.Time {
	if r := d.records[n]; r != nil && r.ejected && !r.probing {
		return r.nextProbe
	}
	return time.Time{}
}

// Limit returns how many tasks a server may run at once, which matters while it
// is new or has just returned. The limit grows with each answer. It also doubles
// over time, so that long tasks do not wait for each other.
func (d *Detector[Name]) Limit(now time.Time, n Name) int {
	r := d.records[n]
	if r == nil || r.firstStart.IsZero() {
		return 1
	}
	doublings := min(now.Sub(r.firstStart)/slowStartDoubling, maxSlowStartDoublings)
	return 1<<doublings + slowStartIncrease*r.answers
}

// NextLimitIncrease returns when the limit of a server doubles next, or the zero
// time if it does not.
func (d *Detector[Name]) NextLimitIncrease(now time.Time, n Name) time.Time {
	r := d.records[n]
	if r == nil || r.firstStart.IsZero() {
		return time.Time{}
	}
	doublings := now.Sub(r.firstStart) / slowStartDoubling
	if doublings >= maxSlowStartDoublings {
		return time.Time{}
	}
	return r.firstStart.Add((doublings + 1) * slowStartDoubling)
}

// Started records that a server got work. Work of an ejected server is a probe.
func (d *Detector[Name]) Started(now time.Time, n Name) {
	r := d.records[n]
	if r == nil {
		return
	}
	if r.firstStart.IsZero() {
		r.firstStart = now
	}
	if r.ejected {
		r.probing = true
	}
}

// Answered records that a server completed work.
func (d *Detector[Name]) Answered(n Name) Change {
	d.failureRate -= poolRateSmoothing * d.failureRate
	r := d.records[n]
	if r == nil {
		return None
	}
	r.answers++
	r.consecutiveFailures = 0
	r.failureRate -= serverRateSmoothing * r.failureRate
	if !r.ejected {
		return None
	}
	d.ejected--
	*r = record{}
	return Returned
}

// Failed records that a server failed its work.
func (d *Detector[Name]) Failed(now time.Time, n Name) Change {
	d.failureRate += poolRateSmoothing * (1 - d.failureRate)
	r := d.records[n]
	if r == nil {
		return None
	}
	r.consecutiveFailures++
	r.failureRate += serverRateSmoothing * (1 - r.failureRate)
	if r.ejected {
		r.probing = false
		r.probeInterval = min(2*r.probeInterval, d.config.MaxProbe)
		r.nextProbe = now.Add(r.probeInterval)
		return None
	}
	if !d.isFailing(now, r) || float64(d.ejected+1) > d.config.MaxShare*float64(len(d.records)) {
		return None
	}
	d.ejected++
	r.ejected, r.probeInterval, r.answers = true, d.config.MinProbe, 0
	r.nextProbe = now.Add(r.probeInterval)
	return Ejected
}

// isFailing returns true if a server fails much more than the pool, or if it has
// failed at all shortly after a peer has ejected it.
func (d *Detector[Name]) isFailing(now time.Time, r *record) bool {
	if !r.hintedAt.IsZero() && now.Sub(r.hintedAt) < hintValidity {
		return r.consecutiveFailures >= 1
	}
	return r.consecutiveFailures >= d.config.Failures && r.failureRate > d.failureRate+ejectionMargin
}

// Withdrawn records that work of a server ended without a result that counts for
// or against the server.
func (d *Detector[Name]) Withdrawn(n Name) {
	if r := d.records[n]; r != nil {
		r.probing = false
	}
}

// RecordHint records that another host has ejected a server.
func (d *Detector[Name]) RecordHint(now time.Time, n Name) {
	if r := d.records[n]; r != nil {
		r.hintedAt = now
	}
}

// EjectedServers returns the ejected servers in no particular order.
func (d *Detector[Name]) EjectedServers() []Name {
	if d.ejected == 0 {
		return nil
	}
	var names []Name
	for n, r := range d.records {
		if r.ejected {
			names = append(names, n)
		}
	}
	return names
}
