package polling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/polling"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestSpacing checks that polls are spaced by the size of the answers, and never so far apart
// that a lease lapses.
func TestSpacing(t *testing.T) {
	for name, row := range map[string]struct {
		rows int
		want time.Duration
	}{
		"nothing listed":           {rows: 0, want: 0},
		"a task on each core":      {rows: 64, want: 0},
		"a hundred more":           {rows: 164, want: 10 * time.Millisecond},
		"all that may be listed":   {rows: polling.MaxRows, want: 43_600 * time.Microsecond},
		"the runs of other owners": {rows: 100_000, want: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p polling.Pace
			p.Sent(start)
			p.Listed(row.rows)
			is.Equal(p.Next().Sub(start), row.want)
		})
	}
}

// TestExtraPollsAreBounded checks that wishes for extra polls are merged while some are open, and
// that the last wish is met after their answers.
func TestExtraPollsAreBounded(t *testing.T) {
	is := is.New(t)
	var p polling.Pace
	sent := 0
	for range 1000 {
		p.WantExtra()
		if p.TakeExtra(start) {
			sent++
		}
	}
	is.Equal(sent, 4)
	_, ok := p.NextExtra()
	is.True(!ok)
	p.ExtraEnded()
	is.True(p.TakeExtra(start))
	p.ExtraEnded()
	is.True(!p.TakeExtra(start)) // Nothing has asked for it since.
}
