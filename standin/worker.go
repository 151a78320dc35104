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
	task  string
	run   int
	cores int
	begun time.Time
	took  time.Duration
	timer *time.Timer
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
		w.end(x, "lapsed")
	}
}

// end ends a run. The caller holds the mutex.
func (w *Worker) end(x *workerRun, how string) {
	if w.running[x.task] != x {
		return
	}
	delete(w.running, x.task)
	x.timer.Stop()
	w.used -= x.cores
	w.number++
	w.barred[x.task] = max(w.barred[x.task], x.run)
	w.ended = append(w.ended, workerEnd{number: w.number, task: x.task, run: x.run, how: how})
	w.config.Judge.end(x.task, how)
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
	w.config.Judge.start(o.Task)
	how := endDone
	if w.Faults.mode() == FailAll {
		how = endFailed
	}
	x.timer = time.AfterFunc(took, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.expire()
		w.end(x, how)
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
		w.end(x, "stopped")
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

// Judge records what all workers run, and counts what must not happen.
type Judge struct {
	mutex   sync.Mutex
	running map[string]int
	starts  int
	done    int
	doubled []string
	// noted holds the tasks of which a done run was taken note of, failures
	// the number of failed runs of each task.
	noted    map[string]bool
	failures map[string]int
	again    []string
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{running: map[string]int{}, noted: map[string]bool{}, failures: map[string]int{}}
}

func (j *Judge) start(task string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.starts++
	j.running[task]++
	if j.running[task] > 1 {
		j.doubled = append(j.doubled, task)
	}
	if j.noted[task] {
		j.again = append(j.again, task)
	}
}

func (j *Judge) end(task, how string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.running[task]--
	switch how {
	case endDone:
		j.done++
	case endFailed:
		j.failures[task]++
	}
}

// note tells that a worker was told that the end of a run was seen.
func (j *Judge) note(task, how string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if how == endDone {
		j.noted[task] = true
	}
}

// Again returns the tasks that started after it was noted that they are done.
func (j *Judge) Again() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.again
}

// Failures returns the highest number of failed runs of any task.
func (j *Judge) Failures() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	highest := 0
	for _, n := range j.failures {
		highest = max(highest, n)
	}
	return highest
}

// Verdict returns the number of starts and of runs that were done, and the
// tasks that ran twice at the same time.
func (j *Judge) Verdict() (starts, done int, doubled []string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.starts, j.done, j.doubled
}

// Running returns the number of runs that are at work.
func (j *Judge) Running() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	n := 0
	for _, runs := range j.running {
		n += runs
	}
	return n
}
