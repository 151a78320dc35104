package admission

// heapElement is an element of a heap that stores its index in the heap.
type heapElement[T any] interface {
	comparable
	// before returns true if the element leaves the heap before other.
	before(other T) bool
	// heapIndex returns the address of the element's index in its heap.
	heapIndex() *int
}

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1

// indexedHeap is a binary heap whose elements can be moved and removed in
// O(log n).
type indexedHeap[T heapElement[T]] struct {
	items []T
}

func (h *indexedHeap[T]) first() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

// put adds e, or restores the heap order after the key of e has changed.
func (h *indexedHeap[T]) put(e T) {
	if *e.heapIndex() == notInHeap {
		*e.heapIndex() = len(h.items)
		h.items = append(h.items, e)
	}
	if i := *e.heapIndex(); !h.up(i) {
		h.down(i)
	}
}

// remove removes e if it is in the heap.
func (h *indexedHeap[T]) remove(e T) {
	i := *e.heapIndex()
	if i == notInHeap {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*e.heapIndex() = notInHeap
	if i < last && !h.up(i) {
		h.down(i)
	}
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapIndex() = i
	*h.items[j].heapIndex() = j
}

func (h *indexedHeap[T]) up(i int) bool {
	moved := false
	for i > 0 {
		parent := (i - 1) / 2
		if !h.items[i].before(h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (h *indexedHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if next := child + 1; next < len(h.items) && h.items[next].before(h.items[child]) {
			child = next
		}
		if !h.items[child].before(h.items[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
