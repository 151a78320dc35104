package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
)

const (
	// idleInterval is the time between two contacts with the owner of another data
	// centre that has no job of this host. It is below ownerSilence.
	idleInterval = 300 * time.Millisecond
	// minRareInterval is the shortest time between two contacts with each of the other
	// hosts, which only pass on what they know. If rareSpacing times the number of
	// hosts is longer, that is the time.
	minRareInterval = 1200 * time.Millisecond
	rareSpacing     = 100 * time.Millisecond
	// missingTime is how long a host must be silent for the next one to replace it
	// among the candidates for an ownership.
	missingTime = 3 * time.Second
	// maxContactBackoff bounds the time between contacts with a host that does not
	// answer.
	maxContactBackoff = 1500 * time.Millisecond
)

// targets returns the addresses of the hosts to contact with the interval for each.
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
	for _, h := range ownership.Candidates(c.self, hosts, func(h ownership.Host) bool { return c.missing(now, h.Name) }) {
		targets[h.Address] = contactInterval
	}
	if c.isVerifying(now) {
		for _, h := range hosts {
			if h.DataCentre == c.self.DataCentre {
				targets[h.Address] = min(targets[h.Address], idleInterval)
			}
		}
	}
	for d, o := range owners {
		if d == c.self.DataCentre || c.hasLiveCalls(d) {
			targets[o.Address] = contactInterval
		} else if at, ok := targets[o.Address]; !ok || at > idleInterval {
			targets[o.Address] = idleInterval
		}
	}
	delete(targets, c.self.Address)
	delete(targets, "")
	return targets
}

// announce contacts the hosts of this data centre and all owners at once, to tell them of
// an ownership that this host has taken.
func (c *Contacts) announce(ctx context.Context) {
	for a := range c.targets(time.Now()) {
		go c.contact(ctx, a)
	}
}

// rareInterval returns the time between two contacts with a host that neither owns
// workers nor is likely to. A host makes at most ten such contacts a second.
func rareInterval(hosts int) time.Duration {
	return max(minRareInterval, time.Duration(hosts)*rareSpacing)
}

// missing returns true if a host has not answered for missingTime.
func (c *Contacts) missing(now time.Time, h ident.Host) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	since := c.contacts[h].Heard
	if c.runningSince.After(since) {
		since = c.runningSince
	}
	return now.Sub(since) > missingTime
}

// contactSchedule times the contacts with one address.
type contactSchedule struct {
	mutex sync.Mutex
	busy  bool
	begun time.Time
	// misses is the number of contacts in a row without an answer.
	misses int
}

const (
	// backoffMisses is the number of missed contacts after which the time between them
	// begins to double: one times out, and one fails as the silent link is closed.
	backoffMisses = 2
	// maxDoublings bounds how often it doubles.
	maxDoublings = 4
)

// tryBegin returns true if a contact is due, and marks it as begun.
func (s *contactSchedule) tryBegin(now time.Time, interval time.Duration) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	doublings := min(max(0, s.misses-backoffMisses), maxDoublings)
	wait := max(interval, min(interval<<doublings, maxContactBackoff))
	// The caller checks about once per contactInterval.
	if s.busy || now.Sub(s.begun) < wait-contactInterval/2 {
		return false
	}
	s.busy, s.begun = true, now
	return true
}

func (s *contactSchedule) end(answered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.busy = false
	if answered {
		s.misses = 0
		return
	}
	s.misses++
}
