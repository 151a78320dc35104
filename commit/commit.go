// Package commit groups the conditional writes of one entry host into few
// transactions of many rows, within a budget of transactions per second.
package commit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkingap/catkingap/storage"
)

// Config builds a Batcher.
type Config struct {
	Table storage.Table
	// Timeout bounds one transaction.
	Timeout time.Duration
	Window  WindowConfig
}

// Batcher sends writes in groups: while a transaction is in flight or the budget
// is spent, further writes wait and share the next transaction. It is safe for
// concurrent use.
type Batcher struct {
	// Transactions, Rows and Failures count the transactions sent, the writes in
	// them and the transactions that failed.
	Transactions atomic.Int64
	Rows         atomic.Int64
	Failures     atomic.Int64

	config Config
	mutex  sync.Mutex
	window *Window
	// writes holds the waiting writes and replies their reply channels, in the
	// same order.
	writes  []storage.Write
	replies []chan<- reply
	timer   *time.Timer
}

// reply is the outcome of one write.
type reply struct {
	result storage.Result
	err    error
}

// NewBatcher returns a batcher.
func NewBatcher(c Config) *Batcher {
	return &Batcher{config: c, window: NewWindow(time.Now(), c.Window)}
}

// SetRate changes the budget of transactions per second.
func (b *Batcher) SetRate(rate float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.window.SetRate(time.Now(), rate)
}

// Commit sends w in a transaction with other writes and returns the result of w.
// The error is that of storage.Table.
func (b *Batcher) Commit(ctx context.Context, w storage.Write) (storage.Result, error) {
	done := make(chan reply, 1)
	b.mutex.Lock()
	b.writes = append(b.writes, w)
	b.replies = append(b.replies, done)
	b.send()
	b.mutex.Unlock()
	select {
	case r := <-done:
		return r.result, r.err
	case <-ctx.Done():
		return storage.Result{}, ctx.Err()
	}
}

// send starts the next transaction if the window allows it. The caller holds the
// mutex.
func (b *Batcher) send() {
	if b.timer != nil {
		b.timer.Stop()
		b.timer = nil
	}
	count, wait := b.window.Begin(time.Now(), b.writes)
	if wait > 0 {
		b.timer = time.AfterFunc(wait, func() {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.send()
		})
	}
	if count == 0 {
		return
	}
	writes, replies := b.writes[:count:count], b.replies[:count:count]
	b.writes, b.replies = b.writes[count:], b.replies[count:]
	go b.transact(writes, replies)
}

func (b *Batcher) transact(writes []storage.Write, replies []chan<- reply) {
	ctx, cancel := context.WithTimeout(context.Background(), b.config.Timeout)
	defer cancel()
	b.Transactions.Add(1)
	b.Rows.Add(int64(len(writes)))
	results, err := b.config.Table.Commit(ctx, writes)
	if err != nil {
		b.Failures.Add(1)
	}
	for i, done := range replies {
		if err != nil {
			done <- reply{err: err}
			continue
		}
		done <- reply{result: results[i]}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.window.End(time.Now(), err != nil)
	b.send()
}
