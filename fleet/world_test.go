package fleet_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/fleet"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/platform"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/work"
)

const (
	storeSite      = "store"
	hostsPerZone   = 2
	workersPerZone = 6
	taskCores      = 27_000
	queueName      = "q"
	seed           = 20261204
)

var zones = []string{"coast-a", "coast-b", "coast-c"}

// world is a fleet on an in-memory network, with stand-ins for the platform.
type world struct {
	t        *testing.T
	network  *network.Memory
	store    *standin.RowStore
	recorder *standin.RunRecorder
	workers  map[string]*standin.Worker
	// workerServers holds the server of each worker.
	workerServers map[string]*http.Server
	hosts         []*member
	random        *rand.Rand
	servers       []*http.Server

	mutex   sync.Mutex
	results map[dispatch.Result]int
}

// member is one entry host.
type member struct {
	name, zone    string
	network       *network.Severable
	app           *fx.App
	submitter     *fleet.Submitter
	configuration *fleet.Configuration
	shutdown      *fleet.Shutdown
	dead          atomic.Bool
	// ctx ends when the host is killed, which breaks its callers' connections.
	ctx context.Context
	end context.CancelFunc
}

// zoneOf returns the data centre of a site, which is the first part of its name.
func zoneOf(site string) string {
	zone, _, _ := strings.Cut(site, ".")
	return zone
}

func delay(from, to string) time.Duration {
	if zoneOf(from) == zoneOf(to) {
		return 100 * time.Microsecond
	}
	return 1400 * time.Microsecond
}

// runTime returns the run time and the cores of a task. The name of its job begins with
// the run time in milliseconds.
func runTime(task string) (time.Duration, int) {
	var ms int
	_, _ = fmt.Sscanf(task, "%dms", &ms)
	return time.Duration(ms) * time.Millisecond, taskCores
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, network: network.NewMemory(network.MemoryConfig{Delay: delay, DialTimeout: time.Second}), recorder: standin.NewRunRecorder(),
		store:   standin.NewRowStore(standin.RowStoreConfig{WriteTime: 4 * time.Millisecond, RowBytes: 65536}),
		workers: map[string]*standin.Worker{}, workerServers: map[string]*http.Server{}, random: rand.New(rand.NewPCG(seed, 0)), results: map[dispatch.Result]int{},
	}
	w.serve(storeSite+":1", w.store.Handler())
	w.configure(1)
	for _, z := range zones {
		for i := range workersPerZone {
			w.addWorker(z, workerName(z, i))
		}
		for i := range hostsPerZone {
			w.addHost(z, hostName(z, i))
		}
	}
	t.Cleanup(w.close)
	return w
}

func workerName(zone string, i int) string { return fmt.Sprintf("%s.worker-%d", zone, i) }

func hostName(zone string, i int) string { return fmt.Sprintf("%s.host-%d", zone, i) }

func (w *world) configure(version int) {
	w.store.Put("op", "config", map[string]any{
		"Version": version, "Routes": []any{map[string]any{
			"Name": queueName, "Host": "a.example", "Prefix": "/q/", "Service": "pool", "MaxAttempts": 3, "Stretch": 1.6, "TargetLatencyMs": 60,
		}},
	})
}

func (w *world) serve(address string, h http.Handler) *http.Server {
	l, err := w.network.Site(zoneOf(address)).Listen(address)
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return s
}

func (w *world) addWorker(zone, name string) { w.addWorkerOfKind(zone, name) }

// addWorkerOfKind adds a worker with the given labels.
func (w *world) addWorkerOfKind(zone, name string, labels ...string) {
	speed := 1.2
	if len(w.workers)%4 == 0 {
		speed = 0.6
	}
	x := standin.NewWorker(standin.WorkerConfig{
		ID: name, Cores: 64_000, Labels: labels, Speed: speed, RunTime: runTime, Recorder: w.recorder, MaxLease: time.Second,
	})
	w.workers[name] = x
	w.workerServers[name] = w.serve(name+":1", x.Handler())
	w.store.Put("servers", name, x.Entry("pool", name+":1", zone))
}

func (w *world) addHost(zone, name string) *member {
	m := &member{name: name, zone: zone, network: network.NewSeverable(w.network.Site(name))}
	m.ctx, m.end = context.WithCancel(w.t.Context())
	table := platform.NewTable(&http.Client{Transport: &http.Transport{DialContext: m.network.DialContext}}, storeSite+":1")
	m.app = fleet.New(fleet.Options{
		Settings: fleet.Settings{
			Host: ident.Host(name), DataCentre: ident.DataCentre(zone), PeerAddress: name + ":1", MetricsAddress: name + ":6160", Cores: 0.4,
			MaxLease: time.Second, FarFactor: 2, Resend: 1300 * time.Millisecond, Retention: time.Minute, EvacuationTime: 5 * time.Second, ColdSlack: 5, ShutdownTimeout: 5 * time.Second, LogLevel: "fatal",
		},
		Log: io.Discard, Network: m.network, Table: table, Feed: table, Decoder: platform.Decoder{}, Workers: platform.NewWorkers(platform.WorkersConfig{Dial: m.network.DialContext}),
	}, fx.Populate(&m.submitter, &m.configuration, &m.shutdown))
	if err := m.app.Start(w.t.Context()); err != nil {
		w.t.Fatal(err)
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.hosts = append(w.hosts, m)
	return m
}

// kill stops a host like a power failure: it sends nothing any more.
func (w *world) kill(m *member) {
	m.dead.Store(true)
	m.network.Sever()
	m.end()
	_ = m.app.Stop(context.Background())
}

func (w *world) close() {
	for _, m := range w.hosts {
		if !m.dead.Load() {
			_ = m.app.Stop(context.Background())
		}
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	time.Sleep(5 * time.Second)
}

// load submits jobs to random running hosts for d, and waits for all of them to end. A
// caller whose host dies resubmits its job to another one.
func (w *world) load(perSecond int, d time.Duration) {
	var open sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(w.random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		ms, tasks := 60, 1+w.random.IntN(8)
		switch {
		case n%20 == 1:
			// Longer than the time after which callers resubmit a job.
			ms, tasks = 2000, 1+w.random.IntN(2)
		case n%4 != 0:
			ms, tasks = 200, 1+w.random.IntN(3)
		}
		j := work.Job{
			ID: work.ID(fmt.Sprintf("%dms%d", ms, n)), Queue: queueName, Pool: "pool", Attempts: 3, Stretch: 1.6, Target: 60 * time.Millisecond,
			Steps: []work.Step{{Count: tasks, Size: work.Size{Cores: taskCores, Memory: 64}, Estimate: time.Duration(ms) * time.Millisecond}},
		}
		m := w.randomHost()
		open.Go(func() { w.call(m, j, 2*time.Second+3*time.Duration(ms)*time.Millisecond) })
	}
	open.Wait()
}

// allHosts returns all hosts that were ever started.
func (w *world) allHosts() []*member {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.hosts)
}

// randomHost returns a random running host.
func (w *world) randomHost() *member {
	for {
		if hosts := w.allHosts(); len(hosts) > 0 {
			if m := hosts[w.random.IntN(len(hosts))]; !m.dead.Load() {
				return m
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call submits a job, and resubmits it after the host has died or interrupted it.
func (w *world) call(m *member, j work.Job, patience time.Duration) {
	const resend = 1300 * time.Millisecond
	deadline := time.Now().Add(patience)
	var r dispatch.Reply
	for time.Now().Before(deadline) {
		r = m.submitter.Submit(m.ctx, j, time.Now(), deadline)
		if r.Result != dispatch.Interrupted && !m.dead.Load() {
			break
		}
		time.Sleep(resend)
		for _, other := range w.allHosts() {
			if !other.dead.Load() {
				m = other
			}
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.results[r.Result]++
}

// completedShare returns the share of jobs that were completed.
func (w *world) completedShare() float64 {
	total := 0
	for _, n := range w.results {
		total += n
	}
	return float64(w.results[dispatch.Completed]) / float64(total)
}

// owner returns the running host that owns a data centre's workers, which is the first
// by name, since all hosts have the same size.
func (w *world) owner(zone string) *member {
	for _, m := range w.hosts {
		if m.zone == zone && !m.dead.Load() {
			return m
		}
	}
	return nil
}

const startTime = 3 * time.Second

// cutHost cuts a host off from the other hosts, but not from the store and the workers.
func (w *world) cutHost(name string, d time.Duration) {
	isHost := func(site string) bool { return strings.Contains(site, ".host-") }
	w.cut(d, func(from, to string) bool { return isHost(from) && isHost(to) && (from == name) != (to == name) })
}

// ownerChanges returns the owner rows that were written after the start.
func (w *world) ownerChanges() []standin.StoredRow {
	var moves []standin.StoredRow
	for _, r := range w.store.History() {
		if strings.HasPrefix(r.Key, "owner.") {
			moves = append(moves, r)
		}
	}
	return moves[len(zones):]
}

// cut drops the data between the matching sites for d.
func (w *world) cut(d time.Duration, lost func(from, to string) bool) {
	w.network.Cut(func(from, to string) bool { return lost(siteOf(from), siteOf(to)) })
	time.Sleep(d)
	w.network.Cut(nil)
}

// siteOf returns the site of an address.
func siteOf(s string) string {
	if host, _, err := net.SplitHostPort(s); err == nil {
		return host
	}
	return s
}
