package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["pending"] = playPending }

const (
	pendingRounds = 4
	pendingJobs   = 4
	// shrunkenCores is the capacity of the runner while it is shrunken, for shrunkenTime.
	shrunkenCores = 1000
	shrunkenTime  = 7 * time.Second
	// pendingAge is the age of accepted jobs from which on they have to be counted.
	pendingAge = 5 * time.Second
)

// playPending lets the capacity of one of twelve runners, the only one of its kind, shrink as
// jobs for it arrive, and asks for the number of pending jobs. Without the disruption, jobs
// wait because the runner is full.
func playPending(w *world, trouble bool) ([]string, error) {
	w.configure(1)
	for i := range 4 * len(zones) {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		w.addRunner(runnerConfig{
			id: fmt.Sprintf("i-%04x", 0xc000+i), zone: zones[i/4], number: i, labels: []string{kind, fmt.Sprintf("r1-%d", i/4)}, cores: runnerCores,
		})
	}
	if err := w.addHosts(1); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var found []string
	for range pendingRounds {
		x := w.runners[0]
		if trouble {
			x.resize(shrunkenCores)
		} else {
			first := jobSpec{id: newID(), tasks: 1, ms: int(shrunkenTime.Milliseconds()), cores: runnerCores, label: "b"}
			if a := w.submit(w.hosts[0], first, 3*time.Second); a.status != http.StatusOK {
				return nil, fmt.Errorf("a job in calm times got %d %v", a.status, a.err)
			}
		}
		began := time.Now()
		accepted := make(chan string, pendingJobs)
		for range pendingJobs {
			j := jobSpec{id: newID(), tasks: 1, ms: 300, cores: jobCores, label: "b"}
			go func() {
				if a := w.submit(w.hosts[0], j, 3*time.Second); a.status != http.StatusOK {
					j.id = ""
				}
				accepted <- j.id
			}()
		}
		var ids []string
		for range pendingJobs {
			if id := <-accepted; id != "" {
				ids = append(ids, id)
			}
		}
		last := time.Now()
		time.Sleep(pendingAge + 300*time.Millisecond)
		for _, h := range w.hosts {
			waiting := 0
			for _, id := range ids {
				if len(w.runs.ofJob(id)) == 0 {
					waiting++
				}
			}
			asked := time.Now()
			a := w.call(h, http.MethodGet, "", nil, 3*time.Second)
			if n, ok := a.body["Pending"].(float64); a.status == http.StatusOK && ok && 2*n < float64(waiting) {
				found = append(found, fmt.Sprintf("MIXED: host %s gives %v as Pending, %d jobs that were accepted %d ms before or earlier have not begun",
					h.name, n, waiting, asked.Sub(last).Milliseconds()))
			}
		}
		time.Sleep(time.Until(began.Add(shrunkenTime)))
		if trouble {
			x.resize(runnerCores)
		}
		time.Sleep(4 * time.Second)
	}
	return found, nil
}

// resize changes the capacity of the runner, and says so in its entry.
func (x *runner) resize(cores int) {
	x.mutex.Lock()
	x.config.cores = cores
	x.world.record.printf("runner %s: its capacity is %d", x.config.id, cores)
	x.mutex.Unlock()
	x.register()
}
