package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"
)

const (
	// pauseCheckInterval is the time between two ticks of the pause detector.
	pauseCheckInterval = 25 * time.Millisecond
	// minPause is the time without a tick from which the process counts as paused. On
	// hosts whose processor the platform throttles, it stops for up to 0.1 s at a time.
	minPause = 250 * time.Millisecond
	// settleTime is how long after a pause the process needs to notice which connections
	// were closed in the meantime.
	settleTime = 100 * time.Millisecond
)

// PauseDetector detects whether this process was paused recently. After a pause it may not
// have noticed yet which callers have left.
type PauseDetector struct {
	clock  Clock
	logger log.Interface
	// lastTick is when the last tick was, and pauseEnd when the last pause ended, in
	// nanoseconds since 1970.
	lastTick, pauseEnd atomic.Int64
}

func newPauseDetector(c Clock, l log.Interface) *PauseDetector {
	d := &PauseDetector{clock: c, logger: l}
	d.lastTick.Store(c().UnixNano())
	return d
}

func runPauseDetector(life fx.Lifecycle, d *PauseDetector) {
	runLoops(life, d.run)
}

func (d *PauseDetector) run(ctx context.Context) {
	for sleep(ctx, pauseCheckInterval) {
		d.tick(d.clock())
	}
}

// tick records that the process runs at now.
func (d *PauseDetector) tick(now time.Time) {
	last := time.Unix(0, d.lastTick.Load())
	if late := now.Sub(last); late > minPause {
		d.pauseEnd.Store(now.UnixNano())
		d.logger.WithField("pauseMs", late.Milliseconds()).Warn("process was paused")
	}
	d.lastTick.Store(now.UnixNano())
}

// LastVerified returns the last time at which it was known which callers are connected.
func (d *PauseDetector) LastVerified() time.Time { return time.Unix(0, d.lastTick.Load()) }

// IsAwake returns true if the process has run for long enough to know which callers have
// left. It is correct even if the detector has not ticked since a pause.
func (d *PauseDetector) IsAwake(now time.Time) bool {
	return now.Sub(time.Unix(0, d.lastTick.Load())) <= minPause && now.Sub(time.Unix(0, d.pauseEnd.Load())) >= settleTime
}
