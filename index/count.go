package index

// Increment adds one to a count. It creates the map if there is none yet.
func Increment[K comparable](counts *map[K]int, k K) {
	if *counts == nil {
		*counts = map[K]int{}
	}
	(*counts)[k]++
}
