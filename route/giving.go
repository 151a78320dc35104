package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// give returns the slots that pass to a peer that wants some: its own first,
// even if work waits here, and this host's spare ones.
func (p *Pool[Item]) give(now time.Time, k *peer, waiting int) (lend, back []Slots) {
	if !k.asks(now, p.config.WantTime) {
		return nil, nil
	}
	back = p.giveBack(k, k.want)
	for _, g := range back {
		k.want -= g.Count
	}
	if k.want <= 0 {
		return nil, back
	}
	spare := p.freeSlots(now) - p.reserve()
	if waiting > 0 {
		spare = p.shortOf(now, k, waiting)
	}
	for _, s := range p.order {
		n := min(p.available(now, s, false), s.spareOwned(), spare, k.want)
		if n <= 0 || k.limit > 0 && s.runTime > k.limit {
			continue
		}
		s.lent += n
		move(k.lent, s.Name, n)
		lend = append(lend, Slots{s.Name, n})
		spare -= n
		k.want -= n
	}
	return lend, back
}

// reserve returns the number of free slots that this host does not lend. A
// host without work of its own lends all.
func (p *Pool[Item]) reserve() int {
	if p.running == 0 && p.demand < idleDemand {
		return 0
	}
	return 1 + int(reserveShare*float64(p.running))
}

// giveBack returns up to limit unused slots of a peer to it.
func (p *Pool[Item]) giveBack(k *peer, limit int) []Slots {
	var given []Slots
	for _, name := range slices.Sorted(maps.Keys(k.borrowed)) {
		s := p.servers[name]
		n := min(k.borrowed[name], limit)
		if s != nil && s.present && !s.isLeaving() {
			n = min(n, s.unused())
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

// giveLost returns the unused slots of a peer that it does not own any more.
func (p *Pool[Item]) giveLost(k *peer) []Slots {
	var given []Slots
	for _, s := range p.order {
		if n := min(k.lostLoan(s.Name), s.unused()); n > 0 {
			s.borrowed -= n
			given = append(given, k.release(s.Name, n))
		}
	}
	return given
}

// lostLoan returns how many slots of a server this host has borrowed from the
// peer that the peer does not own any more.
func (k *peer) lostLoan(name ident.Server) int {
	return max(k.borrowed[name]-k.shares[name], 0)
}

// release takes slots out of those that are borrowed from the peer.
func (k *peer) release(name ident.Server, n int) Slots {
	move(k.borrowed, name, -n)
	return Slots{name, n}
}

// isWanted returns true if work waits on any peer. It may be due the slots that
// this host has borrowed from others, and only their owners can lend them.
func (p *Pool[Item]) isWanted(now time.Time) bool {
	for _, k := range p.peerOrder {
		if k.wants(now, p.config.WantTime) {
			return true
		}
	}
	return false
}

// byWant returns the peers, those with the most waiting work for what they own
// and borrow first. The order matters only while any of them asks for slots.
func (p *Pool[Item]) byWant(now time.Time) []*peer {
	if !slices.ContainsFunc(p.peerOrder, func(k *peer) bool { return k.asks(now, p.config.WantTime) }) {
		return p.peerOrder
	}
	sorted := slices.Clone(p.peerOrder)
	slices.SortStableFunc(sorted, func(a, b *peer) int {
		return -cmp.Compare(a.want*(b.owned+total(b.lent)+1), b.want*(a.owned+total(a.lent)+1))
	})
	return sorted
}

// returnIdle gives back borrowed slots out of the unused ones, but for the
// reserve.
func (p *Pool[Item]) returnIdle(now time.Time, out []Outgoing, unused int) []Outgoing {
	idle := unused - p.reserve()
	for _, k := range p.peerOrder {
		if idle <= 0 {
			break
		}
		given := p.giveBack(k, idle)
		for _, g := range given {
			idle -= g.Count
		}
		if len(given) > 0 {
			out = append(out, p.message(now, k, nil, given, 0))
		}
	}
	return out
}
