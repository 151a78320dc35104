package fleet

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// tickInterval is the time between two ticks of an ownership.
	tickInterval = 25 * time.Millisecond
	// orderTimeout bounds a start or a stop: a worker answers within
	// milliseconds, and a task of the shortest kind has 150 ms in all.
	orderTimeout = 60 * time.Millisecond
	// lookTimeout bounds a look, beyond the time that the worker waits. Four
	// lost looks fit into a lease of a second.
	lookTimeout = 120 * time.Millisecond
)

// The policy by which workers that fail their work are left out.
const (
	maxEjectedShare  = 0.5
	ejectionFailures = 3
	minProbePause    = 500 * time.Millisecond
	maxProbePause    = 5 * time.Second
)

// errOwnerEnded ends the submissions that wait when the caller leaves or the
// daemon stops.
var errOwnerEnded = errors.New("submission ended without a reply")

// caller names a submission that waits for its reply. A host that has started
// again numbers its calls as before, so that the job belongs to the name.
type caller struct {
	host ident.Host
	call uint64
	try  dispatch.Try
	job  work.ID
}

// Owner drives the workers of one data centre under one token.
type Owner struct {
	owners *Owners
	owner  ownership.Owner
	ctx    context.Context
	cancel context.CancelFunc
	logger log.Interface

	// keeper stores the jobs that last.
	keeper *keeper
	lag    lag

	mutex   sync.Mutex
	machine *dispatch.Machine
	waiting map[caller]chan dispatch.Reply
	// hosts holds the process of each host that has handed jobs in.
	hosts map[ident.Host]string
	// listed is the list of workers that other hosts are told, of a generation of
	// the machine's, and changes counts its versions.
	listed     []worker.Worker
	generation uint64
	changes    uint64
	// turn is when an event was last handled.
	turn time.Time
}

func newOwner(ctx context.Context, o *Owners, x ownership.Owner, before worker.Token) *Owner {
	known, sure := o.contacts.Workers(time.Now(), x.DataCentre, before)
	w := &Owner{
		owners: o, owner: x,
		logger: o.logger.WithFields(log.Fields{"dataCentre": string(x.DataCentre), "token": int64(x.Token)}),
		machine: dispatch.New(o.contacts.clock(), dispatch.Config{
			Known: known, Sure: sure,
			Token: x.Token, MaxLease: o.settings.MaxLease, FarFactor: o.settings.FarFactor, Resend: o.settings.Resend,
			Ejection: ejection.Config{
				MaxShare: maxEjectedShare, Failures: ejectionFailures, MinProbe: minProbePause, MaxProbe: maxProbePause,
			},
		}),
		waiting: map[caller]chan dispatch.Reply{},
		hosts:   map[ident.Host]string{},
	}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.keeper = newKeeper(w, o.directory.table, o.directory.feed, x, o.settings.Retention)
	go w.run()
	go w.keeper.run(w.ctx)
	go w.pulse()
	go o.roster.follow(w.ctx, x.DataCentre, w.setWorkers)
	return w
}

// run keeps the time of the machine.
func (w *Owner) run() {
	due := w.owners.contacts.clock().Add(tickInterval)
	for pause(w.ctx, tickInterval) {
		w.step(eventTick, func(now time.Time, m *dispatch.Machine) {
			late := max(0, now.Sub(due))
			w.owners.counters.owner.lag.Record(late)
			if fields, ok := w.lag.tick(now, late); ok {
				fields["jobs"], fields["queuedTasks"] = m.Jobs()
				w.logger.WithFields(fields).Warn("owner is behind")
			}
			for h, boot := range w.hosts {
				if b, ok := w.owners.contacts.bootOf(h); ok && h != w.owners.self.Name && b != boot {
					w.loseHost(now, m, h)
				}
			}
			if x, ok := w.owners.contacts.wanted(w.owner.DataCentre); ok {
				m.Signed(now, dispatch.Sign{Host: w.owners.self.Name, Boot: w.owners.self.Boot, At: x.at, Try: x.try, Calls: x.calls})
			}
			m.Tick(now)
			w.yield(now, m)
		})
		due = w.owners.contacts.clock().Add(tickInterval)
	}
}

// yield has waiting jobs go where there is room.
func (w *Owner) yield(now time.Time, m *dispatch.Machine) {
	if _, queued := m.Jobs(); queued == 0 {
		return
	}
	for _, x := range w.owners.contacts.roomy(w.owner.DataCentre) {
		if tasks := m.Yield(now, x.room); tasks > 0 {
			w.logger.WithFields(log.Fields{"to": string(x.dataCentre), "tasks": tasks}).Info("waiting jobs yielded")
		}
	}
}

// pulseInterval is the time between two signs of life of an owner in the
// platform's table.
const pulseInterval = time.Second

// pulse shows in the platform's table that this owner is at work.
func (w *Owner) pulse() {
	for beat := uint64(1); w.ctx.Err() == nil; beat++ {
		if err := w.owners.directory.Pulse(w.ctx, w.owner, beat); err != nil && beat%pulseLogs == 1 {
			w.logger.WithError(err).Warn("no sign of life written")
		}
		pause(w.ctx, pulseInterval)
	}
}

// pulseLogs is the number of failed signs of life for each one that is logged.
const pulseLogs = 5

// loseHost stops the jobs of a host's process that is gone. The caller holds the
// mutex.
func (w *Owner) loseHost(now time.Time, m *dispatch.Machine, h ident.Host) {
	delete(w.hosts, h)
	w.logger.WithField("peer", string(h)).Warn("host has started again, its jobs are stopped")
	m.HostLost(now, h)
}

// sign takes in which calls a host still waits for.
func (w *Owner) sign(s dispatch.Sign) {
	w.step(eventSign, func(now time.Time, m *dispatch.Machine) { m.Signed(now, s) })
}

func (w *Owner) setWorkers(workers []worker.Worker) {
	w.step(eventWorkers, func(now time.Time, m *dispatch.Machine) { m.SetWorkers(now, workers) })
}

// step lets the machine decide, and carries its actions out.
func (w *Owner) step(e event, decide func(now time.Time, m *dispatch.Machine)) {
	actions, ok := w.decide(e, decide)
	if !ok {
		w.owners.restart(w.owner)
		return
	}
	for i := range actions.Records {
		w.record(&actions.Records[i])
	}
	if w.ctx.Err() != nil {
		return
	}
	for _, s := range actions.Starts {
		go w.start(s)
	}
	for _, s := range actions.Stops {
		go w.stop(s)
	}
	for _, l := range actions.Looks {
		go w.look(l)
	}
}

// decide lets the machine decide. It returns false if that panicked: what the
// machine knows may then be wrong.
func (w *Owner) decide(e event, decide func(now time.Time, m *dispatch.Machine)) (actions dispatch.Actions, ok bool) {
	w.lag.waiting.Add(1)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.lag.waiting.Add(-1)
	defer func() {
		if cause := recover(); cause != nil {
			w.owners.counters.panics.Add(1)
			w.logger.WithFields(log.Fields{
				"event": string(e), "cause": fmt.Sprint(cause), "stack": string(debug.Stack()),
			}).Error("event of an owner panicked")
		}
	}()
	now := w.owners.contacts.clock()
	if paused := now.Sub(w.turn); !w.turn.IsZero() && paused > pausedTime {
		w.owners.counters.pauses.Add(1)
		w.logger.WithField("pauseMs", paused.Milliseconds()).Warn("first event after a pause")
	}
	w.turn = now
	decide(now, w.machine)
	actions = w.machine.Take()
	for _, e := range w.keeper.take(now, actions.Notes, actions.Finishes) {
		w.machine.Stored(now, e)
	}
	for _, r := range actions.Replies {
		w.reply(r)
	}
	w.owners.counters.owner.handled(e, w.owners.contacts.clock().Sub(now))
	return actions, true
}

// record logs how a submission went: each run with its task, worker and times.
func (w *Owner) record(r *dispatch.Record) {
	runs := make([]string, 0, len(r.Runs))
	for _, x := range r.Runs {
		runs = append(runs, fmt.Sprintf("%d.%d#%d %s %d+%d %s", x.Step, x.Index, x.Run, x.Worker,
			x.Started.Milliseconds(), max(0, x.Ended-x.Started).Milliseconds(), x.How))
	}
	w.logger.WithFields(log.Fields{
		"job": string(r.Job), "peer": string(r.Host), "call": r.Call, "result": string(r.Result), "reason": r.Reason,
		"waitedMs": r.Waited.Milliseconds(), "tookMs": r.Took.Milliseconds(), "objectiveMs": r.Objective.Milliseconds(),
		"waitingTasks": r.Waiting, "runs": runs, "omittedRuns": r.Omitted,
	}).Info("job dispatched")
}

// reply hands a reply to its waiting submission. The caller holds the mutex.
func (w *Owner) reply(r dispatch.Reply) {
	k := caller{host: r.Host, call: r.Call, try: r.Try, job: r.Job}
	if c := w.waiting[k]; c != nil {
		delete(w.waiting, k)
		r.Load.Delay = time.Duration(w.lag.reading.Load())
		c <- r
	}
}

// submit hands a job in, and waits for its end. If ctx ends first, the job goes
// on: its host submits it again or withdraws it.
func (w *Owner) submit(ctx context.Context, s dispatch.Submission) (dispatch.Reply, error) {
	c := make(chan dispatch.Reply, 1)
	k := caller{host: s.Host, call: s.Call, try: s.Try, job: s.Job.ID}
	w.step(eventSubmit, func(now time.Time, m *dispatch.Machine) {
		w.waiting[k] = c
		if boot, ok := w.hosts[s.Host]; ok && boot != s.Boot {
			w.loseHost(now, m, s.Host)
		}
		w.hosts[s.Host] = s.Boot
		m.Submit(now, s)
	})
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
	w.step(eventWithdraw, func(now time.Time, m *dispatch.Machine) { known = m.Withdraw(now, h, call, id) })
	if known {
		w.owners.counters.withdrawals.Add(withdrawalKnown, 1)
		return
	}
	w.owners.counters.withdrawals.Add(withdrawalUnknown, 1)
	w.logger.WithFields(log.Fields{"job": string(id), "peer": string(h), "call": call}).Info("withdrawal of a job that is not here")
}

func (w *Owner) load() dispatch.Load {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	l := w.machine.Load(w.owners.contacts.clock())
	l.Delay = time.Duration(w.lag.reading.Load())
	return l
}

// working returns the workers that may be at work, and the version of the list.
func (w *Owner) working() ([]worker.Worker, listVersion) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if g := w.machine.Generation(); w.changes == 0 || g != w.generation {
		w.generation = g
		if workers := w.machine.Workers(); w.changes == 0 || !slices.EqualFunc(workers, w.listed, sameWorker) {
			w.changes++
			w.listed = workers
		}
	}
	return w.listed, listVersion{Token: w.owner.Token, Count: w.changes}
}

// close ends the ownership: no more orders are given, and the submissions are
// told so.
func (w *Owner) close() {
	w.step(eventWorkers, func(now time.Time, m *dispatch.Machine) { m.Depose(now) })
	w.cancel()
}

// patience returns a context that bounds an order, and by how much this process is
// behind as well.
func (w *Owner) patience(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, d+w.lag.allowance())
}

func (w *Owner) start(s worker.Start) {
	ctx, cancel := w.patience(orderTimeout)
	defer cancel()
	sent := time.Now()
	a := w.owners.workers.Start(ctx, s)
	if a.Verdict == worker.Accepted {
		w.lag.answered(time.Since(sent))
	}
	w.note("start", a.Verdict, s.Order, s.Task.String(), s.Run)
	w.step(eventStart, func(now time.Time, m *dispatch.Machine) { m.Started(now, s, a) })
}

func (w *Owner) stop(s worker.Stop) {
	ctx, cancel := w.patience(orderTimeout)
	defer cancel()
	a := w.owners.workers.Stop(ctx, s)
	w.note("stop", a.Verdict, s.Order, s.Task, s.Run)
	w.step(eventStop, func(now time.Time, m *dispatch.Machine) { m.Stopped(now, s, a) })
}

func (w *Owner) look(l worker.Look) {
	ctx, cancel := w.patience(l.Wait + lookTimeout)
	defer cancel()
	sent := w.owners.contacts.clock()
	report, v := w.owners.workers.Look(ctx, l)
	if v != worker.Accepted {
		w.note("look", v, l.Order, "", 0)
	}
	w.step(eventLook, func(now time.Time, m *dispatch.Machine) { m.Looked(now, sent, l, report, v) })
}

// note counts and logs the answer to an order.
func (w *Owner) note(order string, v worker.Verdict, o worker.Order, task string, run work.Run) {
	w.owners.counters.orders.Add(order+string("."+v), 1)
	if v == worker.Accepted {
		return
	}
	if w.ctx.Err() != nil {
		return
	}
	w.logger.WithFields(log.Fields{
		"order": order, "verdict": string(v), "worker": string(o.Worker), "task": task, "run": int(run),
	}).Warn("order not accepted")
	if v == worker.Fenced {
		w.owners.fenced(w.owner)
	}
}
