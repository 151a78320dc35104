package fleet

import (
	"maps"
	"slices"
	"sync"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
)

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

// list returns the calls that may be at the owner of a data centre in ascending
// order, and the number of the list.
func (w *wants) list(c ident.DataCentre) ([]uint64, dispatch.Try) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.last++
	return slices.Sorted(maps.Keys(w.calls[c])), w.last
}
