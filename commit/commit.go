// Package commit gathers conditional writes of one entry host into few
// transactions of many rows.
package commit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkingap/catkingap/platform"
)

// Config builds a Batcher.
type Config struct {
	Table platform.Table
	// Timeout bounds one transaction.
	Timeout time.Duration
	// MaxRows bounds the writes of one transaction.
	MaxRows int
	// InFlight bounds the transactions under way at once.
	InFlight int
}

// Batcher sends writes in groups: while a transaction is under way, further
// writes wait and go together in the next. It is safe for concurrent use.
type Batcher struct {
	// Transactions and Rows count what was sent.
	Transactions atomic.Int64
	Rows         atomic.Int64

	config  Config
	mutex   sync.Mutex
	waiting []pending
	flying  int
}

type pending struct {
	write platform.Write
	done  chan<- reply
}

type reply struct {
	result platform.Result
	err    error
}

// NewBatcher returns a batcher.
func NewBatcher(c Config) *Batcher {
	return &Batcher{config: c}
}

// Commit sends w with others and returns its own result. The error is that of
// platform.Table.
func (b *Batcher) Commit(ctx context.Context, w platform.Write) (platform.Result, error) {
	done := make(chan reply, 1)
	b.mutex.Lock()
	b.waiting = append(b.waiting, pending{write: w, done: done})
	b.send()
	b.mutex.Unlock()
	select {
	case r := <-done:
		return r.result, r.err
	case <-ctx.Done():
		return platform.Result{}, ctx.Err()
	}
}

// send starts transactions while there is something to send and room for it.
// The caller holds the mutex.
func (b *Batcher) send() {
	for len(b.waiting) > 0 && b.flying < b.config.InFlight {
		count := min(len(b.waiting), b.config.MaxRows)
		group := b.waiting[:count:count]
		b.waiting = b.waiting[count:]
		b.flying++
		go b.transact(group)
	}
}

func (b *Batcher) transact(group []pending) {
	ctx, cancel := context.WithTimeout(context.Background(), b.config.Timeout)
	defer cancel()
	writes := make([]platform.Write, 0, len(group))
	for _, p := range group {
		writes = append(writes, p.write)
	}
	b.Transactions.Add(1)
	b.Rows.Add(int64(len(group)))
	results, err := b.config.Table.Commit(ctx, writes)
	for i, p := range group {
		if err != nil {
			p.done <- reply{err: err}
			continue
		}
		p.done <- reply{result: results[i]}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.flying--
	b.send()
}
