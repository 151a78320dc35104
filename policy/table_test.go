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

// seed is the seed of all scenarios. CI runs the default.
var seed = flag.Uint64("seed", 1, "seed of the scenarios")

var config = route.Config{
	RemoteDelay: 2 * remoteDistance,
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
		s.speeds = ordinary
	}
	w := newWorld(seed, s.speeds)
	start(w)
	s.plan(w)
	w.deliver()
	w.run(3 * time.Minute)
	return w
}

func withPolicy(w *world) { w.start(config) }

func withRandom(w *world) { w.startPlain() }

// counts selects the items that a scenario measures.
func (s scenario) counts(i *item) bool { return i.arrived >= s.from }

// TestTable prints the figures of all scenarios with the policy and with the
// baseline, and checks the bounds of the policy.
func TestTable(t *testing.T) {
	fmt.Fprintln(t.Output(), "| scenario | policy | p50 | p99 | ideal p50 | ideal p99 | omniscient p50 | omniscient p99 | messages | between hosts | done | refused | lost | cancelled |")
	fmt.Fprintln(t.Output(), "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, name := range slices.Sorted(maps.Keys(scenarios)) {
		s := scenarios[name]
		t.Run(name, func(t *testing.T) {
			f := s.run(withPolicy).measure(s.counts)
			f.print(t, name, "catkingap")
			s.run(withRandom).measure(s.counts).print(t, name, "random, one try")
			s.bounds.check(t, f)
		})
	}
}

// TestSeedsThatFailed plays large jobs with badly declared run times with the
// seeds that once missed the bound: slots stood idle at hosts that had borrowed
// them while work waited on others (2, 3), and lent slots went to hosts by their
// order in the list, whatever waited there (4, 9).
func TestSeedsThatFailed(t *testing.T) {
	s := scenarios["11 declared run times wrong by 10x"]
	for _, seed := range []uint64{2, 3, 4, 9} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s.bounds.check(t, s.runSeed(seed, withPolicy).measure(s.counts))
		})
	}
}

func (f figures) print(t *testing.T, name, policy string) {
	fmt.Fprintf(t.Output(), "| %s | %s | %.3f | %.2f | %.2f | %.2f | %.2f | %.2f | %.3f | %.2f | %d | %d | %d | %d |\n", name, policy,
		f.p50, f.p99, f.ideal50, f.ideal99, f.best50, f.best99, f.messages, f.control, f.done, f.refused, f.lost, f.cancelled)
}

func (b bounds) check(t *testing.T, f figures) {
	is := is.New(t)
	below := func(got, bound float64) { is.True(bound == 0 || got <= bound) }
	below(f.p50, b.p50)                     // Median response over the omniscient queue's.
	below(f.p99, b.p99)                     // p99 of the response over the omniscient queue's.
	below(f.ideal99/f.best99, b.quantile99) // p99 of the response, over the omniscient queue's p99.
	below(f.messages, b.messages)           // Messages to backend servers per request done.
	is.Equal(f.twice, 0)                    // No item starts twice.
}
