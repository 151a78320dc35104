package cold_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/cold"
)

var begin = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// newWorker returns a worker that started at begin and stays cold for 10 s.
func newWorker(l *cold.Limits) *cold.Worker {
	w := &cold.Worker{}
	w.Update(begin, begin, cold.Told{Known: true, Remaining: 10 * time.Second}, l)
	return w
}

// TestRate offers a cold worker more starts than it sustains. In no span of time may it get more
// than the rate allows in that span and a burst below the slack; over all it must get the rate.
func TestRate(t *testing.T) {
	tests := map[string]cold.Limits{
		"two per second":   {PerSecond: 2, Slack: 5},
		"thirty":           {PerSecond: 30, Slack: 5},
		"less than one":    {PerSecond: 0.5, Slack: 5},
		"without a slack":  {PerSecond: 3},
		"a slack of three": {PerSecond: 3, Slack: 3},
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorker(&l)
			var starts []time.Time
			for ms := 0; ms < 10_000; ms++ {
				if ms > 2000 && ms < 4000 {
					continue // nothing is to start, and the burst builds up
				}
				for w.Free(at(ms), 9, &l) > 0 {
					w.Started(at(ms), &l)
					starts = append(starts, at(ms))
				}
			}
			for i := range starts {
				for k := i; k < len(starts); k++ {
					most := l.PerSecond*starts[k].Sub(starts[i]).Seconds() + max(2, l.Slack)
					is.True(float64(k-i+1) < most)
				}
			}
			is.True(float64(len(starts)) >= 8*l.PerSecond)
		})
	}
}

// TestNext checks that a worker without a start left can get one at the time that is returned,
// not before, so that it is neither left idle nor asked in vain.
func TestNext(t *testing.T) {
	is := is.New(t)
	l := cold.Limits{PerSecond: 3, Slack: 5}
	w := newWorker(&l)
	is.Equal(w.Free(begin, 9, &l), 1) // another owner may have sent some just now
	w.Started(begin, &l)
	is.Equal(w.Free(begin, 9, &l), 0)
	next := w.Next(begin, &l)
	is.Equal(w.Free(next.Add(-time.Microsecond), 9, &l), 0)
	is.Equal(w.Free(next, 9, &l), 1)
	w.Started(at(9990), &l)
	for w.Free(at(9990), 9, &l) > 0 {
		w.Started(at(9990), &l)
	}
	is.Equal(w.Next(at(9990), &l), at(10_000)) // it is warm then
	is.Equal(w.Free(at(10_000), 9, &l), 9)
}

// TestIsCold guards against workers that stay cold for longer than their rows tell, because old
// rows are read again, and against limits where there are none.
func TestIsCold(t *testing.T) {
	limits := cold.Limits{Time: 5 * time.Second, PerSecond: 2, Slack: 5}
	told := func(s int) cold.Told { return cold.Told{Known: true, Remaining: time.Duration(s) * time.Second} }
	tests := map[string]struct {
		limits cold.Limits
		born   time.Time
		// rows holds what the rows tell, one second apart.
		rows  []cold.Told
		until time.Time
	}{
		"it does not tell":                    {limits: limits, born: begin, rows: make([]cold.Told, 3), until: at(5000)},
		"it started long ago":                 {limits: limits, born: at(-60_000), rows: make([]cold.Told, 3)},
		"its clock is ahead":                  {limits: limits, born: at(60_000), rows: make([]cold.Told, 1), until: at(5000)},
		"it does not tell, and there is none": {born: begin, rows: make([]cold.Told, 3)},
		"it tells":                            {limits: limits, born: begin, rows: []cold.Told{told(8), told(7), told(6)}, until: at(8000)},
		"it tells, and there is no limit":     {born: begin, rows: []cold.Told{told(8)}, until: at(8000)},
		"the same row again":                  {limits: limits, born: begin, rows: []cold.Told{told(8), told(8), told(8)}, until: at(8000)},
		"it is warm":                          {limits: limits, born: begin, rows: []cold.Told{told(0)}},
		"it is warm earlier":                  {limits: limits, born: begin, rows: []cold.Told{told(8), told(0)}},
		"it is cold again":                    {limits: limits, born: begin, rows: []cold.Told{told(0), told(3)}, until: at(4000)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &cold.Worker{}
			for i, x := range test.rows {
				w.Update(at(1000*i), test.born, x, &test.limits)
			}
			last := at(1000 * (len(test.rows) - 1))
			if test.until.IsZero() {
				is.True(!w.IsCold(last))
				return
			}
			is.True(w.IsCold(test.until.Add(-1)))
			is.True(!w.IsCold(test.until))
		})
	}
}

// TestNextIncarnation guards against a worker that starts again and gets what its earlier
// incarnation had left, or counts as warm.
func TestNextIncarnation(t *testing.T) {
	is := is.New(t)
	l := cold.Limits{Time: 5 * time.Second, PerSecond: 2, Slack: 5}
	w := &cold.Worker{}
	w.Update(begin, begin, cold.Told{}, &l)
	is.Equal(w.Free(at(4000), 9, &l), 3)
	is.Equal(w.Free(at(6000), 9, &l), 9)
	w.Update(at(6000), at(6000), cold.Told{}, &l)
	is.Equal(w.Free(at(6000), 9, &l), 1)
}
