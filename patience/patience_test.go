package patience_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/patience"
)

const (
	resendDelay = 1300 * time.Millisecond
	usual       = 2600 * time.Millisecond
	calls       = 400
)

// TestHasComeAgain checks which callers are taken to have come again, by the share of
// callers that do.
func TestHasComeAgain(t *testing.T) {
	tests := map[string]struct {
		again, spread float64
		// recognized is the least share of those that have come again which must be
		// recognized, and mistaken the highest share of the others that may be.
		recognized, mistaken float64
	}{
		"none":                         {spread: 0.1},
		"none, with differing callers": {spread: 0.15, mistaken: 0.01},
		"few":                          {again: 0.1, spread: 0.1},
		"a third":                      {again: 1.0 / 3, spread: 0.1, recognized: 0.8, mistaken: 0.02},
		"half":                         {again: 0.5, spread: 0.1, recognized: 0.9, mistaken: 0.02},
		"half, with differing callers": {again: 0.5, spread: 0.15, recognized: 0.8, mistaken: 0.05},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(20261204, 1))
			tracker := patience.NewTracker(resendDelay)
			var again, fresh, recognized, mistaken float64
			for i := range calls {
				left := time.Duration((1 + test.spread*random.NormFloat64()) * float64(usual))
				came := random.Float64() < test.again
				if came {
					left -= resendDelay
				}
				tracker.Observe("q", left)
				seems := tracker.HasComeAgain("q", left)
				if i < 32 {
					continue
				}
				switch {
				case came:
					again++
					if seems {
						recognized++
					}
				default:
					fresh++
					if seems {
						mistaken++
					}
				}
			}
			t.Logf("%.0f of %.0f recognized, %.0f of %.0f mistaken", recognized, again, mistaken, fresh)
			is.True(recognized >= test.recognized*again)
			is.True(mistaken <= test.mistaken*fresh)
		})
	}
}

// TestCallersThatNeverComeAgain checks that nobody is recognized without a resend delay,
// and by the first calls.
func TestCallersThatNeverComeAgain(t *testing.T) {
	is := is.New(t)
	never, few := patience.NewTracker(0), patience.NewTracker(resendDelay)
	for i := range 100 {
		left := usual - time.Duration(i%2)*resendDelay
		never.Observe("q", left)
		is.True(!never.HasComeAgain("q", left))
	}
	few.Observe("q", usual)
	few.Observe("q", usual-resendDelay)
	is.True(!few.HasComeAgain("q", usual-resendDelay))
	is.True(!few.HasComeAgain("other", usual-resendDelay))
}
