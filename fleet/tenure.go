package fleet

import (
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/worker"
)

const (
	// confirmTime is the age of the last heartbeat in the table from which on an owner
	// needs another confirmation that it was not replaced.
	confirmTime = heartbeatInterval + 100*time.Millisecond
	// doubtTime is how long an owner continues stored jobs without a confirmation. It
	// tolerates one lost heartbeat.
	doubtTime = 1800 * time.Millisecond
	// goneTime is how long a host of the data centre must have been silent while the table
	// confirmed the ownership for its answers not to be needed later: it would have claimed
	// the workers.
	goneTime = 10 * time.Second
)

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

// ownerAnswer is the last answer of an owner.
type ownerAnswer struct {
	token worker.Token
	heard time.Time
	// unconfirmed is true if that owner did not know whether it was replaced.
	unconfirmed bool
}

// silence returns for how long any host that can take the stored jobs of a data centre of
// this host has not answered: its other hosts, and the owners of the other data centres.
// Hosts that were silent for goneTime before confirmedAt do not count.
func (c *Contacts) silence(now time.Time, d ident.DataCentre, confirmedAt time.Time) time.Duration {
	hosts, owners := c.directory.Hosts(), c.directory.Owners()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	oldest := now
	for _, h := range hosts {
		heard := c.contacts[h.Name].Heard
		if h.DataCentre == d && h.Name != c.self.Name && heard.Before(oldest) && confirmedAt.Sub(heard) < goneTime {
			oldest = heard
		}
	}
	for other, o := range owners {
		if other == d || c.isSelf(o) {
			continue
		}
		heard := time.Time{}
		if a := c.ownersHeard[other]; a.token == o.Token && !a.unconfirmed {
			heard = a.heard
		}
		if heard.Before(oldest) {
			oldest = heard
		}
	}
	return now.Sub(oldest)
}

// verify has all hosts of this data centre contacted often for a while.
func (c *Contacts) verify(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.verifyUntil = now.Add(doubtTime)
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
