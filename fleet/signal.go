package fleet

import (
	"context"
	"time"
)

// signal ends a wait of a loop before its time. Several signals during one step of the
// loop count as one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

func (s signal) send() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// wait waits for a signal, but not longer than d. It returns false if ctx ends first.
func (s signal) wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s:
	case <-t.C:
	}
	return true
}
