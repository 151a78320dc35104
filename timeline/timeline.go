// Package timeline keeps a bounded ring of typed events of one process and
// merges the rings of several processes into one time line.
package timeline

import (
	"maps"
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	Adopted       Kind = "adopted"
	Answered      Kind = "answered"
	Attached      Kind = "attached"
	CallAnswered  Kind = "callAnswered"
	CallReceived  Kind = "callReceived"
	CallReturned  Kind = "callReturned"
	CallSent      Kind = "callSent"
	Cancelled     Kind = "cancelled"
	Claimed       Kind = "claimed"
	ConfigApplied Kind = "configApplied"
	ConfigWritten Kind = "configWritten"
	Drained       Kind = "drained"
	Ejected       Kind = "ejected"
	HostLost      Kind = "hostLost"
	HostSeen      Kind = "hostSeen"
	IntentWritten Kind = "intentWritten"
	LeaseLost     Kind = "leaseLost"
	LinkLost      Kind = "linkLost"
	OutcomeKept   Kind = "outcomeRecorded"
	Refused       Kind = "refused"
	Retried       Kind = "retried"
	Returned      Kind = "returned"
	ShutdownBegun Kind = "shutdownBegun"
	Started       Kind = "started"
	StoreLost     Kind = "storeLost"
	StoreSeen     Kind = "storeSeen"
	TaskEnded     Kind = "taskEnded"
	TaskStarted   Kind = "taskStarted"
)

// Event is one entry of a time line.
type Event struct {
	Host ident.Host `json:"host" msgpack:"host"`
	// Sequence numbers the events of one process without gaps.
	Sequence uint64    `json:"sequence" msgpack:"sequence"`
	Wall     time.Time `json:"wall" msgpack:"wall"`
	// Monotonic is the time since the process started.
	Monotonic time.Duration    `json:"monotonicNs" msgpack:"monotonic"`
	Kind      Kind             `json:"kind" msgpack:"kind"`
	Team      ident.Team       `json:"team,omitempty" msgpack:"team,omitempty"`
	Job       ident.JobKey     `json:"job,omitempty" msgpack:"job,omitempty"`
	Task      *ident.TaskIndex `json:"task,omitempty" msgpack:"task,omitempty"`
	Request   ident.Request    `json:"request,omitempty" msgpack:"request,omitempty"`
	Service   ident.Service    `json:"service,omitempty" msgpack:"service,omitempty"`
	Server    ident.Server     `json:"server,omitempty" msgpack:"server,omitempty"`
	// Epoch counts the holders of the job, where it is known.
	Epoch ident.Epoch `json:"epoch,omitempty" msgpack:"epoch,omitempty"`
	// Revision is that of the row that was written or of the configuration.
	Revision ident.Revision `json:"revision,omitempty" msgpack:"revision,omitempty"`
	Detail   string         `json:"detail,omitempty" msgpack:"detail,omitempty"`
}

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	host    ident.Host
	started time.Time
	observe func(Event)

	mutex  sync.Mutex
	events []Event
	next   uint64
	counts map[Kind]uint64
}

// NewRing returns a ring that keeps up to size events.
func NewRing(host ident.Host, now time.Time, size int) *Ring {
	return &Ring{host: host, started: now, events: make([]Event, 0, size), counts: map[Kind]uint64{}}
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
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, *e)
	} else {
		r.events[r.next%uint64(cap(r.events))] = *e
	}
	r.next++
	r.counts[e.Kind]++
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
	return r.next - uint64(len(r.events))
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Host    ident.Host    `msgpack:"host"`
	Team    ident.Team    `msgpack:"team"`
	Job     ident.JobKey  `msgpack:"job"`
	Service ident.Service `msgpack:"service"`
	// Since and Until bound the wall time; Until is left out.
	Since time.Time `msgpack:"since"`
	Until time.Time `msgpack:"until"`
}

// Within returns true if the time is within the span of f.
func (f Filter) Within(wall time.Time) bool {
	return !wall.Before(f.Since) && (f.Until.IsZero() || wall.Before(f.Until))
}

// Shift returns f with its span moved by offset and widened by margin on both
// sides.
func (f Filter) Shift(offset, margin time.Duration) Filter {
	if !f.Since.IsZero() {
		f.Since = f.Since.Add(offset - margin)
	}
	if !f.Until.IsZero() {
		f.Until = f.Until.Add(offset + margin)
	}
	return f
}

func (f Filter) match(e Event) bool {
	return (f.Host == "" || f.Host == e.Host) &&
		(f.Team == "" || f.Team == e.Team) &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Service == "" || f.Service == e.Service) &&
		f.Within(e.Wall)
}

// Events returns the kept events that f selects, oldest first.
func (r *Ring) Events(f Filter) []Event {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var events []Event
	count := uint64(len(r.events))
	for i := r.next - count; i < r.next; i++ {
		if e := r.events[i%uint64(cap(r.events))]; f.match(e) {
			events = append(events, e)
		}
	}
	return events
}
