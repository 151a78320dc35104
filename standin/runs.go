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
	// Number counts the starts of the task, as given by the order.
	Number int
	// Token is the fencing token of the order.
	Token int64
	Began time.Time
	// Ended and How are empty while the run is active.
	Ended time.Time
	How   string
}

// Overlap is a pair of runs of one task that were active at the same time.
type Overlap struct {
	First, Second Run
	// Duration is how long both were active.
	Duration time.Duration
}

// Text describes an overlap, with times relative to since.
func (o Overlap) Text(since time.Time) string {
	text := func(r Run) string {
		ended := "still active"
		if r.How != "" {
			ended = fmt.Sprintf("%s at %.3f", r.How, r.Ended.Sub(since).Seconds())
		}
		return fmt.Sprintf("run %d on %s with token %d from %.3f, %s", r.Number, r.Worker, r.Token, r.Began.Sub(since).Seconds(), ended)
	}
	return fmt.Sprintf("task %s for %s: %s; %s", o.First.Task, o.Duration, text(o.First), text(o.Second))
}

// RunRecorder records the runs of all workers and the violations of guarantees: tasks
// that run twice at the same time or start after they are done.
type RunRecorder struct {
	mutex       sync.Mutex
	running     map[string]int
	starts      int
	done        int
	overlapping []string
	// runs holds all runs of each task in order of their starts.
	runs map[string][]*Run
	// acknowledged holds the tasks whose owner has acknowledged a done run, failures
	// the number of failed runs of each task.
	acknowledged map[string]bool
	failures     map[string]int
	restarted    []string
}

// NewRunRecorder returns a RunRecorder without records.
func NewRunRecorder() *RunRecorder {
	return &RunRecorder{running: map[string]int{}, runs: map[string][]*Run{}, acknowledged: map[string]bool{}, failures: map[string]int{}}
}

// start records the start of a run and returns its record.
func (j *RunRecorder) start(r Run) *Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.starts++
	j.running[r.Task]++
	j.runs[r.Task] = append(j.runs[r.Task], &r)
	if j.running[r.Task] > 1 {
		j.overlapping = append(j.overlapping, r.Task)
	}
	if j.acknowledged[r.Task] {
		j.restarted = append(j.restarted, r.Task)
	}
	return &r
}

// end records the end of a run.
func (j *RunRecorder) end(r *Run, how string, at time.Time) {
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

// acknowledge records that a worker's report of the end of a run was acknowledged.
func (j *RunRecorder) acknowledge(task, how string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if how == endDone {
		j.acknowledged[task] = true
	}
}

// Restarted returns the tasks that started after one of their done runs was
// acknowledged.
func (j *RunRecorder) Restarted() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.restarted
}

// MaxFailures returns the highest number of failed runs of any task.
func (j *RunRecorder) MaxFailures() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	highest := 0
	for _, n := range j.failures {
		highest = max(highest, n)
	}
	return highest
}

// Summary returns the number of starts, the number of done runs, and the tasks that
// ran twice at the same time.
func (j *RunRecorder) Summary() (starts, done int, doubled []string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.starts, j.done, j.overlapping
}

// Running returns the number of active runs.
func (j *RunRecorder) Running() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	n := 0
	for _, runs := range j.running {
		n += runs
	}
	return n
}

// Runs returns the runs of each task in order of their starts.
func (j *RunRecorder) Runs() map[string][]Run {
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

// Overlaps returns the pairs of runs of one task that were active at the same time,
// in order of the starts of their second runs.
func (j *RunRecorder) Overlaps(now time.Time) []Overlap {
	var overlaps []Overlap
	all := j.Runs()
	for _, task := range slices.Sorted(maps.Keys(all)) {
		runs := all[task]
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if duration := earliest(a.endOr(now), b.endOr(now)).Sub(b.Began); duration > 0 {
					overlaps = append(overlaps, Overlap{First: a, Second: b, Duration: duration})
				}
			}
		}
	}
	slices.SortStableFunc(overlaps, func(a, b Overlap) int { return a.Second.Began.Compare(b.Second.Began) })
	return overlaps
}

// endOr returns when the run ended, or now if it is active.
func (r Run) endOr(now time.Time) time.Time {
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
