package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// grant returns the slots that pass to a peer that asks for some: first those
// borrowed from it, even if work waits here, then spare slots of this host.
func (p *Pool[Item]) grant(now time.Time, k *peer, waiting int) (lend, back []Slots) {
	if !k.wantsSlots(now, p.config.WantTime) {
		return nil, nil
	}
	back = p.returnBorrowed(k, k.want)
	for _, g := range back {
		k.want -= g.Count
	}
	if k.want <= 0 {
		return nil, back
	}
	spare := p.freeSlots(now) - p.reserve()
	if waiting > 0 {
		spare = p.loanDeficit(now, k, waiting)
	}
	for _, s := range p.serverOrder {
		n := min(p.available(now, s, false), s.usableOwned(), spare, k.want)
		if n <= 0 || k.maxRunTime > 0 && s.runTime > k.maxRunTime {
			continue
		}
		s.lent += n
		addCount(k.lent, s.Name, n)
		lend = append(lend, Slots{s.Name, n})
		spare -= n
		k.want -= n
	}
	return lend, back
}

// reserve returns the number of free slots that this host does not lend. It is
// zero if the host has no work of its own.
func (p *Pool[Item]) reserve() int {
	if p.running == 0 && p.demand < idleDemand {
		return 0
	}
	return 1 + int(reserveShare*float64(p.running))
}

// returnBorrowed ends the loan of up to limit unused slots that are borrowed
// from the peer, and returns those slots.
func (p *Pool[Item]) returnBorrowed(k *peer, limit int) []Slots {
	var given []Slots
	for _, name := range slices.Sorted(maps.Keys(k.borrowed)) {
		s := p.servers[name]
		n := min(k.borrowed[name], limit)
		if s != nil && s.present && !s.isLeaving() {
			n = min(n, s.unusedSlots())
		}
		if n <= 0 {
			continue
		}
		if s != nil {
			s.borrowed -= n
		}
		given = append(given, k.release(name, n))
		limit -= n
	}
	return given
}

// returnStale ends the loan of the unused slots that the peer no longer owns,
// and returns those slots.
func (p *Pool[Item]) returnStale(k *peer) []Slots {
	var given []Slots
	for _, s := range p.serverOrder {
		if n := min(k.staleLoan(s.Name), s.unusedSlots()); n > 0 {
			s.borrowed -= n
			given = append(given, k.release(s.Name, n))
		}
	}
	return given
}

// staleLoan returns how many of the slots that this host has borrowed from the
// peer on a server are no longer owned by the peer.
func (k *peer) staleLoan(name ident.Server) int {
	return max(k.borrowed[name]-k.shares[name], 0)
}

// release subtracts slots from those that are borrowed from the peer.
func (k *peer) release(name ident.Server, n int) Slots {
	addCount(k.borrowed, name, -n)
	return Slots{name, n}
}

// isAnyPeerWaiting returns true if work waits on any peer. That work may be
// entitled to slots that this host has borrowed from other peers, and only the
// owners of those slots can lend them.
func (p *Pool[Item]) isAnyPeerWaiting(now time.Time) bool {
	for _, k := range p.peerOrder {
		if k.wantsAnySlots(now, p.config.WantTime) {
			return true
		}
	}
	return false
}

// peersByNeed returns the peers in descending order of their waiting work per
// slot that they own or have borrowed from this host. It sorts them only while
// one of them asks for slots.
func (p *Pool[Item]) peersByNeed(now time.Time) []*peer {
	if !slices.ContainsFunc(p.peerOrder, func(k *peer) bool { return k.wantsSlots(now, p.config.WantTime) }) {
		return p.peerOrder
	}
	sorted := slices.Clone(p.peerOrder)
	slices.SortStableFunc(sorted, func(a, b *peer) int {
		return -cmp.Compare(a.want*(b.owned+totalSlots(b.lent)+1), b.want*(a.owned+totalSlots(a.lent)+1))
	})
	return sorted
}

// returnIdle appends messages that return borrowed slots to their owners.
// It keeps the reserve out of the unused slots.
func (p *Pool[Item]) returnIdle(now time.Time, out []Outgoing, unused int) []Outgoing {
	idle := unused - p.reserve()
	for _, k := range p.peerOrder {
		if idle <= 0 {
			break
		}
		given := p.returnBorrowed(k, idle)
		for _, g := range given {
			idle -= g.Count
		}
		if len(given) > 0 {
			out = append(out, p.newMessage(now, k, nil, given, 0))
		}
	}
	return out
}
