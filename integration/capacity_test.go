package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/resource"
)

// The benchmarks of this file measure the cost figures of docs/CAPACITY.md on
// real processes of the binary:
//
//	go test ./integration -run XXX -bench Capacity -benchtime 1x -timeout 10m

const (
	clockTicks = 100
	settleTime = 8 * time.Second
)

// usage is the resource use of one entry host process.
type usage struct {
	processor time.Duration
	resident  int64
	vars      map[string]json.RawMessage
}

// usage reads the resource use of an entry host since its start.
func (h *entryHost) usage(b *testing.B) usage {
	b.Helper()
	pid := h.command.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The command name ends with a bracket. The field after it is the third.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u := usage{processor: time.Duration(user+system) * time.Second / clockTicks, resident: residentBytes(b, pid)}
	response, err := http.Get(h.api + "/debug/vars")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var shown struct {
		Catkingap map[string]json.RawMessage `json:"catkingap"`
	}
	if err := json.NewDecoder(response.Body).Decode(&shown); err != nil {
		b.Fatal(err)
	}
	u.vars = shown.Catkingap
	return u
}

func residentBytes(b *testing.B, pid int) int64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		b.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// metric returns a numeric metric.
func (u usage) metric(name string) float64 {
	var n float64
	_ = json.Unmarshal(u.vars[name], &n)
	return n
}

// BenchmarkCapacityTasks measures the cost of one task on an entry host for
// several job sizes, with jobs running in parallel.
func BenchmarkCapacityTasks(b *testing.B) {
	const total, parallel = 26_000, 8
	for _, tasks := range []int{50, 260, 1300} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			k := newCluster(b, clusterConfig{hosts: 1, backends: 2, slots: 64})
			h := k.hosts[0]
			runJobs(b, k, "warm", 4, 260, parallel)
			for i := range b.N {
				before, start := h.usage(b), time.Now()
				runJobs(b, k, fmt.Sprintf("job-%d", i), total/tasks, tasks, parallel)
				took, after := time.Since(start), h.usage(b)
				jobs := float64(total / tasks)
				b.ReportMetric(float64((after.processor-before.processor).Microseconds())/total, "cpu-us/task")
				b.ReportMetric(total/took.Seconds(), "tasks/s")
				b.ReportMetric((after.metric("tableRows")-before.metric("tableRows"))/jobs, "rows/job")
				b.ReportMetric((after.metric("tableTransactions")-before.metric("tableTransactions"))/jobs, "transactions/job")
				b.ReportMetric((after.metric("backendMessages")-before.metric("backendMessages"))/total, "messages/task")
				b.ReportMetric(float64(after.resident)/(1<<20), "MB-resident")
			}
		})
	}
}

// runJobs submits jobs of equal size, at most parallel at once.
func runJobs(b *testing.B, k *cluster, key string, jobs, tasks, parallel int) {
	b.Helper()
	var waiting sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i := range jobs {
		slots <- struct{}{}
		waiting.Go(func() {
			defer func() { <-slots }()
			if _, err := k.submit(k.hosts[0], newSubmission(fmt.Sprintf("%s-%d", key, i), uint64(i), tasks, time.Millisecond)); err != nil {
				b.Error(err)
			}
		})
	}
	waiting.Wait()
}

// BenchmarkCapacityRunning measures the memory used per running task.
func BenchmarkCapacityRunning(b *testing.B) {
	const tasks, run = 1300, 4 * time.Second
	k := newCluster(b, clusterConfig{hosts: 1, backends: 2, slots: tasks, settings: "limits: {connections: 1000}\n"})
	h := k.hosts[0]
	runJobs(b, k, "warm", 1, 1, 1)
	for i := range b.N {
		idle := h.usage(b).resident
		done := make(chan error, 1)
		go func() {
			_, err := k.submit(h, newSubmission(fmt.Sprintf("running-%d", i), 1, tasks, run))
			done <- err
		}()
		time.Sleep(run / 2)
		b.ReportMetric(float64(h.usage(b).resident-idle)/tasks, "resident-bytes/running-task")
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCapacityControl measures the control traffic and processor time of
// an idle entry host with the target configuration, for several cluster sizes.
func BenchmarkCapacityControl(b *testing.B) {
	const workers, teams, span = 890, 150, 10 * time.Second
	for _, hosts := range []int{3, 6, 9} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			k := newCluster(b, clusterConfig{hosts: hosts, backends: 1, slots: 8})
			declareMany(k, workers, teams)
			waitConfigured(b, k)
			for range b.N {
				measureIdle(b, k, span)
				measureChange(b, k)
			}
		})
	}
}

// declareMany declares backend servers and teams.
func declareMany(k *cluster, workers, teams int) {
	k.declare(resource.KindPool, "idle", resource.PoolSpec{})
	for i := range workers {
		k.declare(resource.KindBackendServer, fmt.Sprintf("worker-%d", i), resource.BackendServerSpec{
			Pool: "idle", Address: fmt.Sprintf("127.1.%d.%d:80", i/200, i%200), DataCentre: ident.DataCentre(dataCentres[i%len(dataCentres)]), Slots: 64,
		})
	}
	for i := range teams {
		k.declare(resource.KindTeam, fmt.Sprintf("team-%d", i), resource.TeamSpec{Weight: 1, TasksPerSecond: 400})
	}
}

// waitConfigured waits until all hosts have the same configuration and returns
// its revision.
func waitConfigured(b *testing.B, k *cluster) float64 {
	b.Helper()
	revision := 0.0
	k.eventually("configured alike", func() bool {
		revision = k.hosts[0].usage(b).metric("configRevision")
		for _, h := range k.hosts {
			if h.usage(b).metric("configRevision") != revision {
				return false
			}
		}
		return true
	})
	return revision
}

// measureIdle reports the resource use of idle hosts, as a mean over all hosts.
func measureIdle(b *testing.B, k *cluster, span time.Duration) {
	b.Helper()
	// Garbage left by the declarations must not count as idle use.
	time.Sleep(settleTime)
	before := make([]usage, len(k.hosts))
	for i, h := range k.hosts {
		before[i] = h.usage(b)
	}
	time.Sleep(span)
	var processor time.Duration
	var bytes, platform, reads, resident float64
	for i, h := range k.hosts {
		after := h.usage(b)
		processor += after.processor - before[i].processor
		for _, name := range []string{"peerSentBytes", "peerReceivedBytes"} {
			bytes += after.metric(name) - before[i].metric(name)
		}
		platform += platformBytes(after) - platformBytes(before[i])
		reads += after.metric("tableReads") - before[i].metric("tableReads")
		resident += float64(after.resident)
	}
	hosts := float64(len(k.hosts))
	b.ReportMetric(100*processor.Seconds()/span.Seconds()/hosts, "%core/host")
	b.ReportMetric(bytes/span.Seconds()/hosts, "peerB/s/host")
	b.ReportMetric(platform/span.Seconds()/hosts, "platformB/s/host")
	b.ReportMetric(reads/span.Seconds()/hosts, "tablereads/s/host")
	b.ReportMetric(resident/hosts/(1<<20), "MB-resident/host")
}

func platformBytes(u usage) float64 {
	return u.metric("platformSentBytes") + u.metric("platformReceivedBytes")
}

// measureChange reports the longest time until a change is in force on all
// hosts, and the processor time that a change costs a host which serves no
// requests meanwhile.
func measureChange(b *testing.B, k *cluster) {
	b.Helper()
	const changes, pause = 20, 700 * time.Millisecond
	var longest time.Duration
	asked := k.hosts[1:]
	for i := range changes {
		start, name := time.Now(), fmt.Sprintf("changed-%d-%d", b.N, i)
		k.declare(resource.KindTeam, name, resource.TeamSpec{Weight: i + 1})
		for _, h := range asked {
			k.eventually("in force", func() bool {
				_, err := h.client.Get(b.Context(), resource.KindTeam, name)
				return err == nil
			})
		}
		longest = max(longest, time.Since(start))
	}
	b.ReportMetric(longest.Seconds(), "s-change-longest")
	quiet := k.hosts[1]
	before := quiet.usage(b)
	for i := range changes {
		k.declare(resource.KindTeam, fmt.Sprintf("again-%d-%d", b.N, i), resource.TeamSpec{Weight: i + 1})
		time.Sleep(pause)
	}
	after := quiet.usage(b)
	b.ReportMetric((after.processor-before.processor).Seconds()*1000/changes, "cpu-ms/change")
	b.ReportMetric((platformBytes(after)-platformBytes(before))/1024/changes, "platformKB/change")
}
