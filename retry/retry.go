// Package retry decides whether and when work is retried, and estimates the run
// time after which a hedge is sent. It is pure: the caller passes the current
// time.
package retry

import "time"

// Config builds a Policy.
type Config struct {
	// Share is the number of retries that each first attempt adds to the budget.
	Share float64
	// Burst limits the retries in the budget.
	Burst float64
	// MinBackoff and MaxBackoff bound the time before a retry. It doubles with
	// each attempt.
	MinBackoff, MaxBackoff time.Duration
	// Jitter returns a random number in [0, 1).
	Jitter func() float64
}

// exhaustedDoublings is how many times the backoff is doubled once the budget is
// exhausted.
const exhaustedDoublings = 2

// maxLost is the number of servers that may be lost under one piece of work. It may have
// crashed them.
const maxLost = 2

// Attempt is an attempt that ended without an answer.
type Attempt struct {
	// Number is the number of attempts that have ended, including this one.
	Number int
	// Lost is the number of attempts whose server was lost while it ran the work.
	Lost int
	// NotRun is true if the work provably did not run.
	NotRun bool
	// Idempotent is true if the work may run more than once.
	Idempotent bool
	// Overloaded is true if other work is waiting for a slot.
	Overloaded bool
	// Deadline is the time by which the work must be answered. Zero means no
	// deadline.
	Deadline time.Time
}

// Policy holds the retry budget of one team.
type Policy struct {
	config Config
	tokens float64
}

// NewPolicy returns a policy with a full budget.
func NewPolicy(c Config) *Policy {
	return &Policy{config: c, tokens: c.Burst}
}

// RecordFirst adds the share of a first attempt to the budget.
func (p *Policy) RecordFirst() { p.tokens = min(p.tokens+p.config.Share, p.config.Burst) }

// Take takes one retry from the budget. It returns false if none is left.
func (p *Policy) Take() bool {
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Delay returns the time after which work is retried, or false if it is not.
// Only idempotent work and work that provably did not run is retried, and none that
// servers were lost under twice. The first
// retry of work that did not run is immediate. Such work takes from the budget
// only if the pool is overloaded, and with an exhausted budget it is delayed
// longer instead of being given up: it was admitted, and its caller would submit
// it again.
func (p *Policy) Delay(now time.Time, a Attempt) (time.Duration, bool) {
	if (!a.NotRun && !a.Idempotent) || a.Lost >= maxLost {
		return 0, false
	}
	after := p.backoff(a.Number)
	if a.NotRun && a.Number <= 1 {
		after = 0
	}
	if !a.Deadline.IsZero() && !now.Add(after).Before(a.Deadline) {
		return 0, false
	}
	if a.NotRun && !a.Overloaded || p.Take() {
		return after, true
	}
	after = p.backoff(a.Number + exhaustedDoublings)
	if a.NotRun && (a.Deadline.IsZero() || now.Add(after).Before(a.Deadline)) {
		return after, true
	}
	return 0, false
}

// backoff returns the time before the next attempt: a random part, at least
// half, of a time that doubles with each attempt.
func (p *Policy) backoff(attempts int) time.Duration {
	full := p.config.MaxBackoff
	if shift := max(attempts-1, 0); shift < 30 {
		full = min(p.config.MinBackoff<<shift, p.config.MaxBackoff)
	}
	return full/2 + time.Duration(p.config.Jitter()*float64(full/2))
}

// Quantile estimates a quantile of run times in constant space.
type Quantile struct {
	// Level is the quantile to estimate, for example 0.95.
	Level float64
	value float64
}

// quantileStep is the greatest change of the estimate by one sample, as a
// fraction of the estimate.
const quantileStep = 0.05

// Add updates the estimate with one run time.
func (q *Quantile) Add(took time.Duration) {
	t := took.Seconds()
	switch {
	case q.value == 0:
		q.value = t
	case t > q.value:
		q.value += quantileStep * q.Level * q.value
	default:
		q.value -= quantileStep * (1 - q.Level) * q.value
	}
}

// Value returns the estimate, or zero before the first sample.
func (q *Quantile) Value() time.Duration { return time.Duration(q.value * float64(time.Second)) }
