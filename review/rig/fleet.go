package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The names of the deployment, like those that the platform draws for each day.
const (
	serviceName = "pude49a"
	routeHost   = "lony67.example"
	routePrefix = "/wuhu760/"
	// finishTime is the bound finish_s, statusTimeout how long a client waits for a state.
	maxAttempts   = 2
	finishTime    = 14 * time.Second
	statusTimeout = 1500 * time.Millisecond
	resendTime    = 1300 * time.Millisecond
)

var zones = []string{"za-coast-a", "za-coast-b", "za-coast-c"}

// event is a line of a runner's record.
type event struct {
	at     time.Time
	runner string
	what   string
	task   string
	run    int
	how    string
}

// process is a process that the case has started.
type process struct {
	name string
	zone string
	// args holds the arguments of a runner.
	args []string
	cmd  *exec.Cmd
	done chan struct{}
}

// host is an entry host of the system.
type host struct {
	process
	ip string
}

// rig is one run of a case.
type rig struct {
	dir     string
	record  *os.File
	started time.Time
	net     string
	port    int
	hosts   []*host
	runners []*process
	all     []*process
	store   string
	control string
	seeds   []string
	// labels holds the kind of each runner.
	labels map[string]string

	mutex  sync.Mutex
	events []event
	client *http.Client
}

// cannotRun ends a case that cannot run.
type cannotRun struct{ cause error }

func must(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// setUp starts the store, the hosts and the runners, and waits until the hosts are ready.
// Each zone has hostsPerZone hosts and one runner for each entry of its labels.
func (r *rig) setUp(record string, hostsPerZone int, labels [][]string) {
	r.started, r.client = time.Now(), &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	r.labels = map[string]string{}
	var err error
	r.dir, err = os.MkdirTemp("", "review")
	must(err)
	r.record, err = os.Create(record)
	must(err)
	r.findAddresses(hostsPerZone * len(zones))
	r.store, r.control = r.address(1, 0), r.address(1, 1)
	self, err := os.Executable()
	must(err)
	r.start(&process{name: "store"}, exec.Command(self, "store", "--listen", r.store, "--control", r.control), nil)
	r.await(func() bool {
		c, err := net.Dial("tcp", r.control)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, "the store")
	r.putConfig(1)
	n := 0
	for z, zone := range zones {
		for _, label := range labels[z] {
			p := &process{name: fmt.Sprintf("i-%04x%02d", r.port, n), zone: zone, args: []string{
				"runner", "--id", fmt.Sprintf("i-%04x%02d", r.port, n), "--listen", r.address(100+n, 0), "--store", r.control,
				"--service", serviceName, "--zone", zone, "--labels", label,
			}}
			r.startRunner(p)
			r.runners = append(r.runners, p)
			r.labels[p.name] = label
			n++
		}
	}
	for z := range zones {
		r.seeds = append(r.seeds, fmt.Sprintf("%q", r.address(10+z*hostsPerZone, 2)))
	}
	time.Sleep(500 * time.Millisecond)
	for i := range hostsPerZone * len(zones) {
		h := &host{process: process{name: fmt.Sprintf("front-%s-%d", zones[i/hostsPerZone], i%hostsPerZone+1), zone: zones[i/hostsPerZone]}, ip: r.ip(10 + i)}
		r.hosts = append(r.hosts, h)
		must(os.WriteFile(r.settingsPath(h), []byte(r.settings(h)), 0o600))
		r.startHost(h)
	}
	for _, h := range r.hosts {
		r.await(func() bool { return r.ready(h) }, h.name)
	}
	// Traffic starts 10 s after the machines do; a shorter lead is enough here.
	time.Sleep(3 * time.Second)
	r.notef("the traffic starts")
}

func (r *rig) ip(n int) string { return r.net + strconv.Itoa(n) }

func (r *rig) address(n, port int) string { return fmt.Sprintf("%s:%d", r.ip(n), r.port+port) }

// findAddresses picks a loopback network and ports that are free.
func (r *rig) findAddresses(hosts int) {
	for range 50 {
		r.net, r.port = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)), 20000+rand.IntN(9000)
		free := true
		for i := range hosts {
			for _, a := range []string{r.ip(10+i) + ":6160", r.address(10+i, 0), r.address(10+i, 1), r.address(10+i, 2)} {
				l, err := net.Listen("tcp", a)
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return
		}
	}
	must(errors.New("no free addresses"))
}

// settings returns the settings file of a host, with the bounds of the small deployments.
func (r *rig) settings(h *host) string {
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nRole = \"entry-host\"\nMachineClass = \"front\"\nServes = [\"front\",\"control\"]\nIp = %q\n", h.name, h.ip)
	fmt.Fprintf(&b, "Zone = %q\nRegion = \"za-coast\"\nInternalPorts = [%d,%d]\nSeedNodes = [%s]\n", h.zone, r.port+10, r.port+25, strings.Join(r.seeds, ","))
	b.WriteString("Bootstrap = true\nLossCounts = false\nDiscovery = \"platform\"\nEntry = \"virtual_ip\"\nHeartbeatMs = 1500\nOrders = \"request\"\n")
	b.WriteString("Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n[Zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"za-coast\"\n", z)
	}
	fmt.Fprintf(&b, "[Listen]\nFront = \"%s:%d\"\nReady = \"%s:%d\"\nControl = \"%s:%d\"\n", h.ip, r.port, h.ip, r.port+1, h.ip, r.port+2)
	b.WriteString("[Limits]\nCpuShare = 0.4\nCores = 1\nMemoryMb = 284\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n")
	b.WriteString("[FaultTolerance]\nMachines = 2\nZones = 1\nRegions = 0\n")
	b.WriteString("[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 6\nLossSlackMs = 200\n" +
		"ConfigMs = 2000\nRollbackSlackMs = 250\nMaxStretchMs = 5000\nRecoveryS = 12\nHoldMaxMs = 1000\nStopMs = 50\nGangMs = 3000\ncancel_ms = 3000\n" +
		"visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nFarX = 2\nCheckpointS = 0.5\nRestoreMs = 100\nResendMs = 1300\n")
	fmt.Fprintf(&b, "[platform]\nAddress = %q\nform = \"table\"\nWritesPerS = 800\nReadsPerS = 2000\nTxMs = 4.0\nPartWritesPerS = 250\nRowBytes = 65536\nAcross = true\nHistoryS = 20\n", r.store)
	return b.String()
}

func (r *rig) settingsPath(h *host) string { return filepath.Join(r.dir, h.name+".toml") }

// startRunner starts a runner, under the id and at the address that it had before.
func (r *rig) startRunner(p *process) {
	self, err := os.Executable()
	must(err)
	r.start(p, exec.Command(self, p.args...), r.readEvents)
}

// startHost starts the daemon as the deploy file does.
func (r *rig) startHost(h *host) {
	c := exec.Command("target/catkingap", "serve")
	c.Env = []string{"CATKINGAP_NODE_FILE=" + r.settingsPath(h), "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C.UTF-8"}
	r.start(&h.process, c, nil)
}

// start starts a process. Its output goes to read, or to a file.
func (r *rig) start(p *process, c *exec.Cmd, read func(io.Reader)) {
	log, err := os.OpenFile(filepath.Join(r.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	c.Stderr = log
	var pipe io.Reader
	if read == nil {
		c.Stdout = log
	} else {
		pipe, err = c.StdoutPipe()
		must(err)
	}
	must(c.Start())
	p.cmd, p.done = c, make(chan struct{})
	r.all = append(r.all, p)
	go func() {
		if read != nil {
			read(pipe)
		}
		_ = c.Wait()
		close(p.done)
	}()
}

func (r *rig) readEvents(pipe io.Reader) {
	for s := bufio.NewScanner(pipe); s.Scan(); {
		var e event
		var at int64
		if _, err := fmt.Sscan(s.Text(), &at, &e.runner, &e.what, &e.task, &e.run, &e.how); err != nil {
			continue
		}
		e.at = time.UnixMilli(at)
		r.mutex.Lock()
		r.events = append(r.events, e)
		r.mutex.Unlock()
	}
}

func (r *rig) await(done func() bool, what string) {
	for range 150 {
		if done() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	must(errors.New(what + " does not become ready"))
}

func (r *rig) ready(h *host) bool {
	response, err := r.client.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, r.port+1))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// putConfig writes a configuration of the operator.
func (r *rig) putConfig(version int) {
	value, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-3hwrr6x", "Host": routeHost, "Prefix": routePrefix, "Kind": "non_idempotent", "TimeoutMs": 1500,
			"TargetLatencyMs": 60, "Priority": 0, "Service": serviceName, "MaxAttempts": maxAttempts, "Stretch": 1.6,
		}},
		"Services": []any{map[string]any{
			"Name": serviceName, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": true, "Spare": false,
		}},
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	put(r.control, "op", "config", value)
}

// signal sends a signal to a process.
func (r *rig) signal(p *process, s syscall.Signal) {
	r.notef("signal %s to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

func (r *rig) isUp(p *process) bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// close ends all processes.
func (r *rig) close() {
	for _, p := range r.all {
		if r.isUp(p) {
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range r.all {
		select {
		case <-p.done:
		case <-time.After(5 * time.Second):
		}
	}
	if r.record != nil {
		r.recordEvents()
		_ = r.record.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// notef writes a line to the record.
func (r *rig) notef(format string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, a...)...)
}

// recordEvents writes what the runners have run to the record.
func (r *rig) recordEvents() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, e := range r.events {
		fmt.Fprintf(r.record, "%8.3f runner %s %s %s run %d %s\n", e.at.Sub(r.started).Seconds(), e.runner, e.what, e.task, e.run, e.how)
	}
}

// snapshot returns what the runners have reported until now.
func (r *rig) snapshot() []event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]event(nil), r.events...)
}

// hostOf returns the n-th host of a zone.
func (r *rig) hostOf(zone string, n int) *host {
	for _, h := range r.hosts {
		if h.zone == zone {
			if n == 0 {
				return h
			}
			n--
		}
	}
	panic(cannotRun{fmt.Errorf("no host in %s", zone)})
}

// call sends a request of a client and returns the status, or 0 if the connection broke or
// there was no answer in time, and the body.
func (r *rig) call(h *host, method, id string, body []byte, patience time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s%s", h.ip, r.port, routePrefix, id), bytes.NewReader(body))
	must(err)
	request.Host = routeHost
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	response, err := r.client.Do(request)
	if err != nil {
		r.notef("%s %s at %s: %v", method, id, h.name, errors.Unwrap(err))
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.notef("%s %s at %s: answer broken off", method, id, h.name)
		return 0, ""
	}
	text := strings.TrimSpace(string(data))
	r.notef("%s %s at %s: %d %s", method, id, h.name, response.StatusCode, text)
	return response.StatusCode, text
}

// submit sends a job as a client does: after no answer, a broken connection, 502 or 504 it
// comes again, at another host. It returns the last status.
func (r *rig) submit(hosts []*host, id string, body []byte, patience time.Duration, tries int) int {
	status := 0
	for i := range tries {
		if i > 0 {
			time.Sleep(resendTime)
		}
		status, _ = r.call(hosts[i%len(hosts)], http.MethodPost, id, body, patience)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
	}
	return status
}

// state asks for the state of a job.
func (r *rig) state(h *host, id string) (int, string) {
	status, body := r.call(h, http.MethodGet, id, nil, statusTimeout)
	var x struct{ State string }
	_ = json.Unmarshal([]byte(body), &x)
	return status, x.State
}

// jobID returns a random id of a job.
func jobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step is a step of a job on the wire.
type step struct {
	Count        int
	CPU          int `json:"Cpu"`
	MemMb        int
	EstimatedMs  int
	After        []int  `json:",omitempty"`
	Requirements string `json:",omitempty"`
}

// job returns the body of a job whose tasks take ms and cpu and end as how says.
func job(bestEffort bool, ms, cpu int, how string, steps ...step) []byte {
	x := map[string]any{"Spec": fmt.Sprintf("ms=%d cpu=%d how=%s", ms, cpu, how), "Steps": steps}
	if bestEffort {
		x["BestEffort"] = true
	}
	data, err := json.Marshal(x)
	must(err)
	return data
}
