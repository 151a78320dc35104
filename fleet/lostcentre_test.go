package fleet_test

import (
	"bytes"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/work"
)

const (
	// rowExpiry is how long the row of a worker stays in the table after its last heartbeat.
	rowExpiry = 4500 * time.Millisecond
	// finishTime is the time after the end of the traffic by which jobs must go on, and
	// longestRun how long the longest one then takes at most.
	finishTime = 14 * time.Second
	longMs     = 6000
	longestRun = 26 * time.Second
	// earlyJobs is the number of long jobs that are half done as a fault begins.
	earlyJobs = 10
)

// loseWorkers powers off workers for good.
func (w *world) loseWorkers(isLost func(name string) bool) {
	for name, x := range w.workers {
		if !isLost(name) {
			continue
		}
		_ = w.workerServers[name].Close()
		x.PowerOff()
		time.AfterFunc(rowExpiry, func() { w.store.Remove("servers", name) })
		delete(w.workers, name)
	}
}

// loseCentre powers off all hosts and workers of a data centre.
func (w *world) loseCentre(zone string) {
	for _, m := range w.allHosts() {
		if m.zone == zone && !m.dead.Load() {
			w.kill(m)
		}
	}
	w.loseWorkers(func(name string) bool { return zoneOf(name) == zone })
}

// restoreCentre starts the hosts and workers of a lost data centre again.
func (w *world) restoreCentre(zone string) {
	for i := range workersPerZone {
		w.addWorker(zone, workerName(zone, i)+"-new")
	}
	for i := range hostsPerZone {
		w.addHost(zone, hostName(zone, i))
	}
}

// cutCentre cuts a data centre off for d. Sites inside for which stays returns true remain
// reachable from outside.
func (w *world) cutCentre(zone string, d time.Duration, stays func(site string) bool) {
	inside := func(site string) bool { return zoneOf(site) == zone && !stays(site) }
	w.cut(d, func(from, to string) bool { return inside(from) != inside(to) })
}

// loseAnswers loses each third answer of the table for d.
func (w *world) loseAnswers(d time.Duration) {
	var answers atomic.Int64
	w.cut(d, func(from, _ string) bool { return from == storeSite && answers.Add(1)%3 == 0 })
}

// TestAcceptedJobsOfALostDataCentreAreCompleted loses a data centre, or cuts it off, while
// jobs run there. The others must complete its jobs, and no task may run in two places.
func TestAcceptedJobsOfALostDataCentreAreCompleted(t *testing.T) {
	const lost = "coast-a"
	tests := map[string]func(w *world){
		"for good": func(w *world) { w.loseCentre(lost) },
		"and the first to take its jobs": func(w *world) {
			w.loseCentre(lost)
			time.Sleep(9 * time.Second)
			w.kill(w.owner("coast-b"))
		},
		"and another one later": func(w *world) {
			w.loseCentre(lost)
			time.Sleep(9 * time.Second)
			w.loseCentre("coast-b")
		},
		"it is back at once": func(w *world) {
			w.loseCentre(lost)
			time.Sleep(time.Second)
			w.restoreCentre(lost)
		},
		"it is back as its jobs are moved": func(w *world) {
			w.loseCentre(lost)
			time.Sleep(8 * time.Second)
			w.restoreCentre(lost)
		},
		"it is back later": func(w *world) {
			w.loseCentre(lost)
			time.Sleep(10 * time.Second)
			w.restoreCentre(lost)
		},
		"while the table is away": func(w *world) {
			w.store.Faults.Set(standin.Faults{Mode: standin.Silent})
			time.Sleep(time.Second)
			w.loseCentre(lost)
			time.Sleep(4 * time.Second)
			w.store.Faults.Set(standin.Faults{})
		},
		"answers of the table are lost": func(w *world) {
			w.loseCentre(lost)
			time.Sleep(7 * time.Second)
			w.loseAnswers(3 * time.Second)
		},
		"it is cut off for a moment": func(w *world) {
			w.cutCentre(lost, 3*time.Second, func(string) bool { return false })
		},
		"it is cut off": func(w *world) {
			w.cutCentre(lost, 12*time.Second, func(string) bool { return false })
		},
		"it is cut off until its jobs are moved": func(w *world) {
			w.cutCentre(lost, 8500*time.Millisecond, func(string) bool { return false })
		},
		"it is cut off with half of its workers": func(w *world) {
			w.cutCentre(lost, 12*time.Second, func(site string) bool {
				return strings.HasSuffix(site, "worker-3") || strings.HasSuffix(site, "worker-4") || strings.HasSuffix(site, "worker-5")
			})
		},
		"one of its hosts is cut off with its workers": func(w *world) {
			name := w.owner(lost).name
			w.cutCentre(lost, 12*time.Second, func(site string) bool { return strings.Contains(site, "host-") && site != name })
		},
		"it is cut off together with another one": func(w *world) {
			inside := func(site string) bool { return zoneOf(site) == lost || zoneOf(site) == "coast-b" }
			w.cut(10*time.Second, func(from, to string) bool { return inside(from) != inside(to) })
		},
		"its hosts reach the others, but not the table": func(w *world) {
			w.cut(12*time.Second, func(from, to string) bool {
				return zoneOf(from) == lost && to == storeSite || zoneOf(to) == lost && from == storeSite
			})
		},
		"its hosts are paused": func(w *world) {
			inside := func(site string) bool { return zoneOf(site) == lost && strings.Contains(site, "host-") }
			w.cut(9*time.Second, func(from, to string) bool { return inside(from) || inside(to) })
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				faultEnded := make(chan struct{})
				var early []work.ID
				go func() {
					time.Sleep(3*time.Second - longMs/2*time.Millisecond)
					early = w.storeAt(w.owner(lost), earlyJobs)
					time.Sleep(longMs / 2 * time.Millisecond)
					fault(w)
					close(faultEnded)
				}()
				accepted := w.storeJobs(10, 8*time.Second, longMs)
				<-faultEnded
				is.Equal(len(early), earlyJobs)
				accepted = append(accepted, early...)
				time.Sleep(finishTime + longestRun)
				is.True(len(accepted) > 50)
				w.checkCompleted(accepted)
			})
		})
	}
}

// TestUnconfirmedOwnerStoresNoJob loses the heartbeats of an owner, but not its other writes, and
// cuts its data centre off from the others. They may move its jobs at any moment by then, so it
// must store none.
func TestUnconfirmedOwnerStoresNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		m := w.owner("coast-a")
		inside := func(site string) bool { return zoneOf(site) == "coast-a" }
		w.network.Cut(func(from, to string) bool {
			from, to = siteOf(from), siteOf(to)
			return from != storeSite && to != storeSite && inside(from) != inside(to)
		})
		w.network.Drop(func(from, _ string, data []byte) bool {
			return siteOf(from) == m.name && bytes.Contains(data, []byte("catkingapPulse"))
		})
		time.Sleep(8 * time.Second)
		j, now := storedJob(1, 200, 1), time.Now()
		is.Equal(m.submitter.SubmitStored(m.ctx, j, now, now.Add(time.Second)).Result, dispatch.Refused)
		starts, _, _ := w.recorder.Summary()
		is.Equal(starts, 0)
		w.network.Cut(nil)
		w.network.Drop(nil)
		time.Sleep(5 * time.Second)
		is.True(w.storeJob(j, time.Second))
		time.Sleep(5 * time.Second)
		w.checkCompleted([]work.ID{j.ID})
	})
}

// storeAt submits long jobs at one host, and returns the accepted ones.
func (w *world) storeAt(m *member, count int) []work.ID {
	var accepted []work.ID
	for n := range count {
		j := storedJob(1000+n, longMs, 1+n%2)
		if now := time.Now(); m.submitter.SubmitStored(m.ctx, j, now, now.Add(time.Second)).Result == dispatch.Stored {
			accepted = append(accepted, j.ID)
		}
	}
	return accepted
}

// checkCompleted checks that jobs are completed and that their tasks have run as they should.
func (w *world) checkCompleted(jobs []work.ID) {
	w.t.Helper()
	is := is.New(w.t)
	for _, id := range jobs {
		if s := w.state(id); s != ledger.Completed {
			w.t.Errorf("job %s is %q", id, s)
		}
	}
	_, _, doubled := w.recorder.Summary()
	is.Equal(doubled, nil)
	is.Equal(w.recorder.Restarted(), nil)
}
