package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"
)

const (
	// turnInterval is the time between two turns of the watch.
	turnInterval = 25 * time.Millisecond
	// turnLate is the time without a turn after which the process was paused.
	// Hosts on which the platform meters the processor stand still for up to 0.1 s
	// at a time.
	turnLate = 250 * time.Millisecond
	// settleTime is how long after a pause the process needs to notice which
	// connections were closed meanwhile.
	settleTime = 100 * time.Millisecond
)

// Watch knows whether this process was paused lately: it may then not have
// noticed yet which callers have left.
type Watch struct {
	clock  Clock
	logger log.Interface
	// turned is when the last turn was, and woke when the last pause ended, in
	// nanoseconds since 1970.
	turned, woke atomic.Int64
}

func newWatch(c Clock, l log.Interface) *Watch {
	w := &Watch{clock: c, logger: l}
	w.turned.Store(c().UnixNano())
	return w
}

func runWatch(life fx.Lifecycle, w *Watch) {
	background(life, w.run)
}

func (w *Watch) run(ctx context.Context) {
	for pause(ctx, turnInterval) {
		w.turn(w.clock())
	}
}

// turn notes that the process runs.
func (w *Watch) turn(now time.Time) {
	last := time.Unix(0, w.turned.Load())
	if late := now.Sub(last); late > turnLate {
		w.woke.Store(now.UnixNano())
		w.logger.WithField("pauseMs", late.Milliseconds()).Warn("process was paused")
	}
	w.turned.Store(now.UnixNano())
}

// Verified returns when the connections of callers were known last.
func (w *Watch) Verified() time.Time { return time.Unix(0, w.turned.Load()) }

// Awake returns true if the process runs, and has done so for long enough to know
// which callers have left. It does not depend on whether the watch has had its
// turn since a pause.
func (w *Watch) Awake(now time.Time) bool {
	return now.Sub(time.Unix(0, w.turned.Load())) <= turnLate && now.Sub(time.Unix(0, w.woke.Load())) >= settleTime
}
