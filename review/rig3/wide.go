package main

import (
	"fmt"
	"sync"
	"time"
)

// smallJob returns a job of two tasks, like the most frequent ones of the site.
func smallJob() *jobInfo {
	return &jobInfo{id: newID(), spec: "stone trace", steps: []step{{Count: 2, CPU: 27000, MemMb: 64, EstimatedMs: 200, work: 200 * time.Millisecond}}}
}

// wideJob returns a job of 1,300 tasks.
func wideJob(work time.Duration) *jobInfo {
	return &jobInfo{id: newID(), spec: "tide survey", steps: []step{{Count: 1300, CPU: 400, MemMb: 8, EstimatedMs: int(work.Milliseconds()), work: work}}}
}

// wide crashes the runners of one rack under a job of 1,300 tasks.
func wide(folder string) error {
	w, err := newWorld(folder, layout{hostsPerZone: 2, runnersPerZone: 17, perRack: 8, capacity: size{64000, 131072}, memory: 284})
	defer w.close()
	if err != nil {
		return err
	}
	c := newClient(w.rec, w.fleet, routeHost, prefix)
	var jobs []*jobInfo
	var mutex sync.Mutex
	var open sync.WaitGroup
	send := func(j *jobInfo, n int) {
		open.Go(func() {
			hosts := append(append([]*host{}, w.hosts[n%len(w.hosts):]...), w.hosts[:n%len(w.hosts)]...)
			if c.submit(j, hosts, 5*time.Second) {
				mutex.Lock()
				jobs = append(jobs, j)
				mutex.Unlock()
			}
		})
	}
	first := wideJob(3 * time.Second)
	send(first, 0)
	began := time.Now()
	crashed := false
	var victims []*runner
	crashAt := time.Time{}
	for n := 1; time.Since(began) < 45*time.Second; n++ {
		// Ten small jobs a second, and a wide one every two seconds.
		send(smallJob(), n)
		if n%20 == 0 {
			send(wideJob(time.Second), n)
		}
		time.Sleep(100 * time.Millisecond)
		if w.trouble && !crashed && time.Since(began) > 1500*time.Millisecond {
			crashed, crashAt = true, time.Now()
			on, byRack, best := w.fleet.runningIn(first.id), map[string]int{}, ""
			for r, tasks := range on {
				if byRack[r.rack] += tasks; byRack[r.rack] > byRack[best] {
					best = r.rack
				}
			}
			for _, r := range w.fleet.runners {
				if r.rack == best {
					victims = append(victims, r)
					go r.crash()
				}
			}
			w.rec.say("rack %s crashes: %d runners with %d tasks of %s", best, len(victims), byRack[best], first.id)
		}
		if crashed && victims != nil && time.Since(crashAt) > 3400*time.Millisecond {
			for _, r := range victims {
				if err := r.start(); err != nil {
					return err
				}
			}
			w.rec.say("the rack is back")
			victims = nil
		}
	}
	open.Wait()
	w.rec.say("end of the traffic: %d jobs accepted", len(jobs))
	return w.judge(c, jobs)
}

// judge waits finish_s after the end of the traffic, asks for all jobs, and applies the third
// part of LOST: for 3 s, a job has nothing running while a task's turn has come, there is
// capacity for it twice over, and under half of the service's capacity is in use.
func (w *world) judge(c *client, jobs []*jobInfo) error {
	time.Sleep(14 * time.Second)
	idle := w.idleJobs(jobs)
	enough := true
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		free, all := w.fleet.freeCPU()
		enough = enough && 2*free > all
		now := w.idleJobs(jobs)
		for id := range idle {
			if !now[id] {
				delete(idle, id)
			}
		}
	}
	free, all := w.fleet.freeCPU()
	w.rec.say("%d jobs have nothing running for 3 s while a task's turn has come; %d of %d thousandths of cores are free, enough all the time: %t", len(idle), free, all, enough)
	shown, undone := map[string]int{}, 0
	for n, j := range jobs {
		status, state := c.state(j, w.hosts[n%len(w.hosts)])
		shown[fmt.Sprintf("%d %s", status, state)]++
		if w.left(j) == 0 && state != "completed" {
			undone++
		}
	}
	w.rec.say("states shown: %v", shown)
	w.rec.say("%d jobs are not shown as completed though all their tasks have ended done", undone)
	if len(idle) > 0 && enough {
		return errBroken
	}
	return nil
}

// left returns the number of tasks of a job that have not ended done.
func (w *world) left(j *jobInfo) int {
	w.fleet.mutex.Lock()
	defer w.fleet.mutex.Unlock()
	left := 0
	for s, x := range j.steps {
		for i := range x.Count {
			done := false
			for _, e := range w.fleet.runs[fmt.Sprintf("%s.0.%d.%d", j.id, s, i)] {
				done = done || e.how == "done"
			}
			if !done {
				left++
			}
		}
	}
	return left
}

// idleJobs returns the accepted jobs that have tasks left and nothing running. All steps of
// these jobs may start at once.
func (w *world) idleJobs(jobs []*jobInfo) map[string]bool {
	idle := map[string]bool{}
	for _, j := range jobs {
		if w.left(j) > 0 && len(w.fleet.runningIn(j.id)) == 0 {
			idle[j.id] = true
		}
	}
	return idle
}
