package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// labelled returns a worker with labels.
func labelled(id worker.ID, labels ...string) worker.Worker {
	w := testWorker(id)
	w.Labels = labels
	return w
}

// TestWhereTasksStart submits one job and checks on which workers its first tasks
// start.
func TestWhereTasksStart(t *testing.T) {
	size := work.Size{Cores: 10_000, Memory: 64}
	tests := map[string]struct {
		workers []worker.Worker
		steps   []work.Step
		// starts is the number of tasks that start on each worker.
		starts map[worker.ID]int
	}{
		"all fit one worker": {
			workers: []worker.Worker{labelled("w1"), labelled("w2")},
			steps:   []work.Step{{Count: 4, Size: size}},
			starts:  map[worker.ID]int{"w1": 4},
		},
		"one a worker": {
			workers: []worker.Worker{labelled("w1"), labelled("w2")},
			steps:   []work.Step{{Count: 4, Size: size, PerWorker: 1}},
			starts:  map[worker.ID]int{"w1": 1, "w2": 1},
		},
		"with a label": {
			workers: []worker.Worker{labelled("w1", "small"), labelled("w2", "large", "r1")},
			steps:   []work.Step{{Count: 2, Size: size, Label: "large"}},
			starts:  map[worker.ID]int{"w2": 2},
		},
		"no worker has the label": {
			workers: []worker.Worker{labelled("w1", "small"), labelled("w2", "large")},
			steps:   []work.Step{{Count: 2, Size: size, Label: "huge"}},
		},
		"near its data": {
			workers: []worker.Worker{labelled("w1", "r1"), labelled("w2", "r2")},
			steps:   []work.Step{{Count: 2, Size: size, Rack: "r2", Estimate: 100 * time.Millisecond}},
			starts:  map[worker.ID]int{"w2": 2},
		},
		"one step after the other": {
			workers: []worker.Worker{labelled("w1")},
			steps:   []work.Step{{Count: 1, Size: size}, {Count: 3, Size: size, After: []int{0}}},
			starts:  map[worker.ID]int{"w1": 1},
		},
		"steps side by side": {
			workers: []worker.Worker{labelled("w1")},
			steps:   []work.Step{{Count: 1, Size: size}, {Count: 3, Size: size}},
			starts:  map[worker.ID]int{"w1": 4},
		},
		"too large": {
			workers: []worker.Worker{labelled("w1")},
			steps:   []work.Step{{Count: 1, Size: work.Size{Cores: 70_000}}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine()
			m.StoredJobsLoaded(begin)
			m.SetWorkers(begin, test.workers)
			answerPolls(m, at(1), m.TakeActions(), worker.Report{Incarnation: 1, Clock: 1000})
			m.AddStored(at(2), work.Job{ID: "j", Pool: pool, Attempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond, Steps: test.steps}, work.Progress{}, false)
			var starts map[worker.ID]int
			for ms := 2; ms < 200; ms += 10 {
				m.Tick(at(ms))
				for _, s := range m.TakeActions().Starts {
					if starts == nil {
						starts = map[worker.ID]int{}
					}
					starts[s.Worker]++
					m.Started(at(ms), s, worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(1000 + ms)})
				}
			}
			is.Equal(starts, test.starts)
		})
	}
}

// TestStepWaitsForAllTasksBefore ends the tasks of a first step one by one. The
// second step must start with the last of them, also if one has failed in between.
func TestStepWaitsForAllTasksBefore(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	j := submission("j", 1, 2).Job
	j.Steps = append(j.Steps, work.Step{Count: 1, Size: work.Size{Cores: 1000}, After: []int{0}})
	m.AddStored(at(2), j, work.Progress{}, false)
	a := m.TakeActions()
	is.Equal(len(a.Starts), 2)
	runs := map[string]work.Run{}
	accept := func(ms int, starts []worker.Start) {
		for _, s := range starts {
			runs[s.Task.String()] = s.Run
			m.Started(at(ms), s, worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(1000 + ms)})
		}
	}
	accept(3, a.Starts)
	number := worker.EndNumber(0)
	end := func(ms int, task string, how worker.Result) []worker.Start {
		number++
		report := worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + ms), Ended: []worker.Ended{{Number: number, Task: task, Run: runs[task], Result: how}}}
		for name, r := range runs {
			if name != task {
				report.Running = append(report.Running, worker.Running{Task: name, Run: r})
			}
		}
		delete(runs, task)
		m.PollAnswered(at(ms), at(ms-1), worker.Poll{Order: worker.Order{Worker: "w1"}}, &report, worker.Accepted)
		starts := m.TakeActions().Starts
		accept(ms, starts)
		return starts
	}
	is.Equal(len(end(60, "j.0.0.0", worker.Done)), 0)
	again := end(70, "j.0.0.1", worker.Failed)
	is.Equal(len(again), 1)
	is.Equal(again[0].Task, work.Task{Job: "j", Step: 0, Index: 1})
	second := end(130, "j.0.0.1", worker.Done)
	is.Equal(len(second), 1)
	is.Equal(second[0].Task, work.Task{Job: "j", Step: 1})
}
