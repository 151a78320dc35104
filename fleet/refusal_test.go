package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
)

// waitingJob submits a job that waits for the workers of coast-a, and whose owner refuses
// it after workers of coast-b have become free. The returned function waits for the reply.
func (w *world) waitingJob(runs time.Duration) func() dispatch.Reply {
	const places = 2 * workersPerZone
	a, b := w.owner("coast-a"), w.owner("coast-b")
	submit := func(m *member, j work.Job) dispatch.Reply {
		return m.submitter.Submit(m.ctx, j, time.Now(), time.Now().Add(10*time.Second))
	}
	// The owner learns the speed of its workers.
	is.New(w.t).Equal(submit(a, newJob("first", 1, 100*time.Millisecond)).Result, dispatch.Completed)
	w.fill("coast-a", places)
	w.fill("coast-c", places)
	go submit(b, newJob("short", places, 400*time.Millisecond))
	time.Sleep(settledTime / 2)
	answer := make(chan dispatch.Reply, 1)
	go func() { answer <- submit(a, newJob("waits", 2, runs)) }()
	return func() dispatch.Reply { return <-answer }
}

// TestRefusedJobGoesWhereRoomCameFree submits a job that one owner refuses after the workers
// of another data centre have become free. The job must be completed there.
func TestRefusedJobGoesWhereRoomCameFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		is.Equal(w.waitingJob(100*time.Millisecond)().Result, dispatch.Completed)
	})
}

// TestRefusedEverywhere submits a job too late to end before its deadline. Each owner may be
// tried at most once more, although all have free capacity.
func TestRefusedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		m, arrived := w.owner("coast-a"), time.Now()
		time.Sleep(time.Second)
		j := newJob("late", 1, time.Second)
		j.Stretch, j.Target = 0.1, 0
		began := time.Now()
		is.Equal(m.submitter.Submit(m.ctx, j, arrived, arrived.Add(1500*time.Millisecond)).Result, dispatch.Refused)
		is.True(time.Since(began) < 100*time.Millisecond)
	})
}

// TestRefusedJobThatBeganElsewhere kills the owner that took a job which another one had
// refused. The reply must not say that the job has not run.
func TestRefusedJobThatBeganElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		answer := w.waitingJob(time.Second)
		before, _, _ := w.recorder.Summary()
		for starts := before; starts == before; starts, _, _ = w.recorder.Summary() {
			time.Sleep(10 * time.Millisecond)
		}
		for _, m := range w.allHosts() {
			if m.zone == "coast-b" {
				w.kill(m)
			}
		}
		is.Equal(answer().Result, dispatch.Interrupted)
	})
}

// TestWaitingJobGoesWhereRoomCameFree submits a job that waits for the workers of one data
// centre while those of another one become free. It must be completed there, long before
// it would be refused.
func TestWaitingJobGoesWhereRoomCameFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runs = 100 * time.Millisecond
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		answer := w.waitingJob(runs)
		for w.recorder.Running() > 2*2*workersPerZone {
			time.Sleep(time.Millisecond)
		}
		free := time.Now()
		is.Equal(answer().Result, dispatch.Completed)
		is.True(time.Since(free) <= 3*runs+100*time.Millisecond)
	})
}
