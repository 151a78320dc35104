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

// TestFirstDispatchAfterLossOfPower submits a job to each host as it returns after all of
// them have lost power. Once the last one has returned, the jobs must start at once, also
// if the hosts of the owners take longer.
func TestFirstDispatchAfterLossOfPower(t *testing.T) {
	const (
		// dispatched is the bound of the time from the return of the hosts to the first
		// start, and slowest is the run time of the jobs on the slowest workers.
		dispatched = 150 * time.Millisecond
		runs       = 60 * time.Millisecond
		slowest    = runs * 10 / 6
	)
	tests := map[string]struct {
		// spacing is the time between the returns of two hosts, and ownersLater how much
		// later the hosts of the owners return.
		spacing, ownersLater time.Duration
	}{
		"all at once":                   {},
		"one after the other":           {spacing: 50 * time.Millisecond},
		"the hosts of the owners later": {spacing: 20 * time.Millisecond, ownersLater: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				for _, z := range zones {
					w.addHost(z, z+".host-2")
				}
				time.Sleep(startTime)
				var owners, others []*member
				for _, m := range w.allHosts() {
					if w.owner(m.zone) == m {
						owners = append(owners, m)
					} else {
						others = append(others, m)
					}
				}
				for _, m := range w.allHosts() {
					w.kill(m)
				}
				time.Sleep(2 * time.Second)
				var open sync.WaitGroup
				submit := func(m *member) {
					m = w.addHost(m.zone, m.name)
					arrived := time.Now()
					open.Go(func() {
						r := m.submitter.Submit(t.Context(), newJob("first-"+m.name, 1, runs), arrived, arrived.Add(2*time.Second))
						is.Equal(r.Result, dispatch.Completed)
						t.Logf("%s: after %v", m.name, time.Since(arrived))
					})
					time.Sleep(test.spacing)
				}
				if test.ownersLater > 0 {
					time.AfterFunc(test.ownersLater, func() {
						for _, m := range owners {
							w.addHost(m.zone, m.name)
						}
					})
				} else {
					others = append(owners, others...)
				}
				for _, m := range others {
					submit(m)
				}
				returned := time.Now().Add(-test.spacing)
				open.Wait()
				is.True(time.Since(returned) <= dispatched+slowest)
				time.Sleep(2 * test.ownersLater)
			})
		})
	}
}
