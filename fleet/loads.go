package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/throttle"
)

// Load returns the last known load of the owner of a data centre.
func (c *Contacts) Load(d ident.DataCentre) (dispatch.Load, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l, ok := c.loads[d]
	return l, ok
}

// SetLoad records the load in an owner's answer.
func (c *Contacts) SetLoad(d ident.DataCentre, l dispatch.Load) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setLoad(d, l)
}

// setLoad records a load. The caller holds the mutex.
func (c *Contacts) setLoad(d ident.DataCentre, l dispatch.Load) {
	c.loads[d] = l
	delete(c.sharedOut, d)
	c.gate(d).ObserveLag(time.Now(), l.Lag)
}

// gate returns the gate to the owner of a data centre. The caller holds the mutex.
func (c *Contacts) gate(d ident.DataCentre) *throttle.Gate { return index.GetOrCreate(c.gates, d) }

// Admits returns true if the next job may be submitted to the owner of a data centre,
// and false if the owner lags too far behind to handle it in time.
func (c *Contacts) Admits(d ident.DataCentre) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.gate(d).Allow()
}

// capacityShare is the part of another data centre's free capacity that one owner's jobs
// may use.
type capacityShare struct {
	dataCentre ident.DataCentre
	capacity   int
}

// shareCapacity returns the free capacity that the owner of a data centre may use at
// each other owner, which it shares with the remaining owners. Each reported load is
// used once. An evacuated data centre has none.
func (c *Contacts) shareCapacity(d ident.DataCentre) []capacityShare {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var shares []capacityShare
	for other, l := range c.loads {
		if other == d || c.sharedOut[other] || c.evacuation.Access(other) == evacuation.Evacuated {
			continue
		}
		c.sharedOut[other] = true
		if capacity := l.FreeTasks / max(1, len(c.loads)-1); capacity > 0 {
			shares = append(shares, capacityShare{dataCentre: other, capacity: capacity})
		}
	}
	slices.SortFunc(shares, func(a, b capacityShare) int { return cmp.Compare(a.dataCentre, b.dataCentre) })
	return shares
}
