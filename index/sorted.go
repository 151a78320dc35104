// Package index provides containers that find the items that an event affects
// without a full scan: sorted items, items by the time at which they are due, values
// that expire, and map entries that are created on first use.
package index

import "slices"

// Sorted holds items in the order of a comparison, which must not return 0 for two
// different items. The sort key of an item must not change while it is in the list.
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

// Remove removes an item. It returns false if the list does not hold it.
func (s *Sorted[T]) Remove(x T) bool {
	i, found := slices.BinarySearchFunc(s.items, x, s.compare)
	if found {
		s.items = slices.Delete(s.items, i, i+1)
	}
	return found
}

// CountBefore returns the number of items that precede x.
func (s *Sorted[T]) CountBefore(x T) int {
	i, _ := slices.BinarySearchFunc(s.items, x, s.compare)
	return i
}

// Items returns the items in order. The slice is valid until the next change.
func (s *Sorted[T]) Items() []T { return s.items }

// Len returns the number of items.
func (s *Sorted[T]) Len() int { return len(s.items) }
