package timeline

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// class groups kinds of events that are about equally frequent. Each class has
// a share of the ring of its own, so that a burst of one does not push out the
// events of another.
type class int

const (
	// rare holds what happens to hosts, servers and the configuration.
	rare class = iota
	// ofJob holds what happens a few times in the life of a job.
	ofJob
	// ofTask holds what happens to each task or request.
	ofTask

	classes = 3
)

// The shares of the classes in a ring.
const (
	rareShare = 1
	jobShare  = 1
	taskShare = 2
	shares    = rareShare + jobShare + taskShare
)

// frequent are the kinds that are not rare.
var frequent = map[Kind]class{
	Adopted:       ofJob,
	Answered:      ofJob,
	Attached:      ofJob,
	CallAnswered:  ofTask,
	CallReceived:  ofTask,
	CallReturned:  ofTask,
	CallSent:      ofTask,
	Cancelled:     ofJob,
	Claimed:       ofJob,
	IntentWritten: ofJob,
	OutcomeKept:   ofJob,
	Refused:       ofTask,
	Retried:       ofTask,
	Returned:      ofTask,
	TaskEnded:     ofTask,
	TaskStarted:   ofTask,
}

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	host    ident.Host
	started time.Time
	observe func(Event)

	mutex  sync.Mutex
	next   uint64
	counts map[Kind]uint64
	kept   [classes]kept
}

// kept holds the newest events of one class.
type kept struct {
	// limit bounds the events. Their memory grows with them, so that a host
	// without work holds little.
	limit  int
	events []Event
	// oldest is the index of the oldest event once the class is full.
	oldest int
}

// add appends an event or replaces the oldest.
func (k *kept) add(e *Event) {
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
	for c, share := range [classes]int{rare: rareShare, ofJob: jobShare, ofTask: taskShare} {
		r.kept[c].limit = max(1, size*share/shares)
	}
	return r
}

// Observe has f called with each event after it was added. It must be called
// before the first Add.
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
	r.kept[frequent[e.Kind]].add(e)
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
	for _, k := range r.kept {
		overwritten -= uint64(len(k.events))
	}
	return overwritten
}

// Events returns the kept events that f selects, in their sequence.
func (r *Ring) Events(f Filter) []Event {
	events := r.selected(f)
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return events
}

func (r *Ring) selected(f Filter) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var events []Event
	for _, k := range r.kept {
		for _, e := range k.events {
			if f.match(e) {
				events = append(events, e)
			}
		}
	}
	return events
}
