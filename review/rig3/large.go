package main

import (
	"sync"
	"time"
)

// largeJob returns a job of 1,300 tasks that are each as large as an ordinary one.
func largeJob() *jobInfo {
	return &jobInfo{id: newID(), spec: "tide survey", steps: []step{{Count: 1300, CPU: 27000, MemMb: 64, EstimatedMs: 900, work: 900 * time.Millisecond}}}
}

// large sends one large job beside ordinary traffic in all zones.
func large(folder string) error {
	w, err := newWorld(folder, layout{hostsPerZone: 2, runnersPerZone: 16, perRack: 8, capacity: size{64000, 131072}, memory: 284})
	defer w.close()
	if err != nil {
		return err
	}
	c := newClient(w.rec, w.fleet, routeHost, prefix)
	var jobs []*jobInfo
	var mutex sync.Mutex
	var open sync.WaitGroup
	send := func(j *jobInfo, hosts []*host) {
		open.Go(func() {
			if c.submit(j, hosts, 5*time.Second) {
				mutex.Lock()
				jobs = append(jobs, j)
				mutex.Unlock()
			}
		})
	}
	for n := range 600 {
		send(smallJob(), append(append([]*host{}, w.hosts[n%len(w.hosts):]...), w.hosts[:n%len(w.hosts)]...))
		if n == 60 && w.trouble {
			j := largeJob()
			w.rec.say("job %s of 1,300 tasks is sent to %s", j.id, w.hosts[0].name)
			send(j, w.hosts[:2])
		}
		time.Sleep(33 * time.Millisecond)
	}
	open.Wait()
	w.rec.say("end of the traffic: %d jobs accepted", len(jobs))
	return w.judge(c, jobs)
}
