package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/estimate"
	"github.com/catkingap/catkingap/worker"
)

const (
	// slowFrom and slowTo are the seconds between which some workers are slowFactor times
	// slower than usual.
	slowFrom, slowTo, slowFactor = 4, 10, 4
	// stalled is a factor with which runs stand still.
	stalled = 1e4
	// tailShare is the share of jobs whose tasks take tailFactor times longer than estimated.
	tailShare, tailFactor = 0.03, 7
)

// endAfter has a run end after d unless that changes before.
func (l *loadSim) endAfter(w *simulatedWorker, k runKey, r *simulatedRun, d time.Duration) {
	ends := l.now.Add(d)
	r.ends = ends
	l.after(d, func() {
		if w.runs[k] == r && r.ends.Equal(ends) {
			l.end(w, k, worker.Done)
		}
	})
}

// setSlow makes the runs of a worker take x times longer than usual from now on.
func (l *loadSim) setSlow(w *simulatedWorker, x float64) {
	change := x / w.slow
	w.slow = x
	for _, r := range l.m.nodes[w.id].sortedRuns() {
		if s := w.runs[r.key]; s != nil {
			l.endAfter(w, r.key, s, scaled(s.ends.Sub(l.now), change))
		}
	}
}

// addTail has a share of the jobs take longer than estimated.
func (l *loadSim) addTail() {
	random := rand.New(rand.NewPCG(11, 13))
	l.tail = func() float64 {
		if random.Float64() < tailShare {
			return tailFactor
		}
		return 1
	}
}

// recognition measures how soon slow phases and their ends are recognised.
type recognition struct {
	l *loadSim
	// usual is the believed slowdown of each worker before the slow phases.
	usual map[worker.ID]float64
	// runs holds the number of runs that each slow worker had, at the start of its phase
	// or started since, until it was known to be slow, and known how long that took.
	runs  []int
	known []time.Duration
	// recovered is how long after its slow phase each worker was used as before.
	recovered []time.Duration
	// never counts the slow phases that were not recognised, and unrecovered the workers
	// that were not used as before at the end of the simulation.
	never, unrecovered int
	// wrong is the number of seconds for which workers that were not slow counted as slow.
	wrong float64
	// starts counts the starts of each kind during the slow phases, and onSlow those on
	// workers that count as slow.
	starts, onSlow map[string]int
}

// slowPhases makes a share of the workers slow between slowFrom and slowTo.
func (l *loadSim) slowPhases(share, factor float64) *recognition {
	x := &recognition{l: l, usual: map[worker.ID]float64{}, starts: map[string]int{}, onSlow: map[string]int{}}
	slow := map[worker.ID]bool{}
	for i, w := range l.list {
		if math.Mod(float64(i)*share, 1)+share >= 1 {
			slow[w.ID] = true
		}
	}
	l.after(slowFrom*time.Second, func() {
		for _, w := range l.list {
			x.usual[w.ID] = l.m.nodes[w.ID].slowdown.Log()
			if slow[w.ID] {
				l.setSlow(l.workers[w.ID], factor)
				x.watch(w.ID)
			}
		}
		x.watchOthers(slow)
	})
	l.after(slowTo*time.Second, func() {
		for _, w := range l.list {
			if slow[w.ID] {
				l.setSlow(l.workers[w.ID], 1)
				x.watchRecovery(w.ID)
			}
		}
	})
	return x
}

// isSlow returns true if a worker is believed to be at least twice as slow as before.
func (x *recognition) isSlow(id worker.ID) bool {
	return x.l.m.nodes[id].slowdown.Log() > x.usual[id]+math.Ln2
}

func (x *recognition) noteStart(s worker.Start) {
	if second := x.l.now.Sub(origin).Seconds(); second < slowFrom || second >= slowTo {
		return
	}
	kind := x.l.jobs[s.Task.Job].kind
	x.starts[kind]++
	if x.l.m.nodes[s.Worker].slowdown.IsSlow() {
		x.onSlow[kind]++
	}
}

const watchInterval = time.Millisecond

func (x *recognition) watch(id worker.ID) {
	l, began := x.l, x.l.now
	seen := map[runKey]bool{}
	l.repeat(func() bool {
		for k := range l.m.nodes[id].runs {
			seen[k] = true
		}
		switch {
		case x.isSlow(id):
			x.runs, x.known = append(x.runs, len(seen)), append(x.known, l.now.Sub(began))
			return false
		case l.now.Sub(began) > (slowTo-slowFrom)*time.Second:
			x.never++
			return false
		}
		return true
	})
}

func (x *recognition) watchRecovery(id worker.ID) {
	const similar = 1.3
	l, began := x.l, x.l.now
	l.repeat(func() bool {
		if l.m.nodes[id].slowdown.Log() < x.usual[id]+math.Log(similar) {
			x.recovered = append(x.recovered, l.now.Sub(began))
			return false
		}
		if l.now.Add(2*watchInterval).Sub(origin) > loadSeconds*time.Second {
			x.unrecovered++
			return false
		}
		return true
	})
}

func (x *recognition) watchOthers(slow map[worker.ID]bool) {
	const interval = 25 * time.Millisecond
	x.l.after(interval, func() {
		for _, w := range x.l.list {
			if !slow[w.ID] && x.isSlow(w.ID) {
				x.wrong += interval.Seconds()
			}
		}
		x.watchOthers(slow)
	})
}

// repeat calls check regularly until it returns false.
func (l *loadSim) repeat(check func() bool) {
	l.after(watchInterval, func() {
		if check() {
			l.repeat(check)
		}
	})
}

func meanOf[T int | time.Duration](all []T) (mean, worst float64) {
	if len(all) == 0 {
		return 0, 0
	}
	for _, v := range all {
		mean += float64(v) / float64(len(all))
	}
	return mean, float64(slices.Max(all))
}

// slowPhaseTest is a load with slow phases and tails.
type slowPhaseTest struct {
	load, share float64
	tail        bool
	// factor is how many times slower the workers become. Zero means slowFactor.
	factor float64
}

// run simulates the load with several seeds.
func (x slowPhaseTest) run() (simulations, recognition) {
	all := recognition{starts: map[string]int{}, onSlow: map[string]int{}}
	p := simulateWith(func(second float64) float64 {
		if second >= slowFrom && second < slowTo {
			return x.load
		}
		return 1
	}, func(l *loadSim) {
		if x.tail {
			l.addTail()
		}
		l.phases = l.slowPhases(x.share, cmp.Or(x.factor, slowFactor))
	})
	for _, l := range p {
		r := l.phases
		all.runs, all.known, all.recovered = append(all.runs, r.runs...), append(all.known, r.known...), append(all.recovered, r.recovered...)
		for kind, starts := range r.starts {
			all.starts[kind] += starts
			all.onSlow[kind] += r.onSlow[kind]
		}
		all.never, all.unrecovered, all.wrong = all.never+r.never, all.unrecovered+r.unrecovered, all.wrong+r.wrong/float64(len(p))
	}
	return p, all
}

// TestSlowPhases makes 30 % of the workers 4 times slower for 6 s. They must be known as slow
// within a few runs (it took 7 to 9 on the mean), and be used as before soon after (workers that
// count as slow get hardly any work that would show it, and many were never used as before). Long
// tasks must be kept off them, and short ones may use them.
// Jobs whose tasks all take 7 times longer than estimated must not make workers count as slow.
func TestSlowPhases(t *testing.T) {
	const (
		meanRuns, worstRuns = 4, 10
		// worstRecovery is the time after which a worker is tried, that for which it is on
		// trial, and 0.5 s in which a long run may show it to be slow once more.
		worstRecovery = estimate.ConfirmTime + estimate.TrialTime + 500*time.Millisecond
		// maxLongOnSlow is the largest share of the tasks of long jobs that start on workers
		// which count as slow.
		maxLongOnSlow = 0.04
		// maxWrong is the number of seconds for which workers may count as slow wrongly, of
		// 1,170 worker-seconds.
		maxWrong = 12
	)
	tests := map[string]struct {
		slowPhaseTest
		// short, medium and long are the least shares of jobs that end in time.
		short, medium, long float64
	}{
		"usual load, even":   {slowPhaseTest: slowPhaseTest{load: 1}, short: 0.99, medium: 0.99, long: 0.98},
		"usual load, tails":  {slowPhaseTest: slowPhaseTest{load: 1, tail: true}, short: 0.93, medium: 0.94, long: 0.94},
		"usual load, slow":   {slowPhaseTest: slowPhaseTest{load: 1, share: 0.3}, short: 0.84, medium: 0.93, long: 0.95},
		"1.5 times, slow":    {slowPhaseTest: slowPhaseTest{load: 1.5, share: 0.3}, short: 0.76, medium: 0.79, long: 0.74},
		"twice, slow, tails": {slowPhaseTest: slowPhaseTest{load: 2, share: 0.3, tail: true}, short: 0.6, medium: 0.49, long: 0.55},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, r := test.run()
			for kind, share := range map[string]float64{"short": test.short, "medium": test.medium, "long": test.long} {
				f := p.outcomes(kind, slowFrom, slowTo)
				t.Logf("%s: %+v", kind, f)
				is.True(float64(f.inTime) >= share*float64(f.jobs))
			}
			is.True(r.wrong <= maxWrong)
			if test.share == 0 {
				return
			}
			t.Logf("starts %v, on slow workers %v", r.starts, r.onSlow)
			long, short := float64(r.onSlow["long"])/float64(r.starts["long"]), float64(r.onSlow["short"])/float64(r.starts["short"])
			is.True(long <= maxLongOnSlow && long < short)
			runs, most := meanOf(r.runs)
			recovered, longest := meanOf(r.recovered)
			t.Logf("known after %.1f runs, worst %.0f, never %d; recovered after %.0f ms, worst %.0f, never %d; wrong for %.1f s",
				runs, most, r.never, recovered/1e6, longest/1e6, r.unrecovered, r.wrong)
			is.True(runs <= meanRuns && most <= worstRuns)
			is.True(time.Duration(longest) <= worstRecovery)
			is.True(r.never <= len(p) && r.unrecovered == 0)
		})
	}
}

// TestShowSlowPhases shows how callers fare for the loads in docs/design/uneven.md. It checks
// nothing, and is run on demand only: SHOW_SLOW_PHASES=1 go test ./dispatch -run ShowSlow -v.
func TestShowSlowPhases(t *testing.T) {
	if os.Getenv("SHOW_SLOW_PHASES") == "" {
		t.Skip("shows figures only")
	}
	for _, test := range []slowPhaseTest{
		{load: 1},
		{load: 2},
		{load: 1, tail: true},
		{load: 2, tail: true},
		{load: 1, share: 0.3},
		{load: 1.5, share: 0.3},
		{load: 2, share: 0.3},
		{load: 1, share: 0.3, tail: true},
		{load: 1.5, share: 0.3, tail: true},
		{load: 2, share: 0.3, tail: true},
		{load: 1, share: 0.3, tail: true, factor: 8},
		{load: 1.5, share: 0.3, tail: true, factor: 8},
		{load: 1, share: 0.3, tail: true, factor: stalled},
		{load: 1.5, share: 0.3, tail: true, factor: stalled},
	} {
		p, all := test.run()
		runs, worstRuns := meanOf(all.runs)
		known, worstKnown := meanOf(all.known)
		recovered, worstRecovered := meanOf(all.recovered)
		t.Logf("%+v: runs until known %.1f, worst %.0f; ms %.0f, worst %.0f; never %d; well again after ms %.0f, worst %.0f, not %d; wrong worker-seconds %.1f",
			test, runs, worstRuns, known/1e6, worstKnown/1e6, all.never, recovered/1e6, worstRecovered/1e6, all.unrecovered, all.wrong)
		for _, kind := range []string{"short", "medium", "long"} {
			f := p.outcomes(kind, slowFrom, slowTo)
			n := float64(f.jobs)
			t.Logf("    phase %s: in time %.3f, late %.3f, refused %.3f, other %.3f", kind, float64(f.inTime)/n, float64(f.late)/n, float64(f.refused)/n, float64(f.failed)/n)
		}
	}
}
