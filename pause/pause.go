// Package pause detects pauses of this process, after which it may not have noticed yet which
// callers have left.
package pause

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// checkInterval is the time between two ticks of the pause detector.
	checkInterval = 25 * time.Millisecond
	// MinPause is the time without a tick from which the process counts as paused. On
	// hosts whose processor the platform throttles, it stops for up to 0.1 s at a time.
	MinPause = 250 * time.Millisecond
	// settleTime is how long after a pause the process needs to notice which connections
	// were closed in the meantime.
	settleTime = 100 * time.Millisecond
)

// Detector detects whether this process was paused recently. After a pause it may not
// have noticed yet which callers have left.
type Detector struct {
	clock  func() time.Time
	logger log.Interface
	// lastTick is when the last tick was, and pauseEnd when the last pause ended, in
	// nanoseconds since 1970.
	lastTick, pauseEnd atomic.Int64
}

// New returns a Detector that has ticked at the present time.
func New(clock func() time.Time, l log.Interface) *Detector {
	d := &Detector{clock: clock, logger: l}
	d.lastTick.Store(clock().UnixNano())
	return d
}

// Run watches for pauses until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.Tick(d.clock())
		}
	}
}

// Tick records that the process runs at now.
func (d *Detector) Tick(now time.Time) {
	last := time.Unix(0, d.lastTick.Load())
	if late := now.Sub(last); late > MinPause {
		d.pauseEnd.Store(now.UnixNano())
		d.logger.WithField("pauseMs", late.Milliseconds()).Warn("process was paused")
	}
	d.lastTick.Store(now.UnixNano())
}

// LastVerified returns the last time at which it was known which callers are connected.
func (d *Detector) LastVerified() time.Time { return time.Unix(0, d.lastTick.Load()) }

// IsAwake returns true if the process has run for long enough to know which callers have
// left. It is correct even if the detector has not ticked since a pause.
func (d *Detector) IsAwake(now time.Time) bool {
	return now.Sub(time.Unix(0, d.lastTick.Load())) <= MinPause && now.Sub(time.Unix(0, d.pauseEnd.Load())) >= settleTime
}
