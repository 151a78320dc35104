package entry

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/outcome"
)

// claim decides between the dispatcher and the waiting caller whether work is
// sent or withdrawn. Its zero value is queued work.
type claim struct {
	state atomic.Int32
	// mayHaveRun is true once the work ran or may have run.
	mayHaveRun atomic.Bool
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

// release returns claimed work to the queued state.
func (c *claim) release() { c.state.CompareAndSwap(claimSending, claimQueued) }

// withdraw withdraws queued work. It returns false if the work is being sent;
// withdrawn work is never sent.
func (c *claim) withdraw() bool {
	return c.state.CompareAndSwap(claimQueued, claimWithdrawn)
}

// markRan records that the work ran or may have run.
func (c *claim) markRan() { c.mayHaveRun.Store(true) }

// correctKind returns e, with the kind NotRun replaced by Unknown if an earlier
// attempt or another copy may have run the work.
func (c *claim) correctKind(e *outcome.Error) *outcome.Error {
	if e == nil || e.Kind != outcome.NotRun || !c.mayHaveRun.Load() {
		return e
	}
	unknown := *e
	unknown.Kind = outcome.Unknown
	return &unknown
}

// errCut is the cause with which a shutdown that runs out of time cancels the
// contexts of open requests.
var errCut = errors.New("the entry host shuts down")

// outcomeOfContext returns the outcome of work whose context ended. The
// parameter sent is true if the work was sent to a backend server.
func outcomeOfContext(ctx context.Context, sent bool) *outcome.Error {
	kind, state := outcome.NotRun, "the request was not sent"
	if sent {
		kind, state = outcome.Unknown, "the request was sent and has no answer"
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errCut):
		return outcome.New(kind, outcome.Shutdown, "the entry host shuts down; %s", state).WithRetryAfter(shutdownRetryDelay)
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.New(kind, outcome.DeadlinePassed, "the time for the request has passed; %s", state).WithRetryAfter(deadlineRetryDelay)
	default:
		return outcome.New(kind, outcome.Cancelled, "the caller went away; %s", state)
	}
}
