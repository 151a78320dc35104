package fleet

import (
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
)

const (
	// idleInterval is the time between two contacts with the owner of another data
	// centre that has no job of this host. It is below ownerSilence.
	idleInterval = 300 * time.Millisecond
	// minRareInterval and rareSpacing give the time between two contacts with any of
	// the other hosts, which only pass on what they know.
	minRareInterval = 1200 * time.Millisecond
	rareSpacing     = 100 * time.Millisecond
	// missingTime is how long a host must be silent for the next one to be counted
	// in its place among those that may take an ownership.
	missingTime = 3 * time.Second
	// maxContactPause bounds the pause between contacts with a host that does
	// not answer.
	maxContactPause = 1500 * time.Millisecond
)

// targets returns the addresses of the hosts to keep in touch with, and how often.
func (c *Contacts) targets(now time.Time) map[string]time.Duration {
	hosts, owners := c.directory.Hosts(), c.directory.Owners()
	targets := map[string]time.Duration{}
	rare := rareInterval(len(hosts))
	for _, a := range c.settings.Seeds {
		targets[a] = rare
	}
	for _, h := range hosts {
		if h.DataCentre == c.self.DataCentre {
			targets[h.Address] = rare
		}
	}
	for _, h := range ownership.Rivals(c.self, hosts, func(h ownership.Host) bool { return c.missing(now, h.Name) }) {
		targets[h.Address] = contactInterval
	}
	for d, o := range owners {
		if d == c.self.DataCentre || c.waits(d) {
			targets[o.Address] = contactInterval
		} else if at, ok := targets[o.Address]; !ok || at > idleInterval {
			targets[o.Address] = idleInterval
		}
	}
	delete(targets, c.self.Address)
	delete(targets, "")
	return targets
}

// rareInterval returns the time between two contacts with a host that neither owns
// workers nor is likely to. A host makes at most ten such contacts a second.
func rareInterval(hosts int) time.Duration {
	return max(minRareInterval, time.Duration(hosts)*rareSpacing)
}

// missing returns true if a host has not answered for long.
func (c *Contacts) missing(now time.Time, h ident.Host) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	since := c.contacts[h].Heard
	if c.awake.After(since) {
		since = c.awake
	}
	return now.Sub(since) > missingTime
}

// turn is the state of the contacts with one address.
type turn struct {
	mutex sync.Mutex
	busy  bool
	begun time.Time
	// misses is the number of contacts in a row without an answer.
	misses int
}

const (
	// freeMisses is how many contacts may be missed before the time between them
	// doubles: one ends with its time, and one as the silent link is closed.
	freeMisses = 2
	// maxDoublings bounds how often it doubles.
	maxDoublings = 4
)

// begin returns true if it is time for a contact.
func (t *turn) begin(now time.Time, interval time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	doublings := min(max(0, t.misses-freeMisses), maxDoublings)
	wait := max(interval, min(interval<<doublings, maxContactPause))
	// Turns come at multiples of contactInterval, give or take.
	if t.busy || now.Sub(t.begun) < wait-contactInterval/2 {
		return false
	}
	t.busy, t.begun = true, now
	return true
}

func (t *turn) end(answered bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.busy = false
	if answered {
		t.misses = 0
		return
	}
	t.misses++
}
