package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/work"
)

const (
	// manySteps is about the number of steps that fit into the largest legal body.
	manySteps = 5000
	// maxTasksPerEvent bounds the tasks of one such job that an event examines on average.
	maxTasksPerEvent = 512
)

// manyStepsJob returns a job with one task in each step.
func manyStepsJob(step func(i int) work.Step) work.Job {
	j := work.Job{ID: "j0000000", Pool: "pool-0", Attempts: 2, Stretch: 1000, Target: time.Hour}
	for i := range manySteps {
		s := step(i)
		s.Count, s.Estimate = 1, 50*time.Millisecond
		j.Steps = append(j.Steps, s)
	}
	return j
}

// TestJobOfManyStepsCostsWhatItTouches checks that an event of a job with thousands of steps does
// not examine all of them. The worker has room for one task at a time.
func TestJobOfManyStepsCostsWhatItTouches(t *testing.T) {
	const ends = 500
	size := work.Size{Cores: 64_000}
	for name, step := range map[string]func(i int) work.Step{
		"alike":   func(int) work.Step { return work.Step{Size: size} },
		"unlike":  func(i int) work.Step { return work.Step{Size: work.Size{Cores: size.Cores - i, Memory: 1}} },
		"a chain": func(i int) work.Step { return work.Step{Size: size, After: []int{max(0, i-1)}[:min(i, 1)]} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSaturated(1, 0)
			for len(s.running) > 0 {
				s.end(time.Millisecond)
			}
			s.m.Submit(s.now, Submission{Host: "host-0", Call: 1, Remaining: time.Hour, Final: true, Job: manyStepsJob(step)})
			s.accept()
			before := s.m.examined
			for range ends {
				is.Equal(len(s.running), 1)
				s.end(time.Millisecond)
				s.m.Tick(s.now)
				s.accept()
			}
			perEvent := (s.m.examined - before) / ends
			t.Logf("%d tasks examined for each end", perEvent)
			is.True(perEvent <= maxTasksPerEvent)
		})
	}
}
