package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// storeInterval is the time between two checks for rows to write or remove, in addition
// to those that an event triggers.
const storeInterval = 250 * time.Millisecond

// jobStore persists the stored jobs of one owner, and passes those of earlier owners to
// the owner's machine.
type jobStore struct {
	owner  *Owner
	table  storage.Table
	feed   storage.Feed
	logger log.Interface
	wake   chan struct{}
	// reading is full while the states of all jobs are read and taken over.
	reading chan struct{}
	// recheck is true if they have to be read again.
	recheck atomic.Bool

	// memory is charged with the jobs of the ledger.
	memory intake.StoredJobs

	mutex  sync.Mutex
	ledger *ledger.Store
	// cancelled holds the jobs that have a cancellation row.
	cancelled map[work.ID]bool
	// loaded is true once the jobs of the previous owner are known.
	loaded bool
	// waiting holds a channel for each caller that waits for its job to be stored, for the
	// reply.
	waiting map[work.ID][]chan dispatch.Reply
}

func newJobStore(w *Owner, t storage.Table, f storage.Feed, x ownership.Owner) *jobStore {
	return &jobStore{
		owner: w, table: t, feed: f, logger: w.logger, wake: make(chan struct{}, 1), reading: make(chan struct{}, 1),
		ledger: ledger.NewStore(ledger.Config{
			DataCentre: x.DataCentre, OwnerKey: ownerKey(x.DataCentre), Token: x.Token, Retention: w.owners.settings.Retention,
			RowBytes: w.owners.settings.RowBytes,
		}),
		waiting: map[work.ID][]chan dispatch.Reply{}, memory: w.owners.memory.OpenStored(time.Now()),
	}
}

// run loads the stored jobs, and then writes changes until ctx ends.
func (s *jobStore) run(ctx context.Context) {
	defer s.memory.Close()
	inbox := s.owner.owners.directory.InboxRevision(s.owner.owner.DataCentre)
	for {
		err := s.load(ctx)
		if err == nil {
			break
		}
		if ctx.Err() == nil {
			s.logger.WithError(err).Warn("stored jobs not loaded")
		}
		if !sleep(ctx, storeRetryPause) {
			return
		}
	}
	go s.followCancels(ctx)
	go s.followInbox(ctx, inbox)
	go s.watchOthers(ctx)
	timer := time.NewTicker(storeInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
			s.mutex.Lock()
			s.ledger.Expire(time.Now())
			s.memory.Set(s.ledger.Weight())
			s.mutex.Unlock()
			s.moveStranded()
		}
		for s.writeNext(ctx) {
		}
	}
}

// writeNext sends the next write. It returns false if there is none or the store has to
// stop.
func (s *jobStore) writeNext(ctx context.Context) bool {
	s.mutex.Lock()
	w, ok, err := s.ledger.Next()
	s.mutex.Unlock()
	if err != nil {
		s.logger.WithError(err).Error("state of a job cannot be written")
		return false
	}
	if !ok {
		return false
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	results, err := s.table.Commit(call, []storage.Write{w})
	cancel()
	var r storage.Result
	if err == nil {
		r = results[0]
	} else if ctx.Err() == nil {
		s.logger.WithError(err).Warn("jobs not stored")
	}
	s.mutex.Lock()
	o := s.ledger.HandleResult(r, err)
	for _, j := range o.Accepted {
		s.answer(dispatch.Reply{Job: j.ID, Result: dispatch.Stored})
	}
	for _, id := range o.AlreadyStored {
		s.answer(dispatch.Reply{Job: id, Result: dispatch.Stored})
	}
	for _, id := range o.Rejected {
		s.logger.WithField("job", string(id)).Error("the table does not take the job")
		s.answer(dispatch.Reply{Job: id, Result: dispatch.Refused, Reason: "the table does not take the job", RetryAfter: refusalRetryAfter})
	}
	s.mutex.Unlock()
	if o.Fenced {
		s.owner.owners.endFenced(s.owner.owner)
		return false
	}
	s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) { s.applyOutcome(now, m, o) })
	if o.Pause > 0 {
		sleep(ctx, o.Pause)
	}
	return ctx.Err() == nil
}

// applyOutcome passes the outcome of a write to the machine. The caller holds the owner's
// mutex.
func (s *jobStore) applyOutcome(now time.Time, m *dispatch.Machine, o ledger.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, j := range o.Accepted {
		// It may have been cancelled since.
		if !s.ledger.HasEnded(j.ID) {
			m.AddStored(now, j, work.Progress{}, false)
		}
	}
	for _, e := range o.StoredEnds {
		m.EndStored(now, e)
	}
	for _, id := range o.Cancelled {
		m.Cancel(now, id)
	}
	for _, x := range o.Moved {
		s.logger.WithFields(log.Fields{"job": string(x.ID), "to": string(x.To), "unstored": len(x.UnstoredEnds)}).Info("stored job moved")
		m.MoveAway(now, x.ID, x.UnstoredEnds)
	}
	if o.Recheck {
		s.recheck.Store(true)
	}
}

// isKnown returns true if a job is stored here, or is being stored.
func (s *jobStore) isKnown(id work.ID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ledger.IsKnown(id)
}

// isCancelled returns true if a cancellation row of a job was read.
func (s *jobStore) isCancelled(id work.ID) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.cancelled[id]
}

// answer ends the wait of a job's callers. The caller holds the mutex.
func (s *jobStore) answer(r dispatch.Reply) {
	for _, c := range s.waiting[r.Job] {
		c <- r
	}
	delete(s.waiting, r.Job)
}

// noteProgress queues the progress and ends of jobs that the machine reports for writing.
// It returns the ends of runs that need not be stored. It is called in the order of the
// events.
func (s *jobStore) noteProgress(now time.Time, a *dispatch.Actions) []worker.EndID {
	if len(a.RunEnds)+len(a.JobEnds)+len(a.Losses) == 0 {
		return nil
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, x := range a.Losses {
		s.ledger.RecordLosses(x)
	}
	var unneeded []worker.EndID
	for _, e := range a.RunEnds {
		if !s.ledger.RecordEnd(e.Job, e.Task, e.Run, e.Done, e.End) {
			unneeded = append(unneeded, e.End)
		}
	}
	for _, e := range a.JobEnds {
		state := ledger.Completed
		if e.Result == dispatch.Failed {
			state = ledger.Failed
		}
		s.ledger.End(now, e.Job, state)
		s.logger.WithFields(log.Fields{"job": string(e.Job), "state": string(state)}).Info("stored job ended")
	}
	s.wakeUp()
	return unneeded
}

func (s *jobStore) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// store stores a job, and waits until it is stored or ctx ends. If mayRefer is true and only
// another data centre has workers for the job, the reply names that one.
func (s *jobStore) store(ctx context.Context, j work.Job, mayRefer bool) dispatch.Reply {
	if s.owner.tenure.isUnconfirmed() {
		return dispatch.Reply{Job: j.ID, Result: dispatch.Moved, Reason: "the owner may have been replaced"}
	}
	if mayRefer {
		if c, ok := s.betterCentre(&j); ok {
			return dispatch.Reply{Job: j.ID, Result: dispatch.Busy, DataCentre: c}
		}
	}
	s.mutex.Lock()
	if !s.loaded {
		s.mutex.Unlock()
		return dispatch.Reply{Job: j.ID, Result: dispatch.Moved, Reason: "the owner does not know its jobs yet"}
	}
	if !s.ledger.IsKnown(j.ID) && !s.memory.TryAdd(time.Now(), ledger.WeightOf(&j)) {
		s.mutex.Unlock()
		if s.owner.ctx.Err() != nil {
			return dispatch.Reply{Job: j.ID, Result: dispatch.Moved, Reason: "the owner was replaced"}
		}
		s.owner.noteWithoutMemory()
		return dispatch.Reply{Job: j.ID, Result: dispatch.Refused, Reason: reasonWithoutMemory, RetryAfter: refusalRetryAfter}
	}
	known, err := s.ledger.Accept(j)
	if err != nil {
		s.mutex.Unlock()
		return dispatch.Reply{Job: j.ID, Result: dispatch.Refused, Reason: err.Error(), RetryAfter: refusalRetryAfter}
	}
	if known {
		s.mutex.Unlock()
		return dispatch.Reply{Job: j.ID, Result: dispatch.Stored}
	}
	stored := make(chan dispatch.Reply, 1)
	s.waiting[j.ID] = append(s.waiting[j.ID], stored)
	s.mutex.Unlock()
	s.wakeUp()
	select {
	case r := <-stored:
		return r
	case <-ctx.Done():
	case <-s.owner.ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case r := <-stored:
		return r
	default:
	}
	if len(s.waiting[j.ID]) == 1 && s.ledger.Abandon(j.ID) {
		delete(s.waiting, j.ID)
		if s.owner.ctx.Err() != nil {
			return dispatch.Reply{Job: j.ID, Result: dispatch.Moved, Reason: "the owner was replaced"}
		}
		return dispatch.Reply{Job: j.ID, Result: dispatch.Refused, Reason: "the job could not be stored", RetryAfter: refusalRetryAfter}
	}
	return dispatch.Reply{Job: j.ID, Result: dispatch.Expired, Reason: "the job may be stored"}
}

// sweepInterval is the time between two reads of the cancelled jobs while no job is
// open. Their rows have to be removed eventually, but nothing waits for that.
const sweepInterval = time.Minute

// followCancels applies cancellations by other hosts until ctx ends.
func (s *jobStore) followCancels(ctx context.Context) {
	f := &follower{view: storage.NewView(s.table, s.feed, ledger.CancelGroup), logger: s.logger, name: "the table of cancelled jobs"}
	for ctx.Err() == nil {
		for idle := time.Duration(0); idle < sweepInterval && s.openJobs() == 0; idle += storeInterval {
			if !sleep(ctx, storeInterval) {
				return
			}
		}
		f.step(ctx, func() { s.applyCancels(f.view.Rows()) })
	}
}

// openJobs returns the number of jobs that have not ended.
func (s *jobStore) openJobs() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ledger.CountOpen()
}

func (s *jobStore) applyCancels(rows map[string]storage.Row) {
	s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.cancelled = make(map[work.ID]bool, len(rows))
		for key, r := range rows {
			s.cancelled[ledger.ID(key)] = true
			s.ledger.LoadTombstone(r)
			s.ledger.Cancel(now, ledger.ID(key))
			m.Cancel(now, ledger.ID(key))
		}
	})
}
