package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// saturated is a Machine all of whose workers are busy, with a queue of constant
// length: each end of a run is followed by a start and by a new job.
type saturated struct {
	m       *Machine
	now     time.Time
	jobs    int
	number  worker.EndNumber
	waiting int
	running []worker.Start
}

func newSaturated(workers, waiting int) *saturated {
	s := &saturated{m: New(origin, Config{Token: 1, MaxLease: time.Second, FarFactor: 2, LookAhead: true}), now: origin, waiting: waiting}
	s.m.StoredJobsLoaded(origin)
	var list []worker.Worker
	for i := range workers {
		list = append(list, worker.Worker{
			ID: worker.ID(fmt.Sprintf("w%04d", i)), Life: 1, Address: fmt.Sprint(i), Pool: "pool-0",
			Labels: []string{fmt.Sprint("r", i/20), "kind"}, Capacity: work.Size{Cores: 64_000, Memory: 1000},
		})
	}
	s.m.SetWorkers(origin, list)
	for _, l := range s.m.TakeActions().Polls {
		s.m.PollAnswered(origin, origin, l, &worker.Report{Incarnation: 1, Clock: 1000}, worker.Accepted)
	}
	for len(s.running) < 2*workers {
		s.submit()
	}
	for range waiting {
		s.submit()
	}
	return s
}

// submit submits a job of one task, which takes half of a worker.
func (s *saturated) submit() {
	s.jobs++
	s.m.Submit(s.now, Submission{
		Host: ident.Host(fmt.Sprint("host-", s.jobs%50)), Call: uint64(s.jobs), Remaining: time.Hour, Final: true,
		Job: work.Job{
			ID: work.ID(fmt.Sprintf("j%07d", s.jobs)), Pool: "pool-0", Attempts: 2, Stretch: 1000, Target: time.Hour,
			Steps: []work.Step{{Count: 1, Size: work.Size{Cores: 27_000 + s.jobs%4_000, Memory: 64}, Estimate: 100 * time.Millisecond}},
		},
	})
	s.accept()
}

func (s *saturated) accept() {
	for _, x := range s.m.TakeActions().Starts {
		s.m.Started(s.now, x, worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(1000 + s.now.Sub(origin).Milliseconds())})
		s.running = append(s.running, x)
	}
}

// eventsPerCycle is the number of events of a cycle: the end of a run, a job, and
// the answer to the start of its task.
const eventsPerCycle = 3

// cycle ends the run that has been running for longest.
func (s *saturated) cycle() {
	s.end(100 * time.Microsecond)
	s.submit()
}

// end ends the run that has been running for longest, some time from now.
func (s *saturated) end(after time.Duration) {
	s.now = s.now.Add(after)
	x := s.running[0]
	s.running = s.running[1:]
	n := s.m.nodes[x.Worker]
	report := &worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + s.now.Sub(origin).Milliseconds())}
	for _, r := range n.sortedRuns() {
		if r.key.task != x.Task.String() {
			report.Running = append(report.Running, worker.Running{Task: r.key.task, Run: r.key.run, Percent: 50})
		}
	}
	report.Ended = []worker.Ended{{Number: n.seen + 1, Task: x.Task.String(), Run: x.Run, Result: worker.Done}}
	s.m.PollAnswered(s.now, s.now, worker.Poll{Order: worker.Order{Worker: x.Worker}}, report, worker.Accepted)
	s.accept()
}

// TestEventCostsWhatItTouches checks that the number of workers and jobs that an
// event examines does not grow with the fleet and the queue: it compares a small
// fleet without a queue with a large one that has a long queue.
func TestEventCostsWhatItTouches(t *testing.T) {
	is := is.New(t)
	const cycles = 2000
	visits := func(workers, waiting int) float64 {
		s := newSaturated(workers, waiting)
		before := s.m.visited
		for range cycles {
			s.cycle()
		}
		is.True(len(s.running) >= workers)
		is.True(s.m.queue.tasks >= waiting)
		return float64(s.m.visited-before) / cycles / eventsPerCycle
	}
	small, large := visits(16, 0), visits(890, 1000)
	t.Logf("an event looks at %.2f workers and jobs of 16 and 0, at %.2f of 890 and 1000", small, large)
	is.True(large <= 2*small)
}

// BenchmarkEvent measures the cost of a cycle of events on fleets of several sizes.
func BenchmarkEvent(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{16, 0}, {117, 0}, {117, 300}, {220, 300}, {890, 0}, {890, 1000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.waiting), func(b *testing.B) {
			s := newSaturated(size.workers, size.waiting)
			b.ReportAllocs()
			for b.Loop() {
				s.cycle()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/eventsPerCycle, "ns/event")
		})
	}
}

// BenchmarkTick measures the cost of a tick of a busy fleet, which examines the
// whole queue.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{16, 0}, {117, 0}, {117, 300}, {220, 300}, {890, 0}, {890, 1000}} {
		b.Run(fmt.Sprintf("workers=%d/jobs=%d", size.workers, size.waiting), func(b *testing.B) {
			s := newSaturated(size.workers, size.waiting)
			for b.Loop() {
				s.m.Tick(s.now)
			}
		})
	}
}
