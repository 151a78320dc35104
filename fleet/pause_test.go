package fleet

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// oneWorker is a worker with the capacity for one task, whose answers to status polls can
// be held back.
type oneWorker struct {
	begun  time.Time
	mutex  sync.Mutex
	starts []work.ID
	unread chan struct{}
	report worker.Report
}

func (x *oneWorker) clock() worker.Clock { return worker.Clock(time.Since(x.begun).Milliseconds() + 1) }

func (x *oneWorker) Start(_ context.Context, s worker.Start) worker.Answer {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if s.Until <= x.clock() {
		return worker.Answer{Verdict: worker.Expired, Clock: x.clock()}
	}
	x.starts = append(x.starts, s.Task.Job)
	x.report.Running = append(x.report.Running, worker.Running{Task: s.Task.String(), Run: s.Run})
	return worker.Answer{Verdict: worker.Accepted, Clock: x.clock()}
}

func (x *oneWorker) Stop(context.Context, worker.Stop) worker.Answer {
	return worker.Answer{Verdict: worker.Accepted, Clock: x.clock()}
}

func (x *oneWorker) Poll(_ context.Context, l worker.Poll) (*worker.Report, worker.Verdict) {
	time.Sleep(l.Wait)
	x.mutex.Lock()
	unread, r := x.unread, x.report
	r.Incarnation, r.Clock = 1, x.clock()
	x.mutex.Unlock()
	if unread != nil {
		<-unread
	}
	return &r, worker.Accepted
}

func (*oneWorker) Reach(context.Context, worker.Worker) error { return nil }

// pause holds back answers to status polls until resume.
func (x *oneWorker) pause() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.unread = make(chan struct{})
}

func (x *oneWorker) resume() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	close(x.unread)
	x.unread = nil
}

// started returns the jobs of all starts.
func (x *oneWorker) started() []work.ID {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return slices.Clone(x.starts)
}

// done ends all running tasks.
func (x *oneWorker) done() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, r := range x.report.Running {
		x.report.Ended = append(x.report.Ended, worker.Ended{Number: 1, Task: r.Task, Run: r.Run, Result: worker.Done})
	}
	x.report.Running = nil
}

// TestPausedOwnerStartsNothing makes an owner read a worker's answer after a pause, before
// it has noticed that the host of a queued job is silent. The job must not start.
func TestPausedOwnerStartsNothing(t *testing.T) {
	tests := map[string]time.Duration{"no pause": 0, "0.9s": 900 * time.Millisecond, "1.1s": 1100 * time.Millisecond, "2s": 2 * time.Second, "1m": time.Minute}
	for name, paused := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testPausedOwner(t, paused) })
		})
	}
}

func testPausedOwner(t *testing.T, paused time.Duration) {
	is := is.New(t)
	logger := &log.Logger{Handler: discard.New()}
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		time.Sleep(time.Second)
	}()
	x := &oneWorker{begun: time.Now()}
	contacts := &Contacts{clock: time.Now, liveCalls: func(ident.DataCentre) (liveCalls, bool) { return liveCalls{}, false }}
	o := &Owner{
		ctx: ctx, cancel: cancel, logger: logger, jobStore: &jobStore{},
		owners: &Owners{
			workers: x, contacts: contacts, counters: newCounters(metrics.NewSet(), newLinks(logger, network.Real{})),
		},
		machine: dispatch.New(time.Now(), dispatch.Config{MaxLease: time.Second, ResendDelay: 1300 * time.Millisecond, Token: 1}),
		waiting: map[submissionKey]chan dispatch.Reply{},
		hosts:   map[ident.Host]string{},
	}
	// missedTime is slightly less than the silence after which a host's jobs are stopped.
	const settled, missedTime = 500 * time.Millisecond, 650 * time.Millisecond
	const gone, near = ident.Host("gone"), ident.Host("near")
	size := work.Size{Cores: 1000, Memory: 64}
	o.setWorkers([]worker.Worker{{ID: "w", Life: 1, Pool: "p", Capacity: size}})
	var try dispatch.Sequence
	keepalive := func(hosts ...ident.Host) {
		for _, h := range hosts {
			try++
			o.keepalive(dispatch.Keepalive{Host: h, At: time.Now(), Sequence: try, Calls: []uint64{1}})
		}
	}
	run := func(d time.Duration, hosts ...ident.Host) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tickInterval) {
			keepalive(hosts...)
			o.handle(eventTick, func(now time.Time, m *dispatch.Machine) { m.Tick(now) })
		}
	}
	submit := func(h ident.Host, id work.ID) {
		go func() {
			_, _ = o.submit(ctx, dispatch.Submission{
				Host: h, Call: 1, Final: true, Remaining: 24 * time.Hour,
				Job: work.Job{ID: id, Pool: "p", Stretch: 1, Target: 24 * time.Hour, Steps: []work.Step{{Count: 1, Size: size, Estimate: time.Second}}},
			})
		}()
	}
	run(2*time.Second, near, gone)
	submit(near, "first")
	run(settled, near, gone)
	submit(gone, "queued")
	run(settled, near, gone)
	if paused > 0 {
		// The host dies, and this is not noticed yet.
		run(missedTime, near)
	}
	x.done()
	x.pause()
	time.Sleep(paused)
	keepalive(near)
	is.Equal(x.started(), []work.ID{"first"})
	x.resume()
	time.Sleep(time.Millisecond)
	if paused == 0 {
		run(settled, near, gone)
	}
	is.Equal(len(x.started()) > 1, paused == 0)
}
