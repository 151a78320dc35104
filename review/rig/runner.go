package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	holdMax = time.Second
	maxWait = 2 * time.Second
	// maxEnds is the number of ends that a runner lists at once.
	maxEnds = 500
)

// runner is a stand-in for a runner. What a task takes stands in its specification:
// "ms=200 cpu=8000 how=done".
type runner struct {
	id       string
	cpu      int
	started  time.Time
	mutex    sync.Mutex
	token    int64
	lease    time.Time
	running  map[string]*activeRun
	used     int
	highest  map[string]int
	ended    []endedRun
	lastEnd  int64
	changed  chan struct{}
	lastSeen int64
}

type activeRun struct {
	task    string
	run     int
	cpu     int
	started time.Time
	length  time.Duration
	how     string
	timer   *time.Timer
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
	// lapsed is true if the lease has lapsed since the end.
	lapsed bool
}

func runRunner(args []string) {
	f := flag.NewFlagSet("runner", flag.ExitOnError)
	id := f.String("id", "", "id")
	listen := f.String("listen", "", "address")
	control := f.String("store", "", "control address of the store")
	service := f.String("service", "", "service")
	zone := f.String("zone", "", "zone")
	labels := f.String("labels", "a", "labels, separated by commas")
	cpu := f.Int("cpu", 64_000, "capacity in thousandths of a core")
	_ = f.Parse(args)
	r := &runner{id: *id, cpu: *cpu, started: time.Now(), running: map[string]*activeRun{}, highest: map[string]int{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.serveStart)
	mux.HandleFunc("POST /run-stop", r.serveStop)
	mux.HandleFunc("POST /hold", r.serveHold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", r.id) })
	go func() {
		for sequence := 1; ; sequence++ {
			value, _ := json.Marshal(map[string]any{
				"Service": *service, "Address": *listen, "Zone": *zone, "Version": "v1", "Slots": 8, "State": "ready",
				"ColdRemainingMs": 0, "Capacity": map[string]int{"Cpu": *cpu, "MemMb": 131072, "Gpu": 0},
				"Labels": strings.Split(*labels, ","), "ClockMs": r.clock(), "Sequence": sequence, "born": r.started.UnixMilli(),
			})
			put(*control, "servers", r.id, value)
			time.Sleep(heartbeat)
		}
	}()
	log.Fatal(http.ListenAndServe(*listen, mux))
}

// put writes a row through the control address of the store.
func put(control, table, key string, value []byte) {
	data, _ := json.Marshal(map[string]any{"Table": table, "Key": key, "Value": json.RawMessage(value)})
	response, err := http.Post("http://"+control+"/put", "application/json", bytes.NewReader(data))
	if err != nil {
		log.Print(err)
		return
	}
	_ = response.Body.Close()
}

// note writes a line of the record: time, event, task, run and how.
func (r *runner) note(event, task string, run int, how string) {
	fmt.Fprintf(os.Stdout, "%d %s %s %s %d %s\n", time.Now().UnixMilli(), r.id, event, task, run, how)
}

func (r *runner) clock() int64 { return time.Since(r.started).Milliseconds() + 1 }

type order struct {
	Task         string
	Run          int
	Spec         string
	UntilMs      int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

// accept reads an order and locks the mutex, or answers it and returns false.
func (r *runner) accept(w http.ResponseWriter, q *http.Request, o *order) bool {
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if err := json.NewDecoder(q.Body).Decode(o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	r.mutex.Lock()
	r.lapse()
	if o.FencingToken < r.token {
		r.refuse(w, "fence")
		r.mutex.Unlock()
		return false
	}
	r.token = o.FencingToken
	return true
}

func (r *runner) answer(w http.ResponseWriter, status int, more map[string]any) {
	if more == nil {
		more = map[string]any{}
	}
	more["ClockMs"], more["born"] = r.clock(), r.started.UnixMilli()
	writeJSON(w, status, more)
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	r.answer(w, http.StatusConflict, map[string]any{"Reason": reason})
}

func (r *runner) extend(until int64) {
	if until == 0 {
		return
	}
	left := min(time.Duration(until-r.clock())*time.Millisecond, holdMax)
	if end := time.Now().Add(left); end.After(r.lease) {
		r.lease = end
		time.AfterFunc(left+time.Millisecond, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.lapse()
		})
	}
}

func (r *runner) lapse() {
	if time.Now().Before(r.lease) {
		return
	}
	for i := range r.ended {
		r.ended[i].lapsed = true
	}
	for _, x := range r.running {
		r.end(x, "lapsed")
	}
}

func (r *runner) end(x *activeRun, how string) {
	if r.running[x.task] != x {
		return
	}
	delete(r.running, x.task)
	x.timer.Stop()
	r.used -= x.cpu
	r.lastEnd++
	r.highest[x.task] = max(r.highest[x.task], x.run)
	r.ended = append(r.ended, endedRun{number: r.lastEnd, task: x.task, run: x.run, how: how})
	r.note("end", x.task, x.run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) serveStart(w http.ResponseWriter, q *http.Request) {
	var o order
	if !r.accept(w, q, &o) {
		return
	}
	defer r.mutex.Unlock()
	var ms, cpu int
	var how string
	if _, err := fmt.Sscanf(o.Spec, "ms=%d cpu=%d how=%s", &ms, &cpu, &how); err != nil {
		http.Error(w, "the specification cannot be read", http.StatusBadRequest)
		return
	}
	if o.UntilMs > r.clock() {
		r.extend(o.UntilMs)
	}
	old := r.running[o.Task]
	switch {
	case old != nil && old.run == o.Run:
		r.answer(w, http.StatusOK, nil)
		return
	case old != nil || o.Run <= r.highest[o.Task]:
		r.refuse(w, "old")
		return
	case o.UntilMs <= r.clock():
		r.refuse(w, "late")
		return
	case r.used+cpu > r.cpu:
		r.refuse(w, "room")
		return
	}
	x := &activeRun{task: o.Task, run: o.Run, cpu: cpu, started: time.Now(), length: time.Duration(ms) * time.Millisecond, how: how}
	r.running[o.Task] = x
	r.used += cpu
	r.note("start", x.task, x.run, fmt.Sprint(o.FencingToken))
	x.timer = time.AfterFunc(x.length, func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.lapse()
		r.end(x, x.how)
	})
	r.answer(w, http.StatusOK, nil)
}

func (r *runner) serveStop(w http.ResponseWriter, q *http.Request) {
	var o order
	if !r.accept(w, q, &o) {
		return
	}
	defer r.mutex.Unlock()
	if x := r.running[o.Task]; x != nil && x.run <= o.Run {
		r.end(x, "stopped")
	}
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	r.answer(w, http.StatusOK, nil)
}

func (r *runner) serveHold(w http.ResponseWriter, q *http.Request) {
	var o order
	if !r.accept(w, q, &o) {
		return
	}
	r.extend(o.UntilMs)
	if o.LastSeen > r.lastSeen {
		r.lastSeen = o.LastSeen
		for _, e := range r.ended {
			switch {
			case e.number > o.LastSeen:
			case e.lapsed:
				r.note("seen-after-lapse", e.task, e.run, e.how)
			default:
				r.note("seen", e.task, e.run, e.how)
			}
		}
		r.ended = slices.DeleteFunc(r.ended, func(e endedRun) bool { return e.number <= o.LastSeen })
	}
	deadline := time.Now().Add(min(time.Duration(o.WaitMs)*time.Millisecond, maxWait))
	for len(r.ended) == 0 && time.Now().Before(deadline) {
		changed := r.changed
		r.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-q.Context().Done():
			return
		}
		r.mutex.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.running {
		percent := min(99, int(100*time.Since(x.started)/max(1, x.length)))
		running = append(running, []any{x.task, x.run, "", percent, x.cpu})
	}
	for _, e := range r.ended[:min(len(r.ended), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	r.answer(w, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
	r.mutex.Unlock()
}
