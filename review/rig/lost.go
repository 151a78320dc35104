package main

import (
	"net/http"
	"strings"
	"time"
)

// accepted is a job that was accepted.
type accepted struct {
	id    string
	tasks int
	cpu   int
	label string
	at    time.Time
	zone  string
}

// lostJobs applies the rule LOST at the end of a case: finishTime after the end of the
// traffic jobs are asked for. It returns the accepted jobs that are unknown, that get no
// answer in time, or that are not completed while for 3 s nothing of them runs, there is
// capacity twice over for all their tasks, and under half of the capacity is in use.
func (r *rig) lostJobs(ask *host, jobs []accepted) []accepted {
	const window = 3 * time.Second
	from := time.Now()
	states := map[string]string{}
	var lost []accepted
	for _, j := range jobs {
		status, state := r.state(ask, j.id)
		if status == http.StatusGone || status == 0 {
			lost = append(lost, j)
			continue
		}
		states[j.id] = state
	}
	time.Sleep(time.Until(from.Add(window + 500*time.Millisecond)))
	to := time.Now()
	for _, j := range jobs {
		if s, ok := states[j.id]; !ok || s == "completed" || s == "failed" || s == "cancelled" {
			continue
		}
		if status, state := r.state(ask, j.id); status == http.StatusOK && (state == "completed" || state == "failed") {
			continue
		}
		if r.hasRun(j.id, from, to) {
			continue
		}
		free, total := r.idle(j, from, to)
		r.notef("job %s of %s, accepted at %.3f, is %q; nothing of it runs for %.1f s; free %d of %d, needed twice %d", j.id, j.zone,
			j.at.Sub(r.started).Seconds(), states[j.id], to.Sub(from).Seconds(), free, total, 2*j.tasks*j.cpu)
		if free >= 2*j.tasks*j.cpu && 2*free > total {
			lost = append(lost, j)
		}
	}
	return lost
}

// hasRun returns true if a run of a job was active between two times.
func (r *rig) hasRun(id string, from, to time.Time) bool {
	open := map[string]bool{}
	for _, e := range r.snapshot() {
		if !strings.HasPrefix(e.task, id+".") || !r.isRunnerUp(e.runner) {
			continue
		}
		k := e.runner + e.task
		switch {
		case e.what == "start" && e.at.Before(to):
			open[k] = true
			if e.at.After(from) {
				return true
			}
		case e.what == "end":
			if e.at.After(from) && e.at.Before(to) {
				return true
			}
			delete(open, k)
		}
	}
	return len(open) > 0
}

func (r *rig) isRunnerUp(name string) bool {
	for _, p := range r.runners {
		if p.name == name {
			return r.isUp(p)
		}
	}
	return false
}

// runnerCapacity is the capacity of a runner in thousandths of a core.
const runnerCapacity = 64_000

// idle returns the least free and the total capacity of the runners that are up and that a
// job may use, between two times. All tasks of a case use the same share of a runner.
func (r *rig) idle(j accepted, from, to time.Time) (free, total int) {
	may := func(name string) bool {
		return r.isRunnerUp(name) && (j.label == "" || r.labels[name] == j.label)
	}
	for _, p := range r.runners {
		if may(p.name) {
			total += runnerCapacity
		}
	}
	used, most := 0, 0
	for _, e := range r.snapshot() {
		if e.at.After(to) || !may(e.runner) {
			continue
		}
		if e.at.After(from) {
			most = max(most, used)
		}
		switch e.what {
		case "start":
			used += j.cpu
		case "end":
			used -= j.cpu
		}
	}
	return total - max(most, used), total
}
