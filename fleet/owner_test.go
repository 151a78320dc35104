package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// silentWorkers never answer.
type silentWorkers struct{}

func (silentWorkers) Start(ctx context.Context, _ worker.Start) worker.Answer {
	<-ctx.Done()
	return worker.Answer{Verdict: worker.Unanswered}
}

func (silentWorkers) Stop(ctx context.Context, _ worker.Stop) worker.Answer {
	<-ctx.Done()
	return worker.Answer{Verdict: worker.Unanswered}
}

func (silentWorkers) Poll(ctx context.Context, _ worker.Poll) (*worker.Report, worker.Verdict) {
	<-ctx.Done()
	return nil, worker.Unanswered
}

func (silentWorkers) Reach(context.Context, worker.Worker) error { return nil }

// TestReplyOfAnEarlierProcess restarts a host, which reuses the numbers of its calls. Its
// caller must not get the reply to another job.
func TestReplyOfAnEarlierProcess(t *testing.T) {
	synctest.Test(t, testReplyOfAnEarlierProcess)
}

func testReplyOfAnEarlierProcess(t *testing.T) {
	is := is.New(t)
	logger := &log.Logger{Handler: discard.New()}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	o := &Owner{
		ctx: ctx, cancel: cancel, logger: logger,
		owners:  &Owners{workers: silentWorkers{}, counters: newCounters(metrics.NewSet(), newLinks(logger, network.Real{})), contacts: &Contacts{clock: time.Now}},
		machine: dispatch.New(time.Now(), dispatch.Config{MaxLease: time.Second}),
		waiting: map[submissionKey]chan dispatch.Reply{},
	}
	o.hosts = map[ident.Host]string{}
	submit := func(id work.ID, wait, left time.Duration) (dispatch.Reply, error) {
		call, stop := context.WithTimeout(ctx, wait)
		defer stop()
		return o.submit(call, dispatch.Submission{
			Host: "entry-1", Call: 1, Final: true, Remaining: left,
			Job: work.Job{ID: id, Pool: "p", Stretch: 1, Target: time.Second, Steps: []work.Step{{Count: 1, Estimate: time.Millisecond}}},
		})
	}
	if _, err := submit("old", 10*time.Millisecond, 300*time.Millisecond); err == nil {
		t.Fatal("the first process is still waiting")
	}
	results := make(chan dispatch.Reply, 1)
	go func() {
		r, err := submit("new", 2*time.Second, 2*time.Second)
		if err == nil {
			results <- r
		}
	}()
	time.Sleep(100 * time.Millisecond)
	o.handle(eventTick, func(now time.Time, m *dispatch.Machine) { m.Tick(now.Add(250 * time.Millisecond)) })
	select {
	case r := <-results:
		is.Equal(r.Job, work.ID("new"))
	case <-time.After(time.Second):
	}
}

// TestOwnerCountsSuspensions suspends the machine, which the monotonic clock does not
// count. The owner must treat its knowledge as stale.
func TestOwnerCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := &log.Logger{Handler: discard.New()}
		var suspended time.Duration
		clock := func() time.Time { return time.Now().Add(suspended) }
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := &Owner{
			ctx: ctx, cancel: cancel, logger: logger, hosts: map[ident.Host]string{}, waiting: map[submissionKey]chan dispatch.Reply{},
			owners: &Owners{
				workers: silentWorkers{}, counters: newCounters(metrics.NewSet(), newLinks(logger, network.Real{})), contacts: &Contacts{clock: clock},
			},
			machine: dispatch.New(clock(), dispatch.Config{MaxLease: time.Second, ResendDelay: 1300 * time.Millisecond}),
		}
		time.AfterFunc(100*time.Millisecond, func() {
			suspended = 2 * time.Second
			o.handle(eventTick, func(now time.Time, m *dispatch.Machine) { m.Tick(now) })
		})
		r, err := o.submit(ctx, dispatch.Submission{
			Host: "entry-1", Call: 1, Final: true, Remaining: time.Minute,
			Job: work.Job{ID: "j", Pool: "p", Stretch: 1, Target: time.Minute, Steps: []work.Step{{Count: 1, Estimate: time.Millisecond}}},
		})
		is.NoErr(err)
		is.Equal(r.Result, dispatch.Interrupted)
	})
}

// TestCancelOvertakesAcceptance cancels a job after the write that stored it was answered,
// but before the machine has it. None of its tasks may start.
func TestCancelOvertakesAcceptance(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	job := work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Estimate: time.Millisecond}}}
	k := &jobStore{ledger: ledger.NewStore(ledger.Config{DataCentre: "coast-a"})}
	m := dispatch.New(now, dispatch.Config{MaxLease: time.Second})
	m.StoredJobsLoaded(now)
	k.ledger.Accept(job)
	_, _, err := k.ledger.Next()
	is.NoErr(err)
	o := k.ledger.HandleResult(storage.Result{Applied: true, Revision: 5}, nil)
	is.Equal(o.Accepted, []work.Job{job})
	k.ledger.Cancel(now, job.ID)
	m.Cancel(now, job.ID)
	k.applyOutcome(now, m, o)
	is.Equal(m.Load(now).Pending, nil)
}
