package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/timeline"
)

// tableStatistics returns the counters of the table.
func (k *cluster) tableStatistics() standin.TableStatistics {
	k.t.Helper()
	response, err := http.Get("http://" + k.platform + "/table/statistics")
	k.is.NoErr(err)
	defer response.Body.Close()
	var s standin.TableStatistics
	k.is.NoErr(json.NewDecoder(response.Body).Decode(&s))
	return s
}

// TestTableWritesPerJob bounds the table's transactions per job, without
// heartbeats, for several numbers of jobs in flight on one host.
func TestTableWritesPerJob(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 1, backends: 2, slots: 128})
	tests := []struct {
		clients, jobs int
		bound         float64
	}{{1, 20, 2.2}, {10, 20, 1.2}, {100, 10, 0.3}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d in flight", tt.clients), func(t *testing.T) {
			k := k.forSubtest(t)
			before, began := k.tableStatistics(), time.Now()
			var mutex sync.Mutex
			var times []time.Duration
			var clients sync.WaitGroup
			for c := range tt.clients {
				clients.Go(func() {
					for j := range tt.jobs {
						s := newSubmission(fmt.Sprintf("w-%d-%d-%d", tt.clients, c, j), 30, 2, 20*time.Millisecond)
						start := time.Now()
						_, err := k.submit(k.hosts[0], s)
						mutex.Lock()
						times = append(times, time.Since(start))
						if err != nil {
							t.Error(err)
						}
						mutex.Unlock()
					}
				})
			}
			clients.Wait()
			heartbeats := int64(time.Since(began).Seconds()) + 1
			writes := k.tableStatistics().Writes - before.Writes - heartbeats
			perJob := float64(writes) / float64(len(times))
			slices.Sort(times)
			t.Logf("%.2f transactions per job; job time p50 %s, max %s", perJob, times[len(times)/2], times[len(times)-1])
			k.is.True(perJob <= tt.bound)
		})
	}
	k.checkStartedOnce()
}

// storeWriteTime is the time that a synced write takes in the stand-in.
const storeWriteTime = 4 * time.Millisecond

// TestJobOverhead bounds the time that a job waits in addition to its tasks,
// relative to the store's write time: from the claim to the first start, and
// from the end of the last task to the answer.
func TestJobOverhead(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 1, backends: 2, slots: 8})
	const jobs = 20
	var starts, answers []time.Duration
	for i := range jobs {
		s := newSubmission(fmt.Sprintf("overhead-%d", i), 35, 4, 20*time.Millisecond)
		_, err := k.submit(k.hosts[0], s)
		k.is.NoErr(err)
		events, err := k.hosts[0].client.Timeline(t.Context(), timeline.Filter{Team: s.Team, Job: s.Key})
		k.is.NoErr(err)
		at := map[timeline.Kind]time.Duration{}
		for _, e := range events {
			if _, seen := at[e.Kind]; !seen || e.Kind == timeline.TaskEnded {
				at[e.Kind] = e.Monotonic
			}
		}
		starts = append(starts, at[timeline.TaskStarted]-at[timeline.Claimed])
		answers = append(answers, at[timeline.Answered]-at[timeline.TaskEnded])
	}
	slices.Sort(starts)
	slices.Sort(answers)
	start, answer := starts[jobs/2], answers[jobs/2]
	t.Logf("claim to first start %s (%.2f write times), last end to answer %s (%.2f write times)",
		start, float64(start)/float64(storeWriteTime), answer, float64(answer)/float64(storeWriteTime))
	k.is.True(start <= storeWriteTime)
	k.is.True(answer <= 4*storeWriteTime)
}
