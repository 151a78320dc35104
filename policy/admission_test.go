package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/admission"
	"github.com/catkingap/catkingap/ident"
)

// doneBetween counts the items answered from one time until another.
func (w *world) doneBetween(from, until time.Duration) int {
	n := 0
	for _, i := range w.items {
		if i.done && i.ended >= from && i.ended < until {
			n++
		}
	}
	return n
}

// TestGoodputUnderOverload checks that a pool at 3x load answers at least 95% as
// many requests in a minute as at 1x.
func TestGoodputUnderOverload(t *testing.T) {
	is := is.New(t)
	goodput := func(load float64) int {
		s := scenario{plan: func(w *world) { w.addRequests("a", load, 0, 70*time.Second) }}
		w := s.run(withPolicy)
		return w.doneBetween(10*time.Second, 70*time.Second)
	}
	once, thrice := goodput(1), goodput(3)
	t.Logf("answers in a minute: %d at 1x, %d at 3x, ratio %.3f", once, thrice, float64(thrice)/float64(once))
	is.True(float64(thrice) >= 0.95*float64(once))
}

// TestGreedyTeam compares the p99 of a team that has the pool to itself with its
// p99 beside a team that sends ten times its fair share or ten times its quota.
func TestGreedyTeam(t *testing.T) {
	tests := map[string]struct {
		shares       map[ident.Team]admission.Share
		load, greedy float64
		// factor bounds the ratio of the p99 beside the greedy team to the p99
		// alone.
		factor float64
	}{
		"no quota": {nil, 0.3, 4, 3},
		"quota":    {map[ident.Team]admission.Share{"b": {Rate: 0.3 * fullLoadStartsPerSecond / hostCount}}, 0.4, 3, 1.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			measure := func(greedy float64) figures {
				s := scenario{plan: func(w *world) {
					w.setShares(test.shares)
					w.addRequests("a", test.load, 0, warmUp+defaultDuration)
					if greedy > 0 {
						w.addRequests("b", greedy, warmUp, warmUp+defaultDuration)
					}
				}}
				return s.run(withPolicy).measure(func(i *item) bool { return i.team == "a" && i.arrived >= warmUp })
			}
			alone, beside := measure(0), measure(test.greedy)
			t.Logf("p99 over the ideal %.3f alone, %.3f beside; done %d and %d, refused %d", alone.ideal99, beside.ideal99, alone.done, beside.done, beside.refused)
			is.True(beside.ideal99 <= test.factor*alone.ideal99)
			is.True(beside.refused*100 <= beside.done) // A team within its share is not refused.
		})
	}
}
