package timeline

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// eventClass groups kinds of events that are about equally frequent. Each class
// has its own share of the ring, so that a burst in one does not evict the events
// of another.
type eventClass int

const (
	// classRare holds events of hosts, servers and the configuration.
	classRare eventClass = iota
	// classJob holds events that occur a few times for each job.
	classJob
	// classTask holds events that occur for each task or request.
	classTask

	classCount = 3
)

// The shares of the classes in a ring.
const (
	rareShare = 1
	jobShare  = 1
	taskShare = 2
	shares    = rareShare + jobShare + taskShare
)

// classOf maps kinds to classes. Kinds that are not listed are rare.
var classOf = map[Kind]eventClass{
	Adopted:         classJob,
	Answered:        classJob,
	Attached:        classJob,
	CallAnswered:    classTask,
	CallReceived:    classTask,
	CallReturned:    classTask,
	CallSent:        classTask,
	Cancelled:       classJob,
	Claimed:         classJob,
	IntentWritten:   classJob,
	OutcomeRecorded: classJob,
	Refused:         classTask,
	Retried:         classTask,
	Returned:        classTask,
	TaskEnded:       classTask,
	TaskStarted:     classTask,
}

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	host    ident.Host
	started time.Time
	observe func(Event)

	mutex   sync.Mutex
	next    uint64
	counts  map[Kind]uint64
	buffers [classCount]eventBuffer
}

// eventBuffer holds the newest events of one class.
type eventBuffer struct {
	// limit bounds the number of events. Memory is allocated as events are added,
	// so that an idle host uses little.
	limit  int
	events []Event
	// oldest is the index of the oldest event once the buffer is full.
	oldest int
}

// add appends an event or replaces the oldest.
func (k *eventBuffer) add(e *Event) {
	if len(k.events) < k.limit {
		k.events = append(k.events, *e)
		return
	}
	k.events[k.oldest] = *e
	k.oldest = (k.oldest + 1) % len(k.events)
}

// NewRing returns a ring that keeps up to size events.
func NewRing(host ident.Host, now time.Time, size int) *Ring {
	r := &Ring{host: host, started: now, counts: map[Kind]uint64{}}
	for c, share := range [classCount]int{classRare: rareShare, classJob: jobShare, classTask: taskShare} {
		r.buffers[c].limit = max(1, size*share/shares)
	}
	return r
}

// Observe registers f, which is called with each event after it was added. It
// must be called before the first Add.
func (r *Ring) Observe(f func(Event)) { r.observe = f }

// Add appends an event and fills in its host, sequence and times.
func (r *Ring) Add(now time.Time, e Event) {
	e.Host = r.host
	e.Wall = now
	e.Monotonic = now.Sub(r.started)
	r.append(&e)
	if r.observe != nil {
		r.observe(e)
	}
}

func (r *Ring) append(e *Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e.Sequence = r.next
	r.next++
	r.counts[e.Kind]++
	r.buffers[classOf[e.Kind]].add(e)
}

// Counts returns how many events of each kind were added.
func (r *Ring) Counts() map[Kind]uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.counts)
}

// Overwritten returns how many events were replaced by newer ones.
func (r *Ring) Overwritten() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	overwritten := r.next
	for _, k := range r.buffers {
		overwritten -= uint64(len(k.events))
	}
	return overwritten
}

// Events returns the kept events that f selects, in the order of their sequence
// numbers.
func (r *Ring) Events(f Filter) []Event {
	events := r.matching(f)
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return events
}

func (r *Ring) matching(f Filter) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var events []Event
	for _, k := range r.buffers {
		for _, e := range k.events {
			if f.matches(e) {
				events = append(events, e)
			}
		}
	}
	return events
}
