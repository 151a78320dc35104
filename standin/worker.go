package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// WorkerConfig builds a Worker.
type WorkerConfig struct {
	// ID is the worker's id, which orders name.
	ID string
	// Cores is its capacity in thousandths of a core.
	Cores int
	// Speed divides the run time of tasks.
	Speed float64
	// RunTime returns the run time of a task at speed 1, and its cores.
	RunTime func(task string) (time.Duration, int)
	// Judge records what runs.
	Judge *Judge
	// MaxLease is the longest lease that it grants.
	MaxLease time.Duration
}

// Worker is a stand-in for a worker of the users' platform. It runs tasks under
// one lease, refuses orders with a beaten token, and lists what has ended.
type Worker struct {
	Faults Switch

	config  WorkerConfig
	begun   time.Time
	mutex   sync.Mutex
	token   int64
	lease   time.Time
	started time.Time
	running map[string]*workerRun
	used    int
	// barred holds the highest run of each task that was stopped or ended.
	barred map[string]int
	ended  []workerEnd
	number int64
	change chan struct{}
}

type workerRun struct {
	task   string
	run    int
	cores  int
	begun  time.Time
	took   time.Duration
	timer  *time.Timer
	judged *Run
}

// The ways in which a run ends by itself.
const (
	endDone   = "done"
	endFailed = "failed"
)

type workerEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// NewWorker returns a worker that runs nothing.
func NewWorker(c WorkerConfig) *Worker {
	w := &Worker{config: c, begun: time.Now(), running: map[string]*workerRun{}, barred: map[string]int{}, change: make(chan struct{})}
	return w
}

// Born is when the worker started, in milliseconds since 1970.
func (w *Worker) Born() int64 { return w.begun.UnixMilli() }

// Entry is what the worker writes about itself into the platform's store.
func (w *Worker) Entry(service, address, zone string) any {
	return w.entry(service, address, zone, "ready")
}

// DrainingEntry is what the worker writes once it leaves.
func (w *Worker) DrainingEntry(service, address, zone string) any {
	return w.entry(service, address, zone, "draining")
}

// LastStart returns when the worker began a run last.
func (w *Worker) LastStart() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.started
}

func (w *Worker) entry(service, address, zone, state string) any {
	return map[string]any{
		"Service": service, "Address": address, "Zone": zone, "State": state, "born": w.Born(),
		"Capacity": map[string]int{"Cpu": w.config.Cores, "MemMb": 1 << 20, "Gpu": 0}, "Labels": []string{"a"},
	}
}

// Handler serves the worker's orders.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.Faults.guard(w.serveStart))
	mux.HandleFunc("POST /run-stop", w.Faults.guard(w.serveStop))
	mux.HandleFunc("POST /hold", w.Faults.guard(w.serveHold))
	return mux
}

type workerOrder struct {
	Task         string
	Run          int
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

func (w *Worker) clock() int64 { return time.Since(w.begun).Milliseconds() + 1 }

// take reads an order, and refuses it if it is meant for another worker or its
// token is beaten. The caller must unlock the mutex if it returns true.
func (w *Worker) take(rw http.ResponseWriter, r *http.Request, o *workerOrder) bool {
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	if want := r.Header.Get("X-Expect-Instance"); want != w.config.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	w.mutex.Lock()
	w.expire()
	if o.FencingToken < w.token {
		w.mutex.Unlock()
		w.refuse(rw, "fence")
		return false
	}
	w.token = o.FencingToken
	return true
}

func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	rw.WriteHeader(http.StatusConflict)
	writeJSON(rw, map[string]any{"ClockMs": w.clock(), "Reason": reason})
}

// extend lets all runs go on until a time of the worker's clock.
func (w *Worker) extend(until int64) {
	if until == 0 {
		return
	}
	left := min(time.Duration(until-w.clock())*time.Millisecond, w.config.MaxLease)
	if end := time.Now().Add(left); end.After(w.lease) {
		w.lease = end
		time.AfterFunc(left+time.Millisecond, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.expire()
		})
	}
}

// expire ends all runs if the lease has lapsed.
func (w *Worker) expire() {
	if time.Now().Before(w.lease) {
		return
	}
	for _, x := range w.running {
		w.end(x, "lapsed", w.lease)
	}
}

// end ends a run, which was over at a time that a late timer does not change. The
// caller holds the mutex.
func (w *Worker) end(x *workerRun, how string, at time.Time) {
	if w.running[x.task] != x {
		return
	}
	delete(w.running, x.task)
	x.timer.Stop()
	w.used -= x.cores
	w.number++
	w.barred[x.task] = max(w.barred[x.task], x.run)
	w.ended = append(w.ended, workerEnd{number: w.number, task: x.task, run: x.run, how: how})
	w.config.Judge.end(x.judged, how, at)
	close(w.change)
	w.change = make(chan struct{})
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request, _ Faults) {
	var o workerOrder
	if !w.take(rw, r, &o) {
		return
	}
	defer w.mutex.Unlock()
	w.extend(o.UntilMs)
	if x := w.running[o.Task]; x != nil && x.run == o.Run {
		writeJSON(rw, map[string]any{"ClockMs": w.clock()})
		return
	}
	took, cores := w.config.RunTime(o.Task)
	switch {
	case o.Run <= w.barred[o.Task] || w.running[o.Task] != nil:
		w.refuse(rw, "old")
		return
	case o.UntilMs <= w.clock():
		w.refuse(rw, "late")
		return
	case w.used+cores > w.config.Cores:
		w.refuse(rw, "room")
		return
	}
	took = time.Duration(float64(took) / w.config.Speed)
	x := &workerRun{task: o.Task, run: o.Run, cores: cores, begun: time.Now(), took: took}
	w.running[o.Task] = x
	w.started = x.begun
	w.used += cores
	x.judged = w.config.Judge.start(Run{Task: o.Task, Worker: w.config.ID, Number: o.Run, Token: o.FencingToken, Began: x.begun})
	how := endDone
	if w.Faults.mode() == FailAll {
		how = endFailed
	}
	x.timer = time.AfterFunc(took, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.expire()
		w.end(x, how, x.begun.Add(x.took))
	})
	writeJSON(rw, map[string]any{"ClockMs": w.clock()})
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request, _ Faults) {
	var o workerOrder
	if !w.take(rw, r, &o) {
		return
	}
	defer w.mutex.Unlock()
	w.barred[o.Task] = max(w.barred[o.Task], o.Run)
	if x := w.running[o.Task]; x != nil && x.run <= o.Run {
		w.end(x, "stopped", time.Now())
	}
	writeJSON(rw, map[string]any{"ClockMs": w.clock()})
}

func (w *Worker) serveHold(rw http.ResponseWriter, r *http.Request, _ Faults) {
	var o workerOrder
	if !w.take(rw, r, &o) {
		return
	}
	w.extend(o.UntilMs)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		} else {
			w.config.Judge.note(e.task, e.how)
		}
	}
	w.ended = kept
	change := w.change
	if len(w.ended) == 0 && o.WaitMs > 0 {
		w.mutex.Unlock()
		select {
		case <-change:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mutex.Lock()
	}
	defer w.mutex.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.running {
		percent := int(100 * time.Since(x.begun) / x.took)
		running = append(running, []any{x.task, x.run, "", percent, x.cores})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, map[string]any{"ClockMs": w.clock(), "born": w.Born(), "Running": running, "Ended": ended})
}
