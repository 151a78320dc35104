package fleet_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/platform"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

// storedJob returns a stored job with two steps, the second after the first.
func storedJob(n, ms, tasks int) work.Job {
	size := work.Size{Cores: taskCores, Memory: 64}
	estimate := time.Duration(ms) * time.Millisecond
	return work.Job{
		ID: work.ID(fmt.Sprintf("%dms%d", ms, n)), Queue: queueName, Pool: "pool", Attempts: 3, Stretch: 1.6, Target: 60 * time.Millisecond,
		Steps: []work.Step{{Count: tasks, Size: size, Estimate: estimate}, {Count: 1, Size: size, Estimate: estimate, After: []int{0}}},
	}
}

// storeJob submits a stored job until it is accepted or patience ends. It returns true if
// the job was accepted.
func (w *world) storeJob(j work.Job, patience time.Duration) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		m := w.randomHost()
		now := time.Now()
		r := m.submitter.SubmitStored(m.ctx, j, now, now.Add(2*time.Second))
		if r.Result == dispatch.Stored {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// storeLoad submits stored jobs at a rate for d, and returns the accepted ones. Each fifth
// one is long.
func (w *world) storeLoad(perSecond int, d time.Duration) []work.ID {
	return w.storeJobs(perSecond, d, 1500)
}

// storeJobs is storeLoad with tasks of the given milliseconds in the long jobs.
func (w *world) storeJobs(perSecond int, d time.Duration, longMs int) []work.ID {
	var mutex sync.Mutex
	var open sync.WaitGroup
	var accepted []work.ID
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(w.random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
		ms := 200
		if n%5 == 0 {
			ms = longMs
		}
		j := storedJob(n, ms, 1+w.random.IntN(3))
		open.Go(func() {
			if w.storeJob(j, 20*time.Second) {
				mutex.Lock()
				defer mutex.Unlock()
				accepted = append(accepted, j.ID)
			}
		})
	}
	open.Wait()
	return accepted
}

// state returns the state of a job as a running host reports it, or an empty state.
func (w *world) state(id work.ID) ledger.State {
	m := w.randomHost()
	ctx, cancel := context.WithTimeout(m.ctx, 2*time.Second)
	defer cancel()
	e, err := m.submitter.State(ctx, id)
	if err != nil || e == nil {
		return ""
	}
	return e.State
}

// killAll kills all hosts at once, and restarts them after d.
func (w *world) killAll(d time.Duration) {
	hosts := slices.DeleteFunc(w.allHosts(), func(m *member) bool { return m.dead.Load() })
	for _, m := range hosts {
		w.kill(m)
	}
	time.Sleep(d)
	for _, m := range hosts {
		w.addHost(m.zone, m.name)
	}
}

// TestKeptJobs submits stored jobs during a fault. Each accepted one must be completed, and
// no task may run twice at the same time or again after its end was stored.
func TestKeptJobs(t *testing.T) {
	tests := map[string]func(w *world){
		"no fault":             func(*world) {},
		"an owner dies":        func(w *world) { w.kill(w.owner("coast-b")) },
		"all hosts are killed": func(w *world) { w.killAll(500 * time.Millisecond) },
		"killed twice in a row": func(w *world) {
			w.killAll(300 * time.Millisecond)
			time.Sleep(700 * time.Millisecond)
			w.killAll(2 * time.Second)
		},
		"the table is unreachable": func(w *world) {
			w.cut(4*time.Second, func(from, to string) bool { return from == storeSite || to == storeSite })
		},
		"the table is unreachable and an owner dies": func(w *world) {
			go func() {
				time.Sleep(time.Second)
				w.kill(w.owner("coast-a"))
			}()
			w.cut(4*time.Second, func(from, to string) bool { return from == storeSite || to == storeSite })
		},
		"answers of the table are lost": func(w *world) {
			w.cut(3*time.Second, func(from, _ string) bool { return from == storeSite })
		},
		"writes of the table are carried out late": func(w *world) {
			for range 12 {
				w.store.Faults.Set(standin.Faults{Mode: standin.Late, Delay: 3 * time.Second})
				time.Sleep(150 * time.Millisecond)
				w.store.Faults.Set(standin.Faults{})
				time.Sleep(250 * time.Millisecond)
			}
		},
		"writes are carried out late and owners die": func(w *world) {
			for range 8 {
				w.store.Faults.Set(standin.Faults{Mode: standin.Late, Delay: 2500 * time.Millisecond})
				time.Sleep(200 * time.Millisecond)
				w.store.Faults.Set(standin.Faults{})
				time.Sleep(300 * time.Millisecond)
			}
			w.store.Faults.Set(standin.Faults{Mode: standin.Late, Delay: 2500 * time.Millisecond})
			w.kill(w.owner("coast-a"))
			time.Sleep(200 * time.Millisecond)
			w.kill(w.owner("coast-b"))
			time.Sleep(900 * time.Millisecond)
			w.store.Faults.Set(standin.Faults{})
		},
		"an owner is cut off and returns": func(w *world) {
			name := w.owner("coast-a").name
			w.cut(3*time.Second, func(from, to string) bool { return from == name || to == name })
		},
		"an owner is cut off from the table": func(w *world) {
			name := w.owner("coast-a").name
			w.cut(3*time.Second, func(from, to string) bool { return from == name && to == storeSite || from == storeSite && to == name })
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				go func() {
					time.Sleep(3 * time.Second)
					fault(w)
				}()
				accepted := w.storeLoad(10, 8*time.Second)
				time.Sleep(15 * time.Second)
				is.True(len(accepted) > 50)
				for _, id := range accepted {
					if s := w.state(id); s != ledger.Completed {
						e, _ := w.randomHost().submitter.State(context.Background(), id)
						t.Errorf("job %s is %q %+v", id, s, e)
					}
				}
				_, _, doubled := w.recorder.Summary()
				is.Equal(doubled, nil)
				is.Equal(w.recorder.Restarted(), nil)
			})
		})
	}
}

// TestLostAnswerWhileStoredJobsAreRead loses one answer of the table while a new owner reads
// the stored jobs. They must go on soon.
func TestLostAnswerWhileStoredJobsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		time.Sleep(startTime)
		accepted := w.storeAt(w.owner("coast-b"), 6)
		time.Sleep(500 * time.Millisecond)
		w.kill(w.owner("coast-b"))
		var lost atomic.Bool
		w.network.Drop(func(from, _ string, data []byte) bool {
			return siteOf(from) == storeSite && bytes.Contains(data, []byte("catkingapJobState")) && lost.CompareAndSwap(false, true)
		})
		time.Sleep(longestRun)
		is.New(t).True(lost.Load())
		w.checkCompleted(accepted)
	})
}

// TestKeptJobsThatFail makes all workers fail. A task must run at most as often as its
// queue allows, even when owners change meanwhile.
func TestKeptJobsThatFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		for _, x := range w.workers {
			x.Faults.Set(standin.Faults{Mode: standin.FailAll})
		}
		go func() {
			for range 4 {
				time.Sleep(time.Second)
				w.killAll(200 * time.Millisecond)
			}
		}()
		accepted := w.storeLoad(5, 5*time.Second)
		time.Sleep(15 * time.Second)
		is.True(len(accepted) > 10)
		for _, id := range accepted {
			if s := w.state(id); s != ledger.Failed {
				t.Errorf("job %s is %q", id, s)
			}
		}
		is.Equal(w.recorder.MaxFailures(), 3)
	})
}

// TestCancelKeptJob cancels jobs through random hosts. Soon after, none of their tasks may
// run, and their state must remain.
func TestCancelKeptJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		var ids []work.ID
		for n := range 20 {
			j := storedJob(n, 5000, 2)
			is.True(w.storeJob(j, time.Second))
			ids = append(ids, j.ID)
		}
		time.Sleep(500 * time.Millisecond)
		for _, id := range ids {
			m := w.randomHost()
			known, err := m.submitter.Cancel(m.ctx, id)
			is.NoErr(err)
			is.True(known)
		}
		time.Sleep(300 * time.Millisecond)
		is.Equal(w.recorder.Running(), 0)
		w.killAll(500 * time.Millisecond)
		time.Sleep(3 * time.Second)
		is.Equal(w.recorder.Running(), 0)
		for _, id := range ids {
			is.Equal(w.state(id), ledger.Cancelled)
		}
		m := w.randomHost()
		known, err := m.submitter.Cancel(m.ctx, "5000ms99")
		is.NoErr(err)
		is.True(!known)
	})
}

// TestPendingJobs checks the number of pending jobs that each host reports.
func TestPendingJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		const jobs = 60
		for n := range jobs {
			is.True(w.storeJob(storedJob(n, 4000, 3), time.Second))
		}
		time.Sleep(time.Second)
		running := w.recorder.Running()
		check := func(m *member) {
			pending, err := m.submitter.Pending(m.ctx, queueName)
			is.NoErr(err)
			is.True(pending >= jobs-running && pending <= jobs)
		}
		for _, m := range w.allHosts() {
			check(m)
		}
		// The new owners take some time to read the stored jobs.
		w.store.Faults.Set(standin.Faults{Delay: 400 * time.Millisecond})
		w.killAll(100 * time.Millisecond)
		for range 100 {
			check(w.randomHost())
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// TestPendingWithoutTable queries a host that has just started while the table is far too
// slow. The host must fail within a second.
func TestPendingWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		w.store.Faults.Set(standin.Faults{Delay: 5 * time.Second})
		w.killAll(10 * time.Millisecond)
		m := w.randomHost()
		before := time.Now()
		_, err := m.submitter.Pending(t.Context(), queueName)
		is.True(err != nil)
		is.True(time.Since(before) <= time.Second)
		w.store.Faults.Set(standin.Faults{})
	})
}

// TestStateWithoutJob writes a state row whose job row is missing, as a cancellation
// between two reads leaves it. A new owner must continue the other jobs of the data centre.
func TestStateWithoutJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		entry := ledger.Entry{DataCentre: "coast-b", Queue: queueName, State: ledger.Accepted, Progress: work.Progress{Done: []int{0, 1}}}
		value, err := entry.Encode()
		is.NoErr(err)
		client := &http.Client{Transport: &http.Transport{DialContext: w.network.Site("coast-b.test").DialContext}}
		defer client.CloseIdleConnections()
		table := platform.NewTable(client, storeSite+":1")
		_, err = table.Commit(t.Context(), []storage.Write{{Puts: []storage.Put{{Key: ledger.StateKey("0123456789abcdef"), Value: value}}}})
		is.NoErr(err)
		w.kill(w.owner("coast-b"))
		time.Sleep(3 * time.Second)
		for n := range 30 {
			j := storedJob(n, 200, 2)
			is.True(w.storeJob(j, time.Second))
		}
		time.Sleep(10 * time.Second)
		for n := range 30 {
			is.Equal(w.state(storedJob(n, 200, 2).ID), ledger.Completed)
		}
	})
}

// TestOpenCalls checks that callers that wait for a job to be stored count as open calls,
// for which a shutdown waits.
func TestOpenCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		m := w.hosts[0]
		go w.cut(2*time.Second, func(from, to string) bool { return from == storeSite || to == storeSite })
		time.Sleep(10 * time.Millisecond)
		done := make(chan dispatch.Result, 1)
		go func() {
			now := time.Now()
			done <- m.submitter.SubmitStored(m.ctx, storedJob(1, 200, 1), now, now.Add(time.Second)).Result
		}()
		time.Sleep(500 * time.Millisecond)
		is.Equal(m.submitter.OpenCalls(), 1)
		is.Equal(<-done, dispatch.Expired) // The write may have arrived.
		is.Equal(m.submitter.OpenCalls(), 0)
		time.Sleep(2 * time.Second) // The cut ends.
	})
}

// TestCancelBeforeAcceptance cancels a job before its request is read. None of its tasks
// may run, and its state must be cancelled.
func TestCancelBeforeAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		m := w.hosts[0]
		store := func(j work.Job) dispatch.Result {
			now := time.Now()
			return m.submitter.SubmitStored(m.ctx, j, now, now.Add(time.Second)).Result
		}
		late, never := storedJob(1, 2000, 2), storedJob(2, 2000, 2)
		for _, j := range []work.Job{late, never, late} {
			known, err := m.submitter.Cancel(m.ctx, j.ID)
			is.NoErr(err)
			is.True(!known)
			is.Equal(w.state(j.ID), ledger.State("")) // It was never submitted.
		}
		is.Equal(store(late), dispatch.Stored)
		time.Sleep(time.Second)
		is.Equal(w.recorder.Running(), 0)
		is.Equal(w.state(late.ID), ledger.Cancelled)
		is.Equal(store(storedJob(3, 100_000, 1)), dispatch.Stored)
		time.Sleep(80 * time.Second)
		left := map[string]bool{}
		for _, r := range w.store.History() {
			left[r.Table+"/"+r.Key] = !r.Removed
		}
		for _, j := range []work.Job{late, never} {
			is.True(!left[ledger.StateKey(j.ID)])
			is.True(!left[ledger.CancelKey(j.ID)])
		}
	})
}

// TestCancelOfUnknownJobLeavesNothing cancels a job that is never submitted, while no job
// is open anywhere. Its rows must be removed all the same.
func TestCancelOfUnknownJobLeavesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		id := storedJob(1, 100, 1).ID
		known, err := w.hosts[0].submitter.Cancel(t.Context(), id)
		is.NoErr(err)
		is.True(!known)
		time.Sleep(150 * time.Second)
		left := map[string]bool{}
		for _, r := range w.store.History() {
			left[r.Table+"/"+r.Key] = !r.Removed
		}
		is.True(!left[ledger.StateKey(id)])
		is.True(!left[ledger.CancelKey(id)])
	})
}

// TestOwnerCutOffWithWorkers cuts an owner off together with some of its workers, so that
// another host replaces it. No task of a stored job may run on both sides.
func TestOwnerCutOffWithWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		for n := range 12 {
			is.True(w.storeJob(storedJob(n, 6000, 1), time.Second))
		}
		time.Sleep(time.Second)
		name := w.owner("coast-a").name
		inside := func(site string) bool {
			return site == name || site == "coast-a.worker-1" || site == "coast-a.worker-2"
		}
		w.cut(8*time.Second, func(from, to string) bool { return inside(from) != inside(to) })
		time.Sleep(10 * time.Second)
		_, _, doubled := w.recorder.Summary()
		is.Equal(doubled, nil)
		is.Equal(w.recorder.Restarted(), nil)
	})
}

// TestLargeJobLetsOthersEnd submits a job of 1,300 steps beside small ones, more than fits into
// a row of the table. All of them must be completed.
func TestLargeJobLetsOthersEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		m := w.owner("coast-a")
		var accepted []work.ID
		for n := range 40 {
			j := storedJob(n, 200, 3)
			if n == 5 {
				j = storedJob(n, 1, 1)
				for i := range 1300 {
					s := j.Steps[0]
					s.Label, s.After = "a", []int{max(0, i)}
					j.Steps = append(j.Steps, s)
				}
			}
			now := time.Now()
			is.Equal(m.submitter.SubmitStored(m.ctx, j, now, now.Add(time.Second)).Result, dispatch.Stored)
			accepted = append(accepted, j.ID)
		}
		time.Sleep(2 * finishTime)
		w.checkCompleted(accepted)
	})
}
