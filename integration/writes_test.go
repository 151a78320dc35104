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
)

// statistics returns what the table has counted.
func (k *cluster) statistics() standin.TableStatistics {
	k.t.Helper()
	response, err := http.Get("http://" + k.platform + "/table/statistics")
	k.is.NoErr(err)
	defer response.Body.Close()
	var s standin.TableStatistics
	k.is.NoErr(json.NewDecoder(response.Body).Decode(&s))
	return s
}

// TestTableWritesPerJob counts the table's transactions for each job, without
// the heartbeats, at several numbers of jobs in flight on one host.
func TestTableWritesPerJob(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 1, backends: 2, slots: 128})
	tests := []struct {
		clients, jobs int
		bound         float64
	}{{1, 20, 2.2}, {10, 20, 1.2}, {100, 10, 0.3}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d in flight", tt.clients), func(t *testing.T) {
			k := k.on(t)
			before, began := k.statistics(), time.Now()
			var mutex sync.Mutex
			var times []time.Duration
			var clients sync.WaitGroup
			for c := range tt.clients {
				clients.Go(func() {
					for j := range tt.jobs {
						s := submission(fmt.Sprintf("w-%d-%d-%d", tt.clients, c, j), 30, 2, 20*time.Millisecond)
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
			writes := k.statistics().Writes - before.Writes - heartbeats
			perJob := float64(writes) / float64(len(times))
			slices.Sort(times)
			t.Logf("%.2f transactions per job; job time p50 %s, max %s", perJob, times[len(times)/2], times[len(times)-1])
			k.is.True(perJob <= tt.bound)
		})
	}
	k.checkOnce()
}
