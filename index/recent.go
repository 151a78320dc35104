package index

import "time"

// Recent keeps values for a while. Values that are put later are kept longer.
type Recent[K comparable, V any] struct {
	age    time.Duration
	values map[K]kept[V]
	// order holds the keys in the order in which they were put; a key that was
	// put again or deleted since is passed over.
	order []putAt[K]
}

type kept[V any] struct {
	value V
	at    time.Time
}

type putAt[K comparable] struct {
	key K
	at  time.Time
}

// NewRecent returns a set that keeps values for age.
func NewRecent[K comparable, V any](age time.Duration) *Recent[K, V] {
	return &Recent[K, V]{age: age, values: map[K]kept[V]{}}
}

// Put keeps a value from now on.
func (r *Recent[K, V]) Put(now time.Time, k K, v V) {
	r.values[k] = kept[V]{value: v, at: now}
	r.order = append(r.order, putAt[K]{key: k, at: now})
}

// Get returns the value of a key, if it is kept.
func (r *Recent[K, V]) Get(k K) (V, bool) {
	x, ok := r.values[k]
	return x.value, ok
}

// Expire drops the values that are older than the age.
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
