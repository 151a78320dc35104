package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

func init() { scenarios["restart"] = playRestart }

const (
	restartRounds = 9
	// restartDown is how long a runner is down.
	restartDown = 2 * time.Second
	// jobTasks tasks of jobCores thousandths of a core fill a runner.
	jobTasks    = 8
	jobCores    = 4000
	jobMs       = 200
	runnerCores = 32000
	// startTime is the longest time that a runner takes to carry out a start.
	startTime = 2 * time.Millisecond
)

// playRestart lets an idle runner crash and start again under its id, and hands a job in
// shortly after that.
func playRestart(w *world, trouble bool) ([]string, error) {
	w.configure(1)
	for i := range zoneRunners * len(zones) {
		w.addRunner(runnerConfig{
			id: fmt.Sprintf("i-%04x", 0xa000+i), zone: zones[i/zoneRunners], number: i, labels: []string{"a", fmt.Sprintf("r1-%d", i/zoneRunners)}, cores: runnerCores,
			startTime: func() time.Duration { return rand.N(startTime) },
		})
	}
	if err := w.addHosts(1); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	for range restartRounds {
		home := w.hosts[0]
		j := jobSpec{id: newID(), tasks: jobTasks, ms: jobMs, cores: jobCores, bestEffort: true}
		if a := w.submit(home, j, 3*time.Second); a.status != http.StatusOK {
			return nil, fmt.Errorf("a job in calm times got %d %v", a.status, a.err)
		}
		used := w.runs.ofJob(j.id)
		i := slices.IndexFunc(w.runners, func(x *runner) bool { return x.config.id == used[len(used)-1].runner })
		time.Sleep(3 * time.Second)
		x := w.runners[i]
		if !x.isIdle() {
			return nil, fmt.Errorf("runner %s is not idle", x.config.id)
		}
		if trouble {
			x.crash()
		}
		time.Sleep(restartDown)
		if trouble {
			x.start(x.config.labels)
		}
		time.Sleep(rand.N(300 * time.Millisecond))
		j.id = newID()
		w.submit(home, j, 3*time.Second)
		time.Sleep(1500 * time.Millisecond)
	}
	return w.runs.overlaps(), nil
}

// overlaps returns the tasks of which two runs were at work at the same time, on runners
// that were up.
func (l *runLog) overlaps() []string {
	byTask := map[string][]taskRun{}
	for _, x := range l.all() {
		if x.ended.IsZero() {
			x.ended = time.Now()
		}
		byTask[x.task] = append(byTask[x.task], x)
	}
	var found []string
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[:i] {
				from, to := latest(a.began, b.began), earliest(a.ended, b.ended)
				if a.runner != b.runner && from.Before(to) {
					found = append(found, fmt.Sprintf("TWICE: task %s ran as #%d on %s (%s) and as #%d on %s (%s) at the same time, for %d ms from %s",
						task, b.run, b.runner, b.how, a.run, a.runner, a.how, to.Sub(from).Milliseconds(), l.record.at(from)))
				}
			}
		}
	}
	slices.Sort(found)
	return found
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
