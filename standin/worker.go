package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	// ID is the id of the worker. Orders for another id are rejected.
	ID string
	// Cores is the worker's capacity in thousandths of a core.
	Cores int
	// Labels holds the labels of the worker beside "a".
	Labels []string
	// Speed divides the run times of tasks.
	Speed float64
	// RunTime returns the run time of a task at speed 1, and its cores.
	RunTime func(task string) (time.Duration, int)
	// Recorder records the runs.
	Recorder *RunRecorder
	// Crash is called with the tasks that run when a task for which IsDeadly returns true
	// crashes the worker.
	IsDeadly func(task string) bool
	Crash    func(w *Worker, tasks []string)
	// MaxLease is the longest lease that the worker accepts.
	MaxLease time.Duration
}

// Worker is a stand-in for a worker of the users' platform. It runs tasks under one
// lease, rejects orders with an outdated fencing token, and reports the runs that
// have ended.
type Worker struct {
	Faults Switch

	config  WorkerConfig
	started time.Time
	mutex   sync.Mutex
	token   int64
	lease   time.Time
	// lapses counts how often the lease has lapsed and begun anew.
	lapses    int
	lastStart time.Time
	// firstOrder is when the first order was accepted, or zero.
	firstOrder time.Time
	running    map[string]*workerRun
	usedCores  int
	// lastRun holds the highest run of each task that was stopped or has ended. The
	// task does not start again with it or a lower one.
	lastRun map[string]int
	ended   []workerEnd
	lastEnd int64
	changed chan struct{}
}

// workerRun is an active run.
type workerRun struct {
	task    string
	run     int
	cores   int
	started time.Time
	runTime time.Duration
	timer   *time.Timer
	record  *Run
}

// How a run that is not interrupted ends.
const (
	endDone   = "done"
	endFailed = "failed"
	// endGone is how a run ends when its worker crashes.
	endGone = "gone"
)

// workerEnd is a run that has ended and was not acknowledged yet.
type workerEnd struct {
	number int64
	task   string
	run    int
	how    string
	// lapses is the number of lapses of the worker's lease before the end.
	lapses int
}

// NewWorker returns a worker without runs.
func NewWorker(c WorkerConfig) *Worker {
	w := &Worker{config: c, started: time.Now(), running: map[string]*workerRun{}, lastRun: map[string]int{}, changed: make(chan struct{})}
	return w
}

// Incarnation returns when the worker started, in milliseconds since 1970.
func (w *Worker) Incarnation() int64 { return w.started.UnixMilli() }

// Entry returns the row that the worker writes about itself into the platform's
// store.
func (w *Worker) Entry(service, address, zone string) any {
	return w.entry(service, address, zone, "ready", w.config.Cores)
}

// ColdEntry returns the row that the worker writes while it stays cold for the given time.
func (w *Worker) ColdEntry(service, address, zone string, remaining time.Duration) any {
	entry := w.entry(service, address, zone, "ready", w.config.Cores)
	entry["ColdRemainingMs"] = remaining.Milliseconds()
	return entry
}

// ShrunkenEntry returns the row that the worker writes while its capacity is cores.
func (w *Worker) ShrunkenEntry(service, address, zone string, cores int) any {
	return w.entry(service, address, zone, "ready", cores)
}

// DrainingEntry returns the row that the worker writes when it starts to drain.
func (w *Worker) DrainingEntry(service, address, zone string) any {
	return w.entry(service, address, zone, "draining", w.config.Cores)
}

// LastStart returns when the worker last started a run.
func (w *Worker) LastStart() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.lastStart
}

// FirstOrder returns when the worker accepted its first order, or the zero time.
func (w *Worker) FirstOrder() time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.firstOrder
}

func (w *Worker) entry(service, address, zone, state string, cores int) map[string]any {
	return map[string]any{
		"Service": service, "Address": address, "Zone": zone, "State": state, "born": w.Incarnation(),
		"Capacity": map[string]int{"Cpu": cores, "MemMb": 1 << 20, "Gpu": 0}, "Labels": append([]string{"a"}, w.config.Labels...),
	}
}

// Handler returns the HTTP handler for orders.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.Faults.applyFaults(w.serveStart))
	mux.HandleFunc("POST /run-stop", w.Faults.applyFaults(w.serveStop))
	mux.HandleFunc("POST /hold", w.Faults.applyFaults(w.serveHold))
	return mux
}

// workerOrder is an order on the wire. UntilMs is the end of the lease on the worker's
// clock, and LastSeen the number of the last end that the owner has seen.
type workerOrder struct {
	Task         string
	Run          int
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

// clockMs returns the worker's clock in milliseconds.
func (w *Worker) clockMs() int64 { return time.Since(w.started).Milliseconds() + 1 }

// acceptOrder reads an order and locks the mutex. It rejects the order and returns
// false if it is meant for another worker or its fencing token is outdated. The
// caller must unlock the mutex if it returns true.
func (w *Worker) acceptOrder(rw http.ResponseWriter, r *http.Request, o *workerOrder) bool {
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	if want := r.Header.Get("X-Expect-Instance"); want != w.config.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	w.mutex.Lock()
	w.endExpired()
	if o.FencingToken < w.token {
		w.mutex.Unlock()
		w.refuse(rw, "fence")
		return false
	}
	w.token = o.FencingToken
	if w.firstOrder.IsZero() {
		w.firstOrder = time.Now()
	}
	return true
}

// refuse answers that the order is rejected.
func (w *Worker) refuse(rw http.ResponseWriter, reason string) {
	rw.WriteHeader(http.StatusConflict)
	writeJSON(rw, map[string]any{"ClockMs": w.clockMs(), "Reason": reason})
}

// extendLease extends the lease of all runs to a time on the worker's clock. Zero
// leaves it as it is.
func (w *Worker) extendLease(until int64) {
	if until == 0 {
		return
	}
	left := min(time.Duration(until-w.clockMs())*time.Millisecond, w.config.MaxLease)
	if end := time.Now().Add(left); end.After(w.lease) {
		if w.hasLapsed() {
			w.lapses++
		}
		w.lease = end
		time.AfterFunc(left+time.Millisecond, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.endExpired()
		})
	}
}

// hasLapsed returns true if the lease has lapsed. The caller holds the mutex.
func (w *Worker) hasLapsed() bool { return !time.Now().Before(w.lease) }

// endExpired ends all runs if the lease has expired. The caller holds the mutex.
func (w *Worker) endExpired() {
	if !w.hasLapsed() {
		return
	}
	for _, x := range w.running {
		w.endRun(x, "lapsed", w.lease)
	}
}

// endRun ends a run. Its recorded end is at, even if a late timer calls endRun later.
// The caller holds the mutex.
func (w *Worker) endRun(x *workerRun, how string, at time.Time) {
	if w.running[x.task] != x {
		return
	}
	delete(w.running, x.task)
	x.timer.Stop()
	w.usedCores -= x.cores
	w.lastEnd++
	w.lastRun[x.task] = max(w.lastRun[x.task], x.run)
	w.ended = append(w.ended, workerEnd{number: w.lastEnd, task: x.task, run: x.run, how: how, lapses: w.lapses})
	w.config.Recorder.end(x.record, how, at)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request, _ Faults) {
	var o workerOrder
	if !w.acceptOrder(rw, r, &o) {
		return
	}
	defer w.mutex.Unlock()
	w.extendLease(o.UntilMs)
	if x := w.running[o.Task]; x != nil && x.run == o.Run {
		writeJSON(rw, map[string]any{"ClockMs": w.clockMs()})
		return
	}
	runTime, cores := w.config.RunTime(o.Task)
	switch {
	case o.Run <= w.lastRun[o.Task] || w.running[o.Task] != nil:
		w.refuse(rw, "old")
		return
	case o.UntilMs <= w.clockMs():
		w.refuse(rw, "late")
		return
	case w.usedCores+cores > w.config.Cores:
		w.refuse(rw, "room")
		return
	}
	runTime = time.Duration(float64(runTime) / w.config.Speed)
	x := &workerRun{task: o.Task, run: o.Run, cores: cores, started: time.Now(), runTime: runTime}
	w.running[o.Task] = x
	w.lastStart = x.started
	w.usedCores += cores
	x.record = w.config.Recorder.start(Run{Task: o.Task, Worker: w.config.ID, Number: o.Run, Token: o.FencingToken, Began: x.started})
	if w.config.IsDeadly != nil && w.config.IsDeadly(o.Task) {
		time.AfterFunc(crashDelay, w.crash)
	}
	how := endDone
	if w.Faults.mode() == FailAll {
		how = endFailed
	}
	x.timer = time.AfterFunc(runTime, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.endExpired()
		w.endRun(x, how, x.started.Add(x.runTime))
	})
	writeJSON(rw, map[string]any{"ClockMs": w.clockMs()})
}

// crashDelay is how long after its start a task crashes the worker.
const crashDelay = 10 * time.Millisecond

// crash is PowerOff, and calls the Crash function.
func (w *Worker) crash() {
	if tasks := w.PowerOff(); len(tasks) > 0 {
		w.config.Crash(w, tasks)
	}
}

// PowerOff ends all runs without a report, and returns their tasks. The worker must not be
// reached any more.
func (w *Worker) PowerOff() []string {
	w.mutex.Lock()
	var tasks []string
	for _, x := range w.running {
		tasks = append(tasks, x.task)
		x.timer.Stop()
		w.config.Recorder.end(x.record, endGone, time.Now())
	}
	clear(w.running)
	w.mutex.Unlock()
	slices.Sort(tasks)
	return tasks
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request, _ Faults) {
	var o workerOrder
	if !w.acceptOrder(rw, r, &o) {
		return
	}
	defer w.mutex.Unlock()
	w.lastRun[o.Task] = max(w.lastRun[o.Task], o.Run)
	if x := w.running[o.Task]; x != nil && x.run <= o.Run {
		w.endRun(x, "stopped", time.Now())
	}
	writeJSON(rw, map[string]any{"ClockMs": w.clockMs()})
}

func (w *Worker) serveHold(rw http.ResponseWriter, r *http.Request, _ Faults) {
	var o workerOrder
	if !w.acceptOrder(rw, r, &o) {
		return
	}
	w.extendLease(o.UntilMs)
	unseen := w.ended[:0]
	for _, e := range w.ended {
		if e.number > o.LastSeen {
			unseen = append(unseen, e)
		} else if e.lapses == w.lapses && !w.hasLapsed() {
			// The platform counts no end as acknowledged after the lease has lapsed.
			w.config.Recorder.acknowledge(e.task, e.how)
		}
	}
	w.ended = unseen
	changed := w.changed
	if len(w.ended) == 0 && o.WaitMs > 0 {
		w.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mutex.Lock()
	}
	defer w.mutex.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.running {
		percent := int(100 * time.Since(x.started) / x.runTime)
		running = append(running, []any{x.task, x.run, "", percent, x.cores})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	writeJSON(rw, map[string]any{"ClockMs": w.clockMs(), "born": w.Incarnation(), "Running": running, "Ended": ended})
}
