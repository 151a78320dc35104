package admission

// ordered is an element of a heap that knows its place in it.
type ordered[T any] interface {
	comparable
	// before returns true if the element leaves the heap before other.
	before(other T) bool
	// place returns the address of the element's place in its heap.
	place() *int
}

// out is the place of an element that is in no heap.
const out = -1

// priority is a binary heap whose elements can be moved and removed in
// O(log n).
type priority[T ordered[T]] struct {
	list []T
}

func (h *priority[T]) first() (T, bool) {
	if len(h.list) == 0 {
		var none T
		return none, false
	}
	return h.list[0], true
}

// put adds e or moves it to where it belongs now.
func (h *priority[T]) put(e T) {
	if *e.place() == out {
		*e.place() = len(h.list)
		h.list = append(h.list, e)
	}
	if i := *e.place(); !h.up(i) {
		h.down(i)
	}
}

// remove takes e out if it is in.
func (h *priority[T]) remove(e T) {
	i := *e.place()
	if i == out {
		return
	}
	last := len(h.list) - 1
	h.swap(i, last)
	var none T
	h.list[last] = none
	h.list = h.list[:last]
	*e.place() = out
	if i < last && !h.up(i) {
		h.down(i)
	}
}

func (h *priority[T]) swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	*h.list[i].place() = i
	*h.list[j].place() = j
}

func (h *priority[T]) up(i int) bool {
	moved := false
	for i > 0 {
		parent := (i - 1) / 2
		if !h.list[i].before(h.list[parent]) {
			break
		}
		h.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (h *priority[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.list) {
			return
		}
		if next := child + 1; next < len(h.list) && h.list[next].before(h.list[child]) {
			child = next
		}
		if !h.list[child].before(h.list[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
