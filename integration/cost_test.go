package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/job"
)

const (
	// maxCPUPerStart is the processor time of four cores divided by the goal of
	// 10,000 starts a second.
	maxCPUPerStart = 400 * time.Microsecond
	// clockTick is the unit of processor times in /proc.
	clockTick = 10 * time.Millisecond
	costJobs  = 8
)

// cpuTime returns the processor time that a process has used.
func (p *process) cpuTime() time.Duration {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	// The command name ends with the last bracket. The fields follow it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			p.t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// instantJob returns a job of n tasks with a run time of zero.
func instantJob(key string, n int) *job.Submission {
	s := newSubmission(key, 1, n, time.Millisecond)
	for i := range s.Tasks {
		s.Tasks[i].Payload = json.RawMessage(strings.Replace(string(s.Tasks[i].Payload), `"runTimeMs":1`, `"runTimeMs":0`, 1))
	}
	return s
}

// TestCostOfATaskStart bounds the processor time that an entry host spends per
// task start, using tasks with a run time of zero.
func TestCostOfATaskStart(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 1, backends: 4, slots: 32})
	_, err := k.submit(k.hosts[0], instantJob("warm", job.MaxTasks))
	k.is.NoErr(err)
	before, began := k.hosts[0].cpuTime(), time.Now()
	var group sync.WaitGroup
	for i := range costJobs {
		group.Go(func() {
			if _, err := k.submit(k.hosts[0], instantJob(fmt.Sprintf("cost-%d", i), job.MaxTasks)); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	starts := costJobs * job.MaxTasks
	used, took := k.hosts[0].cpuTime()-before, time.Since(began)
	perStart := used / time.Duration(starts)
	t.Logf("%d starts in %s: %.0f a second, %s of processor time a start", starts, took.Round(time.Millisecond), float64(starts)/took.Seconds(), perStart)
	k.is.True(perStart <= maxCPUPerStart)
}

// TestAddedTime bounds the time that an entry host adds to a request, by
// pairing each request with the same one sent directly to the backend server.
func TestAddedTime(t *testing.T) {
	const pairs = 300
	k := newCluster(t, clusterConfig{hosts: 1, backends: 1, slots: 8})
	payload := instantJob("added", 1).Tasks[0].Payload
	direct := func() {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+k.backends[0].proxy.Listen+backend.PathRun, strings.NewReader(string(payload)))
		k.is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		k.is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		k.is.NoErr(err)
		response.Body.Close()
	}
	through := func() {
		_, err := k.hosts[0].client.Call(t.Context(), entry.ServiceRequest{Team: teamName, Service: serviceName, Body: payload})
		k.is.NoErr(err)
	}
	added := make([]time.Duration, 0, pairs)
	for range pairs {
		start := time.Now()
		direct()
		middle := time.Now()
		through()
		added = append(added, time.Since(middle)-middle.Sub(start))
	}
	slices.Sort(added)
	t.Logf("added time: p50 %s, p99 %s", added[pairs/2], added[pairs*99/100])
	// A round trip inside a data centre takes 3 ms. The host must not add more
	// than that.
	k.is.True(added[pairs/2] <= 3*time.Millisecond)
}

// residentMemory returns the resident memory of a process in bytes.
func (p *process) residentMemory() int {
	p.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return kilobytes << 10
}

// TestMemoryOfQueuedTasks bounds the memory of an entry host with 100,000
// queued tasks.
func TestMemoryOfQueuedTasks(t *testing.T) {
	const (
		jobs  = 77
		bound = 256 << 20
	)
	k := newCluster(t, clusterConfig{hosts: 1, backends: 1, slots: 1, settings: "limits: {queueTasks: 200000}\n"})
	before := k.hosts[0].residentMemory()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	for i := range jobs {
		s := newSubmission(fmt.Sprintf("queued-%d", i), uint64(i), job.MaxTasks, time.Minute)
		group.Go(func() { _, _ = k.hosts[0].client.Submit(ctx, s) })
	}
	k.eventually("all jobs held", func() bool { return k.heldJobs(k.hosts[0]) == jobs })
	after := k.hosts[0].residentMemory()
	t.Logf("%d tasks wait: %d MB, %d MB before, %d bytes a task", jobs*job.MaxTasks, after>>20, before>>20, (after-before)/(jobs*job.MaxTasks))
	k.is.True(after <= bound)
	cancel()
	group.Wait()
}

// heldJobs returns the number of jobs that a host holds, queued or running.
func (k *cluster) heldJobs(h *entryHost) int {
	k.t.Helper()
	response, err := http.Get(h.api + "/debug/vars")
	k.is.NoErr(err)
	defer response.Body.Close()
	var vars struct {
		Catkingap struct {
			HeldJobs int `json:"heldJobs"`
		} `json:"catkingap"`
	}
	k.is.NoErr(json.NewDecoder(response.Body).Decode(&vars))
	return vars.Catkingap.HeldJobs
}
