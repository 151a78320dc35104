package route

import "github.com/catkingap/catkingap/ident"

// Peer is another entry host that shares the servers of the pool.
type Peer struct {
	Name       ident.Host
	DataCentre ident.DataCentre
	// Weight is the host's share of the slots.
	Weight int
}

// Slots is a number of slots on one server.
type Slots struct {
	Server ident.Server `msgpack:"server"`
	Count  int          `msgpack:"count"`
}

// Message passes slots between two entry hosts. Messages between two hosts
// arrive in order or not at all.
type Message struct {
	// Boot identifies the process of the sender. It differs after each start.
	Boot string `msgpack:"boot"`
	// Sequence numbers the messages to this receiver, starting at 1.
	Sequence uint64 `msgpack:"sequence"`
	// Seen is the last sequence that the sender has received from the receiver.
	Seen uint64 `msgpack:"seen"`
	// Want is the number of slots that the sender could use at once.
	Want int `msgpack:"want,omitempty"`
	// MaxRunTime is the run time, in seconds, above which the slots of a server
	// are of no use to the sender. Zero means no limit.
	MaxRunTime float64 `msgpack:"limit,omitempty"`
	// Free is the number of slots that the sender could lend.
	Free int `msgpack:"free,omitempty"`
	// Lend lists slots of the sender that the receiver may use from now on.
	Lend []Slots `msgpack:"lend,omitempty"`
	// Return lists slots of the receiver that the sender no longer uses.
	Return []Slots `msgpack:"return,omitempty"`
	// Held lists the receiver's slots that the sender holds. It is set on
	// heartbeats only.
	Held      []Slots `msgpack:"held,omitempty"`
	Heartbeat bool    `msgpack:"heartbeat,omitempty"`
	// Ejected lists the servers that the sender has ejected. It is set on
	// heartbeats only.
	Ejected []ident.Server `msgpack:"ejected,omitempty"`
	// Weight is the sender's share of the slots.
	Weight int `msgpack:"weight"`
	// Demand is the number of slots that the sender's arriving work needs.
	Demand float64 `msgpack:"demand,omitempty"`
}

// Outgoing is a message that the caller must send.
type Outgoing struct {
	To      ident.Host
	Message Message
}
