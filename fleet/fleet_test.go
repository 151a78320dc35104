package fleet_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/queue"
	"github.com/catkingap/catkingap/standin"
)

// TestCalmLoad runs a load for 10 s without faults on six hosts. Each task must start once
// and each job must be completed.
func TestCalmLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		w.load(40, 10*time.Second)
		starts, done, doubled := w.recorder.Summary()
		is.Equal(doubled, nil)
		is.Equal(starts, done)
		is.True(w.results[dispatch.Completed] > 300)
		is.Equal(len(w.results), 1)
	})
}

// TestFaults runs a load with one fault in its middle. No task may run twice at the same
// time, and most jobs must be completed.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault func(w *world)
		// served is the minimum share of completed jobs.
		served float64
	}{
		"an owner dies":                 {fault: func(w *world) { w.kill(w.owner("coast-b")) }, served: 0.9},
		"a host that owns nothing dies": {fault: func(w *world) { w.kill(w.hosts[1]) }, served: 0.9},
		"a host starts again at once, several times": {fault: func(w *world) {
			m := w.hosts[1]
			for range 6 {
				w.kill(m)
				time.Sleep(100 * time.Millisecond)
				m = w.addHost(m.zone, m.name)
				time.Sleep(900 * time.Millisecond)
			}
		}, served: 0.9},
		"an owner is cut off from all and returns": {fault: func(w *world) {
			name := w.owner("coast-a").name
			w.cut(3*time.Second, func(from, to string) bool { return from == name || to == name })
		}, served: 0.8},
		"a host is cut off from the other hosts": {fault: func(w *world) {
			w.cutHost(w.hosts[1].name, 6*time.Second)
			is.New(w.t).Equal(len(w.ownerChanges()), 0)
		}, served: 0.8},
		"an owner is cut off from the other hosts": {fault: func(w *world) {
			w.cutHost(w.owner("coast-b").name, 4*time.Second)
		}, served: 0.8},
		"an owner is heard but cannot answer": {fault: func(w *world) {
			name := w.owner("coast-c").name
			w.cut(5*time.Second, func(from, to string) bool { return from == name && strings.Contains(to, ".host-") })
		}, served: 0.8},
		"a data centre is cut off": {fault: func(w *world) {
			w.cut(5*time.Second, func(from, to string) bool { return (zoneOf(from) == "coast-a") != (zoneOf(to) == "coast-a") })
		}, served: 0.85},
		"an owner is cut off from the store": {fault: func(w *world) {
			name := w.owner("coast-c").name
			w.cut(4*time.Second, func(from, to string) bool {
				return (from == name && to == storeSite) || (to == name && from == storeSite)
			})
		}, served: 0.99},
		"the store is silent": {fault: func(w *world) {
			w.store.Faults.Set(standin.Faults{Mode: standin.Silent})
			time.Sleep(4 * time.Second)
			w.store.Faults.Set(standin.Faults{})
		}, served: 0.99},
		"the store loses its history": {fault: func(w *world) { w.store.Forget() }, served: 0.99},
		"workers are cut off": {fault: func(w *world) {
			w.cut(3*time.Second, func(from, to string) bool {
				return strings.HasSuffix(from, "worker-1") || strings.HasSuffix(to, "worker-1")
			})
		}, served: 0.9},
		"workers fail all that they start": {fault: func(w *world) {
			w.workers["coast-a.worker-1"].Faults.Set(standin.Faults{Mode: standin.FailAll})
		}, served: 0.97},
		"workers lose answers": {fault: func(w *world) {
			for _, x := range w.workers {
				x.Faults.Set(standin.Faults{Mode: standin.LoseAnswer, Count: 4})
			}
		}, served: 0.9},
		"two owners die one after the other": {fault: func(w *world) {
			w.kill(w.owner("coast-a"))
			time.Sleep(500 * time.Millisecond)
			w.kill(w.owner("coast-c"))
		}, served: 0.85},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				time.AfterFunc(4*time.Second, func() { test.fault(w) })
				w.load(40, 12*time.Second)
				_, _, doubled := w.recorder.Summary()
				is.Equal(doubled, nil)
				share := w.completedShare()
				t.Logf("results %v, completed %.3f", w.results, share)
				is.True(share >= test.served)
			})
		})
	}
}

// TestGoneHost kills a host for good. Its row must be removed some time later.
func TestGoneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		gone := w.hosts[1]
		w.kill(gone)
		time.Sleep(11 * time.Minute)
		var removed []string
		for _, r := range w.store.History() {
			if r.Removed {
				removed = append(removed, r.Key)
			}
		}
		is.Equal(removed, []string{"host." + gone.name})
	})
}

// TestDraining drains a worker. It must get no start more than two seconds later, and its
// running tasks must end.
func TestDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		const name = "coast-b.worker-2"
		var left time.Time
		time.AfterFunc(3*time.Second, func() {
			left = time.Now()
			w.store.Put("servers", name, w.workers[name].DrainingEntry("pool", name+":1", "coast-b"))
		})
		w.load(40, 9*time.Second)
		is.True(!left.IsZero())
		is.True(w.workers[name].LastStart().Before(left.Add(2 * time.Second)))
		is.True(w.workers[name].LastStart().After(left.Add(-2 * time.Second)))
		is.Equal(len(w.results), 1)
	})
}

// TestConfigurationInForce changes the configuration while a host cannot reach the store,
// and after the store has lost its history. Each version must be in force on all hosts
// within two seconds.
func TestConfigurationInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		inForce := func(version queue.Version) {
			time.Sleep(2 * time.Second)
			for _, m := range w.hosts {
				is.Equal(m.configuration.Table().Version, version)
			}
		}
		inForce(1)
		cut := w.hosts[3].name
		w.network.Cut(func(from, to string) bool {
			from, to = siteOf(from), siteOf(to)
			return (from == cut && to == storeSite) || (to == cut && from == storeSite)
		})
		w.configure(5)
		inForce(5)
		w.configure(6)
		inForce(6)
		w.network.Cut(nil)
		w.store.Forget()
		w.configure(9)
		inForce(9)
	})
}

// TestShutdown shuts an owner down gracefully under load. Another host must take over its
// workers, no job may be interrupted, and no task may run twice.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		m := w.owner("coast-a")
		time.AfterFunc(2*time.Second, func() {
			m.shutdown.Run(t.Context())
			m.dead.Store(true)
			_ = m.app.Stop(t.Context())
		})
		w.load(40, 10*time.Second)
		_, _, doubled := w.recorder.Summary()
		is.Equal(doubled, nil)
		is.Equal(len(w.ownerChanges()), 1)
		is.True(w.results[dispatch.Completed] > 300)
		is.Equal(len(w.results), 1)
	})
}
