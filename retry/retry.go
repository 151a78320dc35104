// Package retry decides whether and when work is sent again, and when a second
// copy of slow work is sent. It is pure: the caller passes the present time.
package retry

import "time"

// Config builds a Policy.
type Config struct {
	// Share is the number of retries that each first try allows.
	Share float64
	// Burst bounds the retries that add up.
	Burst float64
	// MinBackoff and MaxBackoff bound the time before a retry. It doubles with
	// each try.
	MinBackoff, MaxBackoff time.Duration
	// Jitter returns a random number from 0 up to 1.
	Jitter func() float64
}

// spentDoublings is how much longer the backoff is once the budget is spent.
const spentDoublings = 2

// Attempt is a try that ended without an answer.
type Attempt struct {
	// Tries is the number of tries that have ended.
	Tries int
	// NotRun is true if the work provably did not run.
	NotRun bool
	// Idempotent is true if the work may run more than once.
	Idempotent bool
	// Overloaded is true if other work waits for a slot.
	Overloaded bool
	// Deadline is when the work is of no more use. Zero means never.
	Deadline time.Time
}

// Policy is the retry budget of one team.
type Policy struct {
	config Config
	tokens float64
}

// NewPolicy returns a policy with a full budget.
func NewPolicy(c Config) *Policy {
	return &Policy{config: c, tokens: c.Burst}
}

// First counts a first try.
func (p *Policy) First() { p.tokens = min(p.tokens+p.config.Share, p.config.Burst) }

// Take uses one retry of the budget. It returns false if none is left.
func (p *Policy) Take() bool {
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Again returns the time after which work is sent again, or false if it is
// not. Only idempotent work and work that provably did not run is. The first
// retry after a refusal is immediate, and free unless the pool is overloaded.
// Refused work for which the budget has nothing left is slowed in place of
// being given up: it was admitted, and its caller would ask again.
func (p *Policy) Again(now time.Time, a Attempt) (time.Duration, bool) {
	if !a.NotRun && !a.Idempotent {
		return 0, false
	}
	after := p.backoff(a.Tries)
	if a.NotRun && a.Tries <= 1 {
		after = 0
	}
	if !a.Deadline.IsZero() && !now.Add(after).Before(a.Deadline) {
		return 0, false
	}
	if a.NotRun && !a.Overloaded || p.Take() {
		return after, true
	}
	after = p.backoff(a.Tries + spentDoublings)
	if a.NotRun && (a.Deadline.IsZero() || now.Add(after).Before(a.Deadline)) {
		return after, true
	}
	return 0, false
}

// backoff returns the time before the next try: a random part, at least half,
// of a time that doubles with each try.
func (p *Policy) backoff(tries int) time.Duration {
	full := p.config.MaxBackoff
	if shift := max(tries-1, 0); shift < 30 {
		full = min(p.config.MinBackoff<<shift, p.config.MaxBackoff)
	}
	return full/2 + time.Duration(p.config.Jitter()*float64(full/2))
}

// Quantile learns a quantile of run times, in constant space.
type Quantile struct {
	// Part is the quantile, as 0.95.
	Part  float64
	value float64
}

// quantileStep is the part of the value by which one sample moves it.
const quantileStep = 0.05

// Add learns from one run time.
func (q *Quantile) Add(took time.Duration) {
	t := took.Seconds()
	switch {
	case q.value == 0:
		q.value = t
	case t > q.value:
		q.value += quantileStep * q.Part * q.value
	default:
		q.value -= quantileStep * (1 - q.Part) * q.value
	}
}

// Value returns the learned quantile, zero before the first sample.
func (q *Quantile) Value() time.Duration { return time.Duration(q.value * float64(time.Second)) }
