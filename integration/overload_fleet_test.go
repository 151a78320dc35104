package integration

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/standin"
)

// The hosts of these tests are the smallest machines of any site.
const (
	// fleetMemory is the memory of a host in MiB, and the bound of the resident memory.
	fleetMemory = 144
	// fleetDescriptors is the number of descriptors of a host, and the bound of the open ones.
	fleetDescriptors = 3075
	// fleetWorkers is the number of workers in each data centre, of fleetCores thousandths of
	// a core each.
	fleetWorkers = 3
	fleetCores   = 32_000
	// fleetCrowd is the number of hostile clients of each host.
	fleetCrowd = 600
	// fleetCrowdTime is how long the crowd goes on.
	fleetCrowdTime = 10 * time.Second
	// fleetReturn is the time after which a client that was refused comes back.
	fleetReturn = 200 * time.Millisecond
	// ordinaryInterval is the time between two ordinary jobs, each with a deadline of
	// ordinaryDeadline.
	ordinaryInterval = 500 * time.Millisecond
	ordinaryDeadline = 4 * time.Second
	// smallTaskTime and smallTaskCores are the run time and the cores of a task of the crowd.
	smallTaskTime  = 50 * time.Millisecond
	smallTaskCores = 3
)

// bestEffort is the field of a job that is not stored.
const bestEffort = `"BestEffort":true,`

var fleetZones = []string{"coast-a", "coast-b", "coast-c"}

// smallTasks is a job of 20 tasks, with other fields of the body in front.
func smallTasks(fields string) string {
	return fmt.Sprintf(`{%s"Steps":[{"Count":20,"Cpu":%d,"EstimatedMs":%d}]}`, fields, smallTaskCores, smallTaskTime.Milliseconds())
}

// manySteps is a job of nearly crowdBodyBytes with a task in each step.
func manySteps(fields string) string {
	step := fmt.Sprintf(`{"Count":1,"Cpu":%d,"EstimatedMs":%d},`, smallTaskCores, smallTaskTime.Milliseconds())
	count := (crowdBodyBytes - len(fields) - len(`{"Steps":[]}`)) / len(step)
	return `{` + fields + `"Steps":[` + strings.TrimSuffix(strings.Repeat(step, count), ",") + `]}`
}

// unlikeSteps is manySteps with another size for each step, so that no two tasks are alike.
func unlikeSteps(fields string) string {
	var b strings.Builder
	b.WriteString(`{` + fields + `"Steps":[`)
	for n := 1; ; n++ {
		step := fmt.Sprintf(`{"Count":1,"Cpu":%d,"MemMb":%d,"EstimatedMs":%d}`, smallTaskCores, n, smallTaskTime.Milliseconds())
		if b.Len()+len(step)+len(`,]}`) > crowdBodyBytes {
			return strings.TrimSuffix(b.String(), ",") + `]}`
		}
		b.WriteString(step + ",")
	}
}

// TestOverloadOfFleet checks that crowds of clients whose jobs are legal and whole neither
// end nor hang the hosts of a fleet, nor take them past the memory and the descriptors of
// their settings, and that ordinary callers get answers beside them and afterwards.
func TestOverloadOfFleet(t *testing.T) {
	if os.Getenv(overloadVariable) == "" {
		t.Skip(overloadVariable + " is not set")
	}
	rows := map[string]struct {
		// method is POST if it is empty. Without a body, the requests name unknown jobs.
		method, body string
		trouble      fleetTrouble
	}{
		"stored jobs of small tasks":                            {body: smallTasks("")},
		"best-effort jobs of small tasks":                       {body: smallTasks(bestEffort)},
		"stored jobs of many steps":                             {body: manySteps("")},
		"best-effort jobs of many steps":                        {body: manySteps(bestEffort)},
		"best-effort jobs of unlike steps":                      {body: unlikeSteps(bestEffort)},
		"stored jobs of small tasks while the table is away":    {body: smallTasks(""), trouble: tableAway},
		"stored jobs of small tasks while workers answer late":  {body: smallTasks(""), trouble: workersLate},
		"best-effort jobs of many steps while hosts are paused": {body: manySteps(bestEffort), trouble: hostsPaused},
		"cancellations of unknown jobs":                         {method: http.MethodDelete},
		"questions for unknown jobs":                            {method: http.MethodGet},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			f := newOverloadFleet(t)
			f.play(cmp.Or(row.method, http.MethodPost), []byte(row.body), row.trouble)
		})
	}
}

// fleetTrouble is what goes on beside the crowd. It ends before the crowd does.
type fleetTrouble func(f *overloadFleet)

// tableAway has the platform's table refuse all calls for a while.
func tableAway(f *overloadFleet) {
	f.store.Faults.Set(standin.Faults{Mode: standin.Refuse})
	time.Sleep(fleetCrowdTime / 4)
	f.store.Faults.Set(standin.Faults{})
}

// workersLate has half of the workers carry out each order after its sender has given up.
func workersLate(f *overloadFleet) {
	for i, w := range f.workers {
		if i%2 == 0 {
			w.Faults.Set(standin.Faults{Delay: 80 * time.Millisecond})
		}
	}
	time.Sleep(fleetCrowdTime / 4)
	for _, w := range f.workers {
		w.Faults.Set(standin.Faults{})
	}
}

// hostsPaused pauses the hosts one after the other.
func hostsPaused(f *overloadFleet) {
	for _, h := range f.hosts {
		h.signal(syscall.SIGSTOP)
		time.Sleep(fleetCrowdTime / 8)
		h.signal(syscall.SIGCONT)
	}
}

// overloadFleet is a fleet of one host in each data centre.
type overloadFleet struct {
	t        *testing.T
	hosts    []*overloadHost
	workers  []*standin.Worker
	store    *standin.RowStore
	recorder *standin.RunRecorder
	numbers  atomic.Int64
	// refused holds the jobs of the crowd that were refused as not run.
	refused sync.Map
	// answered counts the ordinary jobs beside the crowd that got an answer, served those of
	// them that were run, closed those whose connection was closed, and silent the others.
	answered, served, closed, silent atomic.Int64
}

// fleetSettings is the settings file of a host of an overloadFleet.
const fleetSettings = `NodeName = "front-%[1]d"
Ip = "%[2]s"
Zone = "%[3]s"
SeedNodes = ["%[4]s.10:%[7]d"]
Zones = {coast-a = "coast", coast-b = "coast", coast-c = "coast"}
Listen = {Front = "%[2]s:%[5]d", Ready = "%[2]s:%[6]d", Control = "%[2]s:%[7]d"}
Limits = {CpuShare = 0.4, Cores = 1, MemoryMb = %[8]d, MaxFds = %[9]d}
Bounds = {HoldMaxMs = %[10]d, FarX = 1.5, GraceS = 6, ResendMs = 1300}
platform = {Address = "%[11]s"}
`

// fleetProgram starts the daemon with its log in a file: a crowd causes many lines.
const fleetProgram = `#!/bin/sh
exec %s "$@" >%s 2>&1
`

// logFile returns the file of a host's log, the end of which is shown if the test fails.
func (f *overloadFleet) logFile(folder string, number int) string {
	const shown = 2000
	name := filepath.Join(folder, fmt.Sprintf("front-%d.log", number))
	f.t.Cleanup(func() {
		if text, err := os.ReadFile(name); err == nil && f.t.Failed() {
			f.t.Logf("end of the log of host %d:\n%s", number, text[max(0, len(text)-shown):])
		}
	})
	return name
}

func newOverloadFleet(t *testing.T) *overloadFleet {
	r := &rig{t: t, is: is.New(t), began: time.Now(), recorder: standin.NewRunRecorder(), folder: t.TempDir()}
	r.store = standin.NewRowStore(standin.RowStoreConfig{WriteTime: rigWriteTime})
	r.reserveNetwork()
	table := r.serve(r.store.Handler())
	putOverloadConfiguration(r.store)
	f := &overloadFleet{t: t, store: r.store, recorder: r.recorder}
	for i, zone := range fleetZones {
		for k := range fleetWorkers {
			id := fmt.Sprintf("%s-worker-%d", zone, k)
			w := standin.NewWorker(standin.WorkerConfig{
				ID: id, Cores: fleetCores, Speed: 1, Recorder: r.recorder, MaxLease: rigLease,
				RunTime: func(task string) (time.Duration, int) {
					if strings.HasPrefix(task, "c") {
						return smallTaskTime, smallTaskCores
					}
					return smallTaskTime, fleetCores / 8
				},
			})
			f.workers = append(f.workers, w)
			r.store.Put("servers", id, w.Entry(rigService, r.serve(w.Handler()), zone))
		}
		ip := fmt.Sprintf("%s.%d", r.network, 10+i)
		file := filepath.Join(r.folder, fmt.Sprintf("front-%d.toml", i))
		text := fmt.Sprintf(fleetSettings, i, ip, zone, r.network, frontPort, readyPort, peerPort, fleetMemory, fleetDescriptors, rigLease.Milliseconds(), table)
		r.is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		program := filepath.Join(r.folder, fmt.Sprintf("front-%d.sh", i))
		r.is.NoErr(os.WriteFile(program, fmt.Appendf(nil, fleetProgram, binary, f.logFile(r.folder, i)), 0o700))
		h := &overloadHost{process: startProgram(t, program, "serve", "--settings", file), t: t}
		h.target = &crowdTarget{address: fmt.Sprintf("%s:%d", ip, frontPort), host: rigCaller}
		h.request = func(int) bool { return f.ordinary(h) == http.StatusOK }
		f.hosts = append(f.hosts, h)
	}
	return f
}

// statusClosed stands for the status of an answer if the connection was closed instead.
const statusClosed = -1

// send sends a request about a job to a host and returns the status of its answer, or zero if none
// came within the deadline.
func (f *overloadFleet) send(c *http.Client, h *overloadHost, method, id string, body []byte, deadline time.Duration) int {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s%s", h.target.address, rigPrefix, id), bytes.NewReader(body))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	request.Host = h.target.host
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	answer, err := c.Do(request)
	if err != nil {
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			return 0
		}
		return statusClosed
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// ordinary submits an ordinary job, of 8 tasks of 4 cores.
func (f *overloadFleet) ordinary(h *overloadHost) int {
	c := &http.Client{Timeout: ordinaryDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	body := fmt.Appendf(nil, `{"BestEffort":true,"Steps":[{"Count":8,"Cpu":%d,"EstimatedMs":%d}]}`, fleetCores/8, smallTaskTime.Milliseconds())
	return f.send(c, h, http.MethodPost, fmt.Sprintf("%016x", f.numbers.Add(1)), body, ordinaryDeadline)
}

// play lets a crowd send requests to all hosts and checks them.
func (f *overloadFleet) play(method string, body []byte, trouble fleetTrouble) {
	for _, h := range f.hosts {
		h.eventuallyAnswered("calm")
	}
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	for _, h := range f.hosts {
		stopSampling, most := h.sampleDescriptors()
		defer func() {
			stopSampling()
			f.t.Logf("%s: at most %d MiB resident and %d descriptors", h.target.address, h.peakMemory()>>20, most.Load())
			if h.peakMemory() > fleetMemory<<20 {
				f.t.Errorf("a host had %d MiB resident, at most %d are allowed", h.peakMemory()>>20, fleetMemory)
			}
			if most.Load() > fleetDescriptors {
				f.t.Errorf("a host had %d descriptors open, at most %d are allowed", most.Load(), fleetDescriptors)
			}
		}()
		f.attack(h, method, body, stopped, &clients)
	}
	var troubled sync.WaitGroup
	if trouble != nil {
		troubled.Go(func() {
			time.Sleep(fleetCrowdTime / 4)
			trouble(f)
		})
	}
	f.callBeside()
	troubled.Wait()
	close(stopped)
	clients.Wait()
	f.t.Logf("ordinary jobs beside the crowd: %d answered, %d of them served; %d closed, %d without an answer",
		f.answered.Load(), f.served.Load(), f.closed.Load(), f.silent.Load())
	if f.answered.Load() == 0 {
		f.t.Error("no ordinary job got an answer beside the crowd")
	}
	gone := time.Now()
	for _, h := range f.hosts {
		h.eventuallyAnswered("calm again")
	}
	f.t.Logf("all hosts serve %v after the crowd", time.Since(gone).Round(time.Millisecond))
	if slices.ContainsFunc(f.hosts, func(h *overloadHost) bool { return !h.isAlive() }) {
		f.t.Error("a host has ended")
	}
	f.checkRuns(!bytes.Contains(body, []byte(bestEffort)))
}

// checkRuns checks that no task ran twice, and none of a job that was refused.
func (f *overloadFleet) checkRuns(isStored bool) {
	starts, _, doubled := f.recorder.Summary()
	refused, started := 0, map[string]bool{}
	for task := range f.recorder.Runs() {
		id, _, _ := strings.Cut(task, ".")
		started[id] = true
	}
	f.refused.Range(func(id, _ any) bool {
		refused++
		if started[id.(string)] {
			f.t.Errorf("job %s was refused and has run", id)
		}
		return true
	})
	f.t.Logf("%d starts; %d jobs refused", starts, refused)
	if len(doubled) > 0 {
		f.t.Errorf("%d tasks ran twice at the same time, the first is %s", len(doubled), doubled[0])
	}
	// Callers may send a best-effort job again that has run.
	if again := f.recorder.Restarted(); isStored && len(again) > 0 {
		f.t.Errorf("%d tasks ran again after they were done, the first is %s", len(again), again[0])
	}
}

// attack starts the crowd of one host. Each client sends one request after the other until
// stopped is closed, and then closes its connection.
func (f *overloadFleet) attack(h *overloadHost, method string, body []byte, stopped chan struct{}, clients *sync.WaitGroup) {
	const deadline = 20 * time.Second
	transport := &http.Transport{MaxIdleConnsPerHost: fleetCrowd}
	client := &http.Client{Transport: transport}
	for range fleetCrowd {
		clients.Go(func() {
			defer transport.CloseIdleConnections()
			for {
				select {
				case <-stopped:
					return
				default:
				}
				id, answers := fmt.Sprintf("c%015x", f.numbers.Add(1)), make(chan int, 1)
				go func() { answers <- f.send(client, h, method, id, body, deadline) }()
				select {
				case <-stopped:
					return
				case status := <-answers:
					if status == http.StatusOK {
						continue
					}
					if status == http.StatusServiceUnavailable {
						f.refused.Store(id, true)
					}
				}
				select {
				case <-stopped:
					return
				case <-time.After(fleetReturn):
				}
			}
		})
	}
}

// callBeside submits ordinary jobs to all hosts in turn for fleetCrowdTime, and waits for
// their answers.
func (f *overloadFleet) callBeside() {
	var open sync.WaitGroup
	for i := range int(fleetCrowdTime / ordinaryInterval) {
		time.Sleep(ordinaryInterval)
		open.Go(func() {
			switch f.ordinary(f.hosts[i%len(f.hosts)]) {
			case 0:
				f.silent.Add(1)
			case statusClosed:
				f.closed.Add(1)
			case http.StatusOK:
				f.served.Add(1)
				f.answered.Add(1)
			default:
				f.answered.Add(1)
			}
		})
	}
	open.Wait()
}
