package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

func init() { scenarios["kind"] = playKind }

// playKind lets runners crash under a task, and start again under their id as another kind.
func playKind(w *world, trouble bool) ([]string, error) {
	w.configure(1)
	for i := range zoneRunners * len(zones) {
		w.addRunner(runnerConfig{
			id: fmt.Sprintf("i-%04x", 0xb000+i), zone: zones[i/zoneRunners], number: i, labels: []string{[]string{"a", "a", "b"}[i%zoneRunners], fmt.Sprintf("r1-%d", i/zoneRunners)}, cores: runnerCores,
		})
	}
	if err := w.addHosts(1); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	for i := range zones {
		j := jobSpec{id: newID(), tasks: 1, ms: 3000, cores: jobCores, label: "b"}
		if a := w.submit(w.hosts[i], j, 3*time.Second); a.status != http.StatusOK {
			return nil, fmt.Errorf("a job in calm times got %d %v", a.status, a.err)
		}
		time.Sleep(700 * time.Millisecond)
		used := w.runs.ofJob(j.id)
		if len(used) == 0 {
			return nil, fmt.Errorf("job %s has not begun", j.id)
		}
		x := w.runners[slices.IndexFunc(w.runners, func(x *runner) bool { return x.config.id == used[0].runner })]
		rack := x.config.labels[1]
		if trouble {
			x.crash()
			time.Sleep(restartDown)
			x.start([]string{"a", rack})
		}
		time.Sleep(4 * time.Second)
		if trouble {
			x.crash()
			time.Sleep(restartDown)
			x.start([]string{"b", rack})
			time.Sleep(3 * time.Second)
		}
	}
	var found []string
	for _, x := range w.runs.all() {
		if !slices.Contains(x.labels, "b") {
			found = append(found, fmt.Sprintf("ROUTE: task %s #%d, which requires label b, began on runner %s with labels %v at %s",
				x.task, x.run, x.runner, x.labels, w.record.at(x.began)))
		}
	}
	return found, nil
}
