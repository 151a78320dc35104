package fleet_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
)

// TestRecoveryAfterLossOfPower kills all hosts at once under load. Jobs submitted as the
// hosts return must be completed, and from half a second later without extra delay.
func TestRecoveryAfterLossOfPower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			recovered = 500 * time.Millisecond
			runs      = 60 * time.Millisecond
			jobs      = 60
		)
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		go w.load(60, 10*time.Second)
		time.Sleep(5 * time.Second)
		w.killAll(time.Second)
		returned := time.Now()
		hosts := w.allHosts()[len(zones)*hostsPerZone:]
		var open sync.WaitGroup
		for n := range jobs {
			m, j, handed := hosts[n%len(hosts)], newJob(fmt.Sprint("after", n), 2, runs), time.Now()
			open.Go(func() {
				r := m.submitter.Submit(t.Context(), j, handed, handed.Add(2*time.Second))
				is.Equal(r.Result, dispatch.Completed)
				if handed.Sub(returned) >= recovered {
					is.True(time.Since(handed) <= 5*runs)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		open.Wait()
		_, _, doubled := w.recorder.Summary()
		is.Equal(doubled, nil)
		time.Sleep(10 * time.Second)
	})
}
