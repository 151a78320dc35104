package fleet

import (
	"maps"
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
)

// confirmTime is the age of the last heartbeat in the table from which on an owner needs another
// confirmation that it was not replaced.
const confirmTime = heartbeatInterval + 100*time.Millisecond

// tenure records what confirms an ownership.
type tenure struct {
	mutex sync.Mutex
	// confirmedAt is when the last heartbeat was sent that the table has stored.
	confirmedAt time.Time
	unconfirmed bool
}

// confirm records that a heartbeat was stored that was sent at a time.
func (t *tenure) confirm(sent time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if sent.After(t.confirmedAt) {
		t.confirmedAt = sent
	}
}

// confirmed returns when the last heartbeat was sent that the table has stored.
func (t *tenure) confirmed() time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.confirmedAt
}

func (t *tenure) setUnconfirmed(unconfirmed bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unconfirmed = unconfirmed
}

// isUnconfirmed returns true if the owner does not know whether it was replaced.
func (t *tenure) isUnconfirmed() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.unconfirmed
}

// silence returns for how long any host that can take the stored jobs of a data centre of this
// host has not answered.
func (c *Contacts) silence(now time.Time, d ident.DataCentre, confirmedAt time.Time) time.Duration {
	v := c.View()
	c.mutex.Lock()
	answers := maps.Clone(c.ownersHeard)
	c.mutex.Unlock()
	return v.Silence(now, d, confirmedAt, answers)
}

// verify has all hosts of this data centre contacted often for a while.
func (c *Contacts) verify(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.verifyUntil = now.Add(ownership.DoubtTime)
}

func (c *Contacts) isVerifying(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now.Before(c.verifyUntil)
}

// lastSign returns when the process of an owner was last heard, by its answer or by a
// contact that it made, or when this process learned of it.
func (c *Contacts) lastSign(d ident.DataCentre) time.Time {
	o, learned := c.directory.Owners()[d], c.directory.Learned()[d]
	c.mutex.Lock()
	defer c.mutex.Unlock()
	last := learned
	if x := c.contacts[o.Host]; x.Boot == o.Boot && x.Heard.After(last) {
		last = x.Heard
	}
	if x := c.inbound[o.Host]; x.boot == o.Boot && x.at.After(last) {
		last = x.at
	}
	return last
}
