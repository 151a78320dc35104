// Package probe decides which entry hosts a host probes and whether it considers
// each alive, suspect or lost. The number of probes in an interval does not
// depend on the number of hosts. The package does no I/O and reads no clock: the
// machine takes events and the current time and returns actions, which the
// caller executes.
package probe

import (
	"time"

	"github.com/catkingap/catkingap/ident"
)

// State is the state of a host as another host sees it.
type State string

// The states of a host.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Lost    State = "lost"
)

// Incarnation orders the statements about a host. A host raises its own
// incarnation to refute a suspicion.
type Incarnation uint64

// Peer holds the name and the addresses of an entry host.
type Peer struct {
	_msgpack struct{} `msgpack:",as_array"`

	Host       ident.Host
	Address    string
	API        string
	DataCentre ident.DataCentre
}

// Update is a statement about the state of a host, passed on by others.
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
	// Revision is the revision of the configuration in force on the sender.
	Revision ident.Revision
	// Load is the number of tasks and requests that wait on the sender.
	Load    int
	Updates []Update
}

// View is what a host knows about another.
type View struct {
	Peer
	State       State
	Incarnation Incarnation
	Revision    ident.Revision
	Load        int
	// Heard is when the last message of the host arrived, or zero if none has.
	Heard time.Time
	// Since is when State began.
	Since time.Time
	// Listed is true if the platform's list has the host.
	Listed bool
}

// Event is an input of the Machine.
type Event interface{ event() }

// Ticked reports that a probe interval has passed.
type Ticked struct{}

// Listed carries the entry hosts of the platform's list.
type Listed struct{ Peers []Peer }

// Received carries a probe from another host or the answer to one.
type Received struct{ Message Message }

// Failed reports that a host did not answer a probe.
type Failed struct{ Host ident.Host }

// RelayFailed reports that none of the hosts asked by a Relay reached the
// target.
type RelayFailed struct{ Host ident.Host }

func (Ticked) event()      {}
func (Listed) event()      {}
func (Received) event()    {}
func (Failed) event()      {}
func (RelayFailed) event() {}

// Action is something that the caller of a machine must do.
type Action interface{ action() }

// Probe sends a probe to a host and posts a Received or a Failed.
type Probe struct{ Peer Peer }

// Relay asks other hosts to probe Peer and posts a Received or, if none of
// them reaches it, a RelayFailed.
type Relay struct {
	Peer Peer
	Via  []Peer
}

// Changed reports that the state of a host has changed.
type Changed struct{ View View }

func (Probe) action()   {}
func (Relay) action()   {}
func (Changed) action() {}
