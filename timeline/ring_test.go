package timeline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRingGrowsWithItsEvents checks that a ring takes memory for what it holds,
// not for what it may hold, and that it keeps to its size once it is full.
func TestRingGrowsWithItsEvents(t *testing.T) {
	const size = 20_000
	is := is.New(t)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	r := NewRing("host", now, size)
	held := func() int {
		n := 0
		for _, k := range r.kept {
			n += cap(k.events)
		}
		return n
	}
	is.Equal(held(), 0)
	for range 100 {
		r.Add(now, Event{Kind: TaskStarted})
	}
	is.True(held() < 200)
	for range 2 * size {
		r.Add(now, Event{Kind: TaskStarted})
	}
	is.Equal(len(r.kept[ofTask].events), size*taskShare/shares)
}
