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
	rigHostsPerCentre   = 2
	rigWorkersPerCentre = 5
	rigCores            = 64_000
	// rigLease is the longest lease that the users' platform grants.
	rigLease = time.Second
	// rigWriteTime is the time that a write takes in the users' table.
	rigWriteTime = 4 * time.Millisecond
	// rigGrace is GraceS of the settings. A process that takes longer to end is
	// killed.
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

// rig is a set of entry host processes that run against stand-ins of the
// platform.
type rig struct {
	t        *testing.T
	is       *is.I
	network  string
	folder   string
	began    time.Time
	store    *standin.RowStore
	recorder *standin.RunRecorder
	// workers are ordered by data centre. hosts alternate between the data
	// centres.
	workers []*standin.Worker
	hosts   []*rigHost
	// kinds holds the jobKind of each job, by job id.
	kinds sync.Map

	mutex    sync.Mutex
	faults   []faultRecord
	attempts []attempt
}

// rigHost is one entry host. It outlives its processes.
type rigHost struct {
	rig        *rig
	name, zone string
	ip         string
	settings   string
	// peer is the proxy through which other hosts reach this one, table the one
	// from this host to the store.
	peer, table *tcpProxy
	// busy is locked while a fault stops or restarts the process.
	busy sync.Mutex
	// missedProbes counts the consecutive failed probes of the balancer.
	missedProbes atomic.Int32

	mutex   sync.Mutex
	process *os.Process
	exited  chan struct{}
	starts  int
	// callers holds the connections of callers that were opened since
	// closeCallers was last called.
	callers []net.Conn
}

// newRig starts the stand-ins and the processes, and waits until each data
// centre has an owner and all hosts are ready.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, is: is.New(t), began: time.Now(), recorder: standin.NewRunRecorder()}
	r.store = standin.NewRowStore(standin.RowStoreConfig{WriteTime: rigWriteTime})
	var err error
	r.folder, err = os.MkdirTemp("", "soak")
	r.is.NoErr(err)
	t.Cleanup(func() {
		if !t.Failed() && !*soakKeep {
			_ = os.RemoveAll(r.folder)
		}
	})
	r.reserveNetwork()
	table := r.serve(r.store.Handler())
	r.store.Put("op", "config", map[string]any{"Version": 1, "Routes": []any{map[string]any{
		"Name": "q", "Host": rigCaller, "Prefix": rigPrefix, "Service": rigService, "MaxAttempts": 3, "Stretch": 3, "TargetLatencyMs": 200,
	}}})
	for _, z := range dataCentres {
		for i := range rigWorkersPerCentre {
			r.addWorker(z, fmt.Sprintf("%s-worker-%d", z, i))
		}
	}
	for i := range len(dataCentres) * rigHostsPerCentre {
		h := &rigHost{rig: r, zone: dataCentres[i%len(dataCentres)], ip: fmt.Sprintf("%s.%d", r.network, 10+i)}
		h.name = fmt.Sprintf("%s-host-%d", h.zone, i/len(dataCentres))
		h.peer = newTCPProxy(t, r.network+".1", fmt.Sprintf("%s:%d", h.ip, peerPort), r.origin)
		h.table = newTCPProxy(t, r.network+".1", table, func(net.Conn) string { return h.name })
		r.hosts = append(r.hosts, h)
	}
	for _, h := range r.hosts {
		h.writeSettings()
		h.start()
		t.Cleanup(h.kill)
	}
	k := &cluster{t: t}
	for _, z := range dataCentres {
		k.eventually("owner of "+z, func() bool { return r.owner(z) != nil })
	}
	for _, h := range r.hosts {
		k.eventually("ready", h.isReady)
	}
	return r
}

// reserveNetwork finds a loopback network that no other rig on this machine
// uses, and reserves it by listening on lockPort.
func (r *rig) reserveNetwork() {
	for i := range 250 {
		r.network = fmt.Sprintf("127.0.%d", 1+(os.Getpid()+i)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", r.network, lockPort))
		if err == nil {
			r.t.Cleanup(func() { l.Close() })
			return
		}
	}
	r.t.Fatal("no loopback network is free")
}

// serve serves a handler on the rig's network and returns its address.
func (r *rig) serve(h http.Handler) string {
	l, err := net.Listen("tcp", r.network+".1:0")
	r.is.NoErr(err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	r.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// origin returns the name of the host whose process opened a connection, or ""
// if there is none.
func (r *rig) origin(c net.Conn) string {
	address := c.RemoteAddr().(*net.TCPAddr)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	// The second field of a row is the local address, whose bytes are in
	// reverse order. The tenth is the inode of the socket.
	ip := address.IP.To4()
	local, socket := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port), ""
	for line := range strings.Lines(string(table)) {
		if fields := strings.Fields(line); len(fields) > 9 && fields[1] == local {
			socket = "socket:[" + fields[9] + "]"
		}
	}
	for _, h := range r.hosts {
		folder := fmt.Sprintf("/proc/%d/fd", h.pid())
		files, _ := os.ReadDir(folder)
		for _, f := range files {
			if target, _ := os.Readlink(filepath.Join(folder, f.Name())); target == socket {
				return h.name
			}
		}
	}
	return ""
}

// addWorker adds a worker. One in four is slow.
func (r *rig) addWorker(zone, name string) {
	speed := 1.2
	if len(r.workers)%4 == 0 {
		speed = 0.6
	}
	x := standin.NewWorker(standin.WorkerConfig{ID: name, Cores: rigCores, Speed: speed, RunTime: r.runTime, Recorder: r.recorder, MaxLease: rigLease})
	r.workers = append(r.workers, x)
	r.store.Put("servers", name, x.Entry(rigService, r.serve(x.Handler()), zone))
}

// runTime returns the run time and the cores of a task.
func (r *rig) runTime(task string) (time.Duration, int) {
	id, _, _ := strings.Cut(task, ".")
	if k, ok := r.kinds.Load(id); ok {
		return k.(jobKind).runTime, k.(jobKind).cores
	}
	r.t.Errorf("task %s was never submitted", task)
	return 0, 0
}

// owner returns the host that owns a data centre's workers according to the
// table, or nil.
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
	for i, z := range dataCentres {
		seeds = append(seeds, strconv.Quote(h.rig.hosts[i].peer.address()))
		zones = append(zones, z+` = "coast"`)
	}
	text := fmt.Sprintf(rigSettings, h.name, h.ip, h.zone, strings.Join(seeds, ","), strings.Join(zones, ","), h.ip, frontPort, h.ip, readyPort, h.ip, peerPort,
		rigLease.Milliseconds(), int(rigGrace.Seconds()), h.table.address())
	h.settings = filepath.Join(h.rig.folder, h.name+".toml")
	h.rig.is.NoErr(os.WriteFile(h.settings, []byte(text), 0o600))
}

// start starts the process. The output of each process goes into a file of its
// own.
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
	// An interrupted test must leave no processes behind.
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

// pid returns the process id, or 0.
func (h *rigHost) pid() int {
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

// waitForExit waits up to d for the end of the process and reports whether it
// has ended.
func (h *rigHost) waitForExit(d time.Duration) bool {
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

// kill kills the process and waits for its end.
func (h *rigHost) kill() {
	h.signal(syscall.SIGKILL)
	h.waitForExit(rigGrace)
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady reports whether the host accepts callers.
func (h *rigHost) isReady() bool {
	answer, err := readyClient.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, readyPort))
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
