package work_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/work"
)

// TestSteps checks which steps may start after each task, and the critical path.
func TestSteps(t *testing.T) {
	const estimate = 10 * time.Millisecond
	for name, row := range map[string]struct {
		steps []work.Step
		// first holds the steps that may start at once. done holds the steps whose tasks are done
		// one after the other, and ready those that each of them releases.
		first, done []int
		ready       [][]int
		path        time.Duration
	}{
		"one after the other": {
			steps: []work.Step{{Count: 2}, {Count: 1, After: []int{0}}}, first: []int{0},
			done: []int{0, 0, 1}, ready: [][]int{nil, {1}, nil}, path: 2 * estimate,
		},
		"side by side": {
			steps: []work.Step{{Count: 1}, {Count: 1}}, first: []int{0, 1},
			done: []int{1, 0}, ready: [][]int{nil, nil}, path: estimate,
		},
		"after two": {
			steps: []work.Step{{Count: 1}, {Count: 1}, {Count: 1, After: []int{0, 1}}}, first: []int{0, 1},
			done: []int{1, 0}, ready: [][]int{nil, {2}}, path: 2 * estimate,
		},
		"named twice": {
			steps: []work.Step{{Count: 1}, {Count: 1, After: []int{0, 0, 0}}}, first: []int{0},
			done: []int{0}, ready: [][]int{{1}}, path: 2 * estimate,
		},
		"in reverse": {
			steps: []work.Step{{Count: 1, After: []int{1}}, {Count: 1, After: []int{2}}, {Count: 1}}, first: []int{2},
			done: []int{2, 1}, ready: [][]int{{1}, {0}}, path: 3 * estimate,
		},
		"done twice": {
			steps: []work.Step{{Count: 1}, {Count: 1, After: []int{0, 2}}, {Count: 1}}, first: []int{0, 2},
			done: []int{0, 0}, ready: [][]int{nil, nil}, path: 2 * estimate,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := work.Job{Steps: row.steps}
			for i := range j.Steps {
				j.Steps[i].Estimate = estimate
			}
			is.NoErr(j.Check())
			is.Equal(j.CriticalPath(), row.path)
			s := work.NewSteps(&j)
			var first []int
			for i := range j.Steps {
				if s.IsReady(i) {
					first = append(first, i)
				}
			}
			is.Equal(first, row.first)
			for k, i := range row.done {
				is.Equal(s.TaskDone(i), row.ready[k])
			}
		})
	}
}

// TestStepsInACircle checks that steps which wait for each other, or for themselves, are refused.
func TestStepsInACircle(t *testing.T) {
	for name, after := range map[string][]int{"itself": {1}, "each other": {2}} {
		t.Run(name, func(t *testing.T) {
			j := work.Job{Steps: []work.Step{{Count: 1}, {Count: 1, After: after}, {Count: 1, After: []int{1}}}}
			is.New(t).True(j.Check() != nil)
		})
	}
}

// TestOpenSteps checks which steps are left of a job some of whose tasks are done.
func TestOpenSteps(t *testing.T) {
	is := is.New(t)
	j := work.Job{Steps: []work.Step{{Count: 2}, {Count: 1, After: []int{0}}, {Count: 3}}}
	for _, row := range []struct{ done, ready, left []int }{
		{ready: []int{0, 2}, left: []int{0, 1, 2}},
		{done: []int{1}, ready: []int{0, 2}, left: []int{0, 1, 2}},
		{done: []int{1, 0}, ready: []int{1, 2}, left: []int{1, 2}},
		{done: []int{5, 3, 4, 99, -1}, ready: []int{0}, left: []int{0, 1}},
		{done: []int{0, 1, 2, 3, 4, 5}},
	} {
		ready, left := j.OpenSteps(row.done)
		is.True(slices.Equal(ready, row.ready))
		is.True(slices.Equal(left, row.left))
	}
}
