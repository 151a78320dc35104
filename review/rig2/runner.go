package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runLog holds all runs of tasks, by what the runners have seen.
type runLog struct {
	record *record
	mutex  sync.Mutex
	runs   []*taskRun
}

// taskRun is one run of a task.
type taskRun struct {
	task   string
	run    int
	token  int64
	runner string
	labels []string
	began  time.Time
	// ended is zero while the run is at work.
	ended time.Time
	how   string
	// noted is when the end was taken note of, or zero.
	noted time.Time
}

func (l *runLog) start(x *taskRun) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, x)
	l.record.printf("run %s #%d begins on %s %v, token %d", x.task, x.run, x.runner, x.labels, x.token)
}

func (l *runLog) end(x *taskRun, how string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	x.ended, x.how = time.Now(), how
	l.record.printf("run %s #%d ends on %s: %s", x.task, x.run, x.runner, how)
}

// note records that an end was taken note of.
func (l *runLog) note(x *taskRun, runner string, number int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	x.noted = time.Now()
	l.record.printf("end %d of %s (%s #%d %s) is taken note of", number, runner, x.task, x.run, x.how)
}

// all returns a copy of all runs.
func (l *runLog) all() []taskRun {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var runs []taskRun
	for _, x := range l.runs {
		runs = append(runs, *x)
	}
	return runs
}

// ofJob returns a copy of the runs of a job.
func (l *runLog) ofJob(id string) []taskRun {
	var runs []taskRun
	for _, x := range l.all() {
		if strings.HasPrefix(x.task, id+".") {
			runs = append(runs, x)
		}
	}
	return runs
}

// runnerConfig describes a runner.
type runnerConfig struct {
	id     string
	zone   string
	number int
	labels []string
	cores  int
	// startTime returns how long the runner takes to carry out a start, or is nil.
	startTime func() time.Duration
	// failures is the share of the runs that fail.
	failures float64
	// proxied is true if a proxy stands before the runner.
	proxied bool
}

// runner is a stand-in for a runner, as the pages describe it. It may crash and start
// again under its id.
type runner struct {
	world   *world
	config  runnerConfig
	address string
	// listen is where the runner listens, if a proxy stands before its address.
	listen string
	proxy  *proxy

	mutex  sync.Mutex
	up     bool
	server *http.Server
	stop   chan struct{}
	// born is when this life of the runner began.
	born     time.Time
	token    int64
	lease    time.Time
	lapses   int
	running  map[string]*activeRun
	lastRun  map[string]int
	ended    []endedRun
	lastEnd  int64
	usedCPU  int
	changed  chan struct{}
	sequence int
	state    string
	// silent is true while the runner neither answers nor carries out orders, and late the
	// share of the orders that get no answer and are carried out late.
	silent bool
	late   float64
}

type activeRun struct {
	*taskRun
	cores int
	took  time.Duration
	timer *time.Timer
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
	record *taskRun
	// lapses is the number of lapses of the lease before the end.
	lapses int
}

// addRunner starts a runner.
func (w *world) addRunner(c runnerConfig) *runner {
	x := &runner{world: w, config: c, address: fmt.Sprintf("%s%d:18080", w.network, 100+c.number)}
	x.listen = x.address
	if c.proxied {
		x.listen = fmt.Sprintf("%s%d:18081", w.network, 100+c.number)
		var err error
		if x.proxy, err = newProxy(w, x.address, x.listen, ""); err != nil {
			panic(err)
		}
	}
	w.mutex.Lock()
	w.runners = append(w.runners, x)
	w.mutex.Unlock()
	x.start(c.labels)
	return x
}

// start begins a new life of the runner, which knows nothing of an earlier one.
func (x *runner) start(labels []string) {
	listener, err := net.Listen("tcp", x.listen)
	if err != nil {
		panic(err)
	}
	x.mutex.Lock()
	x.born, x.up, x.token, x.lease = time.Now(), true, 0, time.Time{}
	x.running, x.lastRun, x.ended, x.lastEnd, x.usedCPU = map[string]*activeRun{}, map[string]int{}, nil, 0, 0
	x.changed, x.stop, x.sequence, x.state = make(chan struct{}), make(chan struct{}), 0, "ready"
	x.config.labels = labels
	mux := http.NewServeMux()
	life := x.born
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /run-start", func(rw http.ResponseWriter, r *http.Request) { x.serve(rw, r, life, x.serveStart) })
	mux.HandleFunc("POST /run-stop", func(rw http.ResponseWriter, r *http.Request) { x.serve(rw, r, life, x.serveStop) })
	mux.HandleFunc("POST /hold", func(rw http.ResponseWriter, r *http.Request) { x.serve(rw, r, life, x.serveHold) })
	x.server = &http.Server{Handler: mux}
	server, stop := x.server, x.stop
	x.mutex.Unlock()
	x.world.record.printf("runner %s %v: begins a life, born %d", x.config.id, labels, life.UnixMilli())
	x.register()
	go func() { _ = server.Serve(listener) }()
	go func() {
		for t := time.NewTicker(heartbeat); ; {
			select {
			case <-stop:
				t.Stop()
				return
			case <-t.C:
				x.register()
			}
		}
	}()
}

// register writes the runner's entry into the store.
func (x *runner) register() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.up {
		return
	}
	x.sequence++
	x.world.store.Put("servers", x.config.id, map[string]any{
		"Service": service, "Address": x.address, "Zone": x.config.zone, "Version": "v1", "Slots": 8, "State": x.state,
		"ColdRemainingMs": 0, "Capacity": map[string]int{"Cpu": x.config.cores, "MemMb": 131072, "Gpu": 0},
		"Labels": x.config.labels, "ClockMs": x.clockMs(), "Sequence": x.sequence, "born": x.born.UnixMilli(),
	})
}

// crash ends the runner with all that it runs. Nothing listens at its address then.
func (x *runner) crash() {
	x.mutex.Lock()
	if !x.up {
		x.mutex.Unlock()
		return
	}
	x.up = false
	close(x.stop)
	server := x.server
	for _, a := range x.running {
		a.timer.Stop()
		x.world.runs.end(a.taskRun, "gone with its runner")
	}
	clear(x.running)
	x.mutex.Unlock()
	x.world.record.printf("runner %s: crashes", x.config.id)
	server.Close()
}

// isIdle returns true if the runner runs nothing and has no end that was not seen.
func (x *runner) isIdle() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return len(x.running) == 0 && len(x.ended) == 0
}

func (x *runner) clockMs() int64 { return time.Since(x.born).Milliseconds() + 1 }

// order is an order on the wire.
type order struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

// serve reads an order and passes it on with the mutex locked.
func (x *runner) serve(rw http.ResponseWriter, r *http.Request, life time.Time, next func(http.ResponseWriter, *http.Request, *order)) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	x.mutex.Lock()
	silent, late := x.silent, rand.Float64() < x.late
	x.mutex.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if late {
		x.world.record.printf("order %s %s #%d to %s is carried out late", r.URL.Path, o.Task, o.Run, x.config.id)
		go func() {
			time.Sleep(2*time.Second + rand.N(10*time.Second))
			x.mutex.Lock()
			defer x.mutex.Unlock()
			x.lapse()
			if x.up && x.born.Equal(life) && o.FencingToken >= x.token && r.Header.Get("X-Expect-Instance") == x.config.id {
				x.token = o.FencingToken
				o.WaitMs = 0
				next(discard{}, r, &o)
			}
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/run-start" && x.config.startTime != nil {
		time.Sleep(x.config.startTime())
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if !x.up || !x.born.Equal(life) {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get("X-Expect-Instance") != x.config.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.lapse()
	if o.FencingToken < x.token {
		x.refuse(rw, "fence")
		return
	}
	x.token = o.FencingToken
	next(rw, r, &o)
}

func (x *runner) respond(rw http.ResponseWriter, status int, body map[string]any) {
	body["ClockMs"], body["born"] = x.clockMs(), x.born.UnixMilli()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (x *runner) refuse(rw http.ResponseWriter, reason string) {
	x.respond(rw, http.StatusConflict, map[string]any{"Reason": reason})
}

// extend extends the lease to a time on the runner's clock.
func (x *runner) extend(until int64) {
	if until == 0 {
		return
	}
	left := min(time.Duration(until-x.clockMs())*time.Millisecond, maxLease)
	if end := time.Now().Add(left); end.After(x.lease) {
		if !time.Now().Before(x.lease) {
			x.lapses++
		}
		x.lease = end
		time.AfterFunc(left+time.Millisecond, func() {
			x.mutex.Lock()
			defer x.mutex.Unlock()
			x.lapse()
		})
	}
}

// lapse ends all runs if the lease has expired.
func (x *runner) lapse() {
	if !x.up || time.Now().Before(x.lease) {
		return
	}
	for _, a := range x.running {
		x.end(a, "lapsed")
	}
}

func (x *runner) end(a *activeRun, how string) {
	if x.running[a.task] != a {
		return
	}
	delete(x.running, a.task)
	a.timer.Stop()
	x.usedCPU -= a.cores
	x.lastEnd++
	x.lastRun[a.task] = max(x.lastRun[a.task], a.run)
	x.ended = append(x.ended, endedRun{number: x.lastEnd, task: a.task, run: a.run, how: how, record: a.taskRun, lapses: x.lapses})
	x.world.runs.end(a.taskRun, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

// workOf returns how long a task runs and the thousandths of cores that it needs, which
// the specification of the stand-in's jobs tells.
func workOf(spec string) (time.Duration, int) {
	fields := strings.Fields(spec)
	if len(fields) != 2 {
		return 0, 0
	}
	ms, _ := strconv.Atoi(fields[0])
	cores, _ := strconv.Atoi(fields[1])
	return time.Duration(ms) * time.Millisecond, cores
}

func (x *runner) serveStart(rw http.ResponseWriter, _ *http.Request, o *order) {
	x.extend(o.UntilMs)
	took, cores := workOf(o.Spec)
	switch a := x.running[o.Task]; {
	case a != nil && a.run == o.Run:
		x.respond(rw, http.StatusOK, map[string]any{})
		return
	case a != nil || o.Run <= x.lastRun[o.Task]:
		x.refuse(rw, "old")
		return
	case o.UntilMs <= x.clockMs():
		x.refuse(rw, "late")
		return
	case x.usedCPU+cores > x.config.cores:
		x.world.record.printf("start %s #%d on %s: no room", o.Task, o.Run, x.config.id)
		x.refuse(rw, "room")
		return
	}
	a := &activeRun{
		taskRun: &taskRun{task: o.Task, run: o.Run, token: o.FencingToken, runner: x.config.id, labels: x.config.labels, began: time.Now()},
		cores:   cores, took: took,
	}
	x.running[o.Task] = a
	x.usedCPU += cores
	x.world.runs.start(a.taskRun)
	how := "done"
	if rand.Float64() < x.config.failures {
		how = "failed"
	}
	a.timer = time.AfterFunc(took, func() {
		x.mutex.Lock()
		defer x.mutex.Unlock()
		x.lapse()
		x.end(a, how)
	})
	x.respond(rw, http.StatusOK, map[string]any{})
}

// discard is a response writer that drops the answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (x *runner) serveStop(rw http.ResponseWriter, _ *http.Request, o *order) {
	x.lastRun[o.Task] = max(x.lastRun[o.Task], o.Run)
	if a := x.running[o.Task]; a != nil && a.run <= o.Run {
		x.end(a, "stopped")
	}
	x.respond(rw, http.StatusOK, map[string]any{})
}

func (x *runner) serveHold(rw http.ResponseWriter, r *http.Request, o *order) {
	x.extend(o.UntilMs)
	unseen := x.ended[:0]
	for _, e := range x.ended {
		if e.number > o.LastSeen {
			unseen = append(unseen, e)
		} else if e.lapses == x.lapses && time.Now().Before(x.lease) {
			x.world.runs.note(e.record, x.config.id, e.number)
		}
	}
	x.ended = unseen
	if len(x.ended) == 0 && o.WaitMs > 0 {
		changed, life := x.changed, x.born
		x.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
		x.mutex.Lock()
		if !x.up || !x.born.Equal(life) {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, a := range x.running {
		percent := min(100, int(100*time.Since(a.began)/max(1, a.took)))
		running = append(running, []any{a.task, a.run, "", percent, a.cores})
	}
	for _, e := range x.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	x.respond(rw, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
}
