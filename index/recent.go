package index

import "time"

// Recent keeps each value for a fixed time since it was put last.
type Recent[K comparable, V any] struct {
	age    time.Duration
	values map[K]recentValue[V]
	// order holds the keys in the order in which they were put. Expire skips a key
	// that was put again since.
	order []recentKey[K]
}

type recentValue[V any] struct {
	value V
	at    time.Time
}

type recentKey[K comparable] struct {
	key K
	at  time.Time
}

// NewRecent returns an empty set that keeps values for age.
func NewRecent[K comparable, V any](age time.Duration) *Recent[K, V] {
	return &Recent[K, V]{age: age, values: map[K]recentValue[V]{}}
}

// Put sets the value of a key, which is kept from now on.
func (r *Recent[K, V]) Put(now time.Time, k K, v V) {
	r.values[k] = recentValue[V]{value: v, at: now}
	r.order = append(r.order, recentKey[K]{key: k, at: now})
}

// Get returns the value of a key, and false if it is not kept.
func (r *Recent[K, V]) Get(k K) (V, bool) {
	x, ok := r.values[k]
	return x.value, ok
}

// Expire deletes the values that were put longer ago than the age.
func (r *Recent[K, V]) Expire(now time.Time) {
	n := 0
	for n < len(r.order) && now.Sub(r.order[n].at) > r.age {
		p := r.order[n]
		if x, ok := r.values[p.key]; ok && x.at.Equal(p.at) {
			delete(r.values, p.key)
		}
		n++
	}
	if n > 0 {
		r.order = append(r.order[:0], r.order[n:]...)
	}
}

// Len returns the number of values.
func (r *Recent[K, V]) Len() int { return len(r.values) }
