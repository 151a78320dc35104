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
	// Boot differs each time that the sender starts.
	Boot string `msgpack:"boot"`
	// Sequence numbers the messages to this receiver, starting at 1.
	Sequence uint64 `msgpack:"sequence"`
	// Seen is the last sequence that the sender got from the receiver.
	Seen uint64 `msgpack:"seen"`
	// Want is the number of slots that the sender could use at once.
	Want int `msgpack:"want,omitempty"`
	// Limit is the run time in seconds above which a server's slots are of no
	// use to the sender. Zero means that all are of use.
	Limit float64 `msgpack:"limit,omitempty"`
	// Free is the number of slots that the sender could lend.
	Free int `msgpack:"free,omitempty"`
	// Lend is slots of the sender that the receiver may use from now on.
	Lend []Slots `msgpack:"lend,omitempty"`
	// Return is slots of the receiver that the sender uses no more.
	Return []Slots `msgpack:"return,omitempty"`
	// Held is set on heartbeats: the receiver's slots that the sender holds.
	Held      []Slots `msgpack:"held,omitempty"`
	Heartbeat bool    `msgpack:"heartbeat,omitempty"`
	// Ejected is set on heartbeats: the servers that the sender has ejected.
	Ejected []ident.Server `msgpack:"ejected,omitempty"`
	// Weight is the sender's share of the slots.
	Weight int `msgpack:"weight"`
	// Demand is the number of slots that the sender's arrivals need.
	Demand float64 `msgpack:"demand,omitempty"`
}

// Outgoing is a message that the caller must send.
type Outgoing struct {
	To      ident.Host
	Message Message
}
