// Package timeline keeps a bounded ring of typed events of one process and
// merges the rings of several processes into one time line.
package timeline

import (
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Kind is the type of an event.
type Kind string

// The kinds of events.
const (
	Adopted         Kind = "adopted"
	Answered        Kind = "answered"
	Attached        Kind = "attached"
	CallAnswered    Kind = "callAnswered"
	CallReceived    Kind = "callReceived"
	CallReturned    Kind = "callReturned"
	CallSent        Kind = "callSent"
	Cancelled       Kind = "cancelled"
	Claimed         Kind = "claimed"
	ConfigApplied   Kind = "configApplied"
	ConfigWritten   Kind = "configWritten"
	Drained         Kind = "drained"
	Ejected         Kind = "ejected"
	HostLost        Kind = "hostLost"
	HostSeen        Kind = "hostSeen"
	IntentWritten   Kind = "intentWritten"
	LeaseLost       Kind = "leaseLost"
	LinkLost        Kind = "linkLost"
	OutcomeRecorded Kind = "outcomeRecorded"
	Refused         Kind = "refused"
	Retried         Kind = "retried"
	Returned        Kind = "returned"
	ShutdownBegun   Kind = "shutdownBegun"
	Started         Kind = "started"
	StoreLost       Kind = "storeLost"
	StoreSeen       Kind = "storeSeen"
	TaskEnded       Kind = "taskEnded"
	TaskStarted     Kind = "taskStarted"
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
	// Epoch is the number of the job's holder, counted from the first, where it
	// is known.
	Epoch ident.Epoch `json:"epoch,omitempty" msgpack:"epoch,omitempty"`
	// Revision is the revision of the written row or of the configuration.
	Revision ident.Revision `json:"revision,omitempty" msgpack:"revision,omitempty"`
	Detail   string         `json:"detail,omitempty" msgpack:"detail,omitempty"`
}

// Filter selects events. An empty field does not restrict the selection.
type Filter struct {
	Host    ident.Host    `msgpack:"host"`
	Team    ident.Team    `msgpack:"team"`
	Job     ident.JobKey  `msgpack:"job"`
	Service ident.Service `msgpack:"service"`
	// Since (inclusive) and Until (exclusive) bound the wall time.
	Since time.Time `msgpack:"since"`
	Until time.Time `msgpack:"until"`
}

// Within returns true if a wall time is within the time span of f.
func (f Filter) Within(wall time.Time) bool {
	return !wall.Before(f.Since) && (f.Until.IsZero() || wall.Before(f.Until))
}

// Shift returns f with its time span moved by offset and widened by margin on
// both sides.
func (f Filter) Shift(offset, margin time.Duration) Filter {
	if !f.Since.IsZero() {
		f.Since = f.Since.Add(offset - margin)
	}
	if !f.Until.IsZero() {
		f.Until = f.Until.Add(offset + margin)
	}
	return f
}

func (f Filter) matches(e Event) bool {
	return (f.Host == "" || f.Host == e.Host) &&
		(f.Team == "" || f.Team == e.Team) &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Service == "" || f.Service == e.Service) &&
		f.Within(e.Wall)
}
