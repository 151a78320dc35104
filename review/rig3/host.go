package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is one machine of the system and its process.
type host struct {
	name, zone, ip string
	memory         int
	file, log      string
	command        *exec.Cmd
	done           chan struct{}
}

func (h *host) front() string { return h.ip + ":8161" }
func (h *host) ready() string { return h.ip + ":8167" }

// freeNetwork returns the first three numbers of loopback addresses that nobody uses.
func freeNetwork() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", n+".1:8161")
		if err == nil {
			l.Close()
			return n, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// settings returns the settings file of a host, as DEPLOY.md shows it.
func settings(h *host, hosts []*host, zones []string, store string, memory int) string {
	seeds := make([]string, 0, 3)
	for _, x := range hosts[:min(3, len(hosts))] {
		seeds = append(seeds, fmt.Sprintf("%q", x.ip+":8166"))
	}
	var b strings.Builder
	fmt.Fprintf(&b, `NodeName = %q
Role = "entry-host"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = "za-coast"
InternalPorts = [7720,7735]
SeedNodes = [%s]
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
Orders = "request"
[Zones]
`, h.name, h.ip, h.zone, strings.Join(seeds, ","))
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"za-coast\"\n", z)
	}
	fmt.Fprintf(&b, `[Listen]
Front = "%[1]s:8161"
Ready = "%[1]s:8167"
Control = "%[1]s:8166"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %[3]d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
RecoveryS = 12
HoldMaxMs = 1000
StopMs = 50
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
FarX = 2
CheckpointS = 0.5
RestoreMs = 100
NoticeMs = 4500
MoveS = 1.5
UpkeepS = 2
EnforceFencing = false
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
HarmMs = 4000
ResendMs = 1300
[platform]
Address = %[2]q
form = "table"
WritesPerS = 800
ReadsPerS = 2000
TxMs = 4.0
PartWritesPerS = 250
RowBytes = 65536
Across = true
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbPerS = 80.0
`, h.ip, store, memory)
	return b.String()
}

// runLine returns the command of the deploy file.
func runLine(root string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(text, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no run line in the deploy file")
}

// start starts the process of a host in the root of the repository.
func (h *host) start(root string) error {
	words, err := runLine(root)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	h.command = exec.Command(filepath.Join(root, words[0]), words[1:]...)
	h.command.Dir = root
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINGAP_NODE_FILE=" + h.file}
	h.command.Stdout, h.command.Stderr = out, out
	// The process ends with this one, also if that is killed.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(h.command, h.done)
	return nil
}

// signal sends a signal to the process of a host.
func (h *host) signal(s syscall.Signal) {
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Signal(s)
	}
}

// running returns true if the process has not ended.
func (h *host) running() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// isReady asks a host whether it is ready.
func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.ready() + "/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
