package index

// GetOrCreate returns the entry of a key. It adds an empty one if there is none.
func GetOrCreate[K comparable, V any](entries map[K]*V, key K) *V {
	x := entries[key]
	if x == nil {
		x = new(V)
		entries[key] = x
	}
	return x
}
