package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["condemn"] = playCondemn }

const (
	condemnRounds = 4
	condemnMs     = 3000
)

// playCondemn lets a runner crash while it runs nothing, and once more under the task of a
// stored job that was handed in after it had come back.
func playCondemn(w *world, trouble bool) ([]string, error) {
	w.configure(1)
	for i := range zoneRunners * len(zones) {
		w.addRunner(runnerConfig{
			id: fmt.Sprintf("i-%04x", 0xe000+i), zone: zones[i/zoneRunners], number: i, labels: []string{[]string{"a", "a", "b"}[i%zoneRunners], fmt.Sprintf("r1-%d", i/zoneRunners)}, cores: runnerCores,
		})
	}
	if err := w.addHosts(1); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var found []string
	for i := range condemnRounds {
		zone := i % len(zones)
		x, home := w.runners[zoneRunners*zone+zoneRunners-1], w.hosts[zone]
		if trouble {
			x.crash()
			time.Sleep(restartDown)
			x.start(x.config.labels)
			time.Sleep(rand.N(200 * time.Millisecond))
		}
		j := jobSpec{id: newID(), tasks: 1, ms: condemnMs, cores: jobCores, label: "b"}
		if a := w.submit(home, j, 3*time.Second); a.status != http.StatusOK {
			return nil, fmt.Errorf("a job got %d %v", a.status, a.err)
		}
		time.Sleep(time.Second)
		if trouble {
			x.crash()
			time.Sleep(restartDown)
			x.start(x.config.labels)
		}
		state := ""
		for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline) && state != "completed" && state != "failed"; {
			time.Sleep(500 * time.Millisecond)
			a := w.call(home, http.MethodGet, j.id, nil, 3*time.Second)
			state, _ = a.body["State"].(string)
		}
		crashes, failures := 0, 0
		for _, r := range w.runs.ofJob(j.id) {
			switch {
			case strings.HasPrefix(r.how, "gone"):
				crashes++
			case r.how == "failed":
				failures++
			}
		}
		w.record.printf("job %s is %q, %d of its runs have failed, %d runners have crashed under its task", j.id, state, failures, crashes)
		if state == "failed" && failures == 0 && crashes < 2 {
			found = append(found, fmt.Sprintf("LOST: job %s is shown as failed; %d runs of its task have failed, and %d runners have crashed under it", j.id, failures, crashes))
		}
		time.Sleep(3 * time.Second)
	}
	return found, nil
}
