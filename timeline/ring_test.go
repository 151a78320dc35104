package timeline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRingGrowsWithItsEvents checks that a ring allocates memory for the events
// that it holds, not for its maximum size, and that it keeps to that size.
func TestRingGrowsWithItsEvents(t *testing.T) {
	const size = 20_000
	is := is.New(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	r := NewRing("host", now, size)
	capacity := func() int {
		n := 0
		for _, k := range r.buffers {
			n += cap(k.events)
		}
		return n
	}
	is.Equal(capacity(), 0)
	for range 100 {
		r.Add(now, Event{Kind: TaskStarted})
	}
	is.True(capacity() < 200)
	for range 2 * size {
		r.Add(now, Event{Kind: TaskStarted})
	}
	is.Equal(len(r.buffers[classTask].events), size*taskShare/shares)
}
