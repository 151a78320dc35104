package policy

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/retry"
	"github.com/catkingap/catkingap/route"
)

// seed is the random seed of all scenarios. CI uses the default.
var seed = flag.Uint64("seed", 1, "seed of the scenarios")

var config = route.Config{
	RemoteDelay: 2 * remoteLatency,
	BusyPause:   10 * time.Millisecond,
	AskPause:    5 * time.Millisecond,
	WantTime:    200 * time.Millisecond,
	ReturnTime:  250 * time.Millisecond,
	FasterWait:  8 * time.Millisecond,
	Heartbeat:   time.Second,
	PeerTimeout: 5 * time.Second,
	Ejection:    ejection.Config{MaxShare: 0.3, Failures: 3, MinProbe: time.Second, MaxProbe: 30 * time.Second},
	Retry: retry.Config{
		Share: 0.05, Burst: 10, MinBackoff: 10 * time.Millisecond, MaxBackoff: time.Second,
		Jitter: func() float64 { return 0.5 },
	},
}

func (s scenario) run(start func(*world)) *world { return s.runSeed(*seed, start) }

func (s scenario) runSeed(seed uint64, start func(*world)) *world {
	if s.speeds == nil {
		s.speeds = ordinarySpeeds
	}
	w := newWorld(seed, s.speeds)
	start(w)
	s.plan(w)
	w.submitItems()
	w.run(3 * time.Minute)
	return w
}

func withPolicy(w *world) { w.start(config) }

func withRandom(w *world) { w.startPlain() }

// isMeasured returns true for the items that the scenario measures.
func (s scenario) isMeasured(i *item) bool { return i.arrived >= s.from }

// TestTable prints the figures of all scenarios with the policy and with the
// baseline, and checks the bounds of the policy.
func TestTable(t *testing.T) {
	fmt.Fprintln(t.Output(), "| scenario | policy | p50 | p99 | ideal p50 | ideal p99 | omniscient p50 | omniscient p99 | messages | between hosts | done | refused | lost | cancelled |")
	fmt.Fprintln(t.Output(), "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		s := scenarios[name]
		t.Run(name, func(t *testing.T) {
			f := s.run(withPolicy).measure(s.isMeasured)
			f.print(t, name, "catkingap")
			s.run(withRandom).measure(s.isMeasured).print(t, name, "random, one try")
			s.bounds.check(t, f)
		})
	}
}

// TestSeedsThatFailed runs large jobs with badly declared run times with the seeds
// that once exceeded the bound: slots were idle at hosts that had borrowed them
// while work waited on other hosts (2, 3), and slots were lent to hosts in the
// order of the list, regardless of what waited there (4, 9).
func TestSeedsThatFailed(t *testing.T) {
	s := scenarios["11 declared run times wrong by 10x"]
	for _, seed := range []uint64{2, 3, 4, 9} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s.bounds.check(t, s.runSeed(seed, withPolicy).measure(s.isMeasured))
		})
	}
}

func (f figures) print(t *testing.T, name, policy string) {
	fmt.Fprintf(t.Output(), "| %s | %s | %.3f | %.2f | %.2f | %.2f | %.2f | %.2f | %.3f | %.2f | %d | %d | %d | %d |\n", name, policy,
		f.p50, f.p99, f.ideal50, f.ideal99, f.omniscient50, f.omniscient99, f.messages, f.control, f.done, f.refused, f.lost, f.cancelled)
}

func (b bounds) check(t *testing.T, f figures) {
	is := is.New(t)
	below := func(got, bound float64) { is.True(bound == 0 || got <= bound) }
	below(f.p50, b.p50)                         // Median of the response time over the omniscient queue's.
	below(f.p99, b.p99)                         // p99 of the response time over the omniscient queue's.
	below(f.ideal99/f.omniscient99, b.p99Ratio) // p99 of the response time, over the omniscient queue's p99.
	below(f.messages, b.messages)               // Messages to backend servers per request done.
	is.Equal(f.startedTwice, 0)                 // No item that is not idempotent starts twice.
	is.True(!b.allDone || f.refused+f.lost+f.cancelled == 0)
}
