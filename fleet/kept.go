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

const kindKeep = peer.Kind("keep")

// keepRequest hands a job that lasts to the owner of a data centre's workers.
type keepRequest struct {
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	Job        work.Job         `msgpack:"job"`
	// Left is how long the caller waits.
	Left time.Duration `msgpack:"left"`
}

// UnavailableError means that the platform's table could not be asked.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "the table of jobs does not answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Keep hands a job that lasts to an owner, and waits until it is stored. The
// result is Kept, Refused if it will never run, or Expired if that is not known.
func (s *Submitter) Keep(ctx context.Context, j work.Job, arrived, deadline time.Time) dispatch.Reply {
	defer s.enter()()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r := s.keep(ctx, newAttempt(j, arrived, deadline))
	s.counters.results.Add(string(r.Result), 1)
	s.logger.WithFields(log.Fields{
		"job": string(j.ID), "queue": string(j.Queue), "result": string(r.Result), "reason": r.Reason,
		"tookMs": time.Since(arrived).Milliseconds(), "tasks": j.Tasks(),
	}).Info("job handed in")
	return r
}

func (s *Submitter) keep(ctx context.Context, a *attempt) dispatch.Reply {
	unclear := false
	for ctx.Err() == nil {
		now := time.Now()
		o, _, ok := s.pick(now, a)
		if !ok {
			if !s.Owned(now) {
				break
			}
			pause(ctx, retryPause)
			continue
		}
		r, err := s.callKeep(ctx, o, keepRequest{DataCentre: o.DataCentre, Job: a.job, Left: a.deadline.Sub(now)})
		switch {
		case err == nil && r.Result == dispatch.Kept:
			return r
		case err == nil && r.Result == dispatch.Refused && !unclear:
			return r
		case err == nil && r.Result == dispatch.Expired, err != nil && !errors.As(err, new(*peer.UnreachableError)):
			unclear = true
		}
		pause(ctx, retryPause)
	}
	if unclear {
		return dispatch.Reply{Result: dispatch.Expired, Reason: "the job may be stored"}
	}
	return dispatch.Reply{Result: dispatch.Refused, Reason: "no owner of workers answers", RetryAfter: refusedRetry}
}

func (s *Submitter) callKeep(ctx context.Context, o ownership.Owner, r keepRequest) (dispatch.Reply, error) {
	if o.Host == s.self.Name {
		return s.owners.Keep(ctx, r), nil
	}
	return peer.Call[keepRequest, dispatch.Reply](ctx, s.links, o.Address, kindKeep, r)
}

// Keep stores a job for an ownership of this host.
func (o *Owners) Keep(ctx context.Context, r keepRequest) dispatch.Reply {
	x := o.get(r.DataCentre)
	if x == nil {
		return dispatch.Reply{Job: r.Job.ID, Result: dispatch.Moved}
	}
	ctx, cancel := context.WithTimeout(ctx, r.Left)
	defer cancel()
	return x.keeper.keep(ctx, r.Job)
}

// State returns the state of a job that lasts, or nil if there is none. An
// error is an *UnavailableError.
func (s *Submitter) State(ctx context.Context, id work.ID) (*ledger.Entry, error) {
	defer s.enter()()
	row, err := s.stateRow(ctx, id)
	if err != nil || !handedIn(row) {
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

// Cancel ends a job that lasts. It returns false if there is no such job, which
// never runs then, and an *UnavailableError if the cancelling may not be stored.
func (s *Submitter) Cancel(ctx context.Context, id work.ID) (bool, error) {
	defer s.enter()()
	for {
		row, err := s.stateRow(ctx, id)
		if err == nil {
			var done bool
			if done, err = s.cancelRow(ctx, id, row); done {
				known := handedIn(row)
				s.logger.WithFields(log.Fields{"job": string(id), "known": known}).Info("job cancelled")
				return known, nil
			}
		}
		if err != nil {
			s.logger.WithField("job", string(id)).WithError(err).Warn("job not cancelled")
		}
		if !pause(ctx, retryPause) {
			return true, &UnavailableError{Cause: errors.CombineErrors(err, ctx.Err())}
		}
	}
}

// handedIn returns true if a state row is that of a job which a caller has handed
// in.
func handedIn(row *storage.Row) bool {
	if row == nil {
		return false
	}
	e, err := ledger.ReadEntry(*row)
	return err != nil || !e.Barred()
}

// cancelRow writes that a job is cancelled, given its state row or nil. It returns
// false without an error if the row has changed.
func (s *Submitter) cancelRow(ctx context.Context, id work.ID, row *storage.Row) (bool, error) {
	var w storage.Write
	var err error
	open := true
	if row == nil {
		w, err = ledger.Bar(time.Now(), id, s.self.DataCentre)
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

// Pending returns the number of jobs of a queue that last and have not begun.
// The owners tell it. Where one of them is not heard, or does not know its jobs
// yet, the table does; jobs that run count as waiting then until a run has ended.
func (s *Submitter) Pending(ctx context.Context, q work.Queue) (int, error) {
	now, total := time.Now(), 0
	owners := s.directory.Owners()
	if len(owners) == 0 {
		// This host has just started.
		return s.storedPending(ctx, q)
	}
	for c, o := range owners {
		load, known := s.contacts.Load(c)
		if x := s.owners.get(c); x != nil {
			load, known = x.load(), true
		} else if !s.heard(now, o) {
			known = false
		}
		if !known || !load.Loaded {
			return s.storedPending(ctx, q)
		}
		total += load.Pending[q]
	}
	return total, nil
}

func (s *Submitter) storedPending(ctx context.Context, q work.Queue) (int, error) {
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
		if e.Queue == q && !e.Over() && !e.Progress.Begun() {
			total++
		}
	}
	return total, nil
}
