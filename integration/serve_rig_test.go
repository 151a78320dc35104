package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/catkingap/catkingap/standin"
)

const (
	serveHosts   = 2
	serveWorkers = 3
	// serveRunTime is the run time of each task, which takes half of a worker.
	serveRunTime = 60 * time.Millisecond
	serveCores   = 27_000
	// serveInterval is the time between two jobs.
	serveInterval = 25 * time.Millisecond
)

var serveZones = []string{"coast-a", "coast-b"}

// serveFleet is a fleet of real hosts on the loopback interface, with a stand-in for the users'
// platform.
type serveFleet struct {
	t        testing.TB
	store    *standin.RowStore
	recorder *standin.RunRecorder
	table    string
	folder   string
	client   *http.Client

	mutex sync.Mutex
	hosts map[string]*serveHost
	jobs  atomic.Uint64
	// answers holds the answers to jobs in order.
	answers []serveAnswer
}

// serveHost is one process of a host.
type serveHost struct {
	*process
	zone, settings, caller, ready string
}

type serveAnswer struct {
	sent   time.Time
	status int
}

func newServeFleet(t testing.TB) *serveFleet {
	f := &serveFleet{
		t: t, store: standin.NewRowStore(standin.RowStoreConfig{}), recorder: standin.NewRunRecorder(), folder: t.TempDir(),
		client: &http.Client{Timeout: 5 * time.Second}, hosts: map[string]*serveHost{},
	}
	f.table = f.serve(f.store.Handler())
	f.store.Put("op", "config", map[string]any{"Version": 1, "Routes": []any{map[string]any{
		"Name": "q", "Host": "a.example", "Prefix": "/q/", "Service": "pool", "MaxAttempts": 3, "Stretch": 1.6, "TargetLatencyMs": 500,
	}}})
	for _, z := range serveZones {
		for i := range serveWorkers {
			name := fmt.Sprintf("%s-worker-%d", z, i)
			w := standin.NewWorker(standin.WorkerConfig{
				ID: name, Cores: 2 * serveCores, Speed: 1, Recorder: f.recorder, MaxLease: time.Second,
				RunTime: func(string) (time.Duration, int) { return serveRunTime, serveCores },
			})
			f.store.Put("servers", name, w.Entry("pool", f.serve(w.Handler()), z))
		}
	}
	seed := freeAddress(t)
	for _, z := range serveZones {
		for i := range serveHosts {
			control := seed
			if z != serveZones[0] || i > 0 {
				control = freeAddress(t)
			}
			f.addHost(z, fmt.Sprintf("%s-host-%d", z, i), control, seed)
		}
	}
	f.awaitReady()
	return f
}

// serve serves a handler on the loopback interface, and returns its address.
func (f *serveFleet) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// addHost writes the settings of a host and starts it.
func (f *serveFleet) addHost(zone, name, control, seed string) {
	h := &serveHost{zone: zone, settings: filepath.Join(f.folder, name+".toml"), caller: freeAddress(f.t), ready: freeAddress(f.t)}
	text := fmt.Sprintf(`NodeName = %q
Ip = "127.0.0.1"
Zone = %q
SeedNodes = [%q]
[Zones]
coast-a = "coast"
coast-b = "coast"
[Listen]
Front = %q
Ready = %q
Control = %q
[Limits]
CpuShare = 0.5
Cores = 1
MemoryMb = 200
[Bounds]
HoldMaxMs = 1000
FarX = 1.5
GraceS = 2
EvacuateMs = 5000
[platform]
Address = %q
`, name, zone, seed, h.caller, h.ready, control, f.table)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	h.process = start(f.t, "serve", "--settings", h.settings)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.hosts[name] = h
}

// killAll kills all hosts and starts them again.
func (f *serveFleet) killAll() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	for _, h := range f.hosts {
		h.process = start(f.t, "serve", "--settings", h.settings)
	}
}

// running returns the hosts whose processes run.
func (f *serveFleet) running() []*serveHost {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var hosts []*serveHost
	for _, h := range f.hosts {
		select {
		case <-h.exited:
		default:
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// awaitReady waits until all hosts say that they are ready and each data centre has an owner.
func (f *serveFleet) awaitReady() {
	f.t.Helper()
	end := time.Now().Add(startTimeout)
	for time.Now().Before(end) {
		ready := true
		for _, h := range f.running() {
			response, err := f.client.Get("http://" + h.ready + "/readiness")
			if err == nil {
				response.Body.Close()
			}
			ready = ready && err == nil && response.StatusCode == http.StatusOK
		}
		for _, z := range serveZones {
			ready = ready && f.owner(z) != nil
		}
		if ready {
			return
		}
		time.Sleep(pollInterval)
	}
	f.t.Fatal("the hosts do not become ready")
}

// owner returns the running host that has taken the workers of a data centre last, or nil.
func (f *serveFleet) owner(zone string) *serveHost {
	var owner *serveHost
	highest := int64(0)
	for _, h := range f.running() {
		for _, l := range h.logged("ownership taken") {
			if l.Fields.DataCentre == zone && l.Fields.Token > highest {
				owner, highest = h, l.Fields.Token
			}
		}
	}
	return owner
}

// logLine is a line of a host's log.
type logLine struct {
	Message string
	Fields  struct {
		DataCentre string
		Token      int64
		Revision   int64
		Source     string
	}
}

// logged returns the lines of a process with a message.
func (p *process) logged(message string) []logLine {
	p.mutex.Lock()
	text := p.output.String()
	p.mutex.Unlock()
	var lines []logLine
	for s := range strings.Lines(text) {
		var l logLine
		if json.Unmarshal([]byte(s), &l) == nil && l.Message == message {
			lines = append(lines, l)
		}
	}
	return lines
}

// load submits jobs to all running hosts in turn until the returned function is called, which
// waits for the answers.
func (f *serveFleet) load() func() {
	stop := make(chan struct{})
	var open sync.WaitGroup
	open.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(serveInterval):
			}
			if hosts := f.running(); len(hosts) > 0 {
				h := hosts[n%len(hosts)]
				open.Go(func() { f.submit(h) })
			}
		}
	})
	return func() {
		close(stop)
		open.Wait()
	}
}

// submit submits a job of two tasks to a host, and records the status of the answer.
func (f *serveFleet) submit(h *serveHost) {
	body := fmt.Appendf(nil, `{"Spec":"x","BestEffort":true,"Steps":[{"Count":2,"Cpu":%d,"EstimatedMs":%d}]}`, serveCores, serveRunTime.Milliseconds())
	a := serveAnswer{sent: time.Now()}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", h.caller, f.jobs.Add(1)), bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Host = "a.example"
	request.Header.Set("X-Deadline-Ms", "4000")
	if response, err := f.client.Do(request); err == nil {
		response.Body.Close()
		a.status = response.StatusCode
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.answers = append(f.answers, a)
}

// startsIn returns the times of the starts in a data centre within a span of time.
func (f *serveFleet) startsIn(zone string, from, to time.Time) []time.Time {
	var starts []time.Time
	for _, runs := range f.recorder.Runs() {
		for _, r := range runs {
			if strings.HasPrefix(r.Worker, zone) && r.Began.After(from) && r.Began.Before(to) {
				starts = append(starts, r.Began)
			}
		}
	}
	return starts
}
