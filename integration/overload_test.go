package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/standin"
)

// overloadVariable is the environment variable that enables these tests. They run one at
// a time and apart from other load, in a step of .ci/run.
const overloadVariable = "CATKINGAP_OVERLOAD"

const (
	// overloadMemory is the memory of the host in MiB that the settings name, and the
	// bound of the resident memory. A third of the smallest machine's 144 MB is taken off,
	// so that bodies of crowdSize clients (100 MiB) do not fit.
	overloadMemory = 96
	// overloadDescriptors is the number of descriptors that the settings or the process
	// limit name, and the bound of the open ones.
	overloadDescriptors = 300
	// overloadCallers is the number of ordinary callers in the mixed row.
	overloadCallers = 10
)

// overloadHost is one daemon under test.
type overloadHost struct {
	*process
	t      *testing.T
	target *crowdTarget
	// request makes one ordinary request with the number and returns whether it was
	// answered with its result.
	request func(number int) bool
	// numbers counts the ordinary requests.
	numbers atomic.Int64
}

// TestOverloadOfServe checks that a crowd of hostile clients neither ends nor hangs
// `catkingap serve`, nor takes it past the memory and the descriptors of its settings.
func TestOverloadOfServe(t *testing.T) { testOverload(t, newOverloadServe) }

// TestOverloadOfEntry is TestOverloadOfServe for `catkingap entry`.
func TestOverloadOfEntry(t *testing.T) { testOverload(t, newOverloadEntry) }

func testOverload(t *testing.T, newHost func(*testing.T) *overloadHost) {
	if os.Getenv(overloadVariable) == "" {
		t.Skip(overloadVariable + " is not set")
	}
	kinds := slices.Sorted(maps.Keys(crowdActions))
	rows := map[string][]string{"mix beside ordinary callers": kinds}
	for _, k := range kinds {
		rows[k] = []string{k}
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		t.Run(name, func(t *testing.T) {
			h := newHost(t)
			h.play(rows[name])
		})
	}
}

// play lets a crowd attack the host and checks it.
func (h *overloadHost) play(actions []string) {
	is := is.New(h.t)
	h.eventuallyAnswered("calm")
	calm := h.peakMemory()
	d := startCrowd(h.target, actions...)
	stopSampling, mostDescriptors := h.sampleDescriptors()
	defer func() {
		stopSampling()
		h.t.Logf("resident: %d MiB in calm, at most %d MiB; at most %d descriptors; alive: %v",
			calm>>20, h.peakMemory()>>20, mostDescriptors.Load(), h.isAlive())
	}()
	stopCallers := func() {}
	if len(actions) > 1 {
		stopCallers = h.startCallers()
	}
	d.sent.Wait()
	// The crowd still holds its connections.
	h.eventuallyAnswered("overload")
	stopCallers()
	d.stop()
	peak, most := h.peakMemory(), mostDescriptors.Load()
	is.True(h.isAlive())
	if peak > overloadMemory<<20 {
		h.t.Errorf("the process had %d MiB resident, at most %d are allowed", peak>>20, overloadMemory)
	}
	if most > overloadDescriptors {
		h.t.Errorf("the process had %d descriptors open, at most %d are allowed", most, overloadDescriptors)
	}
}

// eventuallyAnswered makes ordinary requests until one is answered.
func (h *overloadHost) eventuallyAnswered(when string) {
	h.t.Helper()
	(&cluster{t: h.t}).eventually("answered in "+when, func() bool {
		if !h.isAlive() {
			h.t.Fatalf("the process ended in %s", when)
		}
		return h.request(int(h.numbers.Add(1)))
	})
}

// startCallers starts ordinary callers and returns a function that ends them.
func (h *overloadHost) startCallers() (stop func()) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	for range overloadCallers {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(pollInterval):
					h.request(int(h.numbers.Add(1)))
				}
			}
		})
	}
	return func() {
		close(done)
		callers.Wait()
	}
}

func (h *overloadHost) isAlive() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (h *overloadHost) peakMemory() int64 {
	peak := peakMemory(h.command.Process.Pid)
	if peak == 0 {
		h.t.Error("the memory of the process can not be read")
	}
	return peak
}

// peakMemory returns the largest resident memory of a process so far, in bytes, or zero if it
// cannot be read.
func peakMemory(pid int) int64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// sampleDescriptors samples the number of open descriptors until stop is called.
func (h *overloadHost) sampleDescriptors() (stop func(), most *atomic.Int64) {
	done, ended := make(chan struct{}), make(chan struct{})
	most = &atomic.Int64{}
	go func() {
		defer close(ended)
		for {
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.command.Process.Pid))
			most.Store(max(most.Load(), int64(len(files))))
			select {
			case <-done:
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}, most
}

// overloadSettings is the settings file of `catkingap serve`.
const overloadSettings = `NodeName = "front-1"
Ip = "%[1]s"
Zone = "coast-a"
SeedNodes = []
Zones = {coast-a = "coast"}
Listen = {Front = "%[1]s:%[2]d", Ready = "%[1]s:%[3]d", Control = "%[1]s:%[4]d"}
Limits = {CpuShare = 0.4, Cores = 1, MemoryMb = %[5]d, MaxFds = %[6]d}
Bounds = {HoldMaxMs = %[7]d, FarX = 2, GraceS = 6}
platform = {Address = "%[8]s"}
`

const (
	// overloadSteps is the number of steps of a crowd's job. It makes a body of nearly
	// crowdBodyBytes.
	overloadSteps = 5000
	overloadStep  = `{"Count":1,"Cpu":32000,"EstimatedMs":200}`
)

// putOverloadConfiguration writes the operator's configuration, with the limits of the users'
// settings.
func putOverloadConfiguration(s *standin.RowStore) {
	s.Put("op", "config", map[string]any{
		"Version": 1,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": crowdBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Routes": []any{map[string]any{
			"Name": "q", "Host": rigCaller, "Prefix": rigPrefix, "Service": rigService, "MaxAttempts": 3, "Stretch": 3, "TargetLatencyMs": 200,
		}},
	})
}

// newOverloadServe starts `catkingap serve` with one worker.
func newOverloadServe(t *testing.T) *overloadHost {
	r := &rig{t: t, is: is.New(t), began: time.Now(), recorder: standin.NewRunRecorder(), folder: t.TempDir()}
	r.store = standin.NewRowStore(standin.RowStoreConfig{WriteTime: rigWriteTime})
	r.reserveNetwork()
	table := r.serve(r.store.Handler())
	putOverloadConfiguration(r.store)
	w := standin.NewWorker(standin.WorkerConfig{
		ID: "worker-1", Cores: rigCores, Speed: 1, Recorder: r.recorder, MaxLease: rigLease,
		RunTime: func(task string) (time.Duration, int) {
			if strings.HasPrefix(task, "c") {
				return 200 * time.Millisecond, rigCores / 2
			}
			return 10 * time.Millisecond, 1
		},
	})
	r.store.Put("servers", "worker-1", w.Entry(rigService, r.serve(w.Handler()), "coast-a"))
	ip := r.network + ".10"
	file := filepath.Join(r.folder, "front-1.toml")
	text := fmt.Sprintf(overloadSettings, ip, frontPort, readyPort, peerPort, overloadMemory, overloadDescriptors, rigLease.Milliseconds(), table)
	r.is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	body := `{"BestEffort":true,"Steps":[` + strings.TrimSuffix(strings.Repeat(overloadStep+",", overloadSteps), ",") + `]}`
	if len(body) > crowdBodyBytes {
		t.Fatalf("the body of a crowd's job has %d bytes", len(body))
	}
	h := &overloadHost{process: start(t, "serve", "--settings", file), t: t}
	h.target = &crowdTarget{
		address: fmt.Sprintf("%s:%d", ip, frontPort), host: rigCaller, answers: "/nowhere",
		submission: func(number int) (string, []byte) {
			return fmt.Sprintf("%sc%015x", rigPrefix, number), []byte(body)
		},
	}
	caller := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	h.request = func(number int) bool {
		address := fmt.Sprintf("http://%s%s%016x", h.target.address, rigPrefix, number)
		request, err := http.NewRequest(http.MethodPost, address, strings.NewReader(`{"BestEffort":true,"Steps":[{"Count":2,"Cpu":1,"EstimatedMs":10}]}`))
		r.is.NoErr(err)
		request.Host = rigCaller
		request.Header.Set("X-Deadline-Ms", "5000")
		return isCompleted(caller, request, func(data []byte) bool { return string(data) == `{"State":"completed"}` })
	}
	return h
}

// isCompleted sends a request and returns whether it was answered with its result.
func isCompleted(c *http.Client, r *http.Request, isResult func(data []byte) bool) bool {
	answer, err := c.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK && isResult(data)
}

// overloadProgram starts the daemon with the descriptors and the memory of the test. The
// share of the soft memory limit is that of `catkingap serve`.
const overloadProgram = `#!/bin/sh
ulimit -n %d
export GOMEMLIMIT=%dKiB
exec %s "$@"
`

// newOverloadEntry starts `catkingap entry` with one backend server.
func newOverloadEntry(t *testing.T) *overloadHost {
	program := filepath.Join(t.TempDir(), "program")
	text := fmt.Sprintf(overloadProgram, overloadDescriptors, overloadMemory*1024*6/10, binary)
	if err := os.WriteFile(program, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	k := newCluster(t, clusterConfig{
		hosts: 1, backends: 1, slots: 8, program: program,
		settings: fmt.Sprintf("limits: {bodyBytes: %d, queueTasks: 2000}\n", crowdBodyBytes),
	})
	e := k.hosts[0]
	u, err := url.Parse(e.api)
	k.is.NoErr(err)
	h := &overloadHost{process: e.process, t: t}
	submission := fitSubmission(t)
	h.target = &crowdTarget{
		address: u.Host, host: u.Host, answers: "/debug/vars",
		submission: func(number int) (string, []byte) {
			return "/v1/jobs", bytes.Replace(submission, []byte(crowdKey), fmt.Appendf(nil, "crowd-%06d", number), 1)
		},
	}
	caller := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	h.request = func(number int) bool {
		data, err := json.Marshal(newSubmission(fmt.Sprintf("ordinary-%d", number), uint64(number), 1, 10*time.Millisecond))
		k.is.NoErr(err)
		request, err := http.NewRequest(http.MethodPost, e.api+"/v1/jobs", bytes.NewReader(data))
		k.is.NoErr(err)
		return isCompleted(caller, request, func(data []byte) bool { return bytes.Contains(data, []byte(`"state":"`+string(job.Complete))) })
	}
	return h
}

// crowdKey is replaced in the body of a crowd's job.
const crowdKey = "crowd-key000"

// fitSubmission returns the body of a job with as many tasks as crowdBodyBytes allow. Its
// deadline passes soon after the crowd has sent it.
func fitSubmission(t *testing.T) []byte {
	t.Helper()
	var body []byte
	for n := 10; ; n += 10 {
		s := newSubmission(crowdKey, 1, n, 200*time.Millisecond)
		s.Job.Key = ident.JobKey(crowdKey)
		s.Deadline = time.Now().Add(20 * time.Second)
		data, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > crowdBodyBytes {
			return body
		}
		body = data
	}
}
