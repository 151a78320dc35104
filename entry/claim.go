package entry

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/outcome"
)

// claim settles between the dispatcher and the one who waits for the work
// whether the work is sent. Its zero value is queued work.
type claim struct {
	state atomic.Int32
	// ran is true once the work ran or may have run.
	ran atomic.Bool
}

const (
	claimQueued int32 = iota
	claimSending
	claimWithdrawn
)

// take claims the work for sending. It returns false if it was withdrawn.
func (c *claim) take() bool {
	return c.state.CompareAndSwap(claimQueued, claimSending)
}

// release gives work back that is queued again.
func (c *claim) release() { c.state.CompareAndSwap(claimSending, claimQueued) }

// withdraw returns true if the work is not being sent; it never is then.
func (c *claim) withdraw() bool {
	return c.state.CompareAndSwap(claimQueued, claimWithdrawn)
}

// markRan records that the work ran or may have run.
func (c *claim) markRan() { c.ran.Store(true) }

// truth returns e, but never not run for work that an earlier try or another
// copy may have run.
func (c *claim) truth(e *outcome.Error) *outcome.Error {
	if e == nil || e.Kind != outcome.NotRun || !c.ran.Load() {
		return e
	}
	unknown := *e
	unknown.Kind = outcome.Unknown
	return &unknown
}

// errCut is the cause with which a shutdown that runs out of time ends the
// contexts of open requests.
var errCut = errors.New("the entry host shuts down")

// ended returns the outcome of work whose context ended. Sent is true if it
// was put on its way to a backend server.
func ended(ctx context.Context, sent bool) *outcome.Error {
	kind, state := outcome.NotRun, "the request was not sent"
	if sent {
		kind, state = outcome.Unknown, "the request was sent and has no answer"
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errCut):
		return outcome.New(kind, outcome.Shutdown, "the entry host shuts down; %s", state).After(shutdownRetry)
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.New(kind, outcome.DeadlinePassed, "the time for the request has passed; %s", state).After(deadlineRetry)
	default:
		return outcome.New(kind, outcome.Cancelled, "the caller went away; %s", state)
	}
}
