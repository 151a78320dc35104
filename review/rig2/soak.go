package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/catkingap/catkingap/standin"
)

func init() { scenarios["soak"] = playSoak }

const (
	soakTime   = 55 * time.Second
	soakFinish = 25 * time.Second
)

// soakJob is a stored job of the soak.
type soakJob struct {
	id         string
	tasks      int
	bestEffort bool
	accepted   bool
	cancelled  bool
	rejected   bool
	// cancelAcked is when the cancelling was acknowledged, or zero.
	cancelAcked time.Time
	state       string
}

// playSoak hands in stored jobs of two steps, and brings about one disruption after the
// other.
func playSoak(w *world, trouble bool) ([]string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	w.configure(1)
	for i := range 4 * len(zones) {
		w.addRunner(runnerConfig{
			id: fmt.Sprintf("i-%04x", 0xd000+i), zone: zones[i/4], number: i, labels: []string{[]string{"a", "a", "b", "a"}[i%4], fmt.Sprintf("r1-%d", i/4)}, cores: runnerCores, failures: 0.12,
		})
	}
	if err := w.addHosts(2); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(soakTime)
	var mutex sync.Mutex
	var jobs []*soakJob
	var wait sync.WaitGroup
	clients, pause := 6, 100
	if os.Getenv("RIG_SPARSE") != "" {
		clients, pause = 2, 1200
	}
	for c := range clients {
		own := rand.New(rand.NewPCG(seed, 10+uint64(c)))
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(end) {
				j := &soakJob{id: fmt.Sprintf("%016x", own.Uint64()), tasks: 1 + own.IntN(6)}
				mutex.Lock()
				jobs = append(jobs, j)
				mutex.Unlock()
				w.soakOne(own, j)
				time.Sleep(time.Duration(pause+own.IntN(300)) * time.Millisecond)
			}
		}()
	}
	if trouble && seed%2 == 0 {
		other := rand.New(rand.NewPCG(seed, 2))
		go func() {
			for time.Now().Before(end.Add(-8 * time.Second)) {
				time.Sleep(time.Duration(500+other.IntN(2500)) * time.Millisecond)
				w.disturbRunner(other)
			}
		}()
	}
	if trouble {
		for time.Now().Before(end.Add(-8 * time.Second)) {
			time.Sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
			w.disturb(random)
		}
	}
	wait.Wait()
	w.store.Faults.Set(standin.Faults{})
	time.Sleep(soakFinish)
	var found []string
	for _, j := range jobs {
		if j.rejected && len(w.runs.ofJob(j.id)) > 0 {
			found = append(found, "REFUSED: job "+j.id+" was rejected and ran")
		}
		if !j.cancelAcked.IsZero() {
			for _, x := range w.runs.ofJob(j.id) {
				if x.began.After(j.cancelAcked.Add(3 * time.Second)) {
					found = append(found, fmt.Sprintf("UNASKED: task %s #%d began at %s, its job was cancelled at %s", x.task, x.run, w.record.at(x.began), w.record.at(j.cancelAcked)))
				}
			}
		}
		if !j.accepted || j.bestEffort {
			continue
		}
		a := w.call(w.hosts[0], http.MethodGet, j.id, nil, 3*time.Second)
		j.state, _ = a.body["State"].(string)
		switch {
		case a.status != http.StatusOK:
			found = append(found, fmt.Sprintf("LOST: job %s is answered %d", j.id, a.status))
		case j.cancelled:
		case j.state == "failed" && w.failedRuns(j.id) < 2:
			found = append(found, fmt.Sprintf("LOST: job %s failed without cause", j.id))
		case j.state != "completed" && j.state != "failed":
			found = append(found, fmt.Sprintf("LOST: job %s is %s at the end", j.id, j.state))
		case j.state == "completed" && w.doneTasks(j.id) < 2*j.tasks:
			found = append(found, fmt.Sprintf("MIXED: job %s is completed with %d tasks done", j.id, w.doneTasks(j.id)))
		}
	}
	found = append(found, w.runs.overlaps()...)
	stored := map[string]bool{}
	for _, j := range jobs {
		stored[j.id] = !j.bestEffort
	}
	for _, j := range jobs {
		if !j.bestEffort {
			found = append(found, w.checkOrder(j)...)
		}
	}
	return append(found, w.runs.repeats(stored)...), nil
}

// soakOne hands a job in until it is accepted, and cancels some.
func (w *world) soakOne(random *rand.Rand, j *soakJob) {
	ms := 60 + random.IntN(1500)
	label := ""
	if random.IntN(3) == 0 {
		label = "b"
	}
	step := map[string]any{"Count": j.tasks, "Cpu": 3000, "MemMb": 64, "EstimatedMs": ms}
	second := map[string]any{"Count": j.tasks, "Cpu": 3000, "MemMb": 64, "EstimatedMs": ms, "After": []int{0}}
	if label != "" {
		second["Requirements"] = label
	}
	j.bestEffort = random.IntN(2) == 0
	body := map[string]any{"BestEffort": j.bestEffort, "Spec": fmt.Sprintf("%d %d", ms, 3000), "Steps": []any{step, second}}
	deadline := 3 * time.Second
	if j.bestEffort {
		deadline = time.Duration(4*ms+1500) * time.Millisecond
	}
	for try := range 6 {
		a := w.call(w.hosts[random.IntN(len(w.hosts))], http.MethodPost, j.id, body, deadline)
		j.rejected = try == 0 && a.status == http.StatusServiceUnavailable
		if a.status == http.StatusOK {
			j.accepted = true
			break
		}
		if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
			return
		}
		time.Sleep(1300 * time.Millisecond)
	}
	if j.accepted && !j.bestEffort && random.IntN(10) == 0 {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		a := w.call(w.hosts[random.IntN(len(w.hosts))], http.MethodDelete, j.id, nil, 3*time.Second)
		if a.status == http.StatusOK {
			j.cancelAcked = time.Now()
		}
		j.cancelled = true
	}
}

func (w *world) failedRuns(id string) int {
	most := map[string]int{}
	highest := 0
	for _, x := range w.runs.ofJob(id) {
		if x.how == "failed" {
			most[x.task]++
			highest = max(highest, most[x.task])
		}
	}
	return highest
}

func (w *world) doneTasks(id string) int {
	done := map[string]bool{}
	for _, x := range w.runs.ofJob(id) {
		if x.how == "done" {
			done[x.task] = true
		}
	}
	return len(done)
}

// checkOrder returns the tasks of the second step that began before the first one was done,
// and those that began after two runs had failed.
func (w *world) checkOrder(j *soakJob) []string {
	var found []string
	runs := w.runs.ofJob(j.id)
	for _, x := range runs {
		done, failed := map[string]bool{}, 0
		for _, y := range runs {
			if y.how == "done" && !y.ended.After(x.began) && strings.HasPrefix(y.task, j.id+".0.0.") {
				done[y.task] = true
			}
			if y.task == x.task && y.how == "failed" && !y.noted.IsZero() && y.ended.Before(x.began) {
				failed++
			}
		}
		if strings.HasPrefix(x.task, j.id+".0.1.") && len(done) < j.tasks {
			found = append(found, fmt.Sprintf("ORDER: task %s #%d began at %s with %d of %d tasks done", x.task, x.run, w.record.at(x.began), len(done), j.tasks))
		}
		if failed >= 2 {
			found = append(found, fmt.Sprintf("BUDGET: task %s #%d began at %s after %d failures", x.task, x.run, w.record.at(x.began), failed))
		}
	}
	return found
}

// repeats returns the tasks of stored jobs that began after a run had ended done, if that end was taken
// note of.
func (l *runLog) repeats(stored map[string]bool) []string {
	var found []string
	for _, a := range l.all() {
		if id, _, _ := strings.Cut(a.task, "."); !stored[id] || a.how != "done" || a.noted.IsZero() {
			continue
		}
		for _, b := range l.all() {
			if b.task == a.task && b.began.After(a.ended) {
				found = append(found, fmt.Sprintf("TWICE: task %s #%d began on %s at %s, after #%d had ended done on %s at %s, taken note of at %s",
					b.task, b.run, b.runner, l.record.at(b.began), a.run, a.runner, l.record.at(a.ended), l.record.at(a.noted)))
			}
		}
	}
	return found
}

// disturb brings about one disruption.
func (w *world) disturb(random *rand.Rand) {
	h := w.hosts[random.IntN(len(w.hosts))]
	x := w.runners[random.IntN(len(w.runners))]
	kinds := 9
	if proxied() {
		kinds = 18
	}
	switch random.IntN(kinds) {
	default:
		// One host, or both of a zone; sometimes from the store only.
		i := random.IntN(len(w.hosts))
		cut := w.hosts[i : i+1]
		if random.IntN(3) == 0 {
			cut = w.hosts[i/2*2 : i/2*2+2]
		}
		storeOnly := random.IntN(3) == 0
		if storeOnly {
			w.record.printf("host %s: the store is cut off", cut[0].name)
			cut[0].storeProxy.setCut(true)
		} else {
			w.cutHosts(cut, true)
		}
		time.Sleep(time.Duration(1000+random.IntN(8000)) * time.Millisecond)
		cut[0].storeProxy.setCut(false)
		w.cutHosts(cut, false)
	case 0:
		w.record.printf("host %s: killed", h.name)
		h.kill()
		time.Sleep(500 * time.Millisecond)
		_ = h.start()
	case 1:
		w.record.printf("host %s: frozen", h.name)
		_ = h.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(500+random.IntN(3500)) * time.Millisecond)
		_ = h.process.Process.Signal(syscall.SIGCONT)
		w.record.printf("host %s: wakes", h.name)
	case 2:
		w.record.printf("host %s: SIGTERM", h.name)
		_ = h.process.Process.Signal(syscall.SIGTERM)
		<-h.ended
		time.Sleep(300 * time.Millisecond)
		_ = h.start()
	case 3, 4:
		x.crash()
		time.Sleep(time.Duration(200+random.IntN(3000)) * time.Millisecond)
		x.start(x.config.labels)
	case 5:
		w.record.printf("runner %s: silent", x.config.id)
		x.setSilent(true)
		time.Sleep(time.Duration(500+random.IntN(5000)) * time.Millisecond)
		x.setSilent(false)
		w.record.printf("runner %s: answers", x.config.id)
	case 6:
		modes := []standin.Mode{standin.Refuse, standin.LoseAnswer, standin.Late, standin.Silent}
		mode := modes[random.IntN(len(modes))]
		w.record.printf("store: %s", mode)
		f := standin.Faults{Mode: mode}
		if mode == standin.Late {
			f.Delay = 2 * time.Second
		}
		w.store.Faults.Set(f)
		time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
		w.store.Faults.Set(standin.Faults{})
		w.record.printf("store: serves")
	case 7:
		w.record.printf("orders are carried out late")
		for _, y := range w.runners {
			y.setLate(0.06)
		}
		time.Sleep(time.Duration(2000+random.IntN(3500)) * time.Millisecond)
		for _, y := range w.runners {
			y.setLate(0)
		}
	case 8:
		w.record.printf("store: slow")
		w.store.Faults.Set(standin.Faults{Delay: 240 * time.Millisecond})
		time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
		w.store.Faults.Set(standin.Faults{})
		w.record.printf("store: serves")
	}
}

// disturbRunner lets one runner shrink, drain and leave, or come again under a new id.
func (w *world) disturbRunner(random *rand.Rand) {
	x := w.runners[random.IntN(len(w.runners))]
	switch random.IntN(3) {
	case 0:
		x.resize(runnerCores / 4)
		time.Sleep(3 * time.Second)
		x.resize(runnerCores)
	case 1:
		w.record.printf("runner %s: drains", x.config.id)
		x.mutex.Lock()
		x.state = "draining"
		x.mutex.Unlock()
		x.register()
		time.Sleep(2500 * time.Millisecond)
		x.crash()
		w.store.Remove("servers", x.config.id)
		time.Sleep(time.Second)
		x.config.id += "x"
		x.start(x.config.labels)
	case 2:
		x.crash()
		time.Sleep(time.Duration(100+random.IntN(1000)) * time.Millisecond)
		w.store.Remove("servers", x.config.id)
		x.config.id += "y"
		x.start(x.config.labels)
	}
}

func (x *runner) setSilent(silent bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.silent = silent
}

func (x *runner) setLate(share float64) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.late = share
}
