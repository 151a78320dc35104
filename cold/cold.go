// Package cold decides how much work a worker gets that has started lately and is slow for a
// while. It has no side effects.
//
// A cold worker gets at most a given number of starts per second, and bursts that stay below the
// slack that the operator allows. The operator also tolerates that rate to be exceeded by some
// factor. That margin is not used up: it is left for changes of the owner, who does not know how
// many starts the one before has sent.
package cold

import (
	"maps"
	"math"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Limits are the limits for the cold workers of one pool. The zero Limits have no effect.
type Limits struct {
	// Time is how long a worker is cold after its start, unless its row tells the time left.
	Time time.Duration `msgpack:"time"`
	// PerSecond is the number of starts per second that a cold worker gets. Zero means no limit.
	PerSecond float64 `msgpack:"perSecond"`
	// Slack is the number of starts below which a burst must stay.
	Slack float64 `msgpack:"slack"`
}

// ownerReserve is the part of the slack that is left for the first start of the next owner.
const ownerReserve = 2

// burst returns the number of starts that a cold worker gets at once at most.
func (l *Limits) burst() float64 { return max(1, math.Ceil(l.Slack)-ownerReserve) }

// Told is what the row of a worker tells of the time for which it stays cold.
type Told struct {
	// Known is true if the row has the time left, and Remaining is that time.
	Known     bool
	Remaining time.Duration
}

// IsAlike returns true if two rows tell the same, except for the time that has passed.
func (t Told) IsAlike(x Told) bool {
	return t.Known == x.Known && (t.Remaining > 0) == (x.Remaining > 0)
}

// Worker is what an owner knows of the coldness of one worker. The zero Worker is warm.
type Worker struct {
	born  time.Time
	told  Told
	until time.Time
	// starts is the number of starts that the worker can get at the time at.
	starts float64
	at     time.Time
}

// Update records when a worker has started, and what its row tells. A row that tells the same as
// before is an old one.
func (w *Worker) Update(now, born time.Time, t Told, l *Limits) {
	if !born.Equal(w.born) {
		*w = Worker{born: born, told: Told{Known: !t.Known}, starts: 1, at: now}
	}
	if t != w.told {
		w.told = t
		w.until = now.Add(t.Remaining)
	}
	if !t.Known && l.PerSecond > 0 {
		// The clocks of the two machines may differ.
		w.until = earliest(born, now).Add(l.Time)
	}
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// IsCold returns true if the worker is cold.
func (w *Worker) IsCold(now time.Time) bool { return now.Before(w.until) }

// Free returns the number of starts that the worker can get now, at most n.
func (w *Worker) Free(now time.Time, n int, l *Limits) int {
	if l.PerSecond <= 0 || !w.IsCold(now) {
		return n
	}
	return min(n, int(w.count(now, l)))
}

// count returns the starts that the worker can get, which may be a fraction.
func (w *Worker) count(now time.Time, l *Limits) float64 {
	return min(l.burst(), w.starts+l.PerSecond*now.Sub(w.at).Seconds())
}

// Started records a start.
func (w *Worker) Started(now time.Time, l *Limits) {
	if l.PerSecond > 0 && w.IsCold(now) {
		w.starts, w.at = max(0, w.count(now, l)-1), now
	}
}

// Next returns when a worker that can get no start now can get the next one.
func (w *Worker) Next(now time.Time, l *Limits) time.Time {
	missing := time.Duration((1 - w.count(now, l)) / l.PerSecond * float64(time.Second))
	// A nanosecond more, so that rounding does not leave a part of a start missing.
	return earliest(w.until, now.Add(missing+1))
}

// Board holds the limits of all pools. The zero Board has none.
type Board struct {
	limits map[ident.Pool]Limits
	// until is the time from which on no worker is cold.
	until time.Time
}

// SetLimits sets the limits of all pools, and returns true if they have changed.
func (b *Board) SetLimits(limits map[ident.Pool]Limits) bool {
	changed := !maps.Equal(limits, b.limits)
	b.limits = limits
	return changed
}

func (b *Board) limitsOf(p ident.Pool) *Limits {
	l := b.limits[p]
	return &l
}

// Update records when a worker of a pool has started, and what its row tells.
func (b *Board) Update(now time.Time, w *Worker, p ident.Pool, born time.Time, t Told) {
	w.Update(now, born, t, b.limitsOf(p))
	if w.until.After(b.until) {
		b.until = w.until
	}
}

// AnyCold returns true if a worker may be cold.
func (b *Board) AnyCold(now time.Time) bool { return now.Before(b.until) }

// Free returns the number of starts that a worker of a pool can get now, at most n.
func (b *Board) Free(now time.Time, w *Worker, p ident.Pool, n int) int {
	if !w.IsCold(now) {
		return n
	}
	return w.Free(now, n, b.limitsOf(p))
}

// Started records a start, and returns true if the worker is cold.
func (b *Board) Started(now time.Time, w *Worker, p ident.Pool) bool {
	if !w.IsCold(now) {
		return false
	}
	w.Started(now, b.limitsOf(p))
	return true
}

// Next returns when a worker that can get no start now can get the next one.
func (b *Board) Next(now time.Time, w *Worker, p ident.Pool) time.Time {
	return w.Next(now, b.limitsOf(p))
}
