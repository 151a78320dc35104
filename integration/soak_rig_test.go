package integration

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/standin"
)

const (
	rigHostsEach   = 2
	rigWorkersEach = 5
	rigCores       = 64_000
	// rigLease is the longest lease, as the users' platform grants it.
	rigLease = time.Second
	// rigWrite is what a write takes in the users' table.
	rigWrite = 4 * time.Millisecond
	// rigGrace is GraceS of the settings, after which a process is killed.
	rigGrace   = 6 * time.Second
	frontPort  = 8161
	readyPort  = 8167
	peerPort   = 8166
	lockPort   = 8160
	rigPrefix  = "/q/"
	rigCaller  = "a.example"
	rigService = "pool"
)

// rigSettings is the settings file of a host.
const rigSettings = `NodeName = "%s"
Ip = "%s"
Zone = "%s"
SeedNodes = [%s]
Zones = {%s}
Listen = {Front = "%s:%d", Ready = "%s:%d", Control = "%s:%d"}
Limits = {CpuShare = 0.4, Cores = 1, MemoryMb = 219}
Bounds = {HoldMaxMs = %d, FarX = 2, GraceS = %d}
platform = {Address = "%s"}
`

// rig is a fleet of real processes between stand-ins of the platform.
type rig struct {
	t      *testing.T
	is     *is.I
	net    string
	folder string
	began  time.Time
	store  *standin.RowStore
	judge  *standin.Judge
	// workers and hosts are in the order of the data centres.
	workers []*standin.Worker
	hosts   []*rigHost
	// kinds holds the task of each job, by the job's id.
	kinds sync.Map

	mutex  sync.Mutex
	faults []faultNote
	tries  []try
}

// rigHost is one entry host, which outlives its processes.
type rigHost struct {
	rig        *rig
	name, zone string
	ip         string
	settings   string
	// peer is the wire by which other hosts reach this one, table that to the
	// store.
	peer, table *wire
	// busy is held by a fault of the process.
	busy sync.Mutex
	// misses counts the balancer's looks that failed one after the other.
	misses atomic.Int32

	mutex   sync.Mutex
	process *os.Process
	exited  chan struct{}
	starts  int
	// callers holds the connections of callers that were opened since they were
	// broken last.
	callers []net.Conn
}

// newRig starts the stand-ins and the processes, and waits until each data
// centre has an owner.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, is: is.New(t), began: time.Now(), judge: standin.NewJudge()}
	r.store = standin.NewRowStore(standin.RowStoreConfig{WriteTime: rigWrite})
	var err error
	r.folder, err = os.MkdirTemp("", "soak")
	r.is.NoErr(err)
	t.Cleanup(func() {
		if !t.Failed() && !*soakKeep {
			_ = os.RemoveAll(r.folder)
		}
	})
	r.take()
	table := r.serve(r.store.Handler())
	r.store.Put("op", "config", map[string]any{"Version": 1, "Routes": []any{map[string]any{
		"Name": "q", "Host": rigCaller, "Prefix": rigPrefix, "Service": rigService, "MaxAttempts": 3, "Stretch": 3, "TargetLatencyMs": 200,
	}}})
	for _, z := range centres {
		for i := range rigWorkersEach {
			r.addWorker(z, fmt.Sprintf("%s-worker-%d", z, i))
		}
	}
	for i := range len(centres) * rigHostsEach {
		h := &rigHost{rig: r, zone: centres[i%len(centres)], ip: fmt.Sprintf("%s.%d", r.net, 10+i)}
		h.name = fmt.Sprintf("%s-host-%d", h.zone, i/len(centres))
		h.peer = newWire(t, r.net+".1", fmt.Sprintf("%s:%d", h.ip, peerPort), r.origin)
		h.table = newWire(t, r.net+".1", table, func(net.Conn) string { return h.name })
		r.hosts = append(r.hosts, h)
	}
	for _, h := range r.hosts {
		h.writeSettings()
		h.start()
		t.Cleanup(h.kill)
	}
	k := &cluster{t: t}
	for _, z := range centres {
		k.eventually("owner of "+z, func() bool { return r.owner(z) != nil })
	}
	for _, h := range r.hosts {
		k.eventually("ready", h.ready)
	}
	return r
}

// take finds a loopback network that no other rig of this machine uses, and
// holds it by a port.
func (r *rig) take() {
	for i := range 250 {
		r.net = fmt.Sprintf("127.0.%d", 1+(os.Getpid()+i)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", r.net, lockPort))
		if err == nil {
			r.t.Cleanup(func() { l.Close() })
			return
		}
	}
	r.t.Fatal("no loopback network is free")
}

// serve serves a handler and returns its address.
func (r *rig) serve(h http.Handler) string {
	l, err := net.Listen("tcp", r.net+".1:0")
	r.is.NoErr(err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	r.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// origin returns the name of the host whose process opened a connection, or
// nothing.
func (r *rig) origin(c net.Conn) string {
	address := c.RemoteAddr().(*net.TCPAddr)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	// The second field of a row is the local address, of which the bytes are in
	// reverse order. The tenth is the number of the socket.
	ip := address.IP.To4()
	local, socket := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port), ""
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local {
			socket = "socket:[" + fields[9] + "]"
		}
	}
	for _, h := range r.hosts {
		folder := fmt.Sprintf("/proc/%d/fd", h.id())
		files, _ := os.ReadDir(folder)
		for _, f := range files {
			if target, _ := os.Readlink(filepath.Join(folder, f.Name())); target == socket {
				return h.name
			}
		}
	}
	return ""
}

// addWorker adds a worker. One of four is slow.
func (r *rig) addWorker(zone, name string) {
	speed := 1.2
	if len(r.workers)%4 == 0 {
		speed = 0.6
	}
	x := standin.NewWorker(standin.WorkerConfig{ID: name, Cores: rigCores, Speed: speed, RunTime: r.runTime, Judge: r.judge, MaxLease: rigLease})
	r.workers = append(r.workers, x)
	r.store.Put("servers", name, x.Entry(rigService, r.serve(x.Handler()), zone))
}

// runTime returns the run time and the cores of a task.
func (r *rig) runTime(task string) (time.Duration, int) {
	id, _, _ := strings.Cut(task, ".")
	if k, ok := r.kinds.Load(id); ok {
		return k.(taskKind).took, k.(taskKind).cores
	}
	r.t.Errorf("task %s was never handed in", task)
	return 0, 0
}

// owner returns the host that owns a data centre's workers as the table says,
// or nil.
func (r *rig) owner(zone string) *rigHost {
	var o ownership.Owner
	for _, row := range r.store.History() {
		if row.Table == "catkingap" && row.Key == "owner."+zone && !row.Removed {
			r.is.NoErr(msgpack.Unmarshal(row.Value, &o))
		}
	}
	for _, h := range r.hosts {
		if h.name == string(o.Host) {
			return h
		}
	}
	return nil
}

func (h *rigHost) writeSettings() {
	var seeds, zones []string
	for i, z := range centres {
		seeds = append(seeds, strconv.Quote(h.rig.hosts[i].peer.address()))
		zones = append(zones, z+` = "coast"`)
	}
	text := fmt.Sprintf(rigSettings, h.name, h.ip, h.zone, strings.Join(seeds, ","), strings.Join(zones, ","), h.ip, frontPort, h.ip, readyPort, h.ip, peerPort,
		rigLease.Milliseconds(), int(rigGrace.Seconds()), h.table.address())
	h.settings = filepath.Join(h.rig.folder, h.name+".toml")
	h.rig.is.NoErr(os.WriteFile(h.settings, []byte(text), 0o600))
}

// start starts the process. Its output goes into a file of its own.
func (h *rigHost) start() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.starts++
	file, err := os.Create(filepath.Join(h.rig.folder, fmt.Sprintf("%s.%d.log", h.name, h.starts)))
	if err != nil {
		h.rig.t.Error(err)
		return
	}
	c := exec.Command(binary, "serve", "--settings", h.settings, "--advertise", h.peer.address())
	c.Stdout, c.Stderr = file, file
	// A test that is interrupted leaves no processes.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		h.rig.t.Error(err)
		return
	}
	exited := make(chan struct{})
	h.process, h.exited = c.Process, exited
	go func() {
		_ = c.Wait()
		file.Close()
		close(exited)
	}()
}

// id returns the id of the process, or 0.
func (h *rigHost) id() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.Pid
}

// signal sends a signal to the process.
func (h *rigHost) signal(s syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.process != nil {
		_ = h.process.Signal(s)
	}
}

// wait waits for the end of the process.
func (h *rigHost) wait(d time.Duration) bool {
	h.mutex.Lock()
	exited := h.exited
	h.mutex.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// kill ends the process.
func (h *rigHost) kill() {
	h.signal(syscall.SIGKILL)
	h.wait(rigGrace)
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks whether the host takes callers.
func (h *rigHost) ready() bool {
	answer, err := readyClient.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, readyPort))
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
