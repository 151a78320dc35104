package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The bounds of the settings that runners and the checks use.
const (
	holdMax   = time.Second
	stopTime  = 20 * time.Millisecond
	beat      = 1500 * time.Millisecond
	maxEnds   = 500
	entryLife = 3 * beat
)

// size is what a task needs or a runner has.
type size struct{ cpu, mem int }

// taskInfo is what a runner knows of a task: its size, and how long it works.
type taskInfo struct {
	size size
	work time.Duration
	// fails is the number of the first runs that end failed.
	fails int
}

// runEvent is a run of a task, as its runner saw it.
type runEvent struct {
	task   string
	run    int
	runner string
	life   int
	token  int64
	began  time.Time
	ended  time.Time
	how    string
	// noted is when LastSeen reached the end, without a lapse of the lease between.
	noted time.Time
}

// fleet holds the runners and all runs.
type fleet struct {
	mutex   sync.Mutex
	rec     *record
	store   *store
	service string
	jobs    map[string]*jobInfo
	runs    map[string][]*runEvent
	runners []*runner
}

// infoOf returns what a task needs. The caller holds the mutex.
func (f *fleet) infoOf(task string) (taskInfo, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return taskInfo{}, false
	}
	j := f.jobs[parts[0]]
	step, err := strconv.Atoi(parts[2])
	if j == nil || err != nil || step >= len(j.steps) {
		return taskInfo{}, false
	}
	x := j.steps[step]
	return taskInfo{size: size{x.CPU, x.MemMb}, work: x.work, fails: x.fails}, true
}

// runner is one machine and its present life.
type runner struct {
	fleet      *fleet
	id         string
	zone, rack string
	address    string
	capacity   size

	mutex    sync.Mutex
	alive    bool
	life     int
	born     time.Time
	server   *http.Server
	token    int64
	lease    time.Time
	lapses   int
	running  map[string]*activeRun
	used     size
	lastRun  map[string]int
	ends     []*runEnd
	lastEnd  int64
	changed  chan struct{}
	sequence int
	silent   time.Time
}

type activeRun struct {
	event    *runEvent
	info     taskInfo
	timer    *time.Timer
	stopping bool
}

type runEnd struct {
	n      int64
	event  *runEvent
	lapses int
}

// start begins a life of the runner.
func (r *runner) start() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mutex.Lock()
	r.life++
	r.alive, r.born, r.token, r.lease, r.used = true, time.Now(), 0, time.Time{}, size{}
	r.running, r.lastRun, r.ends, r.lastEnd, r.changed = map[string]*activeRun{}, map[string]int{}, nil, 0, make(chan struct{})
	mux := http.NewServeMux()
	life := r.life
	for path, h := range map[string]func(http.ResponseWriter, *http.Request, *order){"/run-start": r.runStart, "/run-stop": r.runStop, "/hold": r.hold} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, q *http.Request) { r.accept(w, q, life, h) })
	}
	r.server = &http.Server{Handler: mux}
	s := r.server
	r.mutex.Unlock()
	go func() { _ = s.Serve(l) }()
	r.register()
	return nil
}

// register writes the runner's entry.
func (r *runner) register() {
	r.mutex.Lock()
	r.sequence++
	entry := map[string]any{
		"Service": r.fleet.service, "Address": r.address, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Sequence": r.sequence, "born": r.born.UnixMilli(), "Labels": []string{"a", r.rack},
		"Capacity": map[string]int{"Cpu": r.capacity.cpu, "MemMb": r.capacity.mem, "Gpu": 0},
	}
	r.mutex.Unlock()
	r.fleet.store.put("servers", r.id, entry)
}

// crash ends the life of the runner: what runs on it is gone, and connections are refused.
func (r *runner) crash() {
	r.mutex.Lock()
	if !r.alive {
		r.mutex.Unlock()
		return
	}
	r.alive, r.silent = false, time.Now()
	s := r.server
	for _, x := range r.running {
		x.timer.Stop()
		r.finish(x, "gone")
	}
	r.running = map[string]*activeRun{}
	r.mutex.Unlock()
	_ = s.Close()
}

// finish records the end of a run. The caller holds the mutex.
func (r *runner) finish(x *activeRun, how string) {
	f := r.fleet
	f.mutex.Lock()
	x.event.ended, x.event.how = time.Now(), how
	f.mutex.Unlock()
	f.rec.line("run      %s run %d on %s ends %s", x.event.task, x.event.run, r.id, how)
}

// end ends a run and lists its end. The caller holds the mutex.
func (r *runner) end(x *activeRun, how string) {
	if r.running[x.event.task] != x {
		return
	}
	delete(r.running, x.event.task)
	x.timer.Stop()
	r.used.cpu -= x.info.size.cpu
	r.used.mem -= x.info.size.mem
	r.lastEnd++
	r.lastRun[x.event.task] = max(r.lastRun[x.event.task], x.event.run)
	r.ends = append(r.ends, &runEnd{n: r.lastEnd, event: x.event, lapses: r.lapses})
	r.finish(x, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

type order struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

// accept reads an order and checks the instance and the token. The handler has the mutex.
func (r *runner) accept(w http.ResponseWriter, q *http.Request, life int, h func(http.ResponseWriter, *http.Request, *order)) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.alive || r.life != life {
		panic(http.ErrAbortHandler)
	}
	if id := q.Header.Get("X-Expect-Instance"); id != "" && id != r.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{"ClockMs": r.clock()})
		return
	}
	r.expire()
	if o.FencingToken < r.token {
		reply(w, http.StatusConflict, map[string]any{"ClockMs": r.clock(), "Reason": "fence"})
		return
	}
	r.token = o.FencingToken
	h(w, q, &o)
}

// expire kills everything if the lease has lapsed. The caller holds the mutex.
func (r *runner) expire() {
	if time.Now().Before(r.lease) || len(r.running) == 0 {
		return
	}
	for _, x := range r.running {
		r.end(x, "lapsed")
	}
}

// extend extends the lease to a time on the runner's clock. The caller holds the mutex.
func (r *runner) extend(until int64) {
	if until == 0 {
		return
	}
	left := min(time.Duration(until-r.clock())*time.Millisecond, holdMax)
	if left <= 0 {
		return
	}
	if end := time.Now().Add(left); end.After(r.lease) {
		if !time.Now().Before(r.lease) {
			r.lapses++
		}
		r.lease = end
		life := r.life
		time.AfterFunc(left+time.Millisecond, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			if r.alive && r.life == life {
				r.expire()
			}
		})
	}
}

func (r *runner) runStart(w http.ResponseWriter, _ *http.Request, o *order) {
	refuse := func(reason string) {
		reply(w, http.StatusConflict, map[string]any{"ClockMs": r.clock(), "Reason": reason})
	}
	f := r.fleet
	f.mutex.Lock()
	info, known := f.infoOf(o.Task)
	f.mutex.Unlock()
	if !known || o.Run < 1 || o.UntilMs < 1 {
		f.rec.line("runner   %s answers 400 to a start of %s", r.id, o.Task)
		reply(w, http.StatusBadRequest, map[string]any{"ClockMs": r.clock()})
		return
	}
	late := o.UntilMs <= r.clock()
	if !late {
		r.extend(o.UntilMs)
	}
	x := r.running[o.Task]
	switch {
	case x != nil && x.event.run == o.Run:
		reply(w, http.StatusOK, map[string]any{"ClockMs": r.clock(), "born": r.born.UnixMilli()})
		return
	case o.Run <= r.lastRun[o.Task] || x != nil:
		refuse("old")
		return
	case late:
		refuse("late")
		return
	case r.used.cpu+info.size.cpu > r.capacity.cpu || r.used.mem+info.size.mem > r.capacity.mem:
		refuse("room")
		return
	}
	e := &runEvent{task: o.Task, run: o.Run, runner: r.id, life: r.life, token: o.FencingToken, began: time.Now()}
	f.mutex.Lock()
	failed := 0
	for _, p := range f.runs[o.Task] {
		if p.how == "failed" {
			failed++
		}
	}
	f.runs[o.Task] = append(f.runs[o.Task], e)
	f.mutex.Unlock()
	f.rec.line("run      %s run %d on %s begins, token %d", o.Task, o.Run, r.id, o.FencingToken)
	a := &activeRun{event: e, info: info}
	r.running[o.Task] = a
	r.used.cpu += info.size.cpu
	r.used.mem += info.size.mem
	how := "done"
	if failed < info.fails {
		how = "failed"
	}
	life := r.life
	a.timer = time.AfterFunc(info.work, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if r.alive && r.life == life {
			r.expire()
			r.end(a, how)
		}
	})
	reply(w, http.StatusOK, map[string]any{"ClockMs": r.clock(), "born": r.born.UnixMilli()})
}

func (r *runner) runStop(w http.ResponseWriter, _ *http.Request, o *order) {
	r.lastRun[o.Task] = max(r.lastRun[o.Task], o.Run)
	if x := r.running[o.Task]; x != nil && x.event.run <= o.Run && !x.stopping {
		x.stopping = true
		life := r.life
		time.AfterFunc(stopTime, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			if r.alive && r.life == life {
				r.end(x, "stopped")
			}
		})
	}
	reply(w, http.StatusOK, map[string]any{"ClockMs": r.clock(), "born": r.born.UnixMilli()})
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, o *order) {
	r.extend(o.UntilMs)
	var left []*runEnd
	for _, e := range r.ends {
		if e.n > o.LastSeen {
			left = append(left, e)
			continue
		}
		if e.lapses == r.lapses && time.Now().Before(r.lease) {
			r.fleet.mutex.Lock()
			e.event.noted = time.Now()
			r.fleet.mutex.Unlock()
		}
	}
	r.ends = left
	if len(r.ends) == 0 && o.WaitMs > 0 {
		changed, life := r.changed, r.life
		r.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-q.Context().Done():
		}
		r.mutex.Lock()
		if !r.alive || r.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.running {
		percent := min(100, int(100*time.Since(x.event.began)/max(1, x.info.work)))
		running = append(running, []any{x.event.task, x.event.run, "", percent, x.info.size.cpu})
	}
	for _, e := range r.ends[:min(len(r.ends), maxEnds)] {
		ended = append(ended, []any{e.n, e.event.task, e.event.run, e.event.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"ClockMs": r.clock(), "born": r.born.UnixMilli(), "Running": running, "Ended": ended})
}

// newFleet starts runners: perZone in each zone, perRack in each rack.
func newFleet(rec *record, s *store, service, network string, zones []string, perZone, perRack int, c size) (*fleet, error) {
	f := &fleet{rec: rec, store: s, service: service, jobs: map[string]*jobInfo{}, runs: map[string][]*runEvent{}}
	for z, zone := range zones {
		for i := range perZone {
			r := &runner{
				fleet: f, id: fmt.Sprintf("%s-%d%03d", service, z+1, i+1), zone: zone, rack: fmt.Sprintf("r%d-%d", z+1, i/perRack+1),
				address: fmt.Sprintf("%s.%d:8170", network, 100+z*perZone+i), capacity: c,
			}
			f.runners = append(f.runners, r)
			if err := r.start(); err != nil {
				return nil, err
			}
		}
	}
	go func() {
		for {
			time.Sleep(beat)
			for _, r := range f.runners {
				r.mutex.Lock()
				alive, silent := r.alive, time.Since(r.silent)
				r.mutex.Unlock()
				switch {
				case alive:
					r.register()
				case silent > entryLife:
					f.store.remove("servers", r.id)
				}
			}
		}
	}()
	return f, nil
}

// runningIn returns how many tasks of a job run on each runner.
func (f *fleet) runningIn(job string) map[*runner]int {
	found := map[*runner]int{}
	for _, r := range f.runners {
		r.mutex.Lock()
		for task := range r.running {
			if strings.HasPrefix(task, job+".") {
				found[r]++
			}
		}
		r.mutex.Unlock()
	}
	return found
}

// freeCPU returns the free and the whole processor capacity of the runners that are up.
func (f *fleet) freeCPU() (free, all int) {
	for _, r := range f.runners {
		r.mutex.Lock()
		if r.alive {
			free += r.capacity.cpu - r.used.cpu
			all += r.capacity.cpu
		}
		r.mutex.Unlock()
	}
	return free, all
}
