package fleet

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/lag"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/report"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// tickInterval is the time between two ticks of an ownership.
	tickInterval = 25 * time.Millisecond
	// orderTimeout bounds a start or a stop: a worker answers within
	// milliseconds, and a task of the shortest kind has 150 ms in all.
	orderTimeout = 60 * time.Millisecond
	// pollTimeout bounds a status poll, in addition to the time that the worker
	// waits. Four lost polls fit into a lease of one second.
	pollTimeout = 120 * time.Millisecond
)

// The policy for ejecting workers that fail their tasks.
const (
	maxEjectedShare  = 0.5
	ejectionFailures = 3
	minProbePause    = 500 * time.Millisecond
	maxProbePause    = 5 * time.Second
)

var (
	// errOwnerEnded is returned for a submission that has no reply when its caller leaves
	// or the ownership ends.
	errOwnerEnded = errors.New("submission ended without a reply")
	// errPanicked is returned for an event at which the machine panicked.
	errPanicked = errors.New("event of an owner panicked")
	// errSetAside is returned for a job at which a machine of this process has panicked.
	errSetAside = errors.New("job is set aside")
)

// submissionKey identifies a submission that waits for its reply. A restarted host
// reuses the numbers of its calls, so the key includes the job.
type submissionKey struct {
	host     ident.Host
	call     uint64
	sequence dispatch.Sequence
	job      work.ID
}

// Owner dispatches jobs to the workers of one data centre under one fencing token.
type Owner struct {
	owners *Owners
	owner  ownership.Owner
	ctx    context.Context
	cancel context.CancelFunc
	logger log.Interface

	// jobStore persists the stored jobs.
	jobStore *jobStore
	lag      lag.Meter
	// failures counts the orders that workers have not accepted.
	failures orderFailures
	// speedLines bounds the logged changes of the speeds of workers, and limitLines the lines
	// about limits that hold work back.
	speedLines, limitLines rate.Limiter
	// tenure tells how long this owner may rely on its ownership, and beats counts its
	// heartbeats.
	tenure tenure
	beats  atomic.Uint64
	// tokenWanted asks for a heartbeat at once.
	tokenWanted signal
	// waitingEvents is the number of events that wait to be handled.
	waitingEvents atomic.Int64

	mutex   sync.Mutex
	machine *dispatch.Machine
	// panicked is true once the machine has panicked.
	panicked bool
	waiting  map[submissionKey]chan dispatch.Reply
	// hosts maps each host that has submitted jobs to its process.
	hosts map[ident.Host]string
	// published is the list of workers sent to other hosts, generation the machine's
	// generation from which it was taken, and versions the number of its versions.
	published  []worker.Worker
	generation uint64
	versions   uint64
	// lastEvent is when an event was last handled, and lagLogged when the lag was last
	// logged.
	lastEvent, lagLogged time.Time
}

func newOwner(ctx context.Context, o *Owners, x ownership.Owner, previous worker.Token) *Owner {
	previousWorkers, complete := o.contacts.Workers(time.Now(), x.DataCentre, previous)
	w := &Owner{
		owners: o, owner: x, tokenWanted: newSignal(),
		logger: o.logger.WithFields(log.Fields{"dataCentre": string(x.DataCentre), "token": int64(x.Token)}),
		machine: dispatch.New(o.contacts.clock(), dispatch.Config{
			PreviousWorkers: previousWorkers, PreviousWorkersComplete: complete,
			Token: x.Token, MaxLease: o.settings.MaxLease, FarFactor: o.settings.FarFactor, ResendDelay: o.settings.Resend,
			Access: o.contacts.evacuation.Access(x.DataCentre), LookAhead: o.settings.LookAhead,
			Ejection: ejection.Config{
				MaxShare: maxEjectedShare, Failures: ejectionFailures, MinProbe: minProbePause, MaxProbe: maxProbePause,
			},
		}),
		waiting: map[submissionKey]chan dispatch.Reply{},
		hosts:   map[ident.Host]string{},
	}
	w.speedLines.SetLimit(maxSpeedLines)
	w.speedLines.SetBurst(maxSpeedLines)
	w.limitLines.SetLimit(maxLimitLines)
	w.limitLines.SetBurst(maxLimitLines)
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.jobStore = newJobStore(w, o.directory.table, o.directory.feed, x)
	go w.tickLoop()
	go w.jobStore.run(w.ctx)
	go w.heartbeatLoop()
	go o.roster.follow(w.ctx, x.DataCentre, w)
	return w
}

// tickLoop sends ticks to the machine until the ownership ends.
func (w *Owner) tickLoop() {
	due := w.owners.contacts.clock().Add(tickInterval)
	for sleep(w.ctx, tickInterval) {
		w.handle(eventTick, func(now time.Time, m *dispatch.Machine) {
			late := max(0, now.Sub(due))
			w.owners.counters.owner.lag.Record(late)
			if fields, ok := w.noteLag(now, late); ok {
				fields["jobs"], fields["queuedTasks"] = m.Jobs()
				w.logger.WithFields(fields).Warn("owner lags")
			}
			for h, boot := range w.hosts {
				if b, ok := w.owners.contacts.bootOf(h); ok && h != w.owners.self.Name && b != boot {
					w.loseHost(now, m, h)
				}
			}
			if x, ok := w.owners.contacts.liveCalls(w.owner.DataCentre); ok {
				m.KeepaliveReceived(now, dispatch.Keepalive{Host: w.owners.self.Name, Boot: w.owners.self.Boot, At: x.at, Sequence: x.sequence, Calls: x.calls})
			}
			m.ReviewLosses(now, w.owners.contacts.lossesOf)
			m.SetColdLimits(now, w.owners.contacts.configuration.coldLimits(w.owners.settings.ColdSlack))
			m.Tick(now)
			w.yield(now, m)
		})
		due = w.owners.contacts.clock().Add(tickInterval)
	}
}

// yield returns waiting jobs to their hosts if other data centres have free capacity
// for them.
func (w *Owner) yield(now time.Time, m *dispatch.Machine) {
	if _, queued := m.Jobs(); queued == 0 {
		return
	}
	for _, x := range w.owners.contacts.shareCapacity(now, w.owner.DataCentre) {
		if tasks := m.Yield(now, x.Tasks); tasks > 0 {
			w.logger.WithFields(log.Fields{"to": string(x.DataCentre), "tasks": tasks}).Info("waiting jobs returned for other owners")
		}
	}
}

const (
	// heartbeatInterval is the time between two heartbeats of an owner in the platform's table.
	heartbeatInterval = time.Second
	// minHeartbeatInterval is that time if a worker has restarted and needs a higher token. It
	// bounds the writes while many workers restart.
	minHeartbeatInterval = 40 * time.Millisecond
)

// heartbeatLoop writes the heartbeats of this owner into the platform's table.
func (w *Owner) heartbeatLoop() {
	failed := 0
	for w.ctx.Err() == nil {
		if err := w.beat(w.ctx, storeTimeout); err != nil {
			if failed++; failed%heartbeatLogEvery == 1 {
				w.logger.WithError(err).Warn("heartbeat not written")
			}
		}
		sleep(w.ctx, minHeartbeatInterval)
		w.tokenWanted.wait(w.ctx, heartbeatInterval-minHeartbeatInterval)
	}
}

// beat writes a heartbeat, which confirms that this owner was not replaced.
func (w *Owner) beat(ctx context.Context, timeout time.Duration) error {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := w.owners.contacts.clock()
	token, err := w.owners.directory.WriteHeartbeat(call, w.owner, w.beats.Add(1))
	switch {
	case err != nil:
		return err
	case token == 0:
		w.owners.endFenced(w.owner)
	default:
		w.tenure.confirm(sent)
		w.handle(eventStore, func(_ time.Time, m *dispatch.Machine) { m.RaiseToken(token) })
	}
	return nil
}

// heartbeatLogEvery is the number of failed heartbeats per logged failure.
const heartbeatLogEvery = 5

// loseHost stops the jobs of a host whose process has ended. The caller holds the
// mutex.
func (w *Owner) loseHost(now time.Time, m *dispatch.Machine, h ident.Host) {
	delete(w.hosts, h)
	w.logger.WithField("peer", string(h)).Warn("host restarted, stopping its jobs")
	m.HostLost(now, h)
}

// keepalive records which calls a host still waits for.
func (w *Owner) keepalive(s dispatch.Keepalive) {
	w.handle(eventKeepalive, func(now time.Time, m *dispatch.Machine) { m.KeepaliveReceived(now, s) })
}

// missesWorkers returns true if workers have fallen silent lately.
func (w *Owner) missesWorkers() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.machine.MissesWorkers(w.owners.contacts.clock())
}

func (w *Owner) setWorkers(workers []worker.Worker) {
	w.handle(eventWorkers, func(now time.Time, m *dispatch.Machine) { m.SetWorkers(now, workers) })
}

// updateAccess tells the machine whether tasks may start on its workers.
func (w *Owner) updateAccess() {
	w.handle(eventWorkers, func(now time.Time, m *dispatch.Machine) {
		m.SetAccess(now, w.owners.contacts.evacuation.Access(w.owner.DataCentre))
	})
}

func (w *Owner) setOtherWorkers(workers map[ident.DataCentre][]worker.Worker) {
	w.handle(eventWorkers, func(_ time.Time, m *dispatch.Machine) { m.SetOtherWorkers(workers) })
}

// handle passes an event to the machine and carries out the resulting actions. A panic is
// logged and ends the ownership.
func (w *Owner) handle(e event, decide func(now time.Time, m *dispatch.Machine)) {
	_ = w.tryHandle(e, decide)
}

// tryHandle is handle. It returns errPanicked if the machine panicked, and errOwnerEnded if
// it had panicked before.
func (w *Owner) tryHandle(e event, decide func(now time.Time, m *dispatch.Machine)) error {
	actions, err := w.decide(e, decide)
	if err != nil {
		w.owners.restart(w.owner)
		return err
	}
	for i := range actions.Records {
		w.logRecord(&actions.Records[i])
	}
	w.noteLosses(&actions)
	if actions.TokenWanted {
		w.tokenWanted.send()
	}
	if actions.Fenced {
		w.owners.endFenced(w.owner)
	}
	w.noteSpeeds(&actions)
	w.noteLimits(&actions)
	if w.ctx.Err() != nil {
		return nil
	}
	for _, s := range actions.Starts {
		go w.start(s)
	}
	for _, s := range actions.Stops {
		go w.stop(s)
	}
	for _, l := range actions.Polls {
		go w.poll(l)
	}
	return nil
}

// handleJob passes an event to the machine that brings a job. It returns errSetAside if a
// machine has panicked at the job, now or before: no owner of this process gets it again.
func (w *Owner) handleJob(e event, id work.ID, decide func(now time.Time, m *dispatch.Machine)) error {
	if w.owners.poisonous.has(id) {
		return errSetAside
	}
	err := w.tryHandle(e, decide)
	if !errors.Is(err, errPanicked) {
		return err
	}
	w.owners.poisonous.add(id)
	w.logger.WithFields(log.Fields{"event": string(e), "job": string(id)}).Error("job set aside")
	return errSetAside
}

// decide passes an event to the machine and returns the resulting actions. After a panic,
// for which it returns errPanicked, the state of the machine may be inconsistent: it gets no
// more events.
func (w *Owner) decide(e event, decide func(now time.Time, m *dispatch.Machine)) (actions dispatch.Actions, err error) {
	w.waitingEvents.Add(1)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.waitingEvents.Add(-1)
	if w.panicked {
		return actions, errOwnerEnded
	}
	defer func() {
		if cause := recover(); cause != nil {
			w.panicked, err = true, errPanicked
			w.owners.counters.panics.Add(1)
			w.logger.WithFields(log.Fields{
				"event": string(e), "cause": fmt.Sprint(cause), "stack": string(debug.Stack()),
			}).Error("event of an owner panicked")
		}
	}()
	now := w.owners.contacts.clock()
	if paused := now.Sub(w.lastEvent); !w.lastEvent.IsZero() && paused > pauseThreshold {
		w.owners.counters.pauses.Add(1)
		w.logger.WithField("pauseMs", paused.Milliseconds()).Warn("first event after a pause")
	}
	w.lastEvent = now
	decide(now, w.machine)
	actions = w.machine.TakeActions()
	for _, e := range w.jobStore.noteProgress(now, &actions) {
		w.machine.EndStored(now, e)
	}
	for _, r := range actions.Replies {
		w.deliver(r)
	}
	w.owners.counters.owner.handled(e, w.owners.contacts.clock().Sub(now))
	return actions, nil
}

// logRecord logs the course of a submission: each run with its task, worker and times.
func (w *Owner) logRecord(r *report.Record) {
	if r.Reason == dispatch.ReasonEvacuated {
		w.owners.counters.evacuatedJobs.Add(string(r.Result), 1)
	}
	w.logger.WithFields(log.Fields(r.Fields())).Info("job dispatched")
}

// deliver passes a reply to the submission that waits for it. The caller holds the
// mutex.
func (w *Owner) deliver(r dispatch.Reply) {
	k := submissionKey{host: r.Host, call: r.Call, sequence: r.Sequence, job: r.Job}
	if c := w.waiting[k]; c != nil {
		delete(w.waiting, k)
		r.Load.Lag, r.Load.Memory = w.lag.ReadDelay(), w.owners.memory.Free()
		c <- r
	}
}

// submit submits a job to the machine and waits for its end. If ctx ends first, the
// job continues until its host resubmits or withdraws it.
func (w *Owner) submit(ctx context.Context, s dispatch.Submission) (dispatch.Reply, error) {
	c := make(chan dispatch.Reply, 1)
	k := submissionKey{host: s.Host, call: s.Call, sequence: s.Sequence, job: s.Job.ID}
	err := w.handleJob(eventSubmit, s.Job.ID, func(now time.Time, m *dispatch.Machine) {
		w.waiting[k] = c
		if boot, ok := w.hosts[s.Host]; ok && boot != s.Boot {
			w.loseHost(now, m, s.Host)
		}
		w.hosts[s.Host] = s.Boot
		m.Submit(now, s)
	})
	switch {
	case errors.Is(err, errOwnerEnded):
		return dispatch.Reply{}, err
	case err != nil:
		return dispatch.Reply{
			Host: s.Host, Call: s.Call, Sequence: s.Sequence, Job: s.Job.ID, Result: dispatch.Failed, Reason: "no owner can handle the job",
		}, nil
	}
	select {
	case r := <-c:
		return r, nil
	case <-ctx.Done():
	case <-w.ctx.Done():
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waiting[k] == c {
		delete(w.waiting, k)
	}
	select {
	case r := <-c:
		return r, nil
	default:
		return dispatch.Reply{}, errOwnerEnded
	}
}

func (w *Owner) withdraw(h ident.Host, call uint64, id work.ID) {
	known := false
	w.handle(eventWithdraw, func(now time.Time, m *dispatch.Machine) { known = m.Withdraw(now, h, call, id) })
	if known {
		w.owners.counters.withdrawals.Add(withdrawalKnown, 1)
		return
	}
	w.owners.counters.withdrawals.Add(withdrawalUnknown, 1)
	w.logger.WithFields(log.Fields{"job": string(id), "peer": string(h), "call": call}).Info("withdrawal of an unknown job")
}

func (w *Owner) load() dispatch.Load {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	l := w.machine.Load(w.owners.contacts.clock())
	l.Lag, l.Memory = w.lag.ReadDelay(), w.owners.memory.Free()
	l.Unconfirmed = w.tenure.isUnconfirmed()
	return l
}

// workerList returns the workers that may run tasks, and the version of the list.
func (w *Owner) workerList() ([]worker.Worker, listVersion) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if g := w.machine.Generation(); w.versions == 0 || g != w.generation {
		w.generation = g
		if workers := w.machine.Workers(); w.versions == 0 || !slices.EqualFunc(workers, w.published, worker.Worker.Equal) {
			w.versions++
			w.published = workers
		}
	}
	return w.published, listVersion{Token: w.owner.Token, Count: w.versions}
}

// close ends the ownership: no more orders are sent, and waiting submissions get a
// reply.
func (w *Owner) close() {
	w.handle(eventWorkers, func(now time.Time, m *dispatch.Machine) { m.EndOwnership(now) })
	w.cancel()
}

// orderContext returns a context that bounds an order by d plus an allowance for the
// lag of this process.
func (w *Owner) orderContext(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, d+w.lag.Allowance())
}

func (w *Owner) start(s worker.Start) {
	ctx, cancel := w.orderContext(orderTimeout)
	defer cancel()
	sent := time.Now()
	a := w.owners.workers.Start(ctx, s)
	if a.Verdict == worker.Accepted {
		w.lag.NoteAnswer(time.Since(sent))
	}
	w.recordAnswer("start", a.Verdict, s.Order, s.Task.String(), s.Run)
	w.handle(eventStart, func(now time.Time, m *dispatch.Machine) { m.Started(now, s, a) })
}

func (w *Owner) stop(s worker.Stop) {
	ctx, cancel := w.orderContext(orderTimeout)
	defer cancel()
	a := w.owners.workers.Stop(ctx, s)
	w.recordAnswer("stop", a.Verdict, s.Order, s.Task, s.Run)
	w.handle(eventStop, func(now time.Time, m *dispatch.Machine) { m.Stopped(now, s, a) })
}

func (w *Owner) poll(l worker.Poll) {
	ctx, cancel := w.orderContext(l.Wait + pollTimeout)
	defer cancel()
	sent := w.owners.contacts.clock()
	report, v := w.owners.workers.Poll(ctx, l)
	w.recordAnswer("look", v, l.Order, "", 0)
	w.handle(eventPoll, func(now time.Time, m *dispatch.Machine) { m.PollAnswered(now, sent, l, report, v) })
}
