package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/catkingap/catkingap/work"
)

// Retention is how long the losses under a task are kept after the last one. Callers
// send a job again within seconds.
const Retention = time.Minute

// Tracker keeps the losses under the tasks of one owner.
type Tracker struct {
	tasks map[string]*taskRecord
	// presumed holds the tasks that ran on workers of which it is not known whether they
	// have crashed.
	presumed map[Life][]string
	// changed holds the tasks whose losses have changed since TakeChanges.
	changed map[string]struct{}
}

type taskRecord struct {
	losses  History
	refuted []Refutation
	changed time.Time
}

// NewTracker returns a Tracker without losses.
func NewTracker() *Tracker {
	return &Tracker{tasks: map[string]*taskRecord{}, presumed: map[Life][]string{}, changed: map[string]struct{}{}}
}

// Add adds what is known of the losses under a task. It returns true if that is new.
func (t *Tracker) Add(now time.Time, x TaskLosses) bool {
	if len(x.Losses)+len(x.Refuted) == 0 {
		return false
	}
	r := t.tasks[x.Task]
	if r == nil {
		r = &taskRecord{}
		t.tasks[x.Task] = r
	}
	refuted := unite(r.refuted, x.Refuted)
	merged := r.losses.merge(x.Losses.without(refuted)).without(refuted)
	if slices.Equal(merged, r.losses) && len(refuted) == len(r.refuted) {
		return false
	}
	r.refuted = refuted
	t.set(now, x.Task, merged)
	for _, l := range merged {
		if l.Proof == Presumed && !slices.Contains(t.presumed[l.Life], x.Task) {
			t.presumed[l.Life] = append(t.presumed[l.Life], x.Task)
		}
	}
	return true
}

// Review drops the losses that others have disproved: known returns what they know of the tasks
// of a job. It returns the tasks that this concerns.
func (t *Tracker) Review(now time.Time, known func(work.ID) []TaskLosses) []string {
	var reviewed []string
	for _, task := range slices.Sorted(maps.Keys(t.tasks)) {
		for _, x := range known(work.JobOfTask(task)) {
			if x.Task == task && t.Add(now, TaskLosses{Task: task, Refuted: x.Refuted}) {
				reviewed = append(reviewed, task)
			}
		}
	}
	return reviewed
}

func (t *Tracker) set(now time.Time, task string, h History) {
	t.tasks[task].losses, t.tasks[task].changed = h, now
	t.changed[task] = struct{}{}
}

// Confirm records what became of a worker, and returns the tasks that this concerns.
func (t *Tracker) Confirm(now time.Time, l Life, p Proof) []string {
	return t.resolve(now, l, func(x Loss) (Loss, bool) {
		x.Proof = p
		return x, true
	})
}

// Withdraw records that a worker has answered again and was not lost. It returns the
// tasks that this concerns.
func (t *Tracker) Withdraw(now time.Time, l Life) []string {
	return t.resolve(now, l, func(x Loss) (Loss, bool) { return x, false })
}

// resolve replaces the presumed loss of a worker by the result of change, or drops it if
// change returns false.
func (t *Tracker) resolve(now time.Time, l Life, change func(Loss) (Loss, bool)) []string {
	tasks := t.presumed[l]
	delete(t.presumed, l)
	for _, task := range tasks {
		r := t.tasks[task]
		if r == nil {
			continue
		}
		var losses History
		for _, x := range r.losses {
			keep := true
			if x.Life == l {
				x, keep = change(x)
			}
			if keep {
				losses = append(losses, x)
			}
		}
		t.set(now, task, losses)
	}
	return tasks
}

// Refute drops the loss of an earlier incarnation of a worker under a run of a task, which the
// incarnation l has listed as its own. It returns true if there is such a loss.
func (t *Tracker) Refute(now time.Time, task string, run work.Run, l Life) bool {
	var refuted []Refutation
	for _, x := range t.Losses(task) {
		if x.Life.Worker == l.Worker && x.Life.Incarnation < l.Incarnation && x.Run == run {
			refuted = append(refuted, Refutation{Life: x.Life, Run: run})
		}
	}
	return t.Add(now, TaskLosses{Task: task, Refuted: refuted})
}

// Presumed returns the workers of which it is not known whether they have crashed, in a
// fixed order.
func (t *Tracker) Presumed() []Life {
	lives := make([]Life, 0, len(t.presumed))
	for l := range t.presumed {
		lives = append(lives, l)
	}
	slices.SortFunc(lives, func(a, b Life) int {
		return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return lives
}

// Losses returns the losses under a task.
func (t *Tracker) Losses(task string) History {
	if r := t.tasks[task]; r != nil {
		return r.losses
	}
	return nil
}

// IsEmpty returns true if no losses are kept.
func (t *Tracker) IsEmpty() bool { return len(t.tasks) == 0 }

// Forget drops the losses under a task that is done.
func (t *Tracker) Forget(task string) { delete(t.tasks, task) }

// TakeChanges returns the losses under the tasks for which they have changed since the
// last call, sorted by task.
func (t *Tracker) TakeChanges() []TaskLosses {
	if len(t.changed) == 0 {
		return nil
	}
	changes := make([]TaskLosses, 0, len(t.changed))
	for task := range t.changed {
		changes = append(changes, t.known(task))
	}
	clear(t.changed)
	sortTasks(changes)
	return changes
}

// known returns what is known of the losses under a task.
func (t *Tracker) known(task string) TaskLosses {
	x := TaskLosses{Task: task, Losses: t.Losses(task)}
	if r := t.tasks[task]; r != nil {
		x.Refuted = r.refuted
	}
	return x
}

// Expire drops losses after Retention. It keeps those under tasks for which isOpen returns
// true.
func (t *Tracker) Expire(now time.Time, isOpen func(task string) bool) {
	for task, r := range t.tasks {
		if now.Sub(r.changed) > Retention && !isOpen(task) {
			delete(t.tasks, task)
		}
	}
	for l, tasks := range t.presumed {
		if !slices.ContainsFunc(tasks, func(task string) bool { return t.tasks[task] != nil }) {
			delete(t.presumed, l)
		}
	}
}
