package metrics

import "expvar"

// AddAll adds counts to the counters of the same names.
func AddAll[K ~string](m *expvar.Map, counts map[K]int) {
	for name, n := range counts {
		m.Add(string(name), int64(n))
	}
}
