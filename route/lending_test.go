package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/admission"
	"github.com/catkingap/catkingap/ident"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const (
	testHosts   = 4
	testServers = 6
	testSlots   = 8
	tick        = 20 * time.Millisecond
)

// hosts simulates pools that share servers and pass messages in order.
type hosts struct {
	pools  map[ident.Host]*Pool[int]
	names  []ident.Host
	random *rand.Rand
	bound  map[ident.Host][]Binding[int]
	now    time.Time
	// sent holds the messages that are delivered at the next step.
	sent []transit
	// lossRate is the fraction of the messages that are lost.
	lossRate float64
}

// transit is a message in transit.
type transit struct {
	from, to ident.Host
	Message
}

func newHosts(seed uint64) *hosts {
	h := &hosts{
		pools: map[ident.Host]*Pool[int]{}, bound: map[ident.Host][]Binding[int]{},
		random: rand.New(rand.NewPCG(seed, 0)), now: start,
	}
	servers := make([]Server, testServers)
	for i := range servers {
		servers[i] = Server{Name: ident.Server(fmt.Sprint("server-", i)), DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%2)), Slots: testSlots}
	}
	for i := range testHosts {
		h.names = append(h.names, ident.Host(fmt.Sprint("host-", i)))
	}
	for i, name := range h.names {
		p := NewPool[int](Config{
			Queue: admission.Config{Jitter: func() float64 { return 0.5 }},
			Self:  Peer{Name: name, DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%2))}, BusyPause: tick, AskPause: tick,
			WantTime: 10 * tick, ReturnTime: 10 * tick, Heartbeat: time.Second, PeerTimeout: 5 * time.Second,
		})
		p.SetShares(10_000, nil)
		p.SetServers(servers)
		var peers []Peer
		for j, other := range h.names {
			if other != name {
				peers = append(peers, Peer{Name: other, DataCentre: ident.DataCentre(fmt.Sprint("dc-", j%2))})
			}
		}
		p.SetPeers(peers)
		h.pools[name] = p
	}
	return h
}

// step advances all hosts by one tick. Random tasks end, and tasks arrive at
// random if arrive is true.
func (h *hosts) step(arrive bool) {
	h.now = h.now.Add(tick)
	arrived := h.sent
	h.sent = nil
	for _, m := range arrived {
		h.pools[m.to].Receive(h.now, m.from, m.Message)
	}
	for _, name := range h.names {
		p := h.pools[name]
		if arrive && h.random.IntN(20) == 0 {
			for range h.random.IntN(40) {
				p.queue.Push(h.now, &admission.Entry[int]{Team: "a"})
			}
		}
		running := h.bound[name][:0]
		for _, b := range h.bound[name] {
			if h.random.IntN(10) == 0 {
				p.Ended(h.now, b, End{Result: Answered, Took: 200 * time.Millisecond})
			} else {
				running = append(running, b)
			}
		}
		h.bound[name] = running
		for b, ok := p.Bind(h.now); ok; b, ok = p.Bind(h.now) {
			h.bound[name] = append(h.bound[name], b)
		}
		for _, o := range p.Exchange(h.now) {
			if h.random.Float64() >= h.lossRate {
				h.sent = append(h.sent, transit{name, o.To, o.Message})
			}
		}
	}
}

// held returns the number of slots of a server that all hosts together may use,
// with those in transit between two hosts.
func (h *hosts) held(name ident.Server) int {
	sum := 0
	for _, p := range h.pools {
		s := p.servers[name]
		sum += s.owned - s.lent + s.borrowed
	}
	for _, m := range h.sent {
		for _, g := range slices.Concat(m.Lend, m.Return) {
			if g.Server == name {
				sum += g.Count
			}
		}
	}
	return sum
}

// TestSlotIsHeldOnce checks that no slot is held by two hosts or lost while the
// shares do not change.
func TestSlotIsHeldOnce(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		h := newHosts(seed)
		lent := 0
		for range 150 {
			h.step(true)
			for name, s := range h.pools["host-0"].servers {
				is.Equal(h.held(name), testSlots)
				lent += s.lent
			}
		}
		is.True(lent > 0) // The load causes loans.
	}
}

// TestLostMessagesAreMended loses a fifth of the messages, and checks that
// every slot is held by exactly one host some time after the loss has stopped.
func TestLostMessagesAreMended(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		h := newHosts(seed)
		h.lossRate = 0.2
		for range 150 {
			h.step(true)
		}
		h.lossRate = 0
		for range 500 {
			h.step(false)
		}
		for name := range h.pools["host-0"].servers {
			is.Equal(h.held(name), testSlots)
		}
	}
}

func TestSharesSumUp(t *testing.T) {
	is := is.New(t)
	for hosts := 1; hosts <= 12; hosts++ {
		claims := []claimant{}
		for i := range hosts {
			claims = append(claims, claimant{ident.Host(fmt.Sprint("host-", i)), float64(1 + i%4)})
		}
		got := map[ident.Host]int{}
		for s := range 2000 {
			sum := 0
			for name, n := range apportion(Server{Name: ident.Server(fmt.Sprint(s)), Slots: 8}, claims) {
				got[name] += n
				sum += n
			}
			is.Equal(sum, 8)
		}
		weights := 0.0
		for _, c := range claims {
			weights += c.weight
		}
		for _, c := range claims {
			due := 16000 * c.weight / weights
			is.True(float64(got[c.name]) > 0.85*due && float64(got[c.name]) < 1.15*due)
		}
	}
}

func TestSharesFollowDemandOverDataCentres(t *testing.T) {
	is := is.New(t)
	servers := []*server{{Server: Server{DataCentre: "x", Slots: 80}}, {Server: Server{DataCentre: "y", Slots: 80}}}
	claims := claimants(servers, []Peer{{"a", "x", 100}, {"b", "x", 200}, {"c", "y", 100}})
	sum := map[ident.Host]float64{}
	for centre, list := range claims {
		for _, c := range list {
			sum[c.name] += c.weight
			is.True(c.name != "c" || centre == "y") // No remote slots while the local ones suffice.
		}
	}
	is.Equal(sum, map[ident.Host]float64{"a": 40, "b": 80, "c": 40})
}

func TestRestartedPeerHoldsNothing(t *testing.T) {
	is := is.New(t)
	h := newHosts(1)
	h.pools["host-0"].config.Boot = "first"
	borrowed := func() int {
		sum := 0
		for _, s := range h.pools["host-0"].servers {
			sum += s.borrowed
		}
		return sum
	}
	for borrowed() == 0 {
		h.step(true)
	}
	fresh := newHosts(2).pools["host-0"]
	fresh.config.Boot = "second"
	h.pools["host-0"], h.bound["host-0"] = fresh, nil
	for range 1000 {
		h.step(false)
	}
	for name := range fresh.servers {
		is.Equal(h.held(name), testSlots)
	}
}

// TestUnreachablePeerOwnsNothing checks that the slots of an unreachable host
// pass to the other hosts at once, and back with its next message.
func TestUnreachablePeerOwnsNothing(t *testing.T) {
	is := is.New(t)
	p := newPool(6)
	p.SetPeers([]Peer{{Name: "other", DataCentre: "dc"}})
	owned := func() int {
		n := 0
		for _, s := range p.serverOrder {
			n += s.owned
		}
		return n
	}
	shared := owned()
	is.True(0 < shared && shared < 6)
	p.PeerLost("other")
	is.Equal(owned(), 6)
	p.Receive(start, "other", Message{Boot: "1", Sequence: 1, Weight: initialWeight})
	is.Equal(owned(), shared)
}

// poolWithIdleLoan returns a pool without work that has borrowed slots from one
// of its two peers.
func poolWithIdleLoan(is *is.I) *Pool[int] {
	p := newPool(6)
	p.config.PeerTimeout, p.config.ReturnTime, p.config.WantTime = 5*time.Second, 10*tick, 10*tick
	p.SetPeers([]Peer{{Name: "owner", DataCentre: "dc"}, {Name: "third", DataCentre: "dc"}})
	var loan []Slots
	for _, s := range p.serverOrder {
		if spare := s.Slots - s.owned; spare > 0 {
			loan = append(loan, Slots{s.Name, spare})
		}
	}
	is.True(len(loan) > 0) // The peers own slots.
	p.Receive(start, "owner", Message{Boot: "1", Sequence: 1, Weight: initialWeight, Lend: loan})
	p.Exchange(start)
	return p
}

// returned returns the number of slots that messages return to a host.
func returned(out []Outgoing, to ident.Host) int {
	n := 0
	for _, o := range out {
		for _, s := range o.Message.Return {
			if o.To == to {
				n += s.Count
			}
		}
	}
	return n
}

// TestIdleLoanReturnsWhereWorkWaits checks that a borrower without work returns
// slots at once if work waits on any host, and otherwise keeps them for a while.
func TestIdleLoanReturnsWhereWorkWaits(t *testing.T) {
	for name, test := range map[string]struct {
		want    int
		returns bool
	}{
		"nothing waits":           {want: 0},
		"work waits on the third": {want: 50, returns: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := poolWithIdleLoan(is)
			now := start.Add(tick)
			p.Receive(now, "third", Message{Boot: "1", Sequence: 1, Weight: initialWeight, Want: test.want})
			is.Equal(returned(p.Exchange(now), "owner") > 0, test.returns)
		})
	}
}

// TestLongestQueueIsLentFirst checks that slots go to the peer with the most
// waiting work per slot, whatever the order of the peers.
func TestLongestQueueIsLentFirst(t *testing.T) {
	for name, wants := range map[string]map[ident.Host]int{
		"first peer":  {"first": 200, "second": 20},
		"second peer": {"first": 20, "second": 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(6)
			p.SetPeers([]Peer{{Name: "first", DataCentre: "dc"}, {Name: "second", DataCentre: "dc"}})
			longest := ident.Host("")
			for host, want := range wants {
				p.Receive(start, host, Message{Boot: "1", Sequence: 1, Weight: initialWeight, Want: want})
				if want > wants[longest] {
					longest = host
				}
			}
			lent := ident.Host("")
			for _, o := range p.Exchange(start) {
				if len(o.Message.Lend) > 0 && lent == "" {
					lent = o.To
				}
			}
			is.Equal(lent, longest)
		})
	}
}

// TestLoanEndsWithItsLendersShare checks that a borrower starts nothing on slots
// that their lender no longer owns. Their new owner uses them.
func TestLoanEndsWithItsLendersShare(t *testing.T) {
	for name, test := range map[string]struct {
		weight int
		usable bool
	}{
		"share stays": {weight: initialWeight, usable: true},
		"share falls": {weight: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := poolWithIdleLoan(is)
			now := start.Add(tick)
			p.Receive(now, "owner", Message{Boot: "1", Sequence: 2, Weight: test.weight})
			usable := false
			for _, s := range p.serverOrder {
				usable = usable || s.borrowed > 0 && s.freeSlots() > s.usableOwned()
			}
			is.Equal(usable, test.usable)
		})
	}
}

// TestHostAtRestBeatsLess checks the rate of heartbeats: an idle host sends half
// as many as one with work, and half as many to another data centre as to its
// own.
func TestHostAtRestBeatsLess(t *testing.T) {
	const heartbeats = 12
	for name, test := range map[string]struct {
		demand    float64
		near, far int
	}{
		"at rest":   {near: heartbeats / 2, far: heartbeats / 4},
		"with work": {demand: 5, near: heartbeats, far: heartbeats / 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(6)
			p.config.Heartbeat, p.config.PeerTimeout = time.Second, time.Hour
			p.SetPeers([]Peer{{Name: "near", DataCentre: "dc"}, {Name: "far", DataCentre: "away"}})
			heard := map[ident.Host]int{}
			for n := range heartbeats {
				p.demand = test.demand
				for _, o := range p.Exchange(start.Add(time.Duration(n+1) * time.Second)) {
					if o.Message.Heartbeat {
						heard[o.To]++
					}
				}
			}
			is.Equal(heard, map[ident.Host]int{"near": test.near, "far": test.far})
		})
	}
}

// TestLostLoanMakesRoom changes the owner of a slot while it is lent. The
// borrower must return the old loan, and may use a loan of the new owner at
// once.
func TestLostLoanMakesRoom(t *testing.T) {
	is := is.New(t)
	p := poolWithIdleLoan(is)
	now := start.Add(tick)
	p.queue.Push(now, &admission.Entry[int]{Team: "a"})
	p.Receive(now, "owner", Message{Boot: "1", Sequence: 2, Weight: 1})
	third := p.peers["third"]
	var loan []Slots
	lost := 0
	for _, s := range p.serverOrder {
		if n := third.shares[s.Name]; n > 0 && s.borrowed > 0 {
			loan = append(loan, Slots{s.Name, n})
		}
		lost += max(p.peers["owner"].borrowed[s.Name]-p.peers["owner"].shares[s.Name], 0)
	}
	is.True(len(loan) > 0) // The third host now owns slots that the first owner lent.
	p.Receive(now, "third", Message{Boot: "1", Sequence: 1, Weight: initialWeight, Lend: loan})
	for _, l := range loan {
		is.Equal(p.servers[l.Server].freeSlots(), l.Count)
	}
	is.Equal(returned(p.Exchange(now), "owner"), lost)
}
