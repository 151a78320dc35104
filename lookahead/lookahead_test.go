package lookahead_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/lookahead"
	"github.com/catkingap/catkingap/work"
)

var now = time.Unix(1_800_000_000, 0)

func after(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

func cores(n int) work.Size { return work.Size{Cores: n, Memory: n} }

// TestFirstOpening guards against reservations that come too early, and against giving others
// capacity that the waiting task needs.
func TestFirstOpening(t *testing.T) {
	ends := []lookahead.End{{At: after(10), Size: cores(24)}, {At: after(50), Size: cores(32)}}
	tests := map[string]struct {
		free, size work.Size
		ends       []lookahead.End
		want       lookahead.Opening
		fits       bool
	}{
		"fits now":               {free: cores(8), size: cores(8), ends: ends, want: lookahead.Opening{At: now}, fits: true},
		"after the first run":    {free: cores(8), size: cores(30), ends: ends, want: lookahead.Opening{At: after(10), Spare: cores(2)}, fits: true},
		"exactly what is free":   {free: cores(8), size: cores(32), ends: ends, want: lookahead.Opening{At: after(10)}, fits: true},
		"after both runs":        {free: cores(8), size: cores(40), ends: ends, want: lookahead.Opening{At: after(50), Spare: cores(8)}, fits: true},
		"a whole worker":         {free: cores(8), size: cores(64), ends: ends, want: lookahead.Opening{At: after(50)}, fits: true},
		"larger than the worker": {free: cores(8), size: cores(65), ends: ends, want: lookahead.Opening{At: after(50)}},
		"memory comes later": {
			free: work.Size{Cores: 40}, size: work.Size{Cores: 30, Memory: 30}, ends: ends,
			want: lookahead.Opening{At: after(50), Spare: work.Size{Cores: 40}}, fits: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o, fits := lookahead.FirstOpening(now, test.free, test.size, test.ends)
			is.Equal(o, test.want)
			is.Equal(fits, test.fits)
		})
	}
}

// TestExpectedEnd guards against reservations that rest on runs which should have ended, or on
// estimates that the progress of the run has disproved.
func TestExpectedEnd(t *testing.T) {
	tests := map[string]struct {
		run  lookahead.Run
		want time.Time
	}{
		"by its estimate":     {run: lookahead.Run{Sent: after(-40), RunTime: 100 * time.Millisecond}, want: after(60)},
		"overdue":             {run: lookahead.Run{Sent: after(-200), RunTime: 100 * time.Millisecond}, want: after(50)},
		"by its progress":     {run: lookahead.Run{Sent: after(-40), RunTime: 100 * time.Millisecond, Percent: 20, PercentAt: now}, want: after(160)},
		"progress too little": {run: lookahead.Run{Sent: after(-40), RunTime: 100 * time.Millisecond, Percent: 2, PercentAt: now}, want: after(60)},
		"not known":           {run: lookahead.Run{}, want: now},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.run.ExpectedEnd(now), test.want)
		})
	}
}

// TestPlan guards against reservations that outlive their cause, and checks the counts.
func TestPlan(t *testing.T) {
	opening := lookahead.Opening{At: after(100)}
	usable := func(*lookahead.Reservation[string, int]) bool { return true }
	tests := map[string]struct {
		event  func(p *lookahead.Plan[string, int])
		counts map[string]int
		left   int
	}{
		"used":            {event: func(p *lookahead.Plan[string, int]) { p.Started("w1", 1) }, counts: map[string]int{"made": 2, "used": 1}, left: 1},
		"another beside":  {event: func(p *lookahead.Plan[string, int]) { p.Started("w1", 2) }, counts: map[string]int{"made": 2, "beside": 1}, left: 2},
		"one task waits":  {event: func(p *lookahead.Plan[string, int]) { p.EndVoid(func(int) int { return 1 }, usable) }, counts: map[string]int{"made": 2, "unneeded": 1}, left: 1},
		"job ended":       {event: func(p *lookahead.Plan[string, int]) { p.EndVoid(func(int) int { return 0 }, usable) }, counts: map[string]int{"made": 2, "unneeded": 2}},
		"worker unusable": {event: endUnusable, counts: map[string]int{"made": 2, "unusable": 1}, left: 1},
		"not yet overdue": {event: func(p *lookahead.Plan[string, int]) { p.EndOverdue(after(190)) }, counts: map[string]int{"made": 2}, left: 2},
		"overdue":         {event: func(p *lookahead.Plan[string, int]) { p.EndOverdue(after(191)) }, counts: map[string]int{"made": 2, "overdue": 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changes := 0
			p := lookahead.NewPlan[string, int](func(string) { changes++ })
			p.Reserve(now, "w1", 1, cores(40), opening)
			p.Reserve(now, "w2", 1, cores(40), opening)
			test.event(p)
			is.Equal(p.TakeCounts(), test.counts)
			is.Equal(len(p.All()), test.left)
			is.Equal(p.Count(1), test.left)
			is.Equal(changes, 4-test.left)
			is.Equal(len(p.TakeCounts()), 0)
		})
	}
}

func endUnusable(p *lookahead.Plan[string, int]) {
	p.EndVoid(func(int) int { return 2 }, func(r *lookahead.Reservation[string, int]) bool { return r.Worker != "w1" })
}

// TestBounds states how many reservations there may be and for which tasks.
func TestBounds(t *testing.T) {
	is := is.New(t)
	for workers, want := range map[int]int{1: 1, 15: 1, 16: 2, 40: 5, 64: 8, 890: 8} {
		is.Equal(lookahead.MaxReservations(workers), want)
	}
	is.True(lookahead.IsLarge(36_000, 32_000))
	is.True(!lookahead.IsLarge(35_000, 32_000))
}
