// Package ownership decides which entry host gives orders to the workers of
// which data centre. It is pure: the caller passes the present time, and takes
// an ownership by a conditional write, whose revision is the fencing token.
package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/worker"
)

const (
	// Silence is how long an owner may be silent before its place is taken.
	// What runs on its workers lives on for at most a lease of a second, so the
	// next owner has to be there earlier.
	Silence = 600 * time.Millisecond
	// settleTime is how long a host waits after its start before it takes what
	// nobody owns: all hosts start within 0.3 s.
	settleTime = 800 * time.Millisecond
	// rankPause is how much later each further candidate takes its turn.
	rankPause = 150 * time.Millisecond
	// strangerSilence is how long all hosts of a data centre must be silent
	// before a host of another one takes its workers. A data centre that is cut
	// off keeps its own.
	strangerSilence = 2500 * time.Millisecond
)

// Host is a process of an entry host.
type Host struct {
	Name ident.Host `msgpack:"name"`
	// Boot differs each time that the host's process starts.
	Boot       string           `msgpack:"boot"`
	Address    string           `msgpack:"address"`
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	// Cores is the processor that the host has, in cores.
	Cores float64 `msgpack:"cores"`
}

// Owner tells who owns the workers of a data centre.
type Owner struct {
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	Host       ident.Host       `msgpack:"host"`
	Boot       string           `msgpack:"boot"`
	Address    string           `msgpack:"address"`
	// Token is the revision of the row that says so.
	Token worker.Token `msgpack:"token"`
}

// Contact is what is known of another host's process from its own answers.
type Contact struct {
	Boot string
	// Heard is when the last message that it answered was sent.
	Heard time.Time
	// Leaving is true if it shuts down.
	Leaving bool
}

// View is what a host knows when it decides.
type View struct {
	Self Host
	// Started is when this process started, or woke after a pause.
	Started time.Time
	Hosts   []Host
	Owners  map[ident.DataCentre]Owner
	// Learned is when this process learned of each owner.
	Learned map[ident.DataCentre]time.Time
	// Contacts holds the hosts that have answered this process.
	Contacts map[ident.Host]Contact
	// Leaving is true if this process shuts down.
	Leaving bool
	// Delay is by how much this process reads what others say too late.
	Delay time.Duration
	// Reachable is true for data centres whose workers answer this host.
	Reachable map[ident.DataCentre]bool
	// Quiet is true for data centres whose owner has not shown life in the
	// platform's table.
	Quiet map[ident.DataCentre]bool
}

// alive returns true if a host's process has answered lately.
func (v *View) alive(now time.Time, h Host, silence time.Duration) bool {
	if h.Name == v.Self.Name {
		return h.Boot == v.Self.Boot && !v.Leaving
	}
	c, ok := v.Contacts[h.Name]
	return ok && c.Boot == h.Boot && !c.Leaving && now.Sub(c.Heard) <= silence
}

// Isolated returns true if there are other hosts and none of them has answered
// lately. It may then be this host that is cut off, and not the owner.
func (v *View) Isolated(now time.Time) bool {
	others := false
	for _, h := range v.Hosts {
		if h.Name == v.Self.Name {
			continue
		}
		others = true
		if c, ok := v.Contacts[h.Name]; ok && now.Sub(c.Heard) <= Silence {
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
		if v.claims(now, d) {
			claims = append(claims, d)
		}
	}
	return claims
}

func (v *View) claims(now time.Time, d ident.DataCentre) bool {
	lost, vacant := v.vacantSince(now, d)
	if !vacant || (v.Isolated(now) && !v.Quiet[d]) {
		return false
	}
	if d == v.Self.DataCentre {
		return !now.Before(lost.Add(time.Duration(v.rank(now, d)) * rankPause))
	}
	for _, h := range v.Hosts {
		if h.DataCentre == d && v.alive(now, h, strangerSilence) {
			return false
		}
	}
	lost = lost.Add(strangerSilence)
	return v.Reachable[d] && !now.Before(lost.Add(time.Duration(v.rank(now, v.Self.DataCentre))*rankPause))
}

// vacantSince returns since when a data centre has no owner, and false if it has
// one.
func (v *View) vacantSince(now time.Time, d ident.DataCentre) (time.Time, bool) {
	o, ok := v.Owners[d]
	if !ok {
		return v.Started.Add(settleTime), true
	}
	if o.Host == v.Self.Name {
		return v.Started, o.Boot != v.Self.Boot
	}
	c, heard := v.Contacts[o.Host]
	learned := v.Learned[d]
	current := heard && c.Heard.After(learned)
	switch {
	case current && c.Boot != o.Boot:
		// The process that took it is gone.
		return v.Started, true
	case current && c.Leaving:
		return c.Heard, true
	}
	lost := latest(v.Started, latest(c.Heard, learned)).Add(Silence + v.Delay)
	return lost, !now.Before(lost)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// rank returns how many live hosts of a data centre come before this one: those
// with more processor, and by name among equals.
func (v *View) rank(now time.Time, d ident.DataCentre) int {
	rank := 0
	for _, h := range v.Hosts {
		if h.DataCentre == d && h.Name != v.Self.Name && v.alive(now, h, Silence+v.Delay) && compareHosts(h, v.Self) < 0 {
			rank++
		}
	}
	return rank
}

// rivals is how many hosts of a data centre are kept in close touch: those that take
// its workers next, one after the other, rankPause apart.
const rivals = 4

// Rivals returns the hosts of a data centre that are the first to take its workers,
// without those that are missing.
func Rivals(self Host, hosts []Host, missing func(Host) bool) []Host {
	var found []Host
	for _, h := range hosts {
		if h.DataCentre == self.DataCentre && h.Name != self.Name && !missing(h) {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, compareHosts)
	return found[:min(rivals, len(found))]
}

func compareHosts(a, b Host) int {
	if c := cmp.Compare(b.Cores, a.Cores); c != 0 {
		return c
	}
	return cmp.Compare(a.Name, b.Name)
}

// Newest returns the one of two claims of a data centre that counts.
func Newest(a, b Owner) Owner {
	if b.Token > a.Token {
		return b
	}
	return a
}

// Centres returns the data centres of a list in a fixed order, without
// doubles.
func Centres(centres []ident.DataCentre) []ident.DataCentre {
	sorted := slices.Clone(centres)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}
