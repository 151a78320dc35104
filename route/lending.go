package route

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// peer is what this host knows of another one.
type peer struct {
	Peer
	heard, asked time.Time
	sent, seen   uint64
	// gave is the sequence of the last message that lent slots.
	gave       uint64
	boot       string
	want, free int
	// owned is the number of slots that the peer owns, shares that on each
	// server.
	owned  int
	shares map[ident.Server]int
	// short is since when the peer wants slots and holds none of this host's.
	short time.Time
	// silent is true if the peer has not been heard for PeerTimeout. It then
	// owns no slots.
	silent        bool
	limit, demand float64
	wanted        time.Time
	// lent is this host's slots that the peer holds, borrowed the reverse.
	lent, borrowed map[ident.Server]int
}

const (
	// maxWant bounds the slots that one message asks for.
	maxWant = 256
	// askFanOut is the number of hosts that are asked at once. More work that
	// waits asks one host more for each wantPerPeer.
	askFanOut   = 2
	wantPerPeer = 8
	// reserveShare is the share of a host's slots in use that it keeps free
	// for itself when it lends.
	reserveShare = 0.05
	// farBeats is the number of heartbeats for each one that goes to a peer in
	// another data centre, restBeats that for each one of a host at rest. Both
	// together stay within the PeerTimeout of 5 s at a Heartbeat of 1 s.
	farBeats  = 2
	restBeats = 2
	// idleDemand is the number of slots in demand below which a host counts as
	// one without work.
	idleDemand = 0.05
)

// SetPeers replaces the other entry hosts that share the pool. Slots lent to a
// host that is gone come back.
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
			p.forget(k)
		}
	}
	p.share()
}

// endLent ends all loans to a peer.
func (p *Pool[Item]) endLent(k *peer) {
	for name, n := range k.lent {
		if s := p.servers[name]; s != nil {
			s.lent -= n
		}
	}
	clear(k.lent)
}

// forget ends all loans from and to a peer.
func (p *Pool[Item]) forget(k *peer) {
	p.endLent(k)
	for name, n := range k.borrowed {
		if s := p.servers[name]; s != nil {
			s.borrowed -= n
		}
	}
	clear(k.borrowed)
	k.want, k.free = 0, 0
}

// Receive takes a message of a peer.
func (p *Pool[Item]) Receive(now time.Time, from ident.Host, m Message) {
	k := p.peers[from]
	if k == nil {
		return
	}
	if m.Boot != k.boot {
		// The peer started anew and holds nothing.
		p.forget(k)
		k.boot, k.seen, k.gave = m.Boot, 0, 0
	}
	if m.Sequence <= k.seen {
		return
	}
	k.heard, k.seen = now, m.Sequence
	k.demand = m.Demand
	if m.Weight != k.Weight || k.silent {
		k.Weight, k.silent = m.Weight, false
		p.share()
	}
	if m.Want == 0 || len(k.lent) > 0 || k.short.IsZero() {
		k.short = now
	}
	k.want, k.limit, k.free, k.wanted = m.Want, m.Limit, m.Free, now
	defer p.recall(now)
	for _, name := range m.Ejected {
		p.judge.Hint(now, name)
	}
	for _, l := range m.Lend {
		if s := p.servers[l.Server]; s != nil {
			move(k.borrowed, l.Server, l.Count)
			s.borrowed += l.Count
		}
	}
	for _, r := range m.Return {
		if s := p.servers[r.Server]; s != nil {
			n := min(r.Count, k.lent[r.Server])
			move(k.lent, r.Server, -n)
			s.lent -= n
		}
	}
	if m.Heartbeat && m.Seen >= k.gave {
		p.reconcile(k, m.Held)
	}
}

// recall marks as many borrowed slots as their owners want, and those that
// their lenders don't own any more. They get no new tasks, so that they can go
// back.
func (p *Pool[Item]) recall(now time.Time) {
	for _, s := range p.order {
		s.recalled = 0
	}
	for _, k := range p.peerOrder {
		left := 0
		if k.wants(now, p.config.WantTime) {
			left = k.want
		}
		for _, s := range p.order {
			n := max(min(k.borrowed[s.Name], left), k.lostLoan(s.Name))
			s.recalled += n
			left = max(left-n, 0)
		}
	}
}

// asks returns true if the peer has asked for slots lately.
func (k *peer) asks(now time.Time, holds time.Duration) bool {
	return k.want > 0 && now.Sub(k.wanted) <= holds
}

// wants returns true if the peer has asked lately for slots of any server.
func (k *peer) wants(now time.Time, holds time.Duration) bool {
	return k.limit == 0 && k.asks(now, holds)
}

// reconcile replaces what this host believes to have lent to a peer by what
// the peer says to hold. It mends what lost messages left behind.
func (p *Pool[Item]) reconcile(k *peer, held []Slots) {
	p.endLent(k)
	for _, h := range held {
		if s := p.servers[h.Server]; s != nil {
			k.lent[h.Server] = h.Count
			s.lent += h.Count
		}
	}
}

// move adds n to the count of a server and removes the entry at zero.
func move(counts map[ident.Server]int, name ident.Server, n int) {
	if counts[name] += n; counts[name] == 0 {
		delete(counts, name)
	}
}

// Asks returns true if work waits and peers may be asked for slots again.
func (p *Pool[Item]) Asks(now time.Time) bool {
	return p.Waiting() > 0 && now.Sub(p.asked) >= p.config.AskPause
}

// Owes returns true if a peer is due slots that work waiting here would take
// again: its own ones, or its fair part of this host's. The caller then calls
// Exchange before Bind when a task has ended.
func (p *Pool[Item]) Owes(now time.Time) bool {
	for _, k := range p.peerOrder {
		if !k.wants(now, p.config.WantTime) {
			continue
		}
		if len(k.borrowed) > 0 || p.Waiting() > 0 && p.shortOf(now, k, p.Waiting()) > 0 {
			return true
		}
	}
	return false
}

// total returns the number of slots in a set of loans.
func total(loans map[ident.Server]int) int {
	n := 0
	for _, count := range loans {
		n += count
	}
	return n
}

// shortOf returns how many slots a peer lacks to its fair loan while work waits
// on both. Only a peer that owns no slots is lent any then; the others have
// their own.
func (p *Pool[Item]) shortOf(now time.Time, k *peer, waiting int) int {
	if k.owned > 0 {
		return 0
	}
	return p.fairLoan(now, k, waiting) - total(k.lent)
}

// fairLoan returns how many of this host's slots a peer is due while work
// waits on both: the part that the peer has in all work that could use them. A
// peer that has stood without a slot for longer than WantTime is due one.
func (p *Pool[Item]) fairLoan(now time.Time, k *peer, waiting int) int {
	owned := 0
	for _, s := range p.order {
		if s.present && !s.Leaving {
			owned += s.owned
		}
	}
	demand, due := float64(waiting+p.running), 0.0
	for _, other := range p.peerOrder {
		n := float64(total(other.lent))
		if other.wants(now, p.config.WantTime) {
			n += float64(other.want)
		}
		demand += n
		if other == k {
			due = n
		}
	}
	fair := int(float64(owned) * due / demand)
	if fair == 0 && owned > 0 && len(k.lent) == 0 && now.Sub(k.short) > p.config.WantTime {
		return 1
	}
	return fair
}

// Exchange returns the messages that pass slots between this host and its
// peers. The caller calls it when work waits after Bind, after Receive, and in
// short intervals.
func (p *Pool[Item]) Exchange(now time.Time) []Outgoing {
	if p.isQuiet(now) {
		return nil
	}
	var out []Outgoing
	p.recall(now)
	waiting := 0
	if p.queue.Head(now) != nil {
		waiting = p.Waiting()
	}
	free := p.freeSlots(now)
	p.low = min(p.low, free)
	for _, k := range p.byWant(now) {
		if !k.heard.IsZero() && now.Sub(k.heard) > p.config.PeerTimeout {
			p.lose(k)
		}
		lend, back := p.give(now, k, waiting)
		back = append(back, p.giveLost(k)...)
		if len(lend)+len(back) > 0 {
			out = append(out, p.message(now, k, lend, back, waiting))
		}
	}
	switch {
	case waiting > 0:
		out = p.ask(now, out, waiting)
	case p.isWanted(now):
		out = p.returnIdle(now, out, free)
	case now.Sub(p.windowStart) >= p.config.ReturnTime:
		out = p.returnIdle(now, out, p.low)
		p.windowStart, p.low = now, free
	}
	return p.beat(now, out, waiting)
}

// PeerLost tells that a peer can not be reached. It owns no slots until it is
// heard again.
func (p *Pool[Item]) PeerLost(name ident.Host) {
	if k := p.peers[name]; k != nil && !k.silent {
		p.lose(k)
	}
}

// lose ends all loans from and to a peer and shares its slots out.
func (p *Pool[Item]) lose(k *peer) {
	p.forget(k)
	k.heard, k.silent = time.Time{}, true
	p.share()
}

// isQuiet returns true if this host has no work and no slots to pass on, and no
// heartbeat is due.
func (p *Pool[Item]) isQuiet(now time.Time) bool {
	if p.running > 0 || p.Waiting() > 0 || now.Sub(p.beaten) >= p.config.Heartbeat {
		return false
	}
	for _, k := range p.peerOrder {
		if len(k.borrowed) > 0 || k.wants(now, p.config.WantTime) {
			return false
		}
	}
	return true
}

// freeSlots returns the number of tasks that could start at once.
func (p *Pool[Item]) freeSlots(now time.Time) int {
	free := 0
	for _, s := range p.order {
		free += max(p.available(now, s, false), 0)
	}
	return free
}

// ask asks a few peers for slots: those that hold slots of this host, then
// those of its data centre, then those with the most free slots.
func (p *Pool[Item]) ask(now time.Time, out []Outgoing, waiting int) []Outgoing {
	if now.Sub(p.asked) < p.config.AskPause {
		return out
	}
	candidates := make([]*peer, 0, len(p.peerOrder))
	for _, k := range p.peerOrder {
		if now.Sub(k.asked) >= p.config.WantTime/2 {
			candidates = append(candidates, k)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *peer) int {
		return cmp.Or(
			-cmp.Compare(min(len(a.lent), 1), min(len(b.lent), 1)),
			-cmp.Compare(min(a.free, 1), min(b.free, 1)),
			-cmp.Compare(p.near(a), p.near(b)),
			-cmp.Compare(a.free, b.free),
		)
	})
	fanOut := max(askFanOut, waiting/wantPerPeer)
	for _, k := range candidates[:min(fanOut, len(candidates))] {
		k.asked, p.asked = now, now
		out = append(out, p.message(now, k, nil, nil, waiting))
	}
	return out
}

// near returns 1 for a peer of this host's data centre and 0 for others.
func (p *Pool[Item]) near(k *peer) int {
	if k.DataCentre == p.config.Self.DataCentre {
		return 1
	}
	return 0
}

// beat sends a heartbeat to the peers of the data centre and those with loans,
// and to all others each second time; half as often from a host at rest.
func (p *Pool[Item]) beat(now time.Time, out []Outgoing, waiting int) []Outgoing {
	if now.Sub(p.beaten) < p.config.Heartbeat {
		return out
	}
	p.beats++
	p.weigh(now.Sub(p.beaten))
	p.beaten = now
	for _, s := range p.order {
		s.withheld, s.fresh, s.excess = s.fresh, 0, 0
		s.announced = max(s.announced-1, 0)
	}
	pause := 1
	if p.running+p.Waiting() == 0 && p.demand < idleDemand {
		pause = restBeats
	}
	for _, k := range p.peerOrder {
		every := pause
		switch {
		case len(k.lent)+len(k.borrowed) > 0:
			every = 1
		case p.near(k) == 0:
			every *= farBeats
		}
		if p.beats%every != 1%every {
			continue
		}
		o := p.message(now, k, nil, nil, waiting)
		o.Message.Heartbeat = true
		o.Message.Ejected = p.judge.List()
		for _, name := range slices.Sorted(maps.Keys(k.borrowed)) {
			o.Message.Held = append(o.Message.Held, Slots{name, k.borrowed[name]})
		}
		out = append(out, o)
	}
	return out
}

func (p *Pool[Item]) message(now time.Time, k *peer, lend, back []Slots, waiting int) Outgoing {
	k.sent++
	if len(lend) > 0 {
		k.gave = k.sent
	}
	want := waiting
	if lent := total(k.lent); lent > 0 && k.owned == 0 {
		// The peer keeps its fair part of this host's slots.
		want = max(lent-p.fairLoan(now, k, waiting), 0)
	}
	m := Message{
		Boot: p.config.Boot, Sequence: k.sent, Seen: k.seen, Weight: p.weight, Demand: p.demand,
		Want: min(want, maxWant), Limit: p.limit, Lend: lend, Return: back,
	}
	if waiting == 0 {
		m.Free = max(p.freeSlots(now)-p.reserve(), 0)
	}
	return Outgoing{To: k.Name, Message: m}
}
