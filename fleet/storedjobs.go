package fleet

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

const kindStore = peer.Kind("keep")

// storeRequest submits a stored job to the owner of a data centre's workers.
type storeRequest struct {
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	Job        work.Job         `msgpack:"job"`
	// Left is how long the caller still waits for the job to be stored.
	Left time.Duration `msgpack:"left"`
	// MayRefer is true if the owner may name another data centre instead.
	MayRefer bool `msgpack:"mayRefer,omitempty"`
}

// UnavailableError means that the platform's table did not answer.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "the table of jobs does not answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// SubmitStored submits a stored job to an owner, and waits until it is stored. The
// result is Stored, Refused if the job will never run, or Expired if neither is certain.
func (s *Submitter) SubmitStored(ctx context.Context, j work.Job, arrived, deadline time.Time) dispatch.Reply {
	defer s.trackCall()()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r := s.store(ctx, newAttempt(j, arrived, deadline))
	s.counters.results.Add(string(r.Result), 1)
	s.logger.WithFields(log.Fields{
		"job": string(j.ID), "queue": string(j.Queue), "result": string(r.Result), "reason": r.Reason,
		"tookMs": time.Since(arrived).Milliseconds(), "tasks": j.Tasks(),
	}).Info("stored job submitted")
	return r
}

func (s *Submitter) store(ctx context.Context, a *attempt) dispatch.Reply {
	uncertain, mayRefer := false, true
	var referred ident.DataCentre
	for ctx.Err() == nil {
		now := time.Now()
		o, _, ok := s.pickOwner(now, a)
		if x, known := s.directory.Owners()[referred]; known && s.isHeard(now, x) {
			o, ok = x, true
		}
		referred = ""
		if !ok && a.lacksMemory && !uncertain {
			return a.giveUp(reasonNoMemory)
		}
		if !ok {
			if !s.HasOwner(now) {
				break
			}
			sleep(ctx, retryPause)
			continue
		}
		r, err := s.callStore(ctx, o, storeRequest{DataCentre: o.DataCentre, Job: a.job, Left: a.deadline.Sub(now), MayRefer: mayRefer})
		switch {
		case err == nil && r.Result == dispatch.Busy:
			referred, mayRefer = r.DataCentre, false
			continue
		case err == nil && r.Result == dispatch.Stored:
			return r
		case err == nil && r.Result == dispatch.Refused && !uncertain:
			return r
		case err == nil && r.Result == dispatch.Expired, err != nil && !errors.As(err, new(*peer.UnreachableError)):
			uncertain = true
		}
		sleep(ctx, retryPause)
	}
	if uncertain {
		return dispatch.Reply{Result: dispatch.Expired, Reason: "the job may be stored"}
	}
	return dispatch.Reply{Result: dispatch.Refused, Reason: "no owner of workers answers", RetryAfter: refusalRetryAfter}
}

func (s *Submitter) callStore(ctx context.Context, o ownership.Owner, r storeRequest) (dispatch.Reply, error) {
	if o.Host == s.self.Name {
		return s.owners.Store(ctx, r), nil
	}
	return peer.Call[storeRequest, dispatch.Reply](ctx, s.links, o.Address, kindStore, r)
}

// Store stores a job for an ownership of this host, and waits until it is stored.
func (o *Owners) Store(ctx context.Context, r storeRequest) dispatch.Reply {
	x := o.get(r.DataCentre)
	if x == nil {
		return dispatch.Reply{Job: r.Job.ID, Result: dispatch.Moved}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Left)
	defer cancel()
	return x.jobStore.store(ctx, r.Job, r.MayRefer)
}

// State returns the state of a stored job, or nil if there is no such job. It returns an
// *UnavailableError if the table does not answer.
func (s *Submitter) State(ctx context.Context, id work.ID) (*ledger.Entry, error) {
	defer s.trackCall()()
	row, err := s.stateRow(ctx, id)
	if err != nil || !isSubmitted(row) {
		return nil, err
	}
	e, err := ledger.ReadEntry(*row)
	return &e, err
}

func (s *Submitter) stateRow(ctx context.Context, id work.ID) (*storage.Row, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, _, err := s.directory.table.Get(call, ledger.StateKey(id))
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	return row, nil
}

// Cancel ends a job, whether it is stored or its caller waits. It returns false if there is no
// such job, which then never runs if it is submitted later. It returns an *UnavailableError if
// the cancellation may not be stored, or may not have reached an owner.
func (s *Submitter) Cancel(ctx context.Context, id work.ID) (bool, error) {
	defer s.trackCall()()
	for {
		row, err := s.stateRow(ctx, id)
		if err == nil {
			var done bool
			known := isSubmitted(row)
			if done, err = s.cancelRow(ctx, id, row); done && !known {
				known, err = s.cancelWaiting(ctx, id)
			}
			if done && err == nil {
				s.logger.WithFields(log.Fields{"job": string(id), "known": known}).Info("job cancelled")
				return known, nil
			}
		}
		if err != nil {
			s.logger.WithField("job", string(id)).WithError(err).Warn("job not cancelled")
		}
		if !sleep(ctx, retryPause) {
			return true, &UnavailableError{Cause: errors.CombineErrors(err, ctx.Err())}
		}
	}
}

// isSubmitted returns true if a state row belongs to a job that a caller has submitted,
// rather than to a cancellation before that.
func isSubmitted(row *storage.Row) bool {
	if row == nil {
		return false
	}
	e, err := ledger.ReadEntry(*row)
	return err != nil || !e.IsTombstone()
}

// cancelRow writes the cancellation of a job, given its state row or nil. It returns false
// without an error if the row has changed.
func (s *Submitter) cancelRow(ctx context.Context, id work.ID, row *storage.Row) (bool, error) {
	var w storage.Write
	var err error
	open := true
	if row == nil {
		w, err = ledger.Tombstone(time.Now(), id, s.self.DataCentre)
	} else {
		w, open, err = ledger.Cancel(time.Now(), id, *row)
	}
	if err != nil || !open {
		return err == nil, err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	results, err := s.directory.table.Commit(call, []storage.Write{w})
	if err != nil {
		return false, err
	}
	return results[0].Applied, nil
}

// Pending returns the number of stored jobs of a queue that have not begun. It adds up
// the numbers that the owners report. If one of them is not heard, or has not loaded its
// jobs yet, it counts the rows of the table, where a running job counts as pending until
// one of its runs has ended.
func (s *Submitter) Pending(ctx context.Context, q work.Queue) (int, error) {
	now, total := time.Now(), 0
	owners := s.directory.Owners()
	if len(owners) == 0 {
		// This host has just started and knows no owners yet.
		return s.pendingInTable(ctx, q)
	}
	for c, o := range owners {
		load, known := s.contacts.Load(c)
		if x := s.owners.get(c); x != nil {
			load, known = x.load(), true
		} else if !s.isHeard(now, o) {
			known = false
		}
		if !known || !load.StoredJobsLoaded {
			return s.pendingInTable(ctx, q)
		}
		total += load.Pending[q]
	}
	return total, nil
}

func (s *Submitter) pendingInTable(ctx context.Context, q work.Queue) (int, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := s.directory.table.List(call, ledger.StateGroup+"/", "", 0)
	if err != nil {
		return 0, &UnavailableError{Cause: err}
	}
	total := 0
	for _, r := range rows {
		e, err := ledger.ReadEntry(r)
		if err != nil {
			return 0, &UnavailableError{Cause: err}
		}
		if e.Queue == q && !e.HasEnded() && !e.Progress.HasEndedRuns() {
			total++
		}
	}
	return total, nil
}
