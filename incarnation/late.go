package incarnation

import (
	"maps"
	"slices"
	"time"
)

// lateOrderTime is for how long an order without an answer may still be carried out.
const lateOrderTime = 10 * time.Second

// Late holds the orders to a worker that were given up without an answer and may still be
// carried out.
type Late[K comparable] struct {
	orders map[K]time.Time
}

// Note records that an order was given up.
func (l *Late[K]) Note(now time.Time, k K) {
	l.expire(now)
	if l.orders == nil {
		l.orders = map[K]time.Time{}
	}
	l.orders[k] = now
}

// IsEmpty returns true if no order may still be carried out.
func (l *Late[K]) IsEmpty(now time.Time) bool {
	l.expire(now)
	return len(l.orders) == 0
}

// Sorted returns the orders that may still be carried out.
func (l *Late[K]) Sorted(now time.Time, compare func(a, b K) int) []K {
	l.expire(now)
	return slices.SortedFunc(maps.Keys(l.orders), compare)
}

func (l *Late[K]) expire(now time.Time) {
	maps.DeleteFunc(l.orders, func(_ K, at time.Time) bool { return now.Sub(at) > lateOrderTime })
}
