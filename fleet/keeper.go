package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// keepInterval is the time between two looks at what has to be written or
// removed, beside those that an event brings.
const keepInterval = 250 * time.Millisecond

// keeper stores the jobs that last for one owner, and hands those that an
// earlier owner has stored to the owner's machine.
type keeper struct {
	owner  *Owner
	table  storage.Table
	feed   storage.Feed
	logger log.Interface
	wake   chan struct{}

	mutex sync.Mutex
	book  *ledger.Book
	// loaded is true once the jobs of the owner before are known.
	loaded bool
	// waiting holds the callers that wait for their job to be stored.
	waiting map[work.ID][]chan struct{}
}

func newKeeper(w *Owner, t storage.Table, f storage.Feed, x ownership.Owner, retention time.Duration) *keeper {
	return &keeper{
		owner: w, table: t, feed: f, logger: w.logger, wake: make(chan struct{}, 1),
		book: ledger.NewBook(ledger.Config{
			DataCentre: x.DataCentre, OwnerKey: ownerPrefix + string(x.DataCentre), Token: x.Token, Retention: retention,
		}),
		waiting: map[work.ID][]chan struct{}{},
	}
}

// run loads what is stored, and writes what changes, until ctx ends.
func (k *keeper) run(ctx context.Context) {
	for {
		err := k.load(ctx)
		if err == nil {
			break
		}
		if ctx.Err() == nil {
			k.logger.WithError(err).Warn("stored jobs not loaded")
		}
		if !pause(ctx, storePause) {
			return
		}
	}
	go k.followCancels(ctx)
	timer := time.NewTicker(keepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-timer.C:
			k.mutex.Lock()
			k.book.Expire(time.Now())
			k.mutex.Unlock()
		}
		for k.write(ctx) {
		}
	}
}

// load reads the jobs of this owner's data centre.
func (k *keeper) load(ctx context.Context) error {
	states, err := k.list(ctx, ledger.StateGroup)
	if err != nil {
		return err
	}
	entries := map[work.ID]ledger.Entry{}
	open := 0
	for id, r := range states {
		e, err := ledger.ReadEntry(r)
		if err != nil {
			k.logger.WithError(err).Error("state of a job can not be read")
			continue
		}
		if e.DataCentre != k.owner.owner.DataCentre {
			continue
		}
		entries[id] = e
		if !e.Over() {
			open++
		}
	}
	jobs := map[work.ID]work.Job{}
	if open > 0 {
		if jobs, err = k.jobs(ctx, entries); err != nil {
			return err
		}
		for id, e := range entries {
			if _, ok := jobs[id]; !ok && !e.Over() {
				// It was cancelled between the two reads. Its state is right.
				k.logger.WithField("job", string(id)).Warn("open job without a specification is passed over")
				delete(entries, id)
			}
		}
	}
	k.mutex.Lock()
	for id, e := range entries {
		k.book.Load(id, jobs[id], e, states[id].Revision)
	}
	k.loaded = true
	k.mutex.Unlock()
	k.owner.step(eventKeep, func(now time.Time, m *dispatch.Machine) {
		for id, e := range entries {
			if !e.Over() {
				m.Keep(now, jobs[id], e.Progress, true)
			}
		}
		if open == 0 {
			m.Loaded(now)
		}
	})
	go k.guard(ctx, open == 0)
	if len(entries) > 0 {
		k.logger.WithFields(log.Fields{"jobs": len(entries), "open": open}).Info("stored jobs loaded")
	}
	return nil
}

// jobs reads the specifications of the jobs that are not over.
func (k *keeper) jobs(ctx context.Context, entries map[work.ID]ledger.Entry) (map[work.ID]work.Job, error) {
	rows, err := k.list(ctx, ledger.JobGroup)
	if err != nil {
		return nil, err
	}
	jobs := map[work.ID]work.Job{}
	for id, r := range rows {
		e, ok := entries[id]
		if !ok || e.Over() {
			continue
		}
		if jobs[id], err = ledger.ReadJob(r); err != nil {
			return nil, err
		}
	}
	return jobs, nil
}

// list reads all rows of a group by job.
func (k *keeper) list(ctx context.Context, group string) (map[work.ID]storage.Row, error) {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	found := map[work.ID]storage.Row{}
	rows, _, err := k.table.List(call, group+"/", "", 0)
	for _, r := range rows {
		found[ledger.ID(r.Key)] = r
	}
	return found, err
}

// listTimeout bounds the reading of a whole group. Ten thousand states, those of
// two minutes at 80 jobs a second, come in 20 pages of 500.
const listTimeout = 20 * time.Second

// write sends the next write. It returns false if there was none.
func (k *keeper) write(ctx context.Context) bool {
	k.mutex.Lock()
	w, ok, err := k.book.Next()
	k.mutex.Unlock()
	if err != nil {
		k.logger.WithError(err).Error("state of a job can not be written")
		return false
	}
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	results, err := k.table.Commit(call, []storage.Write{w})
	cancel()
	var r storage.Result
	if err == nil {
		r = results[0]
	} else if ctx.Err() == nil {
		k.logger.WithError(err).Warn("jobs not stored")
	}
	k.mutex.Lock()
	o := k.book.Written(r, err)
	for _, j := range o.Accepted {
		k.told(j.ID)
	}
	for _, id := range o.Known {
		k.told(id)
	}
	k.mutex.Unlock()
	if o.Deposed {
		k.owner.owners.fenced(k.owner.owner)
		return false
	}
	k.owner.step(eventKeep, func(now time.Time, m *dispatch.Machine) { k.apply(now, m, o) })
	if o.Pause > 0 {
		pause(ctx, o.Pause)
	}
	return ctx.Err() == nil
}

// apply tells the machine what a write has brought about. The caller holds the
// owner's mutex.
func (k *keeper) apply(now time.Time, m *dispatch.Machine, o ledger.Outcome) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, j := range o.Accepted {
		// Its cancelling may have come since.
		if !k.book.Over(j.ID) {
			m.Keep(now, j, work.Progress{}, false)
		}
	}
	for _, e := range o.Stored {
		m.Stored(now, e)
	}
	for _, id := range o.Cancelled {
		m.Cancel(now, id)
	}
}

// told ends the wait of the callers of a job. The caller holds the mutex.
func (k *keeper) told(id work.ID) {
	for _, c := range k.waiting[id] {
		close(c)
	}
	delete(k.waiting, id)
}

// take stores what the machine has found, and returns the ends that need no
// storing. It is called in the order of events.
func (k *keeper) take(now time.Time, notes []dispatch.Note, finishes []dispatch.Finish) []worker.EndID {
	if len(notes)+len(finishes) == 0 {
		return nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var idle []worker.EndID
	for _, n := range notes {
		if !k.book.Note(n.Job, n.Task, n.Run, n.Done, n.End) {
			idle = append(idle, n.End)
		}
	}
	for _, f := range finishes {
		state := ledger.Completed
		if f.Result == dispatch.Failed {
			state = ledger.Failed
		}
		k.book.End(now, f.Job, state)
		k.logger.WithFields(log.Fields{"job": string(f.Job), "state": string(state)}).Info("kept job ended")
	}
	k.awaken()
	return idle
}

func (k *keeper) awaken() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// keep stores a job, and waits until it is stored or ctx ends.
func (k *keeper) keep(ctx context.Context, j work.Job) dispatch.Reply {
	k.mutex.Lock()
	if !k.loaded {
		k.mutex.Unlock()
		return dispatch.Reply{Job: j.ID, Result: dispatch.Moved, Reason: "the owner does not know its jobs yet"}
	}
	if k.book.Accept(j) {
		k.mutex.Unlock()
		return dispatch.Reply{Job: j.ID, Result: dispatch.Kept}
	}
	stored := make(chan struct{})
	k.waiting[j.ID] = append(k.waiting[j.ID], stored)
	k.mutex.Unlock()
	k.awaken()
	select {
	case <-stored:
		return dispatch.Reply{Job: j.ID, Result: dispatch.Kept}
	case <-ctx.Done():
	case <-k.owner.ctx.Done():
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	select {
	case <-stored:
		return dispatch.Reply{Job: j.ID, Result: dispatch.Kept}
	default:
	}
	if len(k.waiting[j.ID]) == 1 && k.book.Abandon(j.ID) {
		delete(k.waiting, j.ID)
		if k.owner.ctx.Err() != nil {
			return dispatch.Reply{Job: j.ID, Result: dispatch.Moved, Reason: "the owner was replaced"}
		}
		return dispatch.Reply{Job: j.ID, Result: dispatch.Refused, Reason: "the job could not be stored", RetryAfter: refusedRetry}
	}
	return dispatch.Reply{Job: j.ID, Result: dispatch.Expired, Reason: "the job may be stored"}
}

// sweepInterval is the time between two looks for cancelled jobs while none is
// open: their rows have to go at last, and nothing waits for that.
const sweepInterval = time.Minute

// followCancels learns which jobs other hosts have cancelled.
func (k *keeper) followCancels(ctx context.Context) {
	f := &follower{view: storage.NewView(k.table, k.feed, ledger.CancelGroup), logger: k.logger, name: "the table of cancelled jobs"}
	for ctx.Err() == nil {
		for idle := time.Duration(0); idle < sweepInterval && k.open() == 0; idle += keepInterval {
			if !pause(ctx, keepInterval) {
				return
			}
		}
		f.step(ctx, func() { k.cancel(f.view.Rows()) })
	}
}

// open returns the number of jobs that have not ended.
func (k *keeper) open() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.book.Open()
}

func (k *keeper) cancel(rows map[string]storage.Row) {
	k.owner.step(eventKeep, func(now time.Time, m *dispatch.Machine) {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		for key, r := range rows {
			k.book.LoadBarred(r)
			k.book.Cancel(now, ledger.ID(key))
			m.Cancel(now, ledger.ID(key))
		}
	})
}
