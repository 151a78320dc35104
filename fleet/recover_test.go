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

// TestUnreadableOwnerRow replaces the row of an owner by one that cannot be read. The owner
// must go on, and another host must take its place when it dies.
func TestUnreadableOwnerRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		submit := func(m *member, id string) dispatch.Result {
			now := time.Now()
			return m.submitter.Submit(t.Context(), newJob(id, 1, 60*time.Millisecond), now, now.Add(2*time.Second)).Result
		}
		owner := w.owner("coast-a")
		w.store.Put("catkingap", "owner.coast-a", "not an owner")
		time.Sleep(time.Second)
		is.Equal(submit(owner, "before"), dispatch.Completed)
		is.Equal(len(w.ownerChanges()), 1)
		w.kill(owner)
		time.Sleep(2 * time.Second)
		is.Equal(submit(w.owner("coast-a"), "after"), dispatch.Completed)
		is.Equal(len(w.ownerChanges()), 2)
	})
}
