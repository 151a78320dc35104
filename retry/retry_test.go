package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newPolicy() *Policy {
	return NewPolicy(Config{Share: 0.1, Burst: 10, MinBackoff: 10 * time.Millisecond, MaxBackoff: time.Second, Jitter: func() float64 { return 0.5 }})
}

func TestAgain(t *testing.T) {
	tests := map[string]struct {
		attempt Attempt
		spent   bool
		after   time.Duration
		again   bool
	}{
		"ran, not idempotent":        {Attempt{Number: 1}, false, 0, false},
		"ran, idempotent":            {Attempt{Number: 1, Idempotent: true}, false, 7500 * time.Microsecond, true},
		"third attempt waits longer": {Attempt{Number: 3, Idempotent: true}, false, 30 * time.Millisecond, true},
		"backoff is bounded":         {Attempt{Number: 99, Idempotent: true}, false, 750 * time.Millisecond, true},
		"ran, budget spent":          {Attempt{Number: 1, Idempotent: true}, true, 0, false},
		"not run":                    {Attempt{Number: 1, NotRun: true}, true, 0, true},
		"not run, overloaded":        {Attempt{Number: 1, NotRun: true, Overloaded: true}, false, 0, true},
		"not run, overloaded, spent": {Attempt{Number: 1, NotRun: true, Overloaded: true}, true, 30 * time.Millisecond, true},
		"spent, deadline too close":  {Attempt{Number: 1, NotRun: true, Overloaded: true, Deadline: start.Add(30 * time.Millisecond)}, true, 0, false},
		"one server lost":            {Attempt{Number: 1, Idempotent: true, Lost: 1}, false, 7500 * time.Microsecond, true},
		"two servers lost":           {Attempt{Number: 2, Idempotent: true, Lost: 2}, false, 0, false},
		"lost twice, now not run":    {Attempt{Number: 3, NotRun: true, Lost: 2}, false, 0, false},
		"deadline too close":         {Attempt{Number: 3, NotRun: true, Deadline: start.Add(20 * time.Millisecond)}, false, 0, false},
		"deadline far":               {Attempt{Number: 3, NotRun: true, Deadline: start.Add(50 * time.Millisecond)}, false, 30 * time.Millisecond, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPolicy()
			if test.spent {
				p.tokens = 0
			}
			after, again := p.Delay(start, test.attempt)
			is.Equal(again, test.again)
			is.Equal(after, test.after)
		})
	}
}

func TestBudgetIsAShareOfFirstTries(t *testing.T) {
	is := is.New(t)
	p := newPolicy()
	retries := 0
	for range 10_000 {
		p.RecordFirst()
		if _, again := p.Delay(start, Attempt{Number: 1, Idempotent: true}); again {
			retries++
		}
	}
	is.True(retries >= 1000 && retries <= 1010) // A tenth and the burst.
}

func TestQuantile(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	q := Quantile{Level: 0.95}
	for range 5000 {
		q.Add(time.Duration(r.Float64() * float64(time.Second)))
	}
	is.True(q.Value() > 850*time.Millisecond && q.Value() < 1050*time.Millisecond)
}
