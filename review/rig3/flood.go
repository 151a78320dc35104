package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// resident returns the resident memory of a host's process, and its private part, in MB.
func (h *host) resident() (all, private int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &all)
		_, _ = fmt.Sscanf(line, "RssAnon: %d kB", &private)
	}
	return all / 1024, private / 1024
}

func (w *world) sayMemory(when string) {
	var b strings.Builder
	for _, h := range w.hosts {
		if all, private := h.resident(); h.running() {
			fmt.Fprintf(&b, " %s %d (private %d) of %d,", h.name, all, private, h.memory)
		}
	}
	w.rec.say("%s, MB:%s", when, strings.TrimSuffix(b.String(), ","))
}

// guardMemory does what a machine does: a process whose private memory is over the memory of
// its machine is ended. It starts again a second later. The function returns the number of such
// ends by host.
func (w *world) guardMemory(d time.Duration) map[string]int {
	ends, again := map[string]int{}, map[*host]time.Time{}
	end, next := time.Now().Add(d), time.Now()
	for time.Now().Before(end) {
		for _, h := range w.hosts {
			all, private := h.resident()
			switch at, waits := again[h]; {
			case waits && time.Now().After(at):
				delete(again, h)
				if err := h.start(w.root); err != nil {
					w.rec.say("%s does not start: %v", h.name, err)
				}
			case h.running() && private > h.memory:
				w.rec.say("%s has %d MB, %d of them private, on a machine of %d MB: it is ended", h.name, all, private, h.memory)
				ends[h.name]++
				h.signal(syscall.SIGKILL)
				again[h] = time.Now().Add(time.Second)
			}
		}
		if time.Now().After(next) {
			next = time.Now().Add(5 * time.Second)
			w.sayMemory("memory")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ends
}

// load sends perS jobs a second, for a time.
func (w *world) load(c *client, perS float64, d time.Duration, spec string, cpu int, work time.Duration) (accepted, refused int64) {
	var open sync.WaitGroup
	var yes, no atomic.Int64
	began := time.Now()
	for n := 0; time.Since(began) < d; n++ {
		open.Go(func() {
			j := &jobInfo{id: newID(), spec: spec, steps: []step{{Count: 1, CPU: cpu, MemMb: 8, EstimatedMs: int(work.Milliseconds()), work: work}}}
			if c.submit(j, append(append([]*host{}, w.hosts[n%len(w.hosts):]...), w.hosts[:n%len(w.hosts)]...), 5*time.Second) {
				yes.Add(1)
			} else {
				no.Add(1)
			}
		})
		time.Sleep(time.Until(began.Add(time.Duration(float64(n) / perS * float64(time.Second)))))
	}
	open.Wait()
	return yes.Load(), no.Load()
}

// flood fills the queue with jobs whose specifications have 4,000 bytes, faster than the runners
// can run them, and kills the process of one owner.
func flood(folder string) error {
	w, err := newWorld(folder, layout{hostsPerZone: 2, runnersPerZone: 2, perRack: 8, capacity: size{64000, 131072}, memory: 219, first: 674})
	defer w.close()
	if err != nil {
		return err
	}
	c := newClient(w.rec, w.fleet, routeHost, prefix)
	go func() {
		yes, no := w.load(c, 900, 75*time.Second, strings.Repeat("x", 4000), 27000, time.Second)
		w.rec.say("%d jobs accepted, %d refused", yes, no)
	}()
	ends := w.guardMemory(42 * time.Second)
	if w.trouble {
		w.rec.say("the process of %s is killed", w.hosts[0].name)
		w.hosts[0].signal(syscall.SIGKILL)
	}
	for name, n := range w.guardMemory(35 * time.Second) {
		ends[name] += n
	}
	begun := map[string]int{}
	w.fleet.mutex.Lock()
	for _, runs := range w.fleet.runs {
		for _, e := range runs {
			if time.Since(e.began) < 20*time.Second {
				begun[e.runner[:len(e.runner)-3]]++
			}
		}
	}
	w.fleet.mutex.Unlock()
	w.rec.say("tasks begun in the last 20 s on the runners of each zone, all with queued work: %v", begun)
	w.rec.say("processes that went over the memory of their machine, and how often: %v", ends)
	if len(ends) > 0 {
		return errBroken
	}
	return nil
}
