package cmd

import (
	"context"
	"time"
)

const (
	// restPercent and workPercent are how much the heap may grow between two
	// collections, in percent of what is in use: control may take 32 MB on a node, of
	// which the pages of the program are 20, and work is not to pay for that.
	restPercent = 50
	workPercent = 100
	// restInterval is the time without a message to a backend server after which a host
	// is at rest.
	restInterval = time.Second
)

// collector knows how early garbage is collected on a host.
type collector struct {
	// messages is the number of messages that were sent to backend servers.
	messages int64
	percent  int
}

// next takes in the number of messages so far. It returns the percentage to set, and
// false if it stays as it is.
func (c *collector) next(messages int64) (int, bool) {
	percent := workPercent
	if messages == c.messages {
		percent = restPercent
	}
	c.messages = messages
	changed := percent != c.percent
	c.percent = percent
	return percent, changed
}

// run keeps the percentage as the work of the host asks for.
func (c *collector) run(ctx context.Context, messages func() int64, set func(int) int) {
	ticker := time.NewTicker(restInterval)
	defer ticker.Stop()
	for {
		if percent, ok := c.next(messages()); ok {
			set(percent)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
