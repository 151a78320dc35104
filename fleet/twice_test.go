package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
)

const (
	// resendTime is the time after which a caller whose connection broke resubmits its job.
	resendTime = 1300 * time.Millisecond
	// longRun is the run time of tasks that run longer than that.
	longRun = 4 * time.Second
	// settledTime is how long it takes until all hosts know of a load.
	settledTime = 500 * time.Millisecond
	// contactTime is the maximum time until a host contacts another one.
	contactTime = 200 * time.Millisecond
)

func newJob(id string, tasks int, runs time.Duration) work.Job {
	return work.Job{
		ID: work.ID(fmt.Sprintf("%dms%s", runs.Milliseconds(), id)), Queue: queueName, Pool: "pool", Attempts: 3, Stretch: 4, Target: time.Second,
		Steps: []work.Step{{Count: tasks, Size: work.Size{Cores: taskCores, Memory: 64}, Estimate: runs}},
	}
}

// host returns a host by its name.
func (w *world) host(name string) *member {
	for _, m := range w.allHosts() {
		if m.name == name {
			return m
		}
	}
	w.t.Fatalf("no host %s", name)
	return nil
}

// fill runs some long tasks in a data centre.
func (w *world) fill(zone string, tasks int) {
	m := w.owner(zone)
	go m.submitter.Submit(m.ctx, newJob("fill"+zone, tasks, 8*time.Second), time.Now(), time.Now().Add(time.Minute))
}

// spill fills coast-a so that its jobs go to coast-b, whose owner counts capacity for one
// task per worker as long as it knows no job. Jobs of coast-c stay there.
func (w *world) spill() {
	const places = 2 * workersPerZone
	w.fill("coast-a", places)
	w.fill("coast-c", places-workersPerZone/2)
	time.Sleep(settledTime)
}

// caller leaves and then resubmits its job.
type caller struct {
	leave  context.CancelFunc
	answer chan dispatch.Reply
}

// callAndResend submits a job whose caller resubmits it through another host after it has
// left or its host has died.
func (w *world) callAndResend(first, second *member, j work.Job) *caller {
	ctx, cancel := context.WithCancel(first.ctx)
	c := &caller{leave: cancel, answer: make(chan dispatch.Reply, 1)}
	deadline := time.Now().Add(time.Minute)
	go first.submitter.Submit(ctx, j, time.Now(), deadline)
	go func() {
		<-ctx.Done()
		time.Sleep(resendTime)
		c.answer <- second.submitter.Submit(second.ctx, j, time.Now(), deadline)
	}()
	return c
}

// checkRanOnce checks that the job was completed and that no task ran twice at the same
// time.
func (w *world) checkRanOnce(c *caller) {
	is := is.New(w.t)
	is.Equal((<-c.answer).Result, dispatch.Completed)
	_, _, doubled := w.recorder.Summary()
	is.Equal(doubled, nil)
}

// isHost returns true for the site of an entry host.
func isHost(site string) bool { return strings.Contains(site, ".host-") }

// between returns a function that is true for the data from one site to another.
func between(a, b string) func(from, to string) bool {
	return func(from, to string) bool { return siteOf(from) == a && siteOf(to) == b }
}

// delayMessages delays the data that one host sends to another.
func (w *world) delayMessages(from, to string, extra time.Duration) {
	match := between(from, to)
	w.network.Slow(func(from, to string) time.Duration {
		if match(from, to) {
			return extra
		}
		return 0
	})
}

// TestCallerLeavesBetweenTwoTries resets the links of a host, whose caller leaves while the
// host waits for its next try. No task may run twice.
func TestCallerLeavesBetweenTwoTries(t *testing.T) {
	places := map[string]struct {
		spill  bool
		second string
	}{
		"own data centre":     {second: "coast-b.host-1"},
		"another data centre": {spill: true, second: "coast-c.host-1"},
	}
	gaps := []time.Duration{1, 5, 10, 15, 19}
	for name, test := range places {
		for _, gap := range gaps {
			gap *= time.Millisecond
			t.Run(fmt.Sprintf("%s, %s", name, gap), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t)
					time.Sleep(startTime)
					if test.spill {
						w.spill()
					}
					first := w.host("coast-a.host-1")
					c := w.callAndResend(first, w.host(test.second), newJob("x", 2, longRun))
					time.Sleep(settledTime)
					w.network.Reset(func(from, to string) bool { return siteOf(from) == first.name && isHost(siteOf(to)) })
					time.Sleep(gap)
					c.leave()
					w.checkRanOnce(c)
				})
			})
		}
	}
}

// TestCallerLeavesAsItsJobArrives disconnects callers while their jobs are in transit, so
// that the owner reads the submission and the withdrawal at once. No task may run twice.
func TestCallerLeavesAsItsJobArrives(t *testing.T) {
	const (
		callers = 12
		late    = 50 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		first, second := w.host("coast-a.host-1"), w.host("coast-b.host-1")
		for n := range callers {
			w.delayMessages(first.name, w.owner("coast-a").name, late)
			c := w.callAndResend(first, second, newJob(fmt.Sprint("x", n), 1, longRun))
			time.Sleep(time.Millisecond)
			w.network.Slow(nil)
			c.leave()
			time.Sleep(2 * late)
		}
		time.Sleep(longRun)
		starts, _, doubled := w.recorder.Summary()
		is.Equal(doubled, nil)
		is.True(starts >= callers)
	})
}

// TestWithdrawalsGetLost drops the withdrawals of a host that the owner still hears. No task
// may run twice.
func TestWithdrawalsGetLost(t *testing.T) {
	const (
		// triesTime is how long a host tries to tell an owner that a caller has left.
		triesTime = 1250 * time.Millisecond
		// onWay is less than the time that a message to another host takes.
		onWay = 50 * time.Microsecond
	)
	refuse := func(d time.Duration) func(w *world, host, owner string) {
		return func(w *world, host, owner string) {
			time.Sleep(onWay)
			w.network.Refuse(between(host, owner))
			w.network.Reset(between(host, owner))
			time.Sleep(d)
			w.network.Refuse(nil)
		}
	}
	tests := map[string]func(w *world, host, owner string){
		"all but contacts is lost": func(w *world, host, owner string) {
			match := between(host, owner)
			w.network.Drop(func(from, to string, data []byte) bool {
				return match(from, to) && !bytes.Contains(data, []byte("contact"))
			})
			time.Sleep(triesTime)
			w.network.Drop(nil)
		},
		"answers are lost": func(w *world, host, owner string) {
			match := between(owner, host)
			w.network.Drop(func(from, to string, data []byte) bool {
				return match(from, to) && !bytes.Contains(data, []byte("contact"))
			})
			time.Sleep(triesTime)
			w.network.Drop(nil)
		},
		"links are refused for 10ms":  refuse(10 * time.Millisecond),
		"links are refused for 100ms": refuse(100 * time.Millisecond),
		"links are refused for 300ms": refuse(300 * time.Millisecond),
		"links are refused for 500ms": refuse(500 * time.Millisecond),
		"the host is cut off for 300ms": func(w *world, host, _ string) {
			time.Sleep(onWay)
			w.cutHost(host, 300*time.Millisecond)
		},
		"the host is cut off for 1250ms": func(w *world, host, _ string) {
			time.Sleep(onWay)
			w.cutHost(host, triesTime)
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				time.Sleep(startTime)
				w.spill()
				first := w.host("coast-a.host-1")
				c := w.callAndResend(first, w.host("coast-c.host-1"), newJob("x", 2, longRun))
				time.Sleep(settledTime)
				c.leave()
				fault(w, first.name, w.owner("coast-b").name)
				w.checkRanOnce(c)
			})
		})
	}
}

// TestSubmissionIsReadLate delays submissions to an owner until their host has closed the
// link or has died. No task may run twice.
func TestSubmissionIsReadLate(t *testing.T) {
	const callers = 3
	leave := func(d time.Duration) func(*world, *member, []*caller) {
		return func(_ *world, _ *member, callers []*caller) {
			time.Sleep(d)
			for _, c := range callers {
				c.leave()
			}
		}
	}
	tests := map[string]func(w *world, first *member, callers []*caller){
		"callers leave before the link is given up": leave(100 * time.Millisecond),
		"callers leave as the link is given up":     leave(700 * time.Millisecond),
		"callers leave after the next submission":   leave(1100 * time.Millisecond),
		"the host dies": func(w *world, first *member, _ []*caller) { w.kill(first) },
		"the host dies after a contact": func(w *world, first *member, _ []*caller) {
			time.Sleep(contactTime)
			w.kill(first)
		},
		"the host starts again": func(w *world, first *member, _ []*caller) {
			w.kill(first)
			time.Sleep(100 * time.Millisecond)
			w.addHost(first.zone, first.name)
		},
	}
	for name, fault := range tests {
		for _, late := range []time.Duration{1600 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s late", name, late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t)
					time.Sleep(startTime)
					w.spill()
					first, second := w.host("coast-a.host-1"), w.host("coast-c.host-1")
					w.delayMessages(first.name, w.owner("coast-b").name, late)
					var open []*caller
					for n := range callers {
						open = append(open, w.callAndResend(first, second, newJob(fmt.Sprint("x", n), 1, longRun)))
					}
					time.AfterFunc(contactTime, func() { w.network.Slow(nil) })
					time.Sleep(time.Millisecond)
					fault(w, first, open)
					for _, c := range open {
						w.checkRanOnce(c)
					}
				})
			})
		}
	}
}

// TestContactIsReadLate delays the last contacts of a dying host to the owner of its jobs.
// No task may run twice.
func TestContactIsReadLate(t *testing.T) {
	const late = 545 * time.Millisecond
	tests := map[string][]time.Duration{
		"one contact":  {late},
		"two contacts": {late, late},
	}
	for name, delays := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				time.Sleep(startTime)
				w.spill()
				first := w.host("coast-a.host-1")
				c := w.callAndResend(first, w.host("coast-c.host-1"), newJob("x", 2, longRun))
				time.Sleep(settledTime)
				sent := make(chan struct{}, len(delays))
				left, match := delays, between(first.name, w.owner("coast-b").name)
				w.network.Slow(func(from, to string) time.Duration {
					if !match(from, to) || len(left) == 0 {
						return 0
					}
					extra := left[0]
					left = left[1:]
					sent <- struct{}{}
					return extra
				})
				for range delays {
					<-sent
				}
				w.kill(first)
				w.checkRanOnce(c)
			})
		})
	}
}

// TestCallerLeavesWhileLinksAreRefused refuses the links of a host to the owner of a job for
// a moment, and disconnects the caller between two tries. No task may run twice.
func TestCallerLeavesWhileLinksAreRefused(t *testing.T) {
	const refused = 300 * time.Millisecond
	for _, ms := range []time.Duration{30, 110, 190, 290} {
		gap := ms * time.Millisecond
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				time.Sleep(startTime)
				w.spill()
				first := w.host("coast-a.host-1")
				match := between(first.name, w.owner("coast-b").name)
				c := w.callAndResend(first, w.host("coast-c.host-1"), newJob("x", 2, longRun))
				time.Sleep(settledTime)
				w.network.Refuse(match)
				w.network.Reset(match)
				time.AfterFunc(refused, func() { w.network.Refuse(nil) })
				time.Sleep(gap)
				c.leave()
				w.checkRanOnce(c)
			})
		})
	}
}

// TestLateSubmissionTakesTheJobAway resubmits a job to the data centre at which its first
// submission has not arrived yet. The first one must not end the second one.
func TestLateSubmissionTakesTheJobAway(t *testing.T) {
	for _, ms := range []time.Duration{2100, 3000} {
		late := ms * time.Millisecond
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				w.spill()
				first, third := w.host("coast-a.host-1"), w.host("coast-c.host-1")
				j := newJob("x", 2, longRun)
				w.delayMessages(first.name, w.owner("coast-b").name, late)
				c := w.callAndResend(first, w.host("coast-b.host-1"), j)
				time.Sleep(contactTime)
				w.network.Slow(nil)
				time.Sleep(settledTime)
				c.leave()
				r := <-c.answer
				if r.Result != dispatch.Completed {
					time.Sleep(resendTime)
					third.submitter.Submit(third.ctx, j, time.Now(), time.Now().Add(time.Minute))
				}
				_, _, doubled := w.recorder.Summary()
				is.Equal(doubled, nil)
				is.Equal(r.Result, dispatch.Completed)
			})
		})
	}
}

// submitAndWait submits a job. The returned function waits for its result, and returns an
// empty one if that takes too long.
func (w *world) submitAndWait(m *member, j work.Job) func() dispatch.Result {
	answer := make(chan dispatch.Reply, 1)
	go func() {
		answer <- m.submitter.Submit(m.ctx, j, time.Now(), time.Now().Add(time.Minute))
	}()
	return func() dispatch.Result {
		select {
		case r := <-answer:
			return r.Result
		case <-time.After(4 * longRun):
			return ""
		}
	}
}

// TestEarlierTryArrivesLate delays the first try of a job until after the second one, while
// the caller waits. The job must be completed.
func TestEarlierTryArrivesLate(t *testing.T) {
	for _, ms := range []time.Duration{800, 1600, 2500} {
		late := ms * time.Millisecond
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				w.spill()
				first := w.host("coast-a.host-1")
				w.delayMessages(first.name, w.owner("coast-b").name, late)
				result := w.submitAndWait(first, newJob("x", 2, longRun))
				time.Sleep(contactTime)
				w.network.Slow(nil)
				is.Equal(result(), dispatch.Completed)
			})
		})
	}
}

// TestLinkGoesSilent silences the link of a host to the owner of its job for good, while
// new links work. The job must continue without a second start.
func TestLinkGoesSilent(t *testing.T) {
	for _, ms := range []time.Duration{0, 40, 80, 120} {
		gap := ms * time.Millisecond
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				w.spill()
				first, owner := w.host("coast-a.host-1"), w.owner("coast-b")
				before, _, _ := w.recorder.Summary()
				result := w.submitAndWait(first, newJob("x", 2, longRun))
				time.Sleep(settledTime + gap)
				var dialed atomic.Bool
				w.network.Refuse(func(from, to string) bool {
					if between(first.name, owner.name)(from, to) {
						dialed.Store(true)
					}
					return false
				})
				w.network.Drop(func(from, to string, _ []byte) bool {
					return !dialed.Load() && (between(first.name, owner.name)(from, to) || between(owner.name, first.name)(from, to))
				})
				is.Equal(result(), dispatch.Completed)
				starts, _, _ := w.recorder.Summary()
				is.Equal(starts-before, 2)
			})
		})
	}
}
