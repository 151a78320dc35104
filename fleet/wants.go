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

// callList holds calls in ascending order. The wire has their distances, which are
// small: hosts send these lists several times a second.
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
		distance, err := d.DecodeUint64()
		if err != nil {
			return err
		}
		last += distance
		*c = append(*c, last)
	}
	return nil
}

// wantedCalls are the calls that a host waits for at one owner, as it was at a time.
type wantedCalls struct {
	calls callList
	try   dispatch.Try
	at    time.Time
}

// wants knows which calls of this host's callers may be at the owner of which
// data centre.
type wants struct {
	mutex sync.Mutex
	last  dispatch.Try
	calls map[ident.DataCentre]map[uint64]struct{}
}

func newWants() *wants {
	return &wants{calls: map[ident.DataCentre]map[uint64]struct{}{}}
}

// number returns a number for a new call.
func (w *wants) number() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.last++
	return uint64(w.last)
}

// add notes that a call is handed to the owner of a data centre.
func (w *wants) add(c ident.DataCentre, call uint64) dispatch.Try {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.calls[c] == nil {
		w.calls[c] = map[uint64]struct{}{}
	}
	w.calls[c][call] = struct{}{}
	w.last++
	return w.last
}

// remove notes that a call is not wanted of the owner of a data centre any more.
func (w *wants) remove(c ident.DataCentre, call uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.calls[c], call)
}

// any returns true if a call may be at the owner of a data centre.
func (w *wants) any(c ident.DataCentre) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.calls[c]) > 0
}

// list returns the calls that may be at the owner of a data centre in ascending
// order, and the number of the list.
func (w *wants) list(c ident.DataCentre) ([]uint64, dispatch.Try) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.last++
	return slices.Sorted(maps.Keys(w.calls[c])), w.last
}
