package fleet

import (
	"time"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/spill"
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
	c.setLoad(time.Now(), d, l)
}

// setLoad records a load in the answer to a message that was sent at the given time. The
// caller holds the mutex.
func (c *Contacts) setLoad(sent time.Time, d ident.DataCentre, l dispatch.Load) {
	c.loads[d] = l
	c.view.Report(sent, d, l.FreeTasks)
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

// freeTasks returns the known number of tasks that the owner of a data centre can start at once.
func (c *Contacts) freeTasks(now time.Time, d ident.DataCentre) (int, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view.Free(now, d)
}

// shareCapacity returns the free capacity that the owner of a data centre may use at
// each other owner. An evacuated data centre has none.
func (c *Contacts) shareCapacity(now time.Time, d ident.DataCentre) []spill.Share {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.view.Shares(now, d, func(other ident.DataCentre) bool { return c.evacuation.Access(other) == evacuation.Evacuated })
}
