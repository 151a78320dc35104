// Package probe decides which entry hosts a host probes and what it holds of
// each: alive, suspect or lost. The number of probes of an interval does not
// depend on the number of hosts. It is pure: the machine takes events and the
// present time and returns actions; the caller executes them.
package probe

import (
	"time"

	"github.com/catkingap/catkingap/ident"
)

// State is what a host holds of another.
type State string

// The states of a host.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Lost    State = "lost"
)

// Incarnation orders what is said of a host. A host raises its own to refute a
// suspicion.
type Incarnation uint64

// Peer is how an entry host can be reached.
type Peer struct {
	_msgpack struct{} `msgpack:",as_array"`

	Host       ident.Host
	Address    string
	API        string
	DataCentre ident.DataCentre
}

// Update spreads what a host holds of another.
type Update struct {
	_msgpack struct{} `msgpack:",as_array"`

	Peer        Peer
	State       State
	Incarnation Incarnation
}

// Message is a probe or the answer to one.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"`

	From        Peer
	Incarnation Incarnation
	// Revision is the revision of the configuration in force on the host.
	Revision ident.Revision
	// Load is the number of tasks and requests that wait on the host.
	Load    int
	Updates []Update
}

// View is what a host holds of another.
type View struct {
	Peer
	State       State
	Incarnation Incarnation
	Revision    ident.Revision
	Load        int
	// Heard is when the host was last heard from, zero if it never was.
	Heard time.Time
	// Since is when State began.
	Since time.Time
	// Listed is true if the platform's list has the host.
	Listed bool
}

// Event is something that happened to the probing of a host.
type Event interface{ event() }

// Ticked tells that an interval has passed.
type Ticked struct{}

// Listed brings the entry hosts of the platform's list.
type Listed struct{ Peers []Peer }

// Received brings a probe of another host or the answer to one.
type Received struct{ Message Message }

// Failed tells that a probe was not answered.
type Failed struct{ Host ident.Host }

// ViaFailed tells that no host could reach another on behalf of this one.
type ViaFailed struct{ Host ident.Host }

func (Ticked) event()    {}
func (Listed) event()    {}
func (Received) event()  {}
func (Failed) event()    {}
func (ViaFailed) event() {}

// Action is something that the caller of a machine must do.
type Action interface{ action() }

// Probe sends a probe to a host and posts a Received or a Failed.
type Probe struct{ Peer Peer }

// Relay asks other hosts to probe Peer and posts a Received or, if none of
// them reaches it, a ViaFailed.
type Relay struct {
	Peer Peer
	Via  []Peer
}

// Changed tells that a host has entered another state.
type Changed struct{ View View }

func (Probe) action()   {}
func (Relay) action()   {}
func (Changed) action() {}
