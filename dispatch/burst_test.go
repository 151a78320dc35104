package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

// plays are several plays of one load.
type plays []*load

// playBurst plays a burst with several seeds.
func playBurst(x float64) plays {
	const seeds = 3
	var all plays
	for seed := range uint64(seeds) {
		l := newLoad(seed, burst(x))
		l.play()
		all = append(all, l)
	}
	return all
}

// fates adds up what became of the jobs of a kind that came between two seconds.
func (p plays) fates(name string, from, to float64) fate {
	var sum fate
	for _, l := range p {
		f := l.fates(name, from, to)
		sum.jobs += f.jobs
		sum.inTime += f.inTime
		sum.late += f.late
		sum.refused += f.refused
		sum.broken += f.broken
		sum.held += f.held
	}
	return sum
}

// TestLateWorkTakesNoRoom plays bursts that the workers can not carry. The higher one
// must not have fewer jobs end in time, but for the least urgent ones, and nothing is
// begun that its caller does not wait for.
func TestLateWorkTakesNoRoom(t *testing.T) {
	const (
		peakShare   = 0.9
		brokenShare = 0.01
	)
	lower, higher := playBurst(2), playBurst(3)
	for name, kind := range map[string]string{"all": "", "short": "short", "medium": "medium"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, h := lower.fates(kind, burstFrom, burstTo), higher.fates(kind, burstFrom, burstTo)
			t.Logf("twice the load: %+v, three times: %+v", l, h)
			is.True(float64(h.inTime) >= peakShare*float64(l.inTime))
			is.True(float64(h.broken) <= brokenShare*float64(h.jobs))
		})
	}
}

// TestRefusalsComeBeforeTheObjective has callers who are refused in a burst hear so, on
// the mean, before they would have expected the answer.
func TestRefusalsComeBeforeTheObjective(t *testing.T) {
	is := is.New(t)
	f := playBurst(3).fates("", burstFrom, burstTo)
	t.Logf("%d refused, after %.2f of the objective on the mean", f.refused, f.held/float64(f.refused))
	is.True(f.refused > 0)
	is.True(f.held <= float64(f.refused))
}

// TestLoadAfterABurst has jobs served as before two seconds after a burst.
func TestLoadAfterABurst(t *testing.T) {
	const share = 0.95
	for name, x := range map[string]float64{"1.4 times": 1.4, "twice": 2, "three times": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := playBurst(x).fates("", burstTo+2, loadSeconds-2)
			is.True(float64(f.inTime) >= share*float64(f.jobs))
		})
	}
}
