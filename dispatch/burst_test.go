package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// plays are several plays of one load.
type plays []*load

// played holds the plays of bursts, which several tests look at.
var played = map[float64]plays{}

// playBurst plays a burst with several seeds, or returns what was played before.
func playBurst(x float64) plays {
	if played[x] == nil {
		played[x] = playWith(x, func(*load) {})
	}
	return played[x]
}

// playWith plays a burst as playBurst does, on loads that were prepared.
func playWith(x float64, prepare func(*load)) plays {
	const seeds = 3
	var all plays
	for seed := range uint64(seeds) {
		l := newLoad(seed, burst(x))
		prepare(l)
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

// The processor time of an owner's host, which has 0.8 cores: what an event takes, each
// worker and job that it looks at, and each order or reply with its message. With them a
// start takes about 0.2 ms in all.
const (
	ownerCores = 0.8
	eventCost  = 15 * time.Microsecond
	visitCost  = 500 * time.Nanosecond
	orderCost  = 40 * time.Microsecond
)

// TestOwnerKeepsUpWithABurst charges the owner's processor for all that it does. Callers
// get what they get from an owner that takes no time, and no order is given up.
func TestOwnerKeepsUpWithABurst(t *testing.T) {
	const share = 0.9
	charged := func(l *load) {
		l.cost = func(visits, orders int) time.Duration {
			return time.Duration(float64(eventCost+time.Duration(visits)*visitCost+time.Duration(orders)*orderCost) / ownerCores)
		}
	}
	for name, x := range map[string]float64{"1.4 times": 1.4, "twice": 2, "three times": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, free := playWith(x, charged), playBurst(x)
			f := p.fates("", burstFrom, burstTo)
			t.Logf("charged %+v, free %+v", f, free.fates("", burstFrom, burstTo))
			is.True(float64(f.inTime) >= share*float64(free.fates("", burstFrom, burstTo).inTime))
			after := p.fates("", burstTo+2, loadSeconds-2)
			is.True(float64(after.inTime) >= 0.95*float64(after.jobs))
			for _, l := range p {
				is.Equal(l.unanswered, 0)
			}
		})
	}
}
