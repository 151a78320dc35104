package standin

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Run is one run of a task on a worker.
type Run struct {
	Task   string
	Worker string
	// Number is the number of the task's start.
	Number int
	// Token is the fencing token of the order.
	Token int64
	Began time.Time
	// Ended and How are empty while the run is at work.
	Ended time.Time
	How   string
}

// Overlap is two runs of one task that were at work at the same time.
type Overlap struct {
	First, Second Run
	// Lasted is how long both were at work.
	Lasted time.Duration
}

// Text describes an overlap, with times since a start.
func (o Overlap) Text(since time.Time) string {
	text := func(r Run) string {
		ended := "at work"
		if r.How != "" {
			ended = fmt.Sprintf("%s at %.3f", r.How, r.Ended.Sub(since).Seconds())
		}
		return fmt.Sprintf("run %d on %s with token %d from %.3f, %s", r.Number, r.Worker, r.Token, r.Began.Sub(since).Seconds(), ended)
	}
	return fmt.Sprintf("task %s for %s: %s; %s", o.First.Task, o.Lasted, text(o.First), text(o.Second))
}

// Judge records what all workers run, and counts what must not happen.
type Judge struct {
	mutex   sync.Mutex
	running map[string]int
	starts  int
	done    int
	doubled []string
	// runs holds all runs of each task in the order of their starts.
	runs map[string][]*Run
	// noted holds the tasks of which a done run was taken note of, failures
	// the number of failed runs of each task.
	noted    map[string]bool
	failures map[string]int
	again    []string
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{running: map[string]int{}, runs: map[string][]*Run{}, noted: map[string]bool{}, failures: map[string]int{}}
}

func (j *Judge) start(r Run) *Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.starts++
	j.running[r.Task]++
	j.runs[r.Task] = append(j.runs[r.Task], &r)
	if j.running[r.Task] > 1 {
		j.doubled = append(j.doubled, r.Task)
	}
	if j.noted[r.Task] {
		j.again = append(j.again, r.Task)
	}
	return &r
}

func (j *Judge) end(r *Run, how string, at time.Time) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.running[r.Task]--
	r.How, r.Ended = how, at
	switch how {
	case endDone:
		j.done++
	case endFailed:
		j.failures[r.Task]++
	}
}

// note tells that a worker was told that the end of a run was seen.
func (j *Judge) note(task, how string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if how == endDone {
		j.noted[task] = true
	}
}

// Again returns the tasks that started after it was noted that they are done.
func (j *Judge) Again() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.again
}

// Failures returns the highest number of failed runs of any task.
func (j *Judge) Failures() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	highest := 0
	for _, n := range j.failures {
		highest = max(highest, n)
	}
	return highest
}

// Verdict returns the number of starts and of runs that were done, and the
// tasks that ran twice at the same time.
func (j *Judge) Verdict() (starts, done int, doubled []string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.starts, j.done, j.doubled
}

// Running returns the number of runs that are at work.
func (j *Judge) Running() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	n := 0
	for _, runs := range j.running {
		n += runs
	}
	return n
}

// Runs returns the runs of each task in the order of their starts.
func (j *Judge) Runs() map[string][]Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	runs := make(map[string][]Run, len(j.runs))
	for task, all := range j.runs {
		for _, r := range all {
			runs[task] = append(runs[task], *r)
		}
	}
	return runs
}

// Overlaps returns the pairs of runs of one task that were at work at the same
// time, in the order of their starts.
func (j *Judge) Overlaps(now time.Time) []Overlap {
	var overlaps []Overlap
	all := j.Runs()
	for _, task := range slices.Sorted(maps.Keys(all)) {
		runs := all[task]
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if lasted := earliest(a.over(now), b.over(now)).Sub(b.Began); lasted > 0 {
					overlaps = append(overlaps, Overlap{First: a, Second: b, Lasted: lasted})
				}
			}
		}
	}
	slices.SortStableFunc(overlaps, func(a, b Overlap) int { return a.Second.Began.Compare(b.Second.Began) })
	return overlaps
}

// over returns when a run was over, or now.
func (r Run) over(now time.Time) time.Time {
	if r.How == "" {
		return now
	}
	return r.Ended
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
