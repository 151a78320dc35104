// Package index has the containers by which decisions find what an event
// touches without a search: items in an order, items by a time at which they are
// due, items that are kept for a while, and entries that are there once asked for.
package index

import "slices"

// Sorted holds items in the order of a comparison, which must never call two
// different items equal. The key of an item must not change while it is in.
type Sorted[T any] struct {
	compare func(a, b T) int
	items   []T
}

// NewSorted returns an empty list in the order of compare.
func NewSorted[T any](compare func(a, b T) int) Sorted[T] { return Sorted[T]{compare: compare} }

// Insert adds an item.
func (s *Sorted[T]) Insert(x T) {
	i, _ := slices.BinarySearchFunc(s.items, x, s.compare)
	s.items = slices.Insert(s.items, i, x)
}

// Remove takes an item out. It returns false if it was not in.
func (s *Sorted[T]) Remove(x T) bool {
	i, found := slices.BinarySearchFunc(s.items, x, s.compare)
	if found {
		s.items = slices.Delete(s.items, i, i+1)
	}
	return found
}

// Before returns the number of items that come before x.
func (s *Sorted[T]) Before(x T) int {
	i, _ := slices.BinarySearchFunc(s.items, x, s.compare)
	return i
}

// Items returns the items in their order. The slice is valid until the next
// change.
func (s *Sorted[T]) Items() []T { return s.items }

// Len returns the number of items.
func (s *Sorted[T]) Len() int { return len(s.items) }
