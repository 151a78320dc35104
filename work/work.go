// Package work defines the jobs that callers submit: their steps, tasks and
// sizes.
package work

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// ID identifies a job. The caller chooses it and repeats it with each attempt to
// submit the job.
type ID string

// Queue names the queue that a job was submitted to.
type Queue string

// Priority orders queues: jobs with a lower number start first.
type Priority int

// Size holds the resources that a task needs or a worker has.
type Size struct {
	// Cores is in thousandths of a processor core.
	Cores int `msgpack:"cores"`
	// Memory is in megabytes.
	Memory int `msgpack:"memory"`
	// Graphics counts graphics processors.
	Graphics int `msgpack:"graphics,omitempty"`
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, Memory: s.Memory + o.Memory, Graphics: s.Graphics + o.Graphics}
}

// Minus returns the difference of s and o.
func (s Size) Minus(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, Memory: s.Memory - o.Memory, Graphics: s.Graphics - o.Graphics}
}

// Max returns the larger of s and o in each dimension.
func (s Size) Max(o Size) Size {
	return Size{Cores: max(s.Cores, o.Cores), Memory: max(s.Memory, o.Memory), Graphics: max(s.Graphics, o.Graphics)}
}

// Fits returns true if s is at most free in each dimension.
func (s Size) Fits(free Size) bool {
	return s.Cores <= free.Cores && s.Memory <= free.Memory && s.Graphics <= free.Graphics
}

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `msgpack:"count"`
	// Size holds the resources that each task needs.
	Size Size `msgpack:"size"`
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration `msgpack:"estimate"`
	// After lists the indices of the steps that must be done before this one
	// starts.
	After []int `msgpack:"after,omitempty"`
	// Label is a label that a worker must have to run the step, or empty.
	Label string `msgpack:"label,omitempty"`
	// Rack names the rack that holds the step's data, or is empty.
	Rack string `msgpack:"rack,omitempty"`
	// PerWorker bounds the tasks of the step on one worker. Zero means no
	// bound.
	PerWorker int `msgpack:"perWorker,omitempty"`
}

// Job is a job as submitted by a caller, with the configuration of its queue.
type Job struct {
	ID    ID         `msgpack:"id"`
	Queue Queue      `msgpack:"queue"`
	Pool  ident.Pool `msgpack:"pool"`
	// Payload is passed to each task unchanged.
	Payload  string   `msgpack:"payload"`
	Steps    []Step   `msgpack:"steps"`
	Priority Priority `msgpack:"priority"`
	// Attempts is the number of failed runs of one task after which the job
	// fails.
	Attempts int `msgpack:"attempts"`
	// Stretch and Target define the objective for the response time: Stretch
	// times the estimated run time of the critical path, plus Target.
	Stretch float64       `msgpack:"stretch"`
	Target  time.Duration `msgpack:"target"`
}

// InvalidError means that a job can never run as it was submitted.
type InvalidError struct {
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return "job is invalid: " + e.Reason }

func invalid(format string, a ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, a...)}
}

// The bounds of a job, over all its steps.
const (
	// MaxTasks is well above the largest jobs that callers have announced, of
	// 1,300 tasks.
	MaxTasks = 10_000
	// MaxPayloadBytes is the longest payload that workers accept.
	MaxPayloadBytes = 4000
)

// Check returns an *InvalidError if the job can not run as it is.
func (j *Job) Check() error {
	if len(j.Payload) > MaxPayloadBytes {
		return invalid("the payload has %d bytes, at most %d are allowed", len(j.Payload), MaxPayloadBytes)
	}
	if len(j.Steps) == 0 {
		return invalid("it has no step")
	}
	for i, s := range j.Steps {
		if err := s.check(i, len(j.Steps)); err != nil {
			return err
		}
	}
	if n := j.Tasks(); n > MaxTasks {
		return invalid("it has %d tasks, at most %d are allowed", n, MaxTasks)
	}
	if j.criticalPath() < 0 {
		return invalid("its steps wait for each other in a circle")
	}
	return nil
}

func (s Step) check(i, steps int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return invalid("step %d has %d tasks, 1 to %d are allowed", i, s.Count, MaxTasks)
	}
	if s.Size.Cores < 0 || s.Size.Memory < 0 || s.Size.Graphics < 0 || s.Estimate < 0 || s.PerWorker < 0 {
		return invalid("step %d has a negative size or time", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= steps {
			return invalid("step %d comes after step %d, which does not exist", i, a)
		}
	}
	return nil
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// OpenSteps returns the steps that are not done and may start, and all steps that are not
// done, given the numbers of the tasks that are done, counted over all steps.
func (j *Job) OpenSteps(done []int) (ready, left []int) {
	open, offsets := make([]int, len(j.Steps)), make([]int, len(j.Steps))
	first := 0
	for i, s := range j.Steps {
		open[i], offsets[i] = s.Count, first
		first += s.Count
	}
	for _, number := range done {
		if number < 0 || number >= first {
			continue
		}
		// The last step that begins at the number or before it.
		i, found := slices.BinarySearch(offsets, number)
		if !found {
			i--
		}
		open[i]--
	}
	for i, s := range j.Steps {
		if open[i] <= 0 {
			continue
		}
		left = append(left, i)
		if !slices.ContainsFunc(s.After, func(a int) bool { return open[a] > 0 }) {
			ready = append(ready, i)
		}
	}
	return ready, left
}

// CriticalPath returns the estimated run time of the critical path, the longest
// chain of dependent steps.
func (j *Job) CriticalPath() time.Duration { return max(0, j.criticalPath()) }

// maxObjective bounds objectives, so that sums of times with them cannot overflow.
const maxObjective = 1 << 60 * time.Nanosecond

// Objective returns the response time that callers of the job's queue expect:
// Stretch times the critical path, plus Target.
func (j *Job) Objective() time.Duration {
	return time.Duration(min(j.Stretch*float64(j.CriticalPath()), float64(maxObjective))) + j.Target
}

// Task identifies one task of a job.
type Task struct {
	Job  ID
	Step int
	// Index is the position of the task in the step, from 0.
	Index int
}

// String returns the task as job.occurrence.step.index. The occurrence is always
// 0, since these jobs have no schedule.
func (t Task) String() string {
	return string(t.Job) + ".0." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// JobOfTask returns the job of the task with the given name.
func JobOfTask(name string) ID {
	id, _, _ := strings.Cut(name, ".")
	return ID(id)
}

// taskNameParts is the number of dot-separated parts of a task's name. The last two
// are the number of its step and its index there.
const taskNameParts = 4

// ParseTask returns the task with the given name, and false for a text that names none.
func ParseTask(name string) (Task, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != taskNameParts {
		return Task{}, false
	}
	step, stepErr := strconv.Atoi(parts[taskNameParts-2])
	index, indexErr := strconv.Atoi(parts[taskNameParts-1])
	t := Task{Job: JobOfTask(name), Step: step, Index: index}
	return t, stepErr == nil && indexErr == nil && step >= 0 && index >= 0 && t.String() == name
}

// Run numbers the starts of a task, from 1.
type Run int
