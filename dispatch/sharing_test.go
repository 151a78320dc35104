package dispatch

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// overloadFrom is when the load rises in simulations of overload. By then the usual
	// demand is known. overloadSeconds is how long it stays so.
	overloadFrom, overloadSeconds = 22, 4
)

// overload is a simulated load above the usual one.
type overload struct {
	// factors are the loads of the kinds of jobs, as multiples of their usual ones. Kinds
	// that are missing keep to their usual load.
	factors map[string]float64
	// slow and silent are the shares of the workers that are four times slower or silent.
	slow, silent float64
	// seconds is how long the load stays so, or zero for overloadSeconds.
	seconds int
	// comeBack is true if refused callers come back.
	comeBack bool
}

// alike returns the load of all kinds at x times the usual one.
func alike(x float64) overload {
	return overload{factors: map[string]float64{"short": x, "medium": x, "long": x}}
}

// prepare sets up a simulation of the load.
func (o overload) prepare(l *loadSim) {
	seconds := max(o.seconds, overloadSeconds)
	l.measureFrom, l.measureTo = overloadFrom, float64(overloadFrom+seconds)
	l.length, l.comeBack = time.Duration(overloadFrom+seconds+6)*time.Second, o.comeBack
	if o.comeBack {
		l.length += 14 * time.Second
	}
	l.kindFactor = func(kind string, second float64) float64 {
		if x, ok := o.factors[kind]; ok && second >= l.measureFrom && second < l.measureTo {
			return x
		}
		return 1
	}
	l.after(overloadFrom*time.Second, func() {
		for i, w := range l.list {
			switch x := l.workers[w.ID]; {
			case float64(i*7%10) < 10*o.slow:
				x.speed /= 4
				l.after(time.Duration(seconds)*time.Second, func() { x.speed *= 4 })
			case float64(i*7%10) < 10*o.silent:
				l.crash(x)
			}
		}
	})
}

// submitAgain submits the job of a refused caller as a new one.
func (l *loadSim) submitAgain(spec work.Job, old *simulatedJob) {
	again := *old
	again.submitted, again.returned = l.now, true
	spec.ID += "-again"
	l.jobs[spec.ID] = &again
	l.offer(Submission{
		Job: spec, Host: ident.Host(fmt.Sprint("host-", l.random.IntN(loadHosts))), Call: uint64(len(l.jobs)), Boot: "b",
		Remaining: 1500*time.Millisecond + spec.CriticalPath(), Final: true,
	})
}

// addUsed adds the core-time of a run.
func (l *loadSim) addUsed(t work.Task, took time.Duration) {
	from := max(l.measureFrom, l.now.Sub(origin).Seconds())
	to := min(l.measureTo, l.now.Add(took).Sub(origin).Seconds())
	l.usedCores += max(0, to-from) * float64(l.jobs[t.Job].cores)
}

// usedShare returns the share of all cores that runs take between measureFrom and measureTo.
func (l *loadSim) usedShare() float64 {
	cores := 0
	for _, w := range l.list {
		cores += w.Capacity.Cores
	}
	return l.usedCores / (float64(cores) * (l.measureTo - l.measureFrom))
}

// simulate simulates the load with several seeds.
func (o overload) simulate() simulations {
	return simulateBurstWith(1, o.prepare)
}

// overloads are the loads for which docs/design/sharing.md gives figures.
var overloads = map[string]overload{
	"1 calm":                  alike(1),
	"2 all 1.5":               alike(1.5),
	"3 all 2":                 alike(2),
	"4 all 2.5":               alike(2.5),
	"5 all 3.5":               alike(3.5),
	"6 short 2.5":             {factors: map[string]float64{"short": 2.5}},
	"6 medium 2.5":            {factors: map[string]float64{"medium": 2.5}},
	"6 long 3":                {factors: map[string]float64{"long": 3}},
	"7 short 2.5 long 3":      {factors: map[string]float64{"short": 2.5, "long": 3}},
	"7 short 2.5 medium 3":    {factors: map[string]float64{"short": 2.5, "medium": 3}},
	"7 medium 2.5 long 3":     {factors: map[string]float64{"medium": 2.5, "long": 3}},
	"8 calm slow":             {slow: 0.3},
	"8 all 2.5 slow":          {factors: alike(2.5).factors, slow: 0.3},
	"8 all 2.5 silent":        {factors: alike(2.5).factors, silent: 0.3},
	"8 medium 3 silent":       {factors: map[string]float64{"medium": 3}, silent: 0.3},
	"8 short 2.5 long 3 slow": {factors: map[string]float64{"short": 2.5, "long": 3}, slow: 0.3},
}

// simulatedOverloads holds the simulations that several tests use.
var simulatedOverloads = map[string]simulations{}

// simulateOverload simulates one of overloads, or returns the earlier simulations of it.
func simulateOverload(name string) simulations {
	if simulatedOverloads[name] == nil {
		simulatedOverloads[name] = overloads[name].simulate()
	}
	return simulatedOverloads[name]
}

// duringOverload counts the outcomes of the jobs of a kind that are submitted during the
// overload.
func (p simulations) duringOverload(name string) outcomeCounts {
	return p.outcomes(name, overloadFrom, overloadFrom+overloadSeconds)
}

// TestQueuesShareAnOverload has all queues burst alike. Without shares, the queue with the
// highest priority number gets what is left: long jobs were served to 0.36, and beside
// silent workers to 0.14. Refused callers must hear it early, without shares they did after
// 0.5 to 1.2 of their objective.
func TestQueuesShareAnOverload(t *testing.T) {
	const (
		servedShare  = 0.8
		refusedAfter = 0.25
	)
	for _, name := range [...]string{"4 all 2.5", "5 all 3.5", "8 all 2.5 silent"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			mean := 0.0
			served := map[string]float64{}
			for _, k := range jobKinds {
				f := simulateOverload(name).duringOverload(k.name)
				served[k.name] = float64(f.inTime) / float64(f.jobs)
				mean += served[k.name] / float64(len(jobKinds))
				t.Logf("%s: %+v", k.name, f)
				is.True(f.refusedAfter <= refusedAfter*float64(f.refused))
			}
			for _, x := range served {
				is.True(x >= servedShare*mean)
			}
		})
	}
}

// TestQueueWithinItsDemandIsServed has two queues burst while the third keeps to its usual
// demand. Without shares, long jobs were served to 0.30 in time beside bursts of the others.
func TestQueueWithinItsDemandIsServed(t *testing.T) {
	tests := map[string]struct {
		overload, kind string
		served         float64
	}{
		"long beside short and medium": {overload: "7 short 2.5 medium 3", kind: "long", served: 0.9},
		"medium beside short and long": {overload: "7 short 2.5 long 3", kind: "medium", served: 0.85},
		"short beside medium and long": {overload: "7 medium 2.5 long 3", kind: "short", served: 0.8},
		"long beside medium":           {overload: "6 medium 2.5", kind: "long", served: 0.93},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := simulateOverload(test.overload).duringOverload(test.kind)
			t.Logf("%+v", f)
			is.True(float64(f.inTime) >= test.served*float64(f.jobs))
		})
	}
}

// TestBurstThatFitsIsNotRefused has all queues burst to what the workers can still do. Almost
// nothing may be refused, although jobs wait now and then.
func TestBurstThatFitsIsNotRefused(t *testing.T) {
	const refusedShare = 0.005
	is := is.New(t)
	f := simulateOverload("2 all 1.5").duringOverload("")
	t.Logf("%+v", f)
	is.True(float64(f.refused) <= refusedShare*float64(f.jobs))
}

// TestJobThatFitsIsNotRefused submits small jobs while capacity is short. A job for which cores
// are free must start, however much waits, and one that need not be taken must be offered to other
// owners first.
func TestJobThatFitsIsNotRefused(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, burst(1))
	overloads["5 all 3.5"].prepare(l)
	l.length = (overloadFrom + 2) * time.Second
	l.run()
	is.True(l.m.queue.poolShares("pool").IsShort())
	small := Submission{
		Host: "host-0", Boot: "b", Call: 1, Remaining: time.Second, Final: true,
		Job: work.Job{
			ID: "small", Queue: "short", Pool: "pool", Priority: 9, Attempts: 1, Stretch: 1.6, Target: 60 * time.Millisecond,
			Steps: []work.Step{{Count: 1, Size: work.Size{Cores: 100}, Estimate: 60 * time.Millisecond}},
		},
	}
	started := func() bool {
		return slices.ContainsFunc(l.m.TakeActions().Starts, func(s worker.Start) bool { return s.Task.Job == "small" })
	}
	l.m.Submit(l.now, small)
	is.True(started())
	large := small
	large.Job.ID, large.Call, large.Final = "large", 2, false
	large.Job.Steps = []work.Step{{Count: 100, Size: work.Size{Cores: 48_000}, Estimate: 60 * time.Millisecond}}
	for final, result := range map[bool]Result{false: Busy, true: Refused} {
		large.Final = final
		l.m.Submit(l.now, large)
		is.Equal(l.m.TakeActions().Replies[0].Result, result)
	}
}

// returnedCallers counts the callers that have come back, and those of them that were served in
// time and late.
func (p simulations) returnedCallers() (returned, inTime, late int) {
	for _, l := range p {
		for _, a := range l.answers {
			if !a.returned {
				continue
			}
			returned++
			switch {
			case a.result == Completed && a.took <= a.objective:
				inTime++
			case a.result == Completed:
				late++
			}
		}
	}
	return returned, inTime, late
}

// TestReturningCallersAreServed has refused callers come back once, when they were told to. With
// the wait for the work ahead as Retry-After, 0.42 of them were served in time.
func TestReturningCallersAreServed(t *testing.T) {
	const share = 0.8
	is := is.New(t)
	o := overloads["4 all 2.5"]
	o.comeBack = true
	returned, inTime, late := o.simulate().returnedCallers()
	t.Logf("%d came back, %d were served in time, %d late", returned, inTime, late)
	is.True(returned > 1000)
	is.True(float64(inTime) >= share*float64(returned))
}

// TestRetryAfterFigures prints how callers fare that come back once when they were told to.
// It checks nothing and runs only on demand.
func TestRetryAfterFigures(t *testing.T) {
	if os.Getenv("OVERLOAD_FIGURES") == "" {
		t.Skip("OVERLOAD_FIGURES is not set")
	}
	for name, o := range overloads {
		for _, seconds := range [...]int{4, 8} {
			t.Run(fmt.Sprintf("%s for %d s", name, seconds), func(t *testing.T) {
				t.Parallel()
				o.seconds, o.comeBack = seconds, true
				p := o.simulate()
				var told time.Duration
				refused := 0
				for _, l := range p {
					for _, a := range l.answers {
						if a.result == Refused && !a.returned {
							told += a.retryAfter
							refused++
						}
					}
				}
				returned, inTime, late := p.returnedCallers()
				n := max(1, float64(returned))
				t.Logf("%-24s %d s: %d told %.1f s, %d came back, %.2f in time, %.2f late", name, seconds,
					refused, told.Seconds()/max(1, float64(refused)), returned, float64(inTime)/n, float64(late)/n)
			})
		}
	}
}

// TestOverloadFigures prints the figures of docs/design/sharing.md. It checks nothing and
// runs only on demand.
func TestOverloadFigures(t *testing.T) {
	if os.Getenv("OVERLOAD_FIGURES") == "" {
		t.Skip("OVERLOAD_FIGURES is not set")
	}
	for name, o := range overloads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := o.simulate()
			var b strings.Builder
			for _, k := range jobKinds {
				f := p.duringOverload(k.name)
				n := float64(f.jobs)
				fmt.Fprintf(&b, "  %s %.2f/%.2f/%.2f@%.2f", k.name, float64(f.inTime)/n, float64(f.late)/n,
					float64(f.refused)/n, f.refusedAfter/max(1, float64(f.refused)))
			}
			var used float64
			for _, l := range p {
				used += l.usedShare() / float64(len(p))
			}
			all := p.outcomes("", overloadFrom+overloadSeconds+1, overloadFrom+overloadSeconds+4)
			t.Logf("%-24s%s  used %.3f after %.3f", name, b.String(), used, float64(all.inTime)/float64(all.jobs))
		})
	}
}
