package index

import (
	"container/heap"
	"time"
)

// Timers holds items by the time at which they are due, one time for each item.
type Timers[T comparable] struct {
	heap timerHeap[T]
}

// NewTimers returns an empty set.
func NewTimers[T comparable]() *Timers[T] {
	return &Timers[T]{heap: timerHeap[T]{positions: map[T]int{}}}
}

// Set makes an item due at a time, in place of an earlier one.
func (t *Timers[T]) Set(x T, at time.Time) {
	if i, ok := t.heap.positions[x]; ok {
		if t.heap.timers[i].at.Equal(at) {
			return
		}
		t.heap.timers[i].at = at
		heap.Fix(&t.heap, i)
		return
	}
	heap.Push(&t.heap, timer[T]{item: x, at: at})
}

// Clear removes an item, so that it never becomes due.
func (t *Timers[T]) Clear(x T) {
	if i, ok := t.heap.positions[x]; ok {
		heap.Remove(&t.heap, i)
	}
}

// PopDue removes and returns the first item that is due, or false if none is due.
func (t *Timers[T]) PopDue(now time.Time) (T, bool) {
	if len(t.heap.timers) == 0 || t.heap.timers[0].at.After(now) {
		var none T
		return none, false
	}
	return heap.Pop(&t.heap).(timer[T]).item, true
}

// Len returns the number of items.
func (t *Timers[T]) Len() int { return len(t.heap.timers) }

type timer[T comparable] struct {
	item T
	at   time.Time
}

// timerHeap implements heap.Interface and tracks the position of each item.
type timerHeap[T comparable] struct {
	timers    []timer[T]
	positions map[T]int
}

// Len implements heap.Interface.
func (h *timerHeap[T]) Len() int { return len(h.timers) }

// Less implements heap.Interface.
func (h *timerHeap[T]) Less(i, k int) bool { return h.timers[i].at.Before(h.timers[k].at) }

// Swap implements heap.Interface.
func (h *timerHeap[T]) Swap(i, k int) {
	h.timers[i], h.timers[k] = h.timers[k], h.timers[i]
	h.positions[h.timers[i].item], h.positions[h.timers[k].item] = i, k
}

// Push implements heap.Interface.
func (h *timerHeap[T]) Push(x any) {
	t := x.(timer[T])
	h.positions[t.item] = len(h.timers)
	h.timers = append(h.timers, t)
}

// Pop implements heap.Interface.
func (h *timerHeap[T]) Pop() any {
	last := len(h.timers) - 1
	t := h.timers[last]
	h.timers = h.timers[:last]
	delete(h.positions, t.item)
	return t
}
