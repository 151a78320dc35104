package cmd

import (
	"context"
	"time"
)

const (
	// idleGCPercent and busyGCPercent are how much the heap may grow between two
	// collections, in percent of the live heap. The daemon may use 32 MB on a node,
	// 20 of which are pages of the program itself; a busy host does not spend more
	// CPU time on collections to stay within that.
	idleGCPercent = 50
	busyGCPercent = 100
	// idleInterval is the time without a message to a backend server after which a
	// host is idle.
	idleInterval = time.Second
)

// gcTuner makes the garbage collector run earlier while a host is idle.
type gcTuner struct {
	// lastMessages is the number of messages that had been sent to backend servers
	// at the last update.
	lastMessages int64
	percent      int
}

// update takes the number of messages sent so far. It returns the percentage to set,
// and whether it differs from the last one.
func (c *gcTuner) update(messages int64) (int, bool) {
	percent := busyGCPercent
	if messages == c.lastMessages {
		percent = idleGCPercent
	}
	c.lastMessages = messages
	changed := percent != c.percent
	c.percent = percent
	return percent, changed
}

// run adjusts the percentage to the load of the host until ctx ends.
func (c *gcTuner) run(ctx context.Context, messages func() int64, set func(int) int) {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		if percent, ok := c.update(messages()); ok {
			set(percent)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
