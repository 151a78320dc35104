package admission

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// Config builds a Queue.
type Config struct {
	// Jitter returns a random number in [0, 1). It spreads the retries of
	// refused callers.
	Jitter func() float64
}

// Share holds the weight and the quotas of a team on this host.
type Share struct {
	// Weight is the team's share of a contended pool. Zero means one.
	Weight int
	// Rate limits the starts per second. Zero means no limit.
	Rate float64
	// Limit limits the waiting entries. Zero means only the limit of the queue.
	Limit int
}

// Arrival is a submission of entries that are admitted or refused together.
type Arrival struct {
	Team ident.Team
	// Entries is the number of entries.
	Entries int
	// Deadline is the time by which all entries must have started. Zero means
	// no deadline.
	Deadline time.Time
	// MaxWait limits the expected wait for the first start. Zero means no limit.
	MaxWait time.Duration
}

const (
	// runTimeSmoothing is the weight of a new sample in the moving average of a
	// team's run times.
	runTimeSmoothing = 0.05
	// defaultRunTime is the run time, in seconds, assumed for a team that has
	// no samples.
	defaultRunTime = 0.5
	// burstSeconds is the time, in seconds, over which unused quota accumulates.
	burstSeconds = 2
	// rateWindow is the time over which one sample of the drain rate is taken.
	rateWindow = 500 * time.Millisecond
	// rateSmoothing is the weight of a new sample in the drain rate.
	rateSmoothing = 0.3
	// rateMaxAge is how long a drain rate counts after its last sample.
	rateMaxAge = 2 * time.Second
	// rateMargin is the factor by which the drain rate is assumed to be
	// underestimated when work is refused because of its deadline.
	rateMargin = 2
	// minRetryAfter and maxRetryAfter bound the time after which a refused
	// caller is asked to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// SetShares replaces the limit of all waiting entries and the shares of all
// teams. A team that is not listed has weight one and no quotas of its own.
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

// Admit returns nil if the arrival may be pushed. Otherwise it returns the
// reason of the refusal and the time after which the caller may retry.
func (q *Queue[Item]) Admit(now time.Time, a Arrival) *outcome.Error {
	t := q.team(a.Team)
	q.drain.forgetOld(now)
	rate := q.expectedRate(t)
	if q.waiting+a.Entries > q.limit {
		return q.refusal(outcome.QueueFull, q.drain.rate, q.waiting, "the queue of the pool is full")
	}
	if t.share.Limit > 0 && t.waiting+a.Entries > t.share.Limit {
		return q.refusal(outcome.QuotaExceeded, rate, t.waiting, "the team's share of the queue is full")
	}
	if rate == 0 {
		return nil
	}
	first := seconds(float64(t.waiting) / rate)
	last := seconds(float64(t.waiting+a.Entries-1) / rate / rateMargin)
	if a.MaxWait > 0 && first > a.MaxWait {
		return q.refusal(outcome.QueueFull, rate, t.waiting, "the wait would be too long")
	}
	if !a.Deadline.IsZero() && now.Add(last).After(a.Deadline) {
		return q.refusal(outcome.DeadlinePassed, rate, t.waiting, "the deadline would pass before the start")
	}
	return nil
}

// expectedRate returns the starts per second that a team can expect, or zero if
// no rate has been measured.
func (q *Queue[Item]) expectedRate(t *team[Item]) float64 {
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

// refusal returns an error that asks the caller to retry once half of the
// work that waits now has started. Jitter changes that time by up to half.
func (q *Queue[Item]) refusal(code outcome.Code, rate float64, waiting int, reason string) *outcome.Error {
	after := time.Second
	if rate > 0 {
		after = seconds(float64(waiting) / rate / 2)
	}
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after = after/2 + time.Duration(q.config.Jitter()*float64(after))
	return outcome.New(outcome.NotRun, code, "%s, %d wait", reason, waiting).WithRetryAfter(after)
}

// ExpiryRefusal returns the error that answers an entry returned by Expire.
func (q *Queue[Item]) ExpiryRefusal(name ident.Team) *outcome.Error {
	t := q.team(name)
	return q.refusal(outcome.DeadlinePassed, q.expectedRate(t), t.waiting, "no slot came free in time")
}

// weight returns the weight of the team, which is at least one.
func (t *team[Item]) weight() float64 { return float64(max(t.share.Weight, 1)) }

// cost returns the charge for one start, in seconds of slot time.
func (t *team[Item]) cost() float64 {
	if t.meanRunTime == 0 {
		return defaultRunTime
	}
	return t.meanRunTime
}

// seconds converts s to a duration, capped to avoid an overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()*1000) * float64(time.Second))
}

// bucket is a token bucket for the starts of a team.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	// readyAt is when the next start is allowed, or zero if one is allowed now.
	readyAt time.Time
	index   int
}

// take uses one token and sets readyAt if no whole token is left. A rate of zero
// means no limit.
func (b *bucket) take(now time.Time, rate float64) {
	b.readyAt = time.Time{}
	if rate <= 0 {
		return
	}
	depth := max(rate*burstSeconds, 1)
	if b.refilledAt.IsZero() {
		b.tokens = depth
	} else {
		b.tokens = min(b.tokens+rate*now.Sub(b.refilledAt).Seconds(), depth)
	}
	b.refilledAt = now
	b.tokens--
	if b.tokens < 1 {
		b.readyAt = now.Add(seconds((1 - b.tokens) / rate))
	}
}

func (b *bucket) refund() { b.tokens++ }

// rateMeter measures the starts per second. It counts only while work is
// waiting, because an empty queue says nothing about the possible rate.
type rateMeter struct {
	rate        float64
	measuredAt  time.Time
	windowStart time.Time
	starts      int
}

// recordStart counts one start. Backlogged is true if more work could start
// after it.
func (m *rateMeter) recordStart(now time.Time, backlogged bool) {
	if !backlogged {
		m.interrupt()
		return
	}
	if m.windowStart.IsZero() {
		m.windowStart, m.starts = now, 0
		return
	}
	m.starts++
	took := now.Sub(m.windowStart)
	if took < rateWindow {
		return
	}
	rate := float64(m.starts) / took.Seconds()
	if m.rate == 0 {
		m.rate = rate
	}
	m.rate += rateSmoothing * (rate - m.rate)
	m.measuredAt, m.windowStart, m.starts = now, now, 0
}

// interrupt ends the present sample because no more work can start.
func (m *rateMeter) interrupt() { m.windowStart = time.Time{} }

// forgetOld drops a rate that was not measured lately. A queue that refuses work because of
// a low rate has no backlog by which it could measure a higher one.
func (m *rateMeter) forgetOld(now time.Time) {
	if now.Sub(m.measuredAt) >= rateMaxAge {
		m.rate = 0
	}
}
