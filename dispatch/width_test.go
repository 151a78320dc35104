package dispatch

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// widthLoads are loads in which jobs differ in the size of their tasks.
var widthLoads = map[string][]jobKind{
	"usual": jobKinds,
	// One kind has large tasks, which share a worker of 64 cores with few others.
	"wide": {
		{name: "short", rate: 69, tasks: 8, runTime: 60 * time.Millisecond, priority: 0},
		{name: "medium", rate: 150, tasks: 2, runTime: 200 * time.Millisecond, priority: 1, cores: between(40, 48)},
		{name: "long", rate: 12.5, tasks: 4, runTime: 900 * time.Millisecond, priority: 2},
	},
	// 7 % of the tasks fill a worker of 64 or of 96 cores, and the others are small.
	"whole": {
		{name: "short", rate: 145, tasks: 8, runTime: 60 * time.Millisecond, priority: 0, cores: small},
		{name: "medium", rate: 420, tasks: 2, runTime: 200 * time.Millisecond, priority: 1, cores: small},
		{name: "long", rate: 26, tasks: 4, runTime: 900 * time.Millisecond, priority: 2, cores: small},
		{name: "whole", rate: 158, tasks: 1, runTime: 200 * time.Millisecond, priority: 1, cores: wholeWorker},
	},
}

// between returns sizes that are uniformly distributed.
func between(from, to int) func(*loadSim) int {
	return func(l *loadSim) int { return 1000*from + l.random.IntN(1000*(to-from)+1) }
}

func small(l *loadSim) int { return int(min(l.logNormal(0.2)*8_000, 16_000)) }

// wholeWorker returns the size of a worker: every third one has 96 cores.
func wholeWorker(l *loadSim) int {
	if l.random.IntN(3) == 0 {
		return 96_000
	}
	return 64_000
}

// widths are classes of jobs by their width.
var widths = []struct {
	name string
	has  func(callerAnswer) bool
}{
	{"all", func(callerAnswer) bool { return true }},
	{"cores<28", func(a callerAnswer) bool { return a.cores < 28_000 }},
	{"cores 28-36", func(a callerAnswer) bool { return a.cores >= 28_000 && a.cores < 36_000 }},
	{"cores 36-40", func(a callerAnswer) bool { return a.cores >= 36_000 && a.cores < 40_000 }},
	{"cores 40-48", func(a callerAnswer) bool { return a.cores >= 40_000 && a.cores <= 48_000 }},
	{"cores 64", func(a callerAnswer) bool { return a.cores == 64_000 }},
	{"cores 96", func(a callerAnswer) bool { return a.cores == 96_000 }},
	{"tasks 1-2", func(a callerAnswer) bool { return a.tasks <= 2 }},
	{"tasks 3-8", func(a callerAnswer) bool { return a.tasks > 2 && a.tasks <= 8 }},
	{"tasks 9+", func(a callerAnswer) bool { return a.tasks > 8 }},
	{"short", func(a callerAnswer) bool { return a.kind == "short" }},
	{"medium", func(a callerAnswer) bool { return a.kind == "medium" }},
	{"long", func(a callerAnswer) bool { return a.kind == "long" }},
}

// widthOutcome is how the jobs of a width fared that were submitted during the burst.
type widthOutcome struct {
	outcomeCounts
	started           int
	untilFirst, until time.Duration
}

func (p simulations) widthOutcome(has func(callerAnswer) bool) widthOutcome {
	var w widthOutcome
	for _, l := range p {
		for _, a := range l.answers {
			s := a.submitted.Sub(origin).Seconds()
			if s < burstFrom || s >= burstTo || !has(a) {
				continue
			}
			w.jobs++
			switch {
			case a.result == Completed && a.took <= a.objective:
				w.inTime++
			case a.result == Completed:
				w.late++
			case a.result == Refused:
				w.refused++
			default:
				w.failed++
			}
			if a.result == Completed {
				w.started++
				w.untilFirst += a.firstStart.Sub(a.submitted)
				w.until += a.lastStart.Sub(a.submitted)
			}
		}
	}
	return w
}

// use returns the share of the cores that were in use during the burst.
func (p simulations) use() float64 {
	share := 0.0
	for _, l := range p {
		share += l.usedShare()
	}
	return share / float64(len(p))
}

// String returns a row of the table in docs/design/lookahead.md.
func (w widthOutcome) String() string {
	share := func(n int) float64 { return float64(n) / float64(max(1, w.jobs)) }
	mean := func(d time.Duration) float64 { return d.Seconds() * 1000 / float64(max(1, w.started)) }
	return fmt.Sprintf("%7d jobs, in time %.3f, late %.3f, refused %.3f, failed %.3f, first start %3.0f ms, last %3.0f ms",
		w.jobs, share(w.inTime), share(w.late), share(w.refused), share(w.failed), mean(w.untilFirst), mean(w.until))
}

// simulateWidths simulates a burst of a load with several seeds.
func simulateWidths(load string, x float64, prepare func(*loadSim)) simulations {
	var all simulations
	for seed := range uint64(3) {
		l := newLoadSimOf(widthLoads[load], seed, burst(x))
		l.m.config.LookAhead = true
		prepare(l)
		l.run()
		all = append(all, l)
	}
	return all
}

// TestWidthTable prints the table of docs/design/lookahead.md. It runs only if WIDTH_TABLE is
// set, to a load or to "all".
func TestWidthTable(t *testing.T) {
	load := os.Getenv("WIDTH_TABLE")
	if load == "" {
		t.Skip("WIDTH_TABLE is not set")
	}
	var names []string
	for name := range widthLoads {
		if load == "all" || load == name {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		for _, x := range []float64{1, 1.5, 2, 2.5, 3.5} {
			p := simulateWidths(name, x, func(*loadSim) {})
			t.Logf("%s at %.1f times: %.3f of the cores in use", name, x, p.use())
			for _, w := range widths {
				if o := p.widthOutcome(w.has); o.jobs > 0 {
					t.Logf("  %-11s %s", w.name, o)
				}
			}
		}
	}
}
