package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkingap/catkingap/standin"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
)

// TestOwnerDiesWithItsOwnCallers kills an owner that also serves callers, or an owner soon
// after the host of its jobs. No task may run twice.
func TestOwnerDiesWithItsOwnCallers(t *testing.T) {
	type row struct {
		first, owner, second string
		spill                bool
		// gap is the time between the two deaths, slow the delay of the table.
		gap, slow time.Duration
	}
	tests := map[string]row{}
	for _, ms := range []time.Duration{0, 50, 100, 150} {
		slow := ms * time.Millisecond
		tests[fmt.Sprintf("own callers, table slow by %s", slow)] = row{
			first: "coast-a.host-0", owner: "coast-a.host-0", second: "coast-b.host-1", slow: slow,
		}
	}
	for _, ms := range []time.Duration{0, 100, 200, 300, 400, 500, 600} {
		gap := ms * time.Millisecond
		tests[fmt.Sprintf("%s after the host", gap)] = row{
			first: "coast-a.host-1", owner: "coast-b.host-0", second: "coast-c.host-1", spill: true, gap: gap,
		}
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				time.Sleep(startTime)
				if tt.spill {
					w.spill()
				}
				first, owner := w.host(tt.first), w.host(tt.owner)
				c := w.callAndResend(first, w.host(tt.second), newJob("x", 2, longRun))
				w.store.Faults.Set(standin.Faults{Delay: tt.slow})
				time.Sleep(settledTime)
				w.kill(first)
				time.Sleep(tt.gap)
				if owner != first {
					w.kill(owner)
				}
				w.checkRanOnce(c)
			})
		})
	}
}

// TestCallerLeavesAsOwnerDies disconnects a caller around the time at which the owner of its
// job dies or is cut off, while a slow table delays the next owner. No task may run twice.
func TestCallerLeavesAsOwnerDies(t *testing.T) {
	// slow is the delay of the platform's table, which delays the next owner.
	const slow = 300 * time.Millisecond
	tests := map[string]func(w *world, owner *member){
		"dies": (*world).kill,
		"is cut off": func(w *world, owner *member) {
			w.network.Cut(func(from, to string) bool { return siteOf(from) == owner.name || siteOf(to) == owner.name })
		},
		"is cut off from hosts": func(w *world, owner *member) {
			w.network.Cut(func(from, to string) bool {
				from, to = siteOf(from), siteOf(to)
				return isHost(from) && isHost(to) && (from == owner.name || to == owner.name)
			})
		},
	}
	for name, fault := range tests {
		for _, ms := range []time.Duration{-1, 1, 50, 100} {
			gap := ms * time.Millisecond
			t.Run(fmt.Sprintf("%s, caller leaves after %s", name, gap), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t)
					time.Sleep(startTime)
					w.spill()
					c := w.callAndResend(w.host("coast-a.host-1"), w.host("coast-c.host-1"), newJob("x", 2, longRun))
					time.Sleep(settledTime)
					w.store.Faults.Set(standin.Faults{Delay: slow})
					time.AfterFunc(settledTime+gap, c.leave)
					time.Sleep(settledTime)
					fault(w, w.owner("coast-b"))
					w.checkRanOnce(c)
				})
			})
		}
	}
}

// TestNextOwnerDiesToo kills an owner that also serves callers, and the next owner after it
// has found their runs and extended their lease. No task may run twice.
func TestNextOwnerDiesToo(t *testing.T) {
	for _, ms := range []time.Duration{600, 700, 800, 1000, 1200} {
		gap := ms * time.Millisecond
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				time.Sleep(startTime)
				owner := w.host("coast-a.host-0")
				c := w.callAndResend(owner, w.host("coast-b.host-1"), newJob("x", 2, longRun))
				time.Sleep(settledTime)
				w.kill(owner)
				time.Sleep(gap)
				w.kill(w.host("coast-a.host-1"))
				w.checkRanOnce(c)
			})
		})
	}
}

// TestWorkersFallSilentAfterTheHost makes the workers of an owner fall silent after the host
// of its jobs has died, before the owner has stopped the jobs. No task may run twice.
func TestWorkersFallSilentAfterTheHost(t *testing.T) {
	const silent = 2 * time.Second
	for _, ms := range []time.Duration{0, 200, 400, 500, 600, 700} {
		gap := ms * time.Millisecond
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				time.Sleep(startTime)
				w.spill()
				first := w.host("coast-a.host-1")
				c := w.callAndResend(first, w.host("coast-c.host-1"), newJob("x", 2, longRun))
				time.Sleep(settledTime)
				w.kill(first)
				time.Sleep(gap)
				for name, x := range w.workers {
					if zoneOf(name) == "coast-b" {
						x.Faults.Set(standin.Faults{Mode: standin.Silent})
					}
				}
				time.Sleep(silent)
				for _, x := range w.workers {
					x.Faults.Set(standin.Faults{})
				}
				w.checkRanOnce(c)
			})
		})
	}
}

// TestOwnerStartsAgain kills an owner that also serves callers, or all hosts of its data
// centre, and restarts the owner's host. No task may run twice.
func TestOwnerStartsAgain(t *testing.T) {
	type row struct {
		all bool
		// back is the time until the host starts again, slow the delay of the table.
		back, slow time.Duration
	}
	tests := map[string]row{}
	for _, ms := range []time.Duration{0, 300, 500, 550, 900} {
		back := ms * time.Millisecond
		tests[fmt.Sprintf("all hosts die, one is back after %s", back)] = row{all: true, back: back}
	}
	for _, ms := range []time.Duration{0, 200, 400} {
		back := ms * time.Millisecond
		tests[fmt.Sprintf("back after %s, table slow", back)] = row{back: back, slow: 300 * time.Millisecond}
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				time.Sleep(startTime)
				owner := w.host("coast-a.host-0")
				c := w.callAndResend(owner, w.host("coast-b.host-1"), newJob("x", 2, longRun))
				time.Sleep(settledTime)
				w.store.Faults.Set(standin.Faults{Delay: tt.slow})
				w.kill(owner)
				if tt.all {
					w.kill(w.host("coast-a.host-1"))
				}
				time.Sleep(tt.back)
				w.addHost(owner.zone, owner.name)
				w.checkRanOnce(c)
			})
		})
	}
}

// TestJobOutlivesItsOwner kills the owner of a job that has run for some time. Its host must
// wait for the next owner, and the caller must get its reply.
func TestJobOutlivesItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		w.spill()
		first := w.host("coast-a.host-1")
		answer := make(chan dispatch.Reply, 1)
		go func() {
			answer <- first.submitter.Submit(first.ctx, newJob("x", 2, longRun), time.Now(), time.Now().Add(time.Minute))
		}()
		time.Sleep(2 * resendTime)
		w.kill(w.owner("coast-b"))
		is.Equal((<-answer).Result, dispatch.Completed)
	})
}
