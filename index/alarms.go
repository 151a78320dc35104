package index

import (
	"container/heap"
	"time"
)

// Alarms holds items by the time at which they are due, one time for each item.
type Alarms[T comparable] struct {
	heap timerHeap[T]
}

// NewAlarms returns an empty set.
func NewAlarms[T comparable]() *Alarms[T] {
	return &Alarms[T]{heap: timerHeap[T]{positions: map[T]int{}}}
}

// Set makes an item due at a time, in place of an earlier one.
func (a *Alarms[T]) Set(x T, at time.Time) {
	if i, ok := a.heap.positions[x]; ok {
		if a.heap.timers[i].at.Equal(at) {
			return
		}
		a.heap.timers[i].at = at
		heap.Fix(&a.heap, i)
		return
	}
	heap.Push(&a.heap, timer[T]{item: x, at: at})
}

// Clear removes an item, so that it never becomes due.
func (a *Alarms[T]) Clear(x T) {
	if i, ok := a.heap.positions[x]; ok {
		heap.Remove(&a.heap, i)
	}
}

// Due removes and returns the first item that is due, or false if none is due.
func (a *Alarms[T]) Due(now time.Time) (T, bool) {
	if len(a.heap.timers) == 0 || a.heap.timers[0].at.After(now) {
		var none T
		return none, false
	}
	return heap.Pop(&a.heap).(timer[T]).item, true
}

// Len returns the number of items.
func (a *Alarms[T]) Len() int { return len(a.heap.timers) }

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
	a := x.(timer[T])
	h.positions[a.item] = len(h.timers)
	h.timers = append(h.timers, a)
}

// Pop implements heap.Interface.
func (h *timerHeap[T]) Pop() any {
	last := len(h.timers) - 1
	a := h.timers[last]
	h.timers = h.timers[:last]
	delete(h.positions, a.item)
	return a
}
