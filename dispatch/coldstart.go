package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/cold"
	"github.com/catkingap/catkingap/ident"
)

// SetColdLimits sets the limits for the cold workers of each pool.
func (m *Machine) SetColdLimits(now time.Time, limits map[ident.Pool]cold.Limits) {
	if !m.cold.SetLimits(limits) {
		return
	}
	for _, n := range m.ordered {
		m.updateColdness(now, n)
	}
	m.advance(now)
}

// updateColdness records what the row of a worker tells.
func (m *Machine) updateColdness(now time.Time, n *node) {
	m.cold.Update(now, &n.cold, n.Pool, time.UnixMilli(int64(n.rowLife)), n.Cold)
	m.markChanged(n)
}
