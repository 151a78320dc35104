// Package ownership decides which entry host owns the workers of which data
// centre. It has no side effects: the caller passes the present time and takes an
// ownership by a conditional write, whose revision is the fencing token.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/worker"
)

const (
	// SilenceTimeout is how long an owner may be silent before another host
	// replaces it. The lease of what runs on its workers ends within a second, so
	// the next owner must have taken over by then.
	SilenceTimeout = 600 * time.Millisecond
	// startupDelay is how long a host waits after its start before it takes workers
	// that nobody owns. All hosts start within 0.3 s.
	startupDelay = 800 * time.Millisecond
	// restartSilence replaces SilenceTimeout after all hosts of a data centre have
	// restarted together. An owner that lives answers within some milliseconds.
	restartSilence = 100 * time.Millisecond
	// restartWindow is the time within which hosts have started together: they take up
	// to 0.3 s longer than each other.
	restartWindow = time.Second
	// rankDelay is how much later each further candidate may take the workers.
	rankDelay = 150 * time.Millisecond
	// remoteSilence is how long all hosts of a data centre must be silent before a
	// host of another one takes its workers. A data centre that is cut off keeps
	// its own.
	remoteSilence = 2500 * time.Millisecond
)

// Host is one process of an entry host.
type Host struct {
	Name ident.Host `msgpack:"name"`
	// Boot differs each time that the process starts.
	Boot       string           `msgpack:"boot"`
	Address    string           `msgpack:"address"`
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	// Cores is the number of processor cores of the host.
	Cores float64 `msgpack:"cores"`
}

// Owner is the host process that owns the workers of a data centre.
type Owner struct {
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	Host       ident.Host       `msgpack:"host"`
	Boot       string           `msgpack:"boot"`
	Address    string           `msgpack:"address"`
	// Token is the revision of the row that records the ownership.
	Token worker.Token `msgpack:"token"`
}

// RowError means that the row of an owner is missing or cannot be read.
type RowError struct {
	DataCentre ident.DataCentre
}

// Error implements error.
func (e *RowError) Error() string {
	return "the owner row of " + string(e.DataCentre) + " is missing or cannot be read"
}

// Contact is what the answers of another host's process tell about it.
type Contact struct {
	Boot string
	// Heard is when the last message was sent that the process answered.
	Heard time.Time
	// Leaving is true if the process is shutting down.
	Leaving bool
	// Started is when the process started.
	Started time.Time
}

// View is what a host knows when it decides.
type View struct {
	Self Host
	// Started is when this process started or resumed after a pause.
	Started time.Time
	Hosts   []Host
	Owners  map[ident.DataCentre]Owner
	// Learned is when this process learned of each owner.
	Learned map[ident.DataCentre]time.Time
	// Contacts holds the hosts that have answered this process.
	Contacts map[ident.Host]Contact
	// Leaving is true if this process is shutting down.
	Leaving bool
	// Lag is the lag with which this process reads the messages of others.
	Lag time.Duration
	// Ended holds the data centres whose owner's host has registered another process
	// since, with the time at which this process learned of it.
	Ended map[ident.DataCentre]time.Time
	// Reachable is true for data centres whose workers answer this host.
	Reachable map[ident.DataCentre]bool
	// OwnerStale is true for data centres whose owner has stopped writing heartbeats
	// to the platform's table.
	OwnerStale map[ident.DataCentre]bool
}

// isAlive returns true if a host's process has answered within silence.
func (v *View) isAlive(now time.Time, h Host, silence time.Duration) bool {
	if h.Name == v.Self.Name {
		return h.Boot == v.Self.Boot && !v.Leaving
	}
	c, ok := v.Contacts[h.Name]
	return ok && c.Boot == h.Boot && !c.Leaving && now.Sub(c.Heard) <= silence
}

// Isolated returns true if there are other hosts and none of them has answered
// within SilenceTimeout. This host may then be cut off, and not the owner.
func (v *View) Isolated(now time.Time) bool {
	others := false
	for _, h := range v.Hosts {
		if h.Name == v.Self.Name {
			continue
		}
		others = true
		if c, ok := v.Contacts[h.Name]; ok && now.Sub(c.Heard) <= SilenceTimeout {
			return false
		}
	}
	return others
}

// Claims returns the data centres whose workers this host should take now.
func (v *View) Claims(now time.Time, centres []ident.DataCentre) []ident.DataCentre {
	var claims []ident.DataCentre
	if v.Leaving {
		return nil
	}
	for _, d := range centres {
		if v.shouldClaim(now, d) {
			claims = append(claims, d)
		}
	}
	return claims
}

// shouldClaim returns true if this host should take the workers of a data centre now.
func (v *View) shouldClaim(now time.Time, d ident.DataCentre) bool {
	lost, vacant := v.vacantSince(now, d)
	if !vacant || (v.Isolated(now) && !v.OwnerStale[d]) {
		return false
	}
	if d == v.Self.DataCentre {
		return !now.Before(lost.Add(time.Duration(v.rank(now, d)) * rankDelay))
	}
	for _, h := range v.Hosts {
		if h.DataCentre == d && v.isAlive(now, h, remoteSilence) {
			return false
		}
	}
	lost = lost.Add(remoteSilence)
	return v.Reachable[d] && !now.Before(lost.Add(time.Duration(v.rank(now, v.Self.DataCentre))*rankDelay))
}

// vacantSince returns the time from which on a data centre has no owner, and false
// if it has one.
func (v *View) vacantSince(now time.Time, d ident.DataCentre) (time.Time, bool) {
	o, ok := v.Owners[d]
	if !ok {
		return v.Started.Add(startupDelay), true
	}
	if o.Host == v.Self.Name {
		return v.Started, o.Boot != v.Self.Boot
	}
	c, heard := v.Contacts[o.Host]
	learned := v.Learned[d]
	current := heard && c.Heard.After(learned)
	switch {
	case current && c.Boot != o.Boot:
		// The process that took the workers has ended.
		return v.Started, true
	case current && c.Leaving:
		return c.Heard, true
	}
	if ended, ok := v.Ended[d]; ok && (c.Boot != o.Boot || !c.Heard.After(ended)) {
		return latest(v.Started, ended), true
	}
	silence := SilenceTimeout
	if !current && v.haveRestarted(now, d) {
		silence = restartSilence
	}
	lost := latest(v.Started, latest(c.Heard, learned)).Add(silence + v.Lag)
	return lost, !now.Before(lost)
}

// haveRestarted returns true if this host and all others of a data centre that answer
// have started within restartWindow. Its owner has probably lost power too. If no other
// one answers there, those of the other data centres count.
func (v *View) haveRestarted(now time.Time, d ident.DataCentre) bool {
	if now.Sub(v.Started) > restartWindow {
		return false
	}
	var near, far []Contact
	for _, h := range v.Hosts {
		switch {
		case h.Name == v.Self.Name || !v.isAlive(now, h, SilenceTimeout):
		case h.DataCentre == d:
			near = append(near, v.Contacts[h.Name])
		default:
			far = append(far, v.Contacts[h.Name])
		}
	}
	if len(near) == 0 {
		near = far
	}
	return len(near) > 0 && !slices.ContainsFunc(near, func(c Contact) bool { return now.Sub(c.Started) > restartWindow })
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// rank returns how many live hosts of a data centre precede this one: those with
// more cores, and by name among equals.
func (v *View) rank(now time.Time, d ident.DataCentre) int {
	rank := 0
	for _, h := range v.Hosts {
		if h.DataCentre == d && h.Name != v.Self.Name && v.isAlive(now, h, SilenceTimeout+v.Lag) && compareHosts(h, v.Self) < 0 {
			rank++
		}
	}
	return rank
}

// maxCandidates is the number of hosts of a data centre that exchange messages more
// often: those that take its workers next, one after the other, rankDelay apart.
const maxCandidates = 4

// Candidates returns the first candidates for the workers of a data centre, without
// self and without the hosts that are missing.
func Candidates(self Host, hosts []Host, missing func(Host) bool) []Host {
	var found []Host
	for _, h := range hosts {
		if h.DataCentre == self.DataCentre && h.Name != self.Name && !missing(h) {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, compareHosts)
	return found[:min(maxCandidates, len(found))]
}

func compareHosts(a, b Host) int {
	if c := cmp.Compare(b.Cores, a.Cores); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// Newest returns the newer of two claims of a data centre, which is the valid one.
func Newest(a, b Owner) Owner {
	if b.Token > a.Token {
		return b
	}
	return a
}

// SortedCentres returns the data centres of a list in sorted order, without duplicates.
func SortedCentres(centres []ident.DataCentre) []ident.DataCentre {
	sorted := slices.Clone(centres)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
