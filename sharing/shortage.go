package sharing

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
)

const (
	// quietTime is how long capacity must suffice until the end of a shortage is reported.
	// It bounds the reports of a pool that is short again and again.
	quietTime = 2 * time.Second
	// maxReported bounds the queues in one report: those with the largest shares.
	maxReported = 8
)

// Shortage reports that a pool has become short of capacity, or no longer is.
type Shortage struct {
	Pool  ident.Pool
	Ended bool
	// Took is how long an ended shortage lasted.
	Took time.Duration
	// Used, Free and Waiting are numbers of cores.
	Used, Free, Waiting int
	Queues              []QueueShare
}

// QueueShare describes a queue in a report.
type QueueShare struct {
	Queue work.Queue
	// Share is the part of the cores that is the queue's share. Used and Waiting are numbers
	// of cores, and Refused counts the jobs refused since the last report.
	Share                  float64
	Used, Waiting, Refused int
}

// Message returns the text of the log line.
func (x *Shortage) Message() string {
	if x.Ended {
		return "capacity suffices again"
	}
	return "capacity is short"
}

// Fields returns the fields of the log line.
func (x *Shortage) Fields() map[string]any {
	queues := make([]string, 0, len(x.Queues))
	for _, q := range x.Queues {
		queues = append(queues, fmt.Sprintf("%s share %.2f used %d waiting %d refused %d", q.Queue, q.Share, q.Used, q.Waiting, q.Refused))
	}
	return map[string]any{
		"pool": string(x.Pool), "tookMs": x.Took.Milliseconds(), "usedCores": x.Used, "freeCores": x.Free, "waitingCores": x.Waiting,
		"queues": queues,
	}
}

// report returns a report if there is something to report.
func (s *Shares) report(now time.Time, p ident.Pool) (Shortage, bool) {
	if s.short {
		s.lastShort = now
	}
	if s.reported == s.short || (s.reported && now.Sub(s.lastShort) < quietTime) {
		return Shortage{}, false
	}
	x := Shortage{Pool: p, Ended: s.reported, Used: s.used, Free: s.free, Waiting: s.waiting}
	if s.reported {
		x.Took = s.lastShort.Sub(s.reportedAt)
	}
	s.reported, s.reportedAt = !s.reported, now
	names := slices.SortedFunc(maps.Keys(s.queues), func(a, b work.Queue) int {
		return cmp.Or(cmp.Compare(s.queues[b].weight, s.queues[a].weight), cmp.Compare(a, b))
	})
	for i, name := range names {
		q := s.queues[name]
		if i < maxReported {
			x.Queues = append(x.Queues, QueueShare{Queue: name, Share: s.share(q, 1), Used: q.used, Waiting: q.backlog.total, Refused: q.refused})
		}
		q.refused = 0
	}
	return x, true
}

// maxNames bounds the labels of counters by queue.
const maxNames = 32

// OtherQueues is the label of all queues beyond the first ones.
const OtherQueues = "other"

// Names bounds the labels of counters by queue. It is safe for concurrent use.
type Names struct {
	mutex sync.Mutex
	known map[work.Queue]bool
}

// Label returns the label of a queue: its name, or OtherQueues if there are too many.
func (n *Names) Label(q work.Queue) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.known[q] {
		if len(n.known) == maxNames {
			return OtherQueues
		}
		if n.known == nil {
			n.known = map[work.Queue]bool{}
		}
		n.known[q] = true
	}
	return string(q)
}
