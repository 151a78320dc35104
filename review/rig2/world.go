package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/catkingap/catkingap/standin"
)

// The names and the bounds of the deployment.
const (
	region      = "coast"
	service     = "logs"
	routeHost   = "logs.example"
	routePrefix = "/logs/"

	heartbeat = 1500 * time.Millisecond
	maxLease  = time.Second
	txTime    = 4 * time.Millisecond
	rowBytes  = 65536
)

// zoneRunners is the number of runners in each zone where a case says nothing else. One of all
// nine is less than the share that the site allows to crash, 0.14.
const zoneRunners = 3

var zones = []string{"north", "south", "west"}

// world holds the stand-ins and the processes of one case.
type world struct {
	record  *record
	program string
	folder  string
	// network is the prefix of the loopback addresses of this case.
	network string
	store   *standin.RowStore
	server  *http.Server
	// storeAddress is where the processes reach the store.
	storeAddress string
	runs         *runLog

	mutex   sync.Mutex
	runners []*runner
	hosts   []*host
	// group holds the hosts that are cut off from the others.
	group map[string]bool
}

func newWorld(r *record, program string) (*world, error) {
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		record: r, program: program, folder: folder, runs: &runLog{record: r},
		store: standin.NewRowStore(standin.RowStoreConfig{WriteTime: txTime, RowBytes: rowBytes}),
	}
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(60), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", w.network+"1:18169")
		if err != nil {
			continue
		}
		w.storeAddress = listener.Addr().String()
		w.server = &http.Server{Handler: w.store.Handler()}
		go func() { _ = w.server.Serve(listener) }()
		return w, nil
	}
	return nil, errors.New("no free loopback address")
}

// close ends all that the case has started.
func (w *world) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, h := range w.hosts {
		h.kill()
	}
	for _, x := range w.runners {
		x.crash()
	}
	w.server.Close()
	if os.Getenv("RIG_KEEP") == "" {
		os.RemoveAll(w.folder)
	}
}

// configure writes the operator's configuration, with one queue.
func (w *world) configure(version int) {
	w.record.printf("operator: version %d", version)
	w.store.Put("op", "config", map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-1", "Host": routeHost, "Prefix": routePrefix, "Kind": "non_idempotent", "TimeoutMs": 1500,
			"TargetLatencyMs": 60, "Priority": 0, "Service": service, "MaxAttempts": 2, "Stretch": 1.6,
		}},
		"Services": []any{map[string]any{
			"Name": service, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "AdmissionCheck": true,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// host is one process of catkingap.
type host struct {
	world   *world
	name    string
	zone    string
	front   string
	ready   string
	process *exec.Cmd
	file    string
	ended   chan struct{}
	// advertised is the address of the proxy before the host's links, or empty, and
	// storeProxy the proxy between the host and the store.
	advertised string
	storeProxy *proxy
}

// addHosts starts count hosts in each zone.
func (w *world) addHosts(count int) error {
	var seeds []string
	control := 18166
	if proxied() {
		control = 18266
	}
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", w.hostIP(i*count), control))
	}
	for i, zone := range zones {
		for k := range count {
			h := &host{world: w, name: fmt.Sprintf("front-%s-%d", zone, k+1), zone: zone}
			ip := w.hostIP(i*count + k)
			h.front, h.ready = ip+":18161", ip+":18167"
			h.file = filepath.Join(w.folder, h.name+".toml")
			store := w.storeAddress
			if proxied() {
				h.advertised, store = ip+":18266", ip+":18269"
				var err error
				if _, err = newProxy(w, h.advertised, ip+":18166", h.name); err != nil {
					return err
				}
				if h.storeProxy, err = newProxy(w, store, w.storeAddress, ""); err != nil {
					return err
				}
			}
			if err := os.WriteFile(h.file, []byte(w.settings(h, ip, store, seeds)), 0o600); err != nil {
				return err
			}
			w.mutex.Lock()
			w.hosts = append(w.hosts, h)
			w.mutex.Unlock()
		}
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (w *world) hostIP(number int) string { return fmt.Sprintf("%s%d", w.network, 10+number) }

func (w *world) settings(h *host, ip, store string, seeds []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nRole = \"entry-host\"\nMachineClass = \"front\"\nServes = [\"front\",\"control\"]\n", h.name)
	fmt.Fprintf(&b, "Ip = %q\nZone = %q\nRegion = %q\nInternalPorts = [17720,17735]\nSeedNodes = [%s]\n", ip, h.zone, region, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "Bootstrap = true\nLossCounts = false\nDiscovery = \"platform\"\nEntry = \"virtual_ip\"\nHeartbeatMs = %d\nOrders = \"request\"\n", heartbeat.Milliseconds())
	fmt.Fprintf(&b, "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n[Zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z, region)
	}
	fmt.Fprintf(&b, "[Listen]\nFront = %q\nReady = %q\nControl = \"%s:18166\"\n", h.front, h.ready, ip)
	fmt.Fprintf(&b, "[Limits]\nCpuShare = 0.4\nCores = 1\nMemoryMb = 284\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n")
	fmt.Fprintf(&b, "[FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 0\n[Bounds]\nContactMs = 3000\nAckMs = 4000\nDrainMs = 2000\n")
	fmt.Fprintf(&b, "GraceS = 6\nConfigMs = 2000\nRollbackSlackMs = 250\nRecoveryS = 12\nHoldMaxMs = %d\nStopMs = 50\n", maxLease.Milliseconds())
	fmt.Fprintf(&b, "cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nFarX = 1.5\nResendMs = 1300\n")
	fmt.Fprintf(&b, "[platform]\nAddress = %q\nform = \"table\"\nWritesPerS = 800\nReadsPerS = 2000\nTxMs = 4.0\nPartWritesPerS = 250\nRowBytes = %d\nAcross = true\nHistoryS = 20\n", store, rowBytes)
	return b.String()
}

// start starts the process of a host, as the deploy file says.
func (h *host) start() error {
	log, err := os.Create(h.file + ".log")
	if err != nil {
		return err
	}
	defer log.Close()

	c := exec.Command(h.world.program, "serve")
	if h.advertised != "" {
		c.Args = append(c.Args, "--advertise", h.advertised)
	}
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "CATKINGAP_NODE_FILE=" + h.file}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	h.process, h.ended = c, ended
	h.world.record.printf("host %s: started", h.name)
	return nil
}

func (h *host) kill() {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill()
	<-h.ended
	h.process = nil
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range w.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.printf("all hosts are ready")
	return nil
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + h.ready + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
