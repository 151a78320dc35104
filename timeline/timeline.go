// Package timeline keeps a bounded ring of typed events of one process and
// merges the rings of several processes into one time line.
package timeline

import (
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
	Cancelled     Kind = "cancelled"
	Claimed       Kind = "claimed"
	ConfigApplied Kind = "configApplied"
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
	Detail    string           `json:"detail,omitempty" msgpack:"detail,omitempty"`
}

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	host    ident.Host
	started time.Time

	mutex  sync.Mutex
	events []Event
	next   uint64
}

// NewRing returns a ring that keeps up to size events.
func NewRing(host ident.Host, now time.Time, size int) *Ring {
	return &Ring{host: host, started: now, events: make([]Event, 0, size)}
}

// Add appends an event and fills in its host, sequence and times.
func (r *Ring) Add(now time.Time, e Event) {
	e.Host = r.host
	e.Wall = now
	e.Monotonic = now.Sub(r.started)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e.Sequence = r.next
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
	} else {
		r.events[r.next%uint64(cap(r.events))] = e
	}
	r.next++
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Team    ident.Team    `msgpack:"team"`
	Job     ident.JobKey  `msgpack:"job"`
	Service ident.Service `msgpack:"service"`
	Since   time.Time     `msgpack:"since"`
}

func (f Filter) match(e Event) bool {
	return (f.Team == "" || f.Team == e.Team) &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Service == "" || f.Service == e.Service) &&
		!e.Wall.Before(f.Since)
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
