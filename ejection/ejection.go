// Package ejection decides which servers get no work because they fail what
// they get, and when one is tried again. It is pure: the caller passes the
// present time.
package ejection

import "time"

// Config builds a Judge.
type Config struct {
	// MaxShare bounds the ejected servers, as a share of all.
	MaxShare float64
	// Failures is the number of failures in a row after which a server may be
	// ejected.
	Failures int
	// MinProbe and MaxProbe bound the time between two trials of an ejected
	// server. It doubles with each failed one.
	MinProbe, MaxProbe time.Duration
}

// Change is what an event changed for a server.
type Change string

// The changes of a server.
const (
	None     Change = ""
	Ejected  Change = "ejected"
	Returned Change = "returned"
)

const (
	// rateShare is the weight of a result in the record of a server, and
	// poolShare that in the record of the pool.
	rateShare = 0.2
	poolShare = 0.01
	// margin is how much higher the failure rate of a server must be than
	// that of the pool.
	margin = 0.3
	// carefulFactor is how many times later work that must not fail is used
	// for a trial than work that may be sent again.
	carefulFactor = 10
	// hintTime is the time for which the judgement of a peer counts.
	hintTime = time.Minute
	// warmStarts is the number of starts that each answer adds while a server
	// is new or has returned.
	warmStarts = 2
	// warmTime is the time in which the limit of such a server doubles, and
	// maxWarmDoublings bounds how often it does.
	warmTime         = 100 * time.Millisecond
	maxWarmDoublings = 10
)

// record is what a Judge knows of one server.
type record struct {
	rate    float64
	streak  int
	answers int
	// first is when the server got its first work since it is new or returned.
	first    time.Time
	ejected  bool
	probing  bool
	probe    time.Duration
	probeAt  time.Time
	hintedAt time.Time
}

// Judge keeps the records of the servers of one pool.
type Judge[Name comparable] struct {
	config  Config
	records map[Name]*record
	ejected int
	// rate is the failure rate of the pool.
	rate float64
}

// NewJudge returns a judge that has ejected nothing.
func NewJudge[Name comparable](c Config) *Judge[Name] {
	return &Judge[Name]{config: c, records: map[Name]*record{}}
}

// SetServers keeps only the records of the named servers.
func (j *Judge[Name]) SetServers(names []Name) {
	old := j.records
	j.records = make(map[Name]*record, len(names))
	j.ejected = 0
	for _, n := range names {
		r := old[n]
		if r == nil {
			r = &record{}
		}
		if r.ejected {
			j.ejected++
		}
		j.records[n] = r
	}
}

// Allowed returns true if a server may get work now. Safe work may be sent
// again if it fails.
func (j *Judge[Name]) Allowed(now time.Time, n Name, safe bool) bool {
	r := j.records[n]
	if r == nil || !r.ejected {
		return true
	}
	if r.probing {
		return false
	}
	if safe {
		return !now.Before(r.probeAt)
	}
	return !now.Before(r.probeAt.Add((carefulFactor - 1) * r.probe))
}

// Trial returns when a server that is left out may be tried again, or the zero
// time if it is not left out or being tried.
func (j *Judge[Name]) Trial(n Name) time.Time {
	if r := j.records[n]; r != nil && r.ejected && !r.probing {
		return r.probeAt
	}
	return time.Time{}
}

// Limit returns how many tasks a server may run at once while it is new or has
// just returned. It grows with answers, and doubles with time, so that long
// tasks do not wait for each other.
func (j *Judge[Name]) Limit(now time.Time, n Name) int {
	r := j.records[n]
	if r == nil || r.first.IsZero() {
		return 1
	}
	doublings := min(now.Sub(r.first)/warmTime, maxWarmDoublings)
	return 1<<doublings + warmStarts*r.answers
}

// Grows returns when the limit of a server grows next, or the zero time if time
// does not change it.
func (j *Judge[Name]) Grows(now time.Time, n Name) time.Time {
	r := j.records[n]
	if r == nil || r.first.IsZero() {
		return time.Time{}
	}
	doublings := now.Sub(r.first) / warmTime
	if doublings >= maxWarmDoublings {
		return time.Time{}
	}
	return r.first.Add((doublings + 1) * warmTime)
}

// Started tells that a server got work. For an ejected one it is a trial.
func (j *Judge[Name]) Started(now time.Time, n Name) {
	r := j.records[n]
	if r == nil {
		return
	}
	if r.first.IsZero() {
		r.first = now
	}
	if r.ejected {
		r.probing = true
	}
}

// Answered tells that a server did its work.
func (j *Judge[Name]) Answered(n Name) Change {
	j.rate -= poolShare * j.rate
	r := j.records[n]
	if r == nil {
		return None
	}
	r.answers++
	r.streak = 0
	r.rate -= rateShare * r.rate
	if !r.ejected {
		return None
	}
	j.ejected--
	*r = record{}
	return Returned
}

// Failed tells that a server failed its work.
func (j *Judge[Name]) Failed(now time.Time, n Name) Change {
	j.rate += poolShare * (1 - j.rate)
	r := j.records[n]
	if r == nil {
		return None
	}
	r.streak++
	r.rate += rateShare * (1 - r.rate)
	if r.ejected {
		r.probing = false
		r.probe = min(2*r.probe, j.config.MaxProbe)
		r.probeAt = now.Add(r.probe)
		return None
	}
	if !j.worse(now, r) || float64(j.ejected+1) > j.config.MaxShare*float64(len(j.records)) {
		return None
	}
	j.ejected++
	r.ejected, r.probe, r.answers = true, j.config.MinProbe, 0
	r.probeAt = now.Add(r.probe)
	return Ejected
}

// worse returns true if the record of a server is worse than that of the pool.
func (j *Judge[Name]) worse(now time.Time, r *record) bool {
	if !r.hintedAt.IsZero() && now.Sub(r.hintedAt) < hintTime {
		return r.streak >= 1
	}
	return r.streak >= j.config.Failures && r.rate > j.rate+margin
}

// Withdrawn tells that the work of a server says nothing about it.
func (j *Judge[Name]) Withdrawn(n Name) {
	if r := j.records[n]; r != nil {
		r.probing = false
	}
}

// Hint tells that another host has ejected a server.
func (j *Judge[Name]) Hint(now time.Time, n Name) {
	if r := j.records[n]; r != nil {
		r.hintedAt = now
	}
}

// List returns the ejected servers.
func (j *Judge[Name]) List() []Name {
	if j.ejected == 0 {
		return nil
	}
	var names []Name
	for n, r := range j.records {
		if r.ejected {
			names = append(names, n)
		}
	}
	return names
}
