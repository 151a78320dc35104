package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["reborn"] = playReborn }

const (
	rebornRounds = 4
	rebornMs     = 3000
	// cutTime is how long a runner is cut off. It crashes crashAfter after the cut has begun
	// and starts again restartAfter later.
	cutTime      = 5500 * time.Millisecond
	crashAfter   = 2500 * time.Millisecond
	restartAfter = time.Second
)

// playReborn twice cuts off the runner of a stored job's task. Behind the cut, after the lease
// of the task has lapsed, the runner crashes and starts again.
func playReborn(w *world, trouble bool) ([]string, error) {
	w.configure(1)
	for i := range zoneRunners * len(zones) {
		w.addRunner(runnerConfig{
			id: fmt.Sprintf("i-%04x", 0xf000+i), zone: zones[i/zoneRunners], number: i, labels: []string{[]string{"a", "a", "b"}[i%zoneRunners], fmt.Sprintf("r1-%d", i/zoneRunners)}, cores: runnerCores,
			proxied: true,
		})
	}
	if err := w.addHosts(1); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var found []string
	for i := range rebornRounds {
		zone := i % len(zones)
		x, home := w.runners[zoneRunners*zone+zoneRunners-1], w.hosts[zone]
		j := jobSpec{id: newID(), tasks: 1, ms: rebornMs, cores: jobCores, label: "b"}
		if a := w.submit(home, j, 3*time.Second); a.status != http.StatusOK {
			return nil, fmt.Errorf("a job got %d %v", a.status, a.err)
		}
		for range 2 {
			time.Sleep(time.Second)
			if trouble && !x.isIdle() {
				x.rebirth()
			}
		}
		state := ""
		for deadline := time.Now().Add(12 * time.Second); time.Now().Before(deadline) && state != "completed" && state != "failed"; {
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
		time.Sleep(time.Second)
	}
	return found, nil
}

// rebirth cuts the runner off from all hosts, and lets it crash and start again behind the cut.
func (x *runner) rebirth() {
	x.world.record.printf("runner %s: cut off", x.config.id)
	x.proxy.setCut(true)
	time.Sleep(crashAfter)
	x.crash()
	time.Sleep(restartAfter)
	x.start(x.config.labels)
	time.Sleep(cutTime - crashAfter - restartAfter)
	x.proxy.setCut(false)
	x.world.record.printf("runner %s: the cut has healed", x.config.id)
}
