package fleet_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
)

// TestJobsAvoidAnOwnerThatIsBehind delays the answers of one owner's workers, as if the
// owner lacked processor time, while the other owners have free capacity. Part of its jobs
// must go to them, and all jobs must be completed.
func TestJobsAvoidAnOwnerThatIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			late    = 45 * time.Millisecond
			runs    = 60 * time.Millisecond
			jobs    = 240
			counted = jobs / 2
		)
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		m := w.host("coast-a.host-1")
		var open sync.WaitGroup
		play := func(name string) map[string]int {
			for n := range jobs {
				j := newJob(fmt.Sprint(name, n), 2, runs)
				open.Go(func() {
					r := m.submitter.Submit(t.Context(), j, time.Now(), time.Now().Add(2*time.Second))
					is.Equal(r.Result, dispatch.Completed)
				})
				time.Sleep(15 * time.Millisecond)
			}
			open.Wait()
			tasks := map[string]int{}
			for task, all := range w.recorder.Runs() {
				for n := counted; n < jobs; n++ {
					if strings.HasPrefix(task, fmt.Sprintf("%dms%s%d.", runs.Milliseconds(), name, n)) {
						tasks[zoneOf(all[0].Worker)]++
					}
				}
			}
			return tasks
		}
		calm := play("calm")
		w.network.Slow(func(from, to string) time.Duration {
			if zoneOf(from) == "coast-a" && !isHost(from) && zoneOf(to) == "coast-a" && isHost(to) {
				return late
			}
			return 0
		})
		behind := play("behind")
		t.Log(calm, behind)
		is.True(calm["coast-a"] >= 2*counted*9/10)
		is.True(behind["coast-a"] <= 2*counted*2/3)
		is.True(behind["coast-a"] > 0)
	})
}
