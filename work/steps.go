package work

import "time"

// Steps tracks which steps of a job may start. Each change takes time in proportion to the steps
// that wait for the changed one, since a job may have thousands of steps.
type Steps struct {
	// left is the number of tasks of each step that are not done, and blockers the number of
	// steps for which it waits.
	left, blockers []int
	// dependents holds, for each step, those that wait for it. It is nil if none waits.
	dependents [][]int
}

// NewSteps returns the steps of a job none of whose tasks is done.
func NewSteps(j *Job) Steps {
	s := Steps{left: make([]int, len(j.Steps)), blockers: make([]int, len(j.Steps))}
	for i, x := range j.Steps {
		s.left[i], s.blockers[i] = x.Count, len(x.After)
		for _, a := range x.After {
			if s.dependents == nil {
				s.dependents = make([][]int, len(j.Steps))
			}
			s.dependents[a] = append(s.dependents[a], i)
		}
	}
	return s
}

// IsReady returns true if the steps before step i are done.
func (s *Steps) IsReady(i int) bool { return s.blockers[i] == 0 }

// TaskDone records that a task of step i is done. It returns the steps that may start now and
// could not before.
func (s *Steps) TaskDone(i int) (ready []int) {
	if s.left[i]--; s.left[i] != 0 || s.dependents == nil {
		return nil
	}
	for _, d := range s.dependents[i] {
		if s.blockers[d]--; s.blockers[d] == 0 {
			ready = append(ready, d)
		}
	}
	return ready
}

// criticalPath is CriticalPath, but negative if the steps depend on each other in a cycle.
func (j *Job) criticalPath() time.Duration {
	steps := NewSteps(j)
	ends := make([]time.Duration, len(j.Steps))
	var ready []int
	for i := range j.Steps {
		if steps.IsReady(i) {
			ready = append(ready, i)
		}
	}
	longest := time.Duration(0)
	for n := 0; n < len(ready); n++ {
		i := ready[n]
		ends[i] += j.Steps[i].Estimate
		longest = max(longest, ends[i])
		if steps.dependents == nil {
			continue
		}
		for _, d := range steps.dependents[i] {
			ends[d] = max(ends[d], ends[i])
			if steps.blockers[d]--; steps.blockers[d] == 0 {
				ready = append(ready, d)
			}
		}
	}
	if len(ready) < len(j.Steps) {
		return -1
	}
	return longest
}
