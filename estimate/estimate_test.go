package estimate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/estimate"
	"github.com/catkingap/catkingap/worker"
)

var origin = time.Unix(1_800_000_000, 0)

const (
	jobSpread, taskSpread = 0.4, 0.15
	runTime               = 100 * time.Millisecond
)

// fleet is a number of workers of equal speed whose usual speed is known.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	workers []*estimate.Worker
	slow    []float64
}

func newFleet(seed uint64, count int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 5)), now: origin}
	for range count {
		f.workers, f.slow = append(f.workers, &estimate.Worker{}), append(f.slow, 1)
	}
	var all []int
	for i := range count {
		all = append(all, i)
	}
	for range 60 {
		f.run(1, all...)
	}
	return f
}

func (f *fleet) logNormal(s float64) float64 {
	sigma := math.Sqrt(math.Log(1 + s*s))
	return math.Exp(f.random.NormFloat64()*sigma - sigma*sigma/2)
}

func id(i int) worker.ID { return worker.ID(fmt.Sprint("w", i)) }

// run runs a job with one task on each of some workers, all of which take factor times as long
// as estimated, to its end. It returns the number of changes to slow.
func (f *fleet) run(factor float64, on ...int) int {
	var j estimate.Job
	slowed := 0
	size := f.logNormal(jobSpread)
	sent, last := f.now, f.now
	type end struct {
		at     time.Time
		worker int
	}
	var ends []end
	for _, i := range on {
		ends = append(ends, end{sent.Add(time.Duration(size * factor * f.slow[i] * f.logNormal(taskSpread) * float64(runTime))), i})
	}
	for len(ends) > 0 {
		first := 0
		for k := range ends {
			if ends[k].at.Before(ends[first].at) {
				first = k
			}
		}
		e := ends[first]
		ends = append(ends[:first], ends[first+1:]...)
		if j.Ended(e.at, f.workers[e.worker], estimate.Run{Worker: id(e.worker), Sent: sent, Estimate: runTime}) == estimate.Slowed {
			slowed++
		}
		last = e.at
	}
	j.Learn(last, func(worker.ID) {})
	f.now = last
	return slowed
}

// TestSlowPhaseIsRecognised slows a worker down and counts the jobs until it counts as slow.
func TestSlowPhaseIsRecognised(t *testing.T) {
	tests := map[string]struct {
		factor float64
		others []int
		// mean is the largest mean number of jobs.
		mean float64
	}{
		"4 times, alone":              {factor: 4, mean: 3},
		"8 times, alone":              {factor: 8, mean: 3},
		"4 times, beside one other":   {factor: 4, others: []int{1}, mean: 1.8},
		"4 times, beside four others": {factor: 4, others: []int{1, 2, 3, 4}, mean: 1.3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const seeds = 50
			sum := 0.0
			for seed := range uint64(seeds) {
				f := newFleet(seed, 6)
				f.slow[0] = test.factor
				jobs := 0
				for ; !f.workers[0].IsSlow() && jobs < 20; jobs++ {
					f.run(1, append([]int{0}, test.others...)...)
				}
				sum += float64(jobs) / seeds
			}
			t.Logf("%.2f jobs", sum)
			is.True(sum <= test.mean)
		})
	}
}

// TestTailIsNoSlowWorker has single jobs take 7 times as long as estimated on all their workers.
func TestTailIsNoSlowWorker(t *testing.T) {
	for name, on := range map[string][]int{"on one worker": {0}, "on two": {0, 1}, "on five": {0, 1, 2, 3, 4}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const seeds, jobs = 20, 50
			slowed := 0
			for seed := range uint64(seeds) {
				f := newFleet(seed, 6)
				for k := range jobs {
					factor := 1.0
					if k%5 == 0 {
						factor = 7
					}
					slowed += f.run(factor, on...)
				}
			}
			t.Logf("%d of %d jobs made a worker count as slow", slowed, seeds*jobs)
			is.True(slowed <= seeds*jobs/100)
		})
	}
}

// TestTasksOfOneJobCountOnce ends many tasks of one long job on one worker: they say no more
// than one of them that the worker is slow.
func TestTasksOfOneJobCountOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 6)
	is.Equal(f.run(5, 0, 0, 0, 0, 0, 0), 0)
	is.True(!f.workers[0].IsSlow())
}

// TestUsualSpeedIsLearned checks the learned speeds of workers that differ, and that they do not
// drift: jobs with several tasks only show how workers differ from each other.
func TestUsualSpeedIsLearned(t *testing.T) {
	is := is.New(t)
	f := &fleet{random: rand.New(rand.NewPCG(3, 5)), now: origin}
	for i := range 8 {
		f.workers, f.slow = append(f.workers, &estimate.Worker{}), append(f.slow, []float64{0.8, 1.8}[i%2])
	}
	for range 2000 {
		f.run(1, f.random.IntN(8), f.random.IntN(8), f.random.IntN(8), f.random.IntN(8))
	}
	for i, w := range f.workers {
		is.True(math.Abs(w.Usual()-math.Log(f.slow[i])) < 0.3)
	}
	ratio := (f.workers[1].Usual() + f.workers[3].Usual() - f.workers[0].Usual() - f.workers[2].Usual()) / 2
	is.True(math.Abs(ratio-math.Log(1.8/0.8)) < 0.15)
}

// TestSlowPhaseIsForgotten checks when a worker that gets no work is tried and then used as
// before, and that one slow run on trial makes it count as slow again.
func TestSlowPhaseIsForgotten(t *testing.T) {
	slowWorker := func() (*fleet, *estimate.Worker) {
		f := newFleet(2, 6)
		f.slow[0] = 4
		for !f.workers[0].IsSlow() {
			f.run(1, 0, 1, 2, 3)
		}
		return f, f.workers[0]
	}
	tests := map[string]func(is *is.I, f *fleet, w *estimate.Worker){
		"without work": func(is *is.I, _ *fleet, w *estimate.Worker) {
			at := w.NextChange()
			is.Equal(w.Advance(at.Add(-1)), estimate.Unchanged)
			is.True(w.Log() > w.Usual()+math.Ln2)
			is.Equal(w.Advance(at), estimate.Unchanged)
			is.True(w.OnTrial())
			is.Equal(w.Advance(at.Add(estimate.TrialTime)), estimate.Recovered)
			is.Equal(w.Log(), w.Usual())
			is.True(w.NextChange().IsZero())
		},
		"still slow on trial": func(is *is.I, f *fleet, w *estimate.Worker) {
			f.now = w.NextChange()
			w.Advance(f.now)
			f.run(1, 0, 1, 2)
			is.True(w.IsSlow())
		},
		"well on trial": func(is *is.I, f *fleet, w *estimate.Worker) {
			f.now, f.slow[0] = w.NextChange(), 1
			w.Advance(f.now)
			f.run(1, 0, 1, 2)
			is.Equal(w.Log(), w.Usual())
		},
		"well while it counts as slow": func(is *is.I, f *fleet, w *estimate.Worker) {
			f.slow[0] = 1
			f.run(1, 0, 1, 2)
			is.Equal(w.Log(), w.Usual())
		},
		"slower for good": func(is *is.I, f *fleet, w *estimate.Worker) {
			before := w.Usual()
			for f.now.Before(origin.Add(5 * time.Minute)) {
				w.Advance(f.now)
				f.run(1, 0, 1, 2)
			}
			is.True(w.Usual() > before+1)
			is.True(!w.IsSlow())
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, w := slowWorker()
			test(is.New(t), f, w)
		})
	}
}

// TestOverdueRuns checks what runs that have not ended show: a worker that stands still, beside
// others that have ended, is slow, and a job of which no task ends is not.
func TestOverdueRuns(t *testing.T) {
	tests := map[string]struct {
		ended, open []int
		slow        bool
	}{
		"all others have ended":  {ended: []int{1, 2, 3}, slow: true},
		"the others are as late": {open: []int{1, 2, 3}},
		"it runs alone":          {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(4, 6)
			var j estimate.Job
			run := func(i int) estimate.Run { return estimate.Run{Worker: id(i), Sent: f.now, Estimate: runTime} }
			for _, i := range test.ended {
				j.Ended(f.now.Add(runTime), f.workers[i], run(i))
			}
			for ms := 200; ms <= 1000; ms += 100 {
				now := f.now.Add(time.Duration(ms) * time.Millisecond)
				for _, i := range test.open {
					j.Open(now, f.workers[i], run(i))
				}
				j.Overdue(now, f.workers[0], run(0))
			}
			is.Equal(f.workers[0].IsSlow(), test.slow)
		})
	}
}

// TestLargeJobIsBounded ends thousands of tasks of a job on as many workers. All but the first
// ones are compared with those only.
func TestLargeJobIsBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, estimate.MaxCompared+1)
	var j estimate.Job
	r := estimate.Run{Sent: f.now, Estimate: runTime}
	now := f.now.Add(runTime)
	for i := range 3000 {
		r.Worker = worker.ID(fmt.Sprint("x", i))
		j.Ended(now, f.workers[0], r)
	}
	r.Worker = id(estimate.MaxCompared)
	is.Equal(j.Ended(now.Add(4*runTime), f.workers[estimate.MaxCompared], r), estimate.Slowed)
	learned := 0
	j.Learn(now, func(worker.ID) { learned++ })
	is.Equal(learned, estimate.MaxCompared)
}

// BenchmarkJob measures the cost of a run of a job with 32 tasks on as many workers.
func BenchmarkJob(b *testing.B) {
	const tasks = 32
	f := newFleet(1, tasks)
	for b.Loop() {
		var j estimate.Job
		now := f.now.Add(runTime)
		for i := range tasks {
			r := estimate.Run{Worker: id(i), Sent: f.now, Estimate: runTime}
			j.Ended(now, f.workers[i], r)
			for k := i + 1; k < tasks; k++ {
				j.Open(now, f.workers[k], estimate.Run{Worker: r.Worker, Sent: f.now, Estimate: runTime})
			}
		}
		j.Learn(now, func(worker.ID) {})
		f.now = now
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tasks, "ns/run")
}
