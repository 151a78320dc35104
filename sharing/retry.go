package sharing

import (
	"time"

	"github.com/catkingap/catkingap/work"
)

const (
	// shortageLength is how long a shortage is expected to last from its beginning: bursts
	// last 4 to 8 s.
	shortageLength = 7 * time.Second
	// minRetryAfter is the shortest time after which a refused caller comes back while
	// capacity is short. Retry-After has whole seconds.
	minRetryAfter = time.Second
	// maxRetryAfter bounds that time.
	maxRetryAfter = 30 * time.Second
	// usableShare is the share of all cores up to which callers that come back are served
	// in time. Some 8 % of the cores are in gaps that no task fits into.
	usableShare = 0.8
	// minSpareShare is the share of all cores that refused callers get at least when they
	// come back.
	minSpareShare = 0.1
)

// RetryAfter returns when the caller of a job that is refused because capacity is short
// should come back. Callers are spread over the time after the expected end of the shortage,
// so that the cores that the usual demand leaves free suffice for all of them.
func (s *Shares) RetryAfter(now time.Time, j *work.Job) time.Duration {
	s.queue(j.Queue).refused++
	at := s.nextReturn(now)
	s.bookedUntil = at
	cores := float64(s.used + s.free)
	spare := max(cores*usableShare-s.weight, cores*minSpareShare)
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		return maxRetryAfter
	}
	if spare > 0 {
		s.bookedUntil = at.Add(time.Duration(coreSeconds(j) / spare * float64(time.Second)))
	}
	return at.Sub(now)
}

// PreviewRetryAfter returns what RetryAfter would return, and changes nothing.
func (s *Shares) PreviewRetryAfter(now time.Time, _ *work.Job) time.Duration {
	return min(maxRetryAfter, s.nextReturn(now).Sub(now))
}

// nextReturn returns when the next refused caller should come back.
func (s *Shares) nextReturn(now time.Time) time.Time {
	from := now.Add(minRetryAfter)
	if end := s.shortSince.Add(shortageLength); s.short && end.After(from) {
		from = end
	}
	if s.bookedUntil.After(from) {
		return s.bookedUntil
	}
	return from
}
