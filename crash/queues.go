package crash

import (
	"time"

	"github.com/catkingap/catkingap/work"
)

// queueMemory is how long a queue is known for crashes after a task of it has crashed a
// second worker.
const queueMemory = 30 * time.Second

// Queues remembers the queues whose tasks have lately crashed workers.
type Queues struct {
	crashed map[work.Queue]time.Time
}

// NewQueues returns Queues of which none is known for crashes.
func NewQueues() *Queues { return &Queues{crashed: map[work.Queue]time.Time{}} }

// Note records that a task of a queue has probably crashed a second worker.
func (q *Queues) Note(now time.Time, name work.Queue) { q.crashed[name] = now }

// Crash returns true if a queue is known for crashes.
func (q *Queues) Crash(now time.Time, name work.Queue) bool {
	at, ok := q.crashed[name]
	return ok && now.Sub(at) < queueMemory
}

// AnyCrashes returns true if any queue is known for crashes.
func (q *Queues) AnyCrashes(now time.Time) bool {
	for name := range q.crashed {
		if q.Crash(now, name) {
			return true
		}
	}
	return false
}
