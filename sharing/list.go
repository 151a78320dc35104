package sharing

import (
	"cmp"

	"github.com/catkingap/catkingap/index"
)

// List holds waiting items by group. The items of a group are in a fixed order. Which
// group comes first is decided anew by each reader: groups over their share come last.
type List[G comparable, T any] struct {
	groupOf func(T) G
	compare func(a, b T) int
	groups  map[G]*index.Sorted[T]
	// order holds the groups in the order of their creation, so that the order of items
	// does not depend on that of a map.
	order []G
	count int
}

// NewList returns an empty list of items that are in the order of compare within a group.
func NewList[G comparable, T any](groupOf func(T) G, compare func(a, b T) int) *List[G, T] {
	return &List[G, T]{groupOf: groupOf, compare: compare, groups: map[G]*index.Sorted[T]{}}
}

// Insert adds an item.
func (l *List[G, T]) Insert(x T) {
	g := l.groupOf(x)
	s := l.groups[g]
	if s == nil {
		created := index.NewSorted(l.compare)
		s = &created
		l.groups[g], l.order = s, append(l.order, g)
	}
	s.Insert(x)
	l.count++
}

// Remove removes an item. A group without items is forgotten.
func (l *List[G, T]) Remove(x T) {
	g := l.groupOf(x)
	s := l.groups[g]
	if s == nil || !s.Remove(x) {
		return
	}
	l.count--
	if s.Len() > 0 {
		return
	}
	delete(l.groups, g)
	for i, o := range l.order {
		if o == g {
			l.order = append(l.order[:i], l.order[i+1:]...)
			break
		}
	}
}

// Len returns the number of items.
func (l *List[G, T]) Len() int { return l.count }

// cursor is the position in one group while a list is read.
type cursor[T any] struct {
	over  bool
	items []T
}

// Walk calls visit for the items in their present order until it returns false: those of
// groups within their share, and then those of groups over it. The list must not change
// until Walk returns.
func (l *List[G, T]) Walk(over func(G) bool, visit func(T) bool) {
	cursors := make([]cursor[T], 0, len(l.order))
	for _, g := range l.order {
		cursors = append(cursors, cursor[T]{over: over(g), items: l.groups[g].Items()})
	}
	for {
		var first *cursor[T]
		for i := range cursors {
			c := &cursors[i]
			if len(c.items) > 0 && (first == nil || l.isBefore(c, first)) {
				first = c
			}
		}
		if first == nil || !visit(first.items[0]) {
			return
		}
		first.items = first.items[1:]
	}
}

func (l *List[G, T]) isBefore(a, b *cursor[T]) bool {
	return cmp.Or(CompareOver(a.over, b.over), l.compare(a.items[0], b.items[0])) < 0
}

// CompareOver orders two items by whether their groups are over their shares.
func CompareOver(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Items returns the items in their present order.
func (l *List[G, T]) Items(over func(G) bool) []T {
	items := make([]T, 0, l.count)
	l.Walk(over, func(x T) bool {
		items = append(items, x)
		return true
	})
	return items
}

// HasBefore returns true if an item comes before x, among the groups that competes returns
// true for.
func (l *List[G, T]) HasBefore(x T, over, competes func(G) bool) bool {
	own := cursor[T]{over: over(l.groupOf(x)), items: []T{x}}
	for _, g := range l.order {
		if !competes(g) {
			continue
		}
		if c := (cursor[T]{over: over(g), items: l.groups[g].Items()}); l.isBefore(&c, &own) {
			return true
		}
	}
	return false
}
