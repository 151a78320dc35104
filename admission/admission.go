package admission

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// Config builds a Queue.
type Config struct {
	// Jitter returns a random number from 0 up to 1. It spreads the times at
	// which refused callers come back.
	Jitter func() float64
}

// Share is what a team may use on this host.
type Share struct {
	// Weight is the team's share of a contended pool. Zero means one.
	Weight int
	// Rate bounds the starts per second. Zero means no bound.
	Rate float64
	// Limit bounds the waiting entries. Zero means no bound of its own.
	Limit int
}

// Arrival is work that asks to be admitted as a whole.
type Arrival struct {
	Team ident.Team
	// Entries is the number of entries.
	Entries int
	// Deadline is when all entries must have started. Zero means never.
	Deadline time.Time
	// MaxWait is the longest wait for the first start. Zero means no bound.
	MaxWait time.Duration
}

const (
	// learnShare is the weight of a new run time in a learned mean.
	learnShare = 0.05
	// defaultRunTime is the run time in seconds of a team that is not known.
	defaultRunTime = 0.5
	// burstSeconds is the time for which an unused quota adds up.
	burstSeconds = 2
	// meterWindow is the time over which the drain rate is measured.
	meterWindow = 500 * time.Millisecond
	// meterShare is the weight of a new window in the drain rate.
	meterShare = 0.3
	// rateMargin is the factor by which the drain rate may be underestimated
	// when work is refused for its deadline.
	rateMargin = 2
	// minRetryAfter and maxRetryAfter bound the time after which a refused
	// caller may come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// SetShares replaces the bound of all waiting entries and the shares of all
// teams. A team that is not listed has weight one and no bounds of its own.
func (q *Queue[Item]) SetShares(limit int, shares map[ident.Team]Share) {
	q.limit = limit
	for name := range shares {
		q.team(name)
	}
	q.weight = 0
	for name, t := range q.teams {
		t.share = shares[name]
		if t.waiting > 0 {
			q.weight += t.weight()
		}
	}
}

// Admit returns nil if the arrival may be pushed, or why it is refused and
// when its caller may come back.
func (q *Queue[Item]) Admit(now time.Time, a Arrival) *outcome.Error {
	t := q.team(a.Team)
	rate := q.rate(t)
	if q.waiting+a.Entries > q.limit {
		return q.refuse(outcome.QueueFull, q.drain.rate, q.waiting, "the queue of the pool is full")
	}
	if t.share.Limit > 0 && t.waiting+a.Entries > t.share.Limit {
		return q.refuse(outcome.QuotaExceeded, rate, t.waiting, "the team's share of the queue is full")
	}
	if rate == 0 {
		return nil
	}
	first := seconds(float64(t.waiting) / rate)
	last := seconds(float64(t.waiting+a.Entries-1) / rate / rateMargin)
	if a.MaxWait > 0 && first > a.MaxWait {
		return q.refuse(outcome.QueueFull, rate, t.waiting, "the wait would be too long")
	}
	if !a.Deadline.IsZero() && now.Add(last).After(a.Deadline) {
		return q.refuse(outcome.DeadlinePassed, rate, t.waiting, "the deadline would pass before the start")
	}
	return nil
}

// rate returns the starts per second that a team can expect, or zero if that
// is not known.
func (q *Queue[Item]) rate(t *team[Item]) float64 {
	total := q.weight
	if t.waiting == 0 {
		total += t.weight()
	}
	rate := q.drain.rate * t.weight() / total
	if t.share.Rate > 0 && (rate == 0 || t.share.Rate < rate) {
		return t.share.Rate
	}
	return rate
}

// refuse returns a refusal that asks the caller to come back when half of the
// work that waits now has started, give or take a half.
func (q *Queue[Item]) refuse(code outcome.Code, rate float64, waiting int, reason string) *outcome.Error {
	after := time.Second
	if rate > 0 {
		after = seconds(float64(waiting) / rate / 2)
	}
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after = after/2 + time.Duration(q.config.Jitter()*float64(after))
	return outcome.New(outcome.NotRun, code, "%s, %d wait", reason, waiting).After(after)
}

// Refuse returns the refusal of an entry that Expire returned.
func (q *Queue[Item]) Refuse(name ident.Team) *outcome.Error {
	t := q.team(name)
	return q.refuse(outcome.DeadlinePassed, q.rate(t), t.waiting, "no slot came free in time")
}

// weight returns the share of the team in units of the default share.
func (t *team[Item]) weight() float64 { return float64(max(t.share.Weight, 1)) }

// cost returns what one start is charged, in seconds of a slot.
func (t *team[Item]) cost() float64 {
	if t.runTime == 0 {
		return defaultRunTime
	}
	return t.runTime
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()*1000) * float64(time.Second))
}

// bucket is a token bucket for the starts of a team.
type bucket struct {
	tokens float64
	filled time.Time
	// ready is when the next start is allowed, zero if it is.
	ready time.Time
	index int
}

// take uses one start and sets ready if no other is left. Rate zero means no
// bound.
func (b *bucket) take(now time.Time, rate float64) {
	b.ready = time.Time{}
	if rate <= 0 {
		return
	}
	depth := max(rate*burstSeconds, 1)
	if b.filled.IsZero() {
		b.tokens = depth
	} else {
		b.tokens = min(b.tokens+rate*now.Sub(b.filled).Seconds(), depth)
	}
	b.filled = now
	b.tokens--
	if b.tokens < 1 {
		b.ready = now.Add(seconds((1 - b.tokens) / rate))
	}
}

func (b *bucket) refund() { b.tokens++ }

// meter measures the starts per second in windows in which work always waits.
type meter struct {
	rate    float64
	started time.Time
	starts  int
}

// count adds one start. Waits is true if more work could start after it.
func (m *meter) count(now time.Time, waits bool) {
	if !waits {
		m.started = time.Time{}
		return
	}
	if m.started.IsZero() {
		m.started, m.starts = now, 0
		return
	}
	m.starts++
	took := now.Sub(m.started)
	if took < meterWindow {
		return
	}
	rate := float64(m.starts) / took.Seconds()
	if m.rate == 0 {
		m.rate = rate
	}
	m.rate += meterShare * (rate - m.rate)
	m.started, m.starts = now, 0
}
