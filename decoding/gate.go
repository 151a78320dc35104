// Package decoding bounds the memory of the long messages that a host decodes at the same time.
package decoding

import (
	"context"
	"sync/atomic"

	"github.com/apex/log"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/metrics"
)

const (
	// memoryParts is the inverse of the share of the host's memory that the texts of long
	// messages of one kind may take, and that decoding them may.
	memoryParts = 32
	// decodedBytes is above the memory that decoding takes for each byte of a message.
	decodedBytes = 16
	// ShortBytes is the length up to which a message is decoded without waiting: that of usual
	// jobs, calls of other hosts, and answers with some 300 runs or ends.
	ShortBytes = 16 << 10
	// maxLines is how many lines are logged in a second about messages that wait.
	maxLines = 1
)

// Gate lets messages of one kind be read and decoded, as many at a time as the memory allows. It
// is safe for concurrent use.
type Gate struct {
	limit int64
	// texts and values are nil if there is no bound.
	texts, values *semaphore.Weighted
	waited        atomic.Int64
	lines         *rate.Limiter
	logger        atomic.Pointer[log.Interface]
}

// NewGate returns the gate of a host with the given memory. Zero means no bound.
func NewGate(memory intake.Bytes) *Gate {
	g := &Gate{limit: int64(memory / memoryParts), lines: rate.NewLimiter(maxLines, maxLines)}
	if g.limit > 0 {
		g.texts, g.values = semaphore.NewWeighted(g.limit), semaphore.NewWeighted(g.limit)
	}
	return g
}

// Publish adds the number of messages that had to wait to a set of metrics, and has the gate
// write to a log.
func (g *Gate) Publish(set *metrics.Set, name string, l log.Interface) {
	set.Func(name, func() any { return g.waited.Load() })
	g.logger.Store(&l)
}

// Read waits until a message of up to the given length may be read. The function leave must be
// called once the message is decoded. Read returns an error if ctx ends first.
func (g *Gate) Read(ctx context.Context, length intake.Bytes) (leave func(), err error) {
	return g.enter(ctx, g.texts, int64(length))
}

// Decode waits until a message of the given length may be decoded. The function leave must be
// called once it is. A large message is decoded alone, a short one at once. Decode returns an error
// if ctx ends first.
func (g *Gate) Decode(ctx context.Context, length intake.Bytes) (leave func(), err error) {
	if length <= ShortBytes {
		return func() {}, nil
	}
	return g.enter(ctx, g.values, int64(length)*decodedBytes)
}

func (g *Gate) enter(ctx context.Context, s *semaphore.Weighted, weight int64) (leave func(), err error) {
	if s == nil {
		return func() {}, nil
	}
	weight = min(weight, g.limit)
	if !s.TryAcquire(weight) {
		g.noteWait()
		if err := s.Acquire(ctx, weight); err != nil {
			return nil, err
		}
	}
	return func() { s.Release(weight) }, nil
}

func (g *Gate) noteWait() {
	total := g.waited.Add(1)
	if l := g.logger.Load(); l != nil && g.lines.Allow() {
		(*l).WithField("total", total).Warn("long messages wait to be decoded")
	}
}
