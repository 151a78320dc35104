package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// peer is what this host knows about another entry host.
type peer struct {
	Peer
	lastHeard, lastAsked   time.Time
	lastSent, lastReceived uint64
	// lastLend is the sequence of the last message that lent slots.
	lastLend   uint64
	boot       string
	want, free int
	// owned is the number of slots that the peer owns, and shares the number on
	// each server.
	owned  int
	shares map[ident.Server]int
	// lackingSince is since when the peer has asked for slots and has held none
	// of this host's.
	lackingSince time.Time
	// silent is true if nothing has been received from the peer for PeerTimeout
	// or it cannot be reached. It then owns no slots.
	silent             bool
	maxRunTime, demand float64
	wantedAt           time.Time
	// lent counts this host's slots that the peer holds, and borrowed the peer's
	// slots that this host holds.
	lent, borrowed map[ident.Server]int
}

const (
	// maxWant limits the slots that one message asks for.
	maxWant = 256
	// askFanOut is the least number of hosts that are asked at once. With more
	// waiting work, one host is asked for each wantPerPeer waiting entries.
	askFanOut   = 2
	wantPerPeer = 8
	// reserveShare is the fraction of the slots in use that a host with work
	// keeps free when it lends, in addition to one slot.
	reserveShare = 0.05
	// remoteHeartbeatDivisor divides the rate of heartbeats to a peer in another
	// data centre, and idleHeartbeatDivisor that of a host without work. With
	// both, a Heartbeat of 1 s stays within the PeerTimeout of 5 s.
	remoteHeartbeatDivisor = 2
	idleHeartbeatDivisor   = 2
	// idleDemand is the demand in slots below which a host without running tasks
	// counts as idle.
	idleDemand = 0.05
)

// SetPeers replaces the other entry hosts that share the pool. It ends the loans
// from and to hosts that are no longer listed.
func (p *Pool[Item]) SetPeers(peers []Peer) {
	known := p.peers
	p.peers = make(map[ident.Host]*peer, len(peers))
	p.peerOrder = p.peerOrder[:0]
	for _, host := range peers {
		k := known[host.Name]
		if k == nil {
			k = &peer{Peer: Peer{Weight: initialWeight}, lent: map[ident.Server]int{}, borrowed: map[ident.Server]int{}}
		}
		host.Weight = k.Weight
		k.Peer = host
		p.peers[host.Name] = k
		p.peerOrder = append(p.peerOrder, k)
	}
	for name, k := range known {
		if p.peers[name] == nil {
			p.clearLoans(k)
		}
	}
	p.updateShares()
}

// clearLent ends all loans to a peer.
func (p *Pool[Item]) clearLent(k *peer) {
	for name, n := range k.lent {
		if s := p.servers[name]; s != nil {
			s.lent -= n
		}
	}
	clear(k.lent)
}

// clearLoans ends all loans from and to a peer.
func (p *Pool[Item]) clearLoans(k *peer) {
	p.clearLent(k)
	for name, n := range k.borrowed {
		if s := p.servers[name]; s != nil {
			s.borrowed -= n
		}
	}
	clear(k.borrowed)
	k.want, k.free = 0, 0
}

// Receive applies a message from a peer.
func (p *Pool[Item]) Receive(now time.Time, from ident.Host, m Message) {
	k := p.peers[from]
	if k == nil {
		return
	}
	if m.Boot != k.boot {
		// The peer has restarted and holds no slots.
		p.clearLoans(k)
		k.boot, k.lastReceived, k.lastLend = m.Boot, 0, 0
	}
	if m.Sequence <= k.lastReceived {
		return
	}
	k.lastHeard, k.lastReceived = now, m.Sequence
	k.demand = m.Demand
	if m.Weight != k.Weight || k.silent {
		k.Weight, k.silent = m.Weight, false
		p.updateShares()
	}
	if m.Want == 0 || len(k.lent) > 0 || k.lackingSince.IsZero() {
		k.lackingSince = now
	}
	k.want, k.maxRunTime, k.free, k.wantedAt = m.Want, m.MaxRunTime, m.Free, now
	defer p.recall(now)
	for _, name := range m.Ejected {
		p.detector.RecordHint(now, name)
	}
	for _, l := range m.Lend {
		if s := p.servers[l.Server]; s != nil {
			addCount(k.borrowed, l.Server, l.Count)
			s.borrowed += l.Count
		}
	}
	for _, r := range m.Return {
		if s := p.servers[r.Server]; s != nil {
			n := min(r.Count, k.lent[r.Server])
			addCount(k.lent, r.Server, -n)
			s.lent -= n
		}
	}
	if m.Heartbeat && m.Seen >= k.lastLend {
		p.reconcile(k, m.Held)
	}
}

// recall marks the borrowed slots that their owners ask for, and those that
// their lenders no longer own. Marked slots get no new tasks, so that they can
// be returned.
func (p *Pool[Item]) recall(now time.Time) {
	for _, s := range p.serverOrder {
		s.recalled = 0
	}
	for _, k := range p.peerOrder {
		left := 0
		if k.wantsAnySlots(now, p.config.WantTime) {
			left = k.want
		}
		for _, s := range p.serverOrder {
			n := max(min(k.borrowed[s.Name], left), k.staleLoan(s.Name))
			s.recalled += n
			left = max(left-n, 0)
		}
	}
}

// wantsSlots returns true if the peer has asked for slots within validity.
func (k *peer) wantsSlots(now time.Time, validity time.Duration) bool {
	return k.want > 0 && now.Sub(k.wantedAt) <= validity
}

// wantsAnySlots returns true if the peer has asked for slots within validity,
// and not only for those of fast servers.
func (k *peer) wantsAnySlots(now time.Time, validity time.Duration) bool {
	return k.maxRunTime == 0 && k.wantsSlots(now, validity)
}

// reconcile replaces this host's record of the slots lent to a peer by those
// that the peer reports. It repairs the differences that lost messages cause.
func (p *Pool[Item]) reconcile(k *peer, held []Slots) {
	p.clearLent(k)
	for _, h := range held {
		if s := p.servers[h.Server]; s != nil {
			k.lent[h.Server] = h.Count
			s.lent += h.Count
		}
	}
}

// addCount adds n to the count of a server, and removes the entry at zero.
func addCount(counts map[ident.Server]int, name ident.Server, n int) {
	if counts[name] += n; counts[name] == 0 {
		delete(counts, name)
	}
}

// ShouldAskPeers returns true if work waits and peers may be asked for slots
// again.
func (p *Pool[Item]) ShouldAskPeers(now time.Time) bool {
	return p.Waiting() > 0 && now.Sub(p.lastAsked) >= p.config.AskPause
}

// OwesSlots returns true if a peer is entitled to slots that Bind would
// otherwise give to work waiting here: slots borrowed from the peer, or its fair
// part of this host's. When a task has ended, the caller then calls Exchange
// before Bind.
func (p *Pool[Item]) OwesSlots(now time.Time) bool {
	for _, k := range p.peerOrder {
		if !k.wantsAnySlots(now, p.config.WantTime) {
			continue
		}
		if len(k.borrowed) > 0 || p.Waiting() > 0 && p.loanDeficit(now, k, p.Waiting()) > 0 {
			return true
		}
	}
	return false
}

// totalSlots returns the number of slots in a set of loans.
func totalSlots(loans map[ident.Server]int) int {
	n := 0
	for _, count := range loans {
		n += count
	}
	return n
}

// loanDeficit returns how many slots a peer lacks of its fair loan while work
// waits on both hosts. It is zero for a peer that owns slots: while work waits
// here, only peers without slots of their own get a loan.
func (p *Pool[Item]) loanDeficit(now time.Time, k *peer, waiting int) int {
	if k.owned > 0 {
		return 0
	}
	return p.fairLoan(now, k, waiting) - totalSlots(k.lent)
}

// fairLoan returns how many of this host's slots a peer is entitled to while
// work waits on both hosts: the peer's part of all work that could use them. A
// peer that has had no slot for longer than WantTime is entitled to one.
func (p *Pool[Item]) fairLoan(now time.Time, k *peer, waiting int) int {
	owned := 0
	for _, s := range p.serverOrder {
		if s.present && !s.Leaving {
			owned += s.owned
		}
	}
	demand, due := float64(waiting+p.running), 0.0
	for _, other := range p.peerOrder {
		n := float64(totalSlots(other.lent))
		if other.wantsAnySlots(now, p.config.WantTime) {
			n += float64(other.want)
		}
		demand += n
		if other == k {
			due = n
		}
	}
	fair := int(float64(owned) * due / demand)
	if fair == 0 && owned > 0 && len(k.lent) == 0 && now.Sub(k.lackingSince) > p.config.WantTime {
		return 1
	}
	return fair
}

// Exchange returns the messages that pass slots between this host and its
// peers. The caller calls it if work is waiting after Bind, after Receive, and
// at short intervals.
func (p *Pool[Item]) Exchange(now time.Time) []Outgoing {
	if p.hasNothingToExchange(now) {
		return nil
	}
	var out []Outgoing
	p.recall(now)
	waiting := 0
	if p.queue.Head(now) != nil {
		waiting = p.Waiting()
	}
	free := p.freeSlots(now)
	p.minFree = min(p.minFree, free)
	for _, k := range p.peersByNeed(now) {
		if !k.lastHeard.IsZero() && now.Sub(k.lastHeard) > p.config.PeerTimeout {
			p.markLost(k)
		}
		lend, back := p.grant(now, k, waiting)
		back = append(back, p.returnStale(k)...)
		if len(lend)+len(back) > 0 {
			out = append(out, p.newMessage(now, k, lend, back, waiting))
		}
	}
	switch {
	case waiting > 0:
		out = p.askPeers(now, out, waiting)
	case p.isAnyPeerWaiting(now):
		out = p.returnIdle(now, out, free)
	case now.Sub(p.windowStart) >= p.config.ReturnTime:
		out = p.returnIdle(now, out, p.minFree)
		p.windowStart, p.minFree = now, free
	}
	return p.addHeartbeats(now, out, waiting)
}

// PeerLost records that a peer cannot be reached. The peer owns no slots until
// its next message.
func (p *Pool[Item]) PeerLost(name ident.Host) {
	if k := p.peers[name]; k != nil && !k.silent {
		p.markLost(k)
	}
}

// markLost ends all loans from and to a peer and distributes its slots.
func (p *Pool[Item]) markLost(k *peer) {
	p.clearLoans(k)
	k.lastHeard, k.silent = time.Time{}, true
	p.updateShares()
}

// hasNothingToExchange returns true if this host has no work and no slots to
// pass on, and no heartbeat is due.
func (p *Pool[Item]) hasNothingToExchange(now time.Time) bool {
	if p.running > 0 || p.Waiting() > 0 || now.Sub(p.lastHeartbeat) >= p.config.Heartbeat {
		return false
	}
	for _, k := range p.peerOrder {
		if len(k.borrowed) > 0 || k.wantsAnySlots(now, p.config.WantTime) {
			return false
		}
	}
	return true
}

// freeSlots returns the number of tasks that could start at once.
func (p *Pool[Item]) freeSlots(now time.Time) int {
	free := 0
	for _, s := range p.serverOrder {
		free += max(p.available(now, s, false), 0)
	}
	return free
}

// askPeers appends messages that ask a few peers for slots: first those that
// hold slots of this host, then those with free slots, then those in its data
// centre, then those with the most free slots.
func (p *Pool[Item]) askPeers(now time.Time, out []Outgoing, waiting int) []Outgoing {
	if now.Sub(p.lastAsked) < p.config.AskPause {
		return out
	}
	candidates := make([]*peer, 0, len(p.peerOrder))
	for _, k := range p.peerOrder {
		if now.Sub(k.lastAsked) >= p.config.WantTime/2 {
			candidates = append(candidates, k)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *peer) int {
		return cmp.Or(
			-cmp.Compare(min(len(a.lent), 1), min(len(b.lent), 1)),
			-cmp.Compare(min(a.free, 1), min(b.free, 1)),
			-cmp.Compare(p.proximity(a), p.proximity(b)),
			-cmp.Compare(a.free, b.free),
		)
	})
	fanOut := max(askFanOut, waiting/wantPerPeer)
	for _, k := range candidates[:min(fanOut, len(candidates))] {
		k.lastAsked, p.lastAsked = now, now
		out = append(out, p.newMessage(now, k, nil, nil, waiting))
	}
	return out
}

// proximity returns 1 for a peer in this host's data centre and 0 for others.
func (p *Pool[Item]) proximity(k *peer) int {
	if k.DataCentre == p.config.Self.DataCentre {
		return 1
	}
	return 0
}

// addHeartbeats appends the heartbeats that are due. Peers with loans get every
// heartbeat. Of the other peers, those in other data centres get every second
// one, and an idle host sends half as many.
func (p *Pool[Item]) addHeartbeats(now time.Time, out []Outgoing, waiting int) []Outgoing {
	if now.Sub(p.lastHeartbeat) < p.config.Heartbeat {
		return out
	}
	p.heartbeats++
	p.updateWeight(now.Sub(p.lastHeartbeat))
	p.lastHeartbeat = now
	for _, s := range p.serverOrder {
		s.withheld, s.newlyOwned, s.formerlyOwned = s.newlyOwned, 0, 0
		s.announced = max(s.announced-1, 0)
	}
	divisor := 1
	if p.running+p.Waiting() == 0 && p.demand < idleDemand {
		divisor = idleHeartbeatDivisor
	}
	for _, k := range p.peerOrder {
		every := divisor
		switch {
		case len(k.lent)+len(k.borrowed) > 0:
			every = 1
		case p.proximity(k) == 0:
			every *= remoteHeartbeatDivisor
		}
		if p.heartbeats%every != 1%every {
			continue
		}
		o := p.newMessage(now, k, nil, nil, waiting)
		o.Message.Heartbeat = true
		o.Message.Ejected = p.detector.EjectedServers()
		for _, name := range slices.Sorted(maps.Keys(k.borrowed)) {
			o.Message.Held = append(o.Message.Held, Slots{name, k.borrowed[name]})
		}
		out = append(out, o)
	}
	return out
}

// newMessage returns the next message to a peer.
func (p *Pool[Item]) newMessage(now time.Time, k *peer, lend, back []Slots, waiting int) Outgoing {
	k.lastSent++
	if len(lend) > 0 {
		k.lastLend = k.lastSent
	}
	want := waiting
	if lent := totalSlots(k.lent); lent > 0 && k.owned == 0 {
		// The peer may keep its fair part of this host's slots.
		want = max(lent-p.fairLoan(now, k, waiting), 0)
	}
	m := Message{
		Boot: p.config.Boot, Sequence: k.lastSent, Seen: k.lastReceived, Weight: p.weight, Demand: p.demand,
		Want: min(want, maxWant), MaxRunTime: p.maxRunTime, Lend: lend, Return: back,
	}
	if waiting == 0 {
		m.Free = max(p.freeSlots(now)-p.reserve(), 0)
	}
	return Outgoing{To: k.Name, Message: m}
}
