package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
)

// TestRelease replaces all workers of a data centre one after the other. All jobs must be
// completed, and each new worker must be used.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			zone  = "coast-b"
			pause = 1200 * time.Millisecond
			drain = 2500 * time.Millisecond
		)
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		go func() {
			for i := range workersPerZone {
				time.Sleep(pause)
				old := fmt.Sprintf("%s.worker-%d", zone, i)
				w.store.Put("servers", old, w.workers[old].DrainingEntry("pool", old+":1", zone))
				w.addWorker(zone, old+"-next")
				time.AfterFunc(drain, func() { w.store.Remove("servers", old) })
			}
		}()
		w.load(40, 12*time.Second)
		starts, done, doubled := w.recorder.Summary()
		is.Equal(doubled, nil)
		is.Equal(starts, done)
		is.Equal(len(w.results), 1)
		is.True(w.results[dispatch.Completed] > 300)
		for i := range workersPerZone {
			is.True(!w.workers[fmt.Sprintf("%s.worker-%d-next", zone, i)].LastStart().IsZero())
		}
	})
}

// TestWorkersFlap cuts a third of all workers off and reconnects them several times. No task
// may run twice, and most jobs must be completed.
func TestWorkersFlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			turn   = 700 * time.Millisecond
			served = 0.9
		)
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		go func() {
			flaps := func(site string) bool {
				return strings.HasSuffix(site, "worker-1") || strings.HasSuffix(site, "worker-4")
			}
			for range 6 {
				time.Sleep(turn)
				w.cut(turn, func(from, to string) bool { return flaps(from) || flaps(to) })
			}
		}()
		w.load(40, 10*time.Second)
		_, _, doubled := w.recorder.Summary()
		is.Equal(doubled, nil)
		t.Logf("results %v", w.results)
		is.True(w.completedShare() >= served)
	})
}
