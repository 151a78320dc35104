// Package livecalls tracks which calls of a host may be at which owner, and defines the messages
// that tell the owners.
package livecalls

import (
	"maps"
	"slices"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/keepalive"
)

// List holds calls in ascending order. It is encoded as their differences, which are
// small, because hosts send these lists several times a second.
type List []uint64

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c List) EncodeMsgpack(e *msgpack.Encoder) error {
	if err := e.EncodeArrayLen(len(c)); err != nil {
		return err
	}
	last := uint64(0)
	for _, x := range c {
		if err := e.EncodeUint(x - last); err != nil {
			return err
		}
		last = x
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *List) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	*c = nil
	last := uint64(0)
	for range n {
		difference, err := d.DecodeUint64()
		if err != nil {
			return err
		}
		last += difference
		*c = append(*c, last)
	}
	return nil
}

// Tracker tracks which live calls of this host may be at the owner of which data
// centre.
type Tracker struct {
	mutex sync.Mutex
	last  keepalive.Sequence
	calls map[ident.DataCentre]map[uint64]struct{}
}

// NewTracker returns a Tracker without calls.
func NewTracker() *Tracker {
	return &Tracker{calls: map[ident.DataCentre]map[uint64]struct{}{}}
}

// NewCall returns the number of a new call.
func (t *Tracker) NewCall() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last++
	return uint64(t.last)
}

// Add records that a call is submitted to the owner of a data centre.
func (t *Tracker) Add(c ident.DataCentre, call uint64) keepalive.Sequence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.calls[c] == nil {
		t.calls[c] = map[uint64]struct{}{}
	}
	t.calls[c][call] = struct{}{}
	t.last++
	return t.last
}

// Remove records that a call no longer waits for the owner of a data centre.
func (t *Tracker) Remove(c ident.DataCentre, call uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.calls[c], call)
}

// HasCalls returns true if a call may be at the owner of a data centre.
func (t *Tracker) HasCalls(c ident.DataCentre) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.calls[c]) > 0
}

// List returns the calls that may be at the owner of a data centre in ascending order, and
// the sequence number of the list.
func (t *Tracker) List(c ident.DataCentre) ([]uint64, keepalive.Sequence) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last++
	return slices.Sorted(maps.Keys(t.calls[c])), t.last
}
