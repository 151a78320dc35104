package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/dispatch"
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

// SetLoad takes in the load that came with an owner's answer.
func (c *Contacts) SetLoad(d ident.DataCentre, l dispatch.Load) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setLoad(d, l)
}

// setLoad takes in a load. The caller holds the mutex.
func (c *Contacts) setLoad(d ident.DataCentre, l dispatch.Load) {
	c.loads[d] = l
	delete(c.shared, d)
	c.gate(d).Note(time.Now(), l.Delay)
}

// gate returns the gate to the owner of a data centre. The caller holds the mutex.
func (c *Contacts) gate(d ident.DataCentre) *throttle.Gate { return index.Entry(c.gates, d) }

// Pass returns true if the next job may be handed to the owner of a data centre, and
// false if that is so late that it would do nothing in time.
func (c *Contacts) Pass(d ident.DataCentre) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.gate(d).Pass()
}

// share is the part of another data centre's room that one owner's jobs may take.
type share struct {
	dataCentre ident.DataCentre
	room       int
}

// roomy returns the room that the owner of a data centre may fill at the others, which
// all others may fill as well. What an owner has told of its room is returned once.
func (c *Contacts) roomy(d ident.DataCentre) []share {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var shares []share
	for other, l := range c.loads {
		if other == d || c.shared[other] {
			continue
		}
		c.shared[other] = true
		if room := l.Room / max(1, len(c.loads)-1); room > 0 {
			shares = append(shares, share{dataCentre: other, room: room})
		}
	}
	slices.SortFunc(shares, func(a, b share) int { return cmp.Compare(a.dataCentre, b.dataCentre) })
	return shares
}
