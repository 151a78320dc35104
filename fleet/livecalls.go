package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
)

// callList holds calls in ascending order. It is encoded as their differences, which are
// small, because hosts send these lists several times a second.
type callList []uint64

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c callList) EncodeMsgpack(e *msgpack.Encoder) error {
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
func (c *callList) DecodeMsgpack(d *msgpack.Decoder) error {
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

// liveCalls holds the calls for which a host still waits at one owner, as of a time.
type liveCalls struct {
	calls    callList
	sequence dispatch.Sequence
	at       time.Time
}

// callTracker tracks which live calls of this host may be at the owner of which data
// centre.
type callTracker struct {
	mutex sync.Mutex
	last  dispatch.Sequence
	calls map[ident.DataCentre]map[uint64]struct{}
}

func newCallTracker() *callTracker {
	return &callTracker{calls: map[ident.DataCentre]map[uint64]struct{}{}}
}

// newCall returns the number of a new call.
func (t *callTracker) newCall() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last++
	return uint64(t.last)
}

// add records that a call is submitted to the owner of a data centre.
func (t *callTracker) add(c ident.DataCentre, call uint64) dispatch.Sequence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.calls[c] == nil {
		t.calls[c] = map[uint64]struct{}{}
	}
	t.calls[c][call] = struct{}{}
	t.last++
	return t.last
}

// remove records that a call no longer waits for the owner of a data centre.
func (t *callTracker) remove(c ident.DataCentre, call uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.calls[c], call)
}

// hasCalls returns true if a call may be at the owner of a data centre.
func (t *callTracker) hasCalls(c ident.DataCentre) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.calls[c]) > 0
}

// list returns the calls that may be at the owner of a data centre in ascending order, and
// the sequence number of the list.
func (t *callTracker) list(c ident.DataCentre) ([]uint64, dispatch.Sequence) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.last++
	return slices.Sorted(maps.Keys(t.calls[c])), t.last
}
