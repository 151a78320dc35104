// Package keepalive keeps what entry hosts have told about the callers that still wait. It has
// no side effects: the caller passes the present time.
package keepalive

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Sequence is a sequence number. Each submission and each keepalive of a host has a
// higher one than all before it.
type Sequence uint64

// Keepalive tells which calls a host still waits for at one owner.
type Keepalive struct {
	Host ident.Host
	// Boot identifies the process of the host.
	Boot string
	// At is the time for which the keepalive holds, as a time of the owner.
	At       time.Time
	Sequence Sequence
	// Calls lists the calls in ascending order.
	Calls []uint64
}

// Includes returns true if the keepalive lists a call.
func (s Keepalive) Includes(call uint64) bool {
	_, found := slices.BinarySearch(s.Calls, call)
	return found
}

// retention is how long a keepalive is kept for submissions that it has overtaken. Links that
// went silent may deliver them some seconds later.
const retention = 30 * time.Second

// Board holds the newest keepalive of each host.
type Board map[ident.Host]Keepalive

// Put records a keepalive. It returns false if a newer one of the same process is known:
// keepalives may overtake each other.
func (b Board) Put(s Keepalive) bool {
	if old, ok := b[s.Host]; ok && old.Boot == s.Boot && old.Sequence >= s.Sequence {
		return false
	}
	b[s.Host] = s
	return true
}

// HasOvertaken returns true if a later keepalive of a process does not list a call.
func (b Board) HasOvertaken(h ident.Host, boot string, sequence Sequence, call uint64) bool {
	g, ok := b[h]
	return ok && g.Boot == boot && g.Sequence > sequence && !g.Includes(call)
}

// Expire drops the keepalives that are too old.
func (b Board) Expire(now time.Time) {
	for h, s := range b {
		if now.Sub(s.At) > retention {
			delete(b, h)
		}
	}
}
