package index

import (
	"container/heap"
	"time"
)

// Alarms holds items by the time at which they are due.
type Alarms[T comparable] struct {
	heap alarmHeap[T]
}

// NewAlarms returns a set without items.
func NewAlarms[T comparable]() *Alarms[T] {
	return &Alarms[T]{heap: alarmHeap[T]{places: map[T]int{}}}
}

// Set has an item fall due at a time, in place of the one that it had.
func (a *Alarms[T]) Set(x T, at time.Time) {
	if i, ok := a.heap.places[x]; ok {
		if a.heap.alarms[i].at.Equal(at) {
			return
		}
		a.heap.alarms[i].at = at
		heap.Fix(&a.heap, i)
		return
	}
	heap.Push(&a.heap, alarm[T]{item: x, at: at})
}

// Clear has an item never fall due.
func (a *Alarms[T]) Clear(x T) {
	if i, ok := a.heap.places[x]; ok {
		heap.Remove(&a.heap, i)
	}
}

// Due takes out the first item that is due, and returns false if none is.
func (a *Alarms[T]) Due(now time.Time) (T, bool) {
	if len(a.heap.alarms) == 0 || a.heap.alarms[0].at.After(now) {
		var none T
		return none, false
	}
	return heap.Pop(&a.heap).(alarm[T]).item, true
}

// Len returns the number of items.
func (a *Alarms[T]) Len() int { return len(a.heap.alarms) }

type alarm[T comparable] struct {
	item T
	at   time.Time
}

// alarmHeap implements heap.Interface and knows the place of each item.
type alarmHeap[T comparable] struct {
	alarms []alarm[T]
	places map[T]int
}

// Len implements heap.Interface.
func (h *alarmHeap[T]) Len() int { return len(h.alarms) }

// Less implements heap.Interface.
func (h *alarmHeap[T]) Less(i, k int) bool { return h.alarms[i].at.Before(h.alarms[k].at) }

// Swap implements heap.Interface.
func (h *alarmHeap[T]) Swap(i, k int) {
	h.alarms[i], h.alarms[k] = h.alarms[k], h.alarms[i]
	h.places[h.alarms[i].item], h.places[h.alarms[k].item] = i, k
}

// Push implements heap.Interface.
func (h *alarmHeap[T]) Push(x any) {
	a := x.(alarm[T])
	h.places[a.item] = len(h.alarms)
	h.alarms = append(h.alarms, a)
}

// Pop implements heap.Interface.
func (h *alarmHeap[T]) Pop() any {
	last := len(h.alarms) - 1
	a := h.alarms[last]
	h.alarms = h.alarms[:last]
	delete(h.places, a.item)
	return a
}
