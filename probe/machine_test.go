package probe

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
)

const (
	interval    = time.Second
	suspectTime = 5 * time.Second
	forgetTime  = time.Minute
)

func peerOf(i int) Peer {
	name := fmt.Sprintf("entry-%02d", i)
	return Peer{Host: ident.Host(name), Address: name + ":8081", API: name + ":8080", DataCentre: "coast-a"}
}

// network runs machines in virtual time. Messages from the first host of a
// blocked pair do not reach the second.
type network struct {
	now      time.Time
	machines map[ident.Host]*Machine
	blocked  map[[2]ident.Host]bool
	down     map[ident.Host]bool
	messages int
}

func newNetwork(count int) *network {
	n := &network{now: time.Unix(1000, 0), machines: map[ident.Host]*Machine{}, blocked: map[[2]ident.Host]bool{}, down: map[ident.Host]bool{}}
	var peers []Peer
	for i := range count {
		peers = append(peers, peerOf(i))
	}
	for i, p := range peers {
		n.machines[p.Host] = NewMachine(n.now, Config{
			Self: p, Fanout: 2, Indirect: 2, MaxUpdates: 4, UpdateRepeats: 8,
			SuspectTime: suspectTime, ForgetTime: forgetTime, Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		n.machines[p.Host].Step(n.now, Listed{Peers: peers})
	}
	return n
}

func (n *network) reaches(a, b ident.Host) bool {
	return !n.down[a] && !n.down[b] && !n.blocked[[2]ident.Host{a, b}]
}

// exchange probes b from a and returns true if the answer arrived.
func (n *network) exchange(a, b ident.Host) bool {
	if !n.reaches(a, b) {
		return false
	}
	n.messages += 2
	n.step(b, Received{n.machines[a].Message(0, 0)})
	if !n.reaches(b, a) {
		return false
	}
	n.step(a, Received{n.machines[b].Message(0, 0)})
	return true
}

func (n *network) step(h ident.Host, e Event) {
	for _, a := range n.machines[h].Step(n.now, e) {
		switch a := a.(type) {
		case Probe:
			if !n.exchange(h, a.Peer.Host) {
				n.step(h, Failed{a.Peer.Host})
			}
		case Relay:
			if !n.relay(h, a) {
				n.step(h, RelayFailed{a.Peer.Host})
			}
		}
	}
}

func (n *network) relay(h ident.Host, a Relay) bool {
	for _, v := range a.Via {
		if n.reaches(h, v.Host) && n.reaches(v.Host, h) && n.reaches(v.Host, a.Peer.Host) && n.reaches(a.Peer.Host, v.Host) {
			n.step(h, Received{n.machines[a.Peer.Host].Message(0, 0)})
			return true
		}
	}
	return false
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(interval) {
		for i := range len(n.machines) {
			if h := peerOf(i).Host; !n.down[h] {
				n.step(h, Ticked{})
			}
		}
	}
}

// states counts the states that the other hosts assign to h.
func (n *network) states(h ident.Host) map[State]int {
	counts := map[State]int{}
	for name, m := range n.machines {
		for _, v := range m.Views() {
			if v.Host == h && name != h && !n.down[name] {
				counts[v.State]++
			}
		}
	}
	return counts
}

func TestDeadHostIsLost(t *testing.T) {
	is := is.New(t)
	n := newNetwork(9)
	dead := peerOf(4).Host
	n.run(10 * time.Second)
	n.down[dead] = true
	n.run(20 * time.Second)
	is.Equal(n.states(dead), map[State]int{Lost: 8})
	n.down[dead] = false
	n.run(10 * time.Second)
	is.Equal(n.states(dead), map[State]int{Alive: 8})
}

// TestOneSilentLinkLosesNobody cuts the link between two hosts. Neither is lost,
// since other hosts reach each on behalf of the other.
func TestOneSilentLinkLosesNobody(t *testing.T) {
	is := is.New(t)
	n := newNetwork(9)
	a, b := peerOf(1).Host, peerOf(2).Host
	n.blocked[[2]ident.Host{a, b}], n.blocked[[2]ident.Host{b, a}] = true, true
	n.run(time.Minute)
	is.Equal(n.states(a), map[State]int{Alive: 8})
	is.Equal(n.states(b), map[State]int{Alive: 8})
}

// TestListRemovesNobody empties the platform's list: hosts that answer stay
// alive, and only a host that is also down is forgotten.
func TestListRemovesNobody(t *testing.T) {
	is := is.New(t)
	n := newNetwork(9)
	n.run(5 * time.Second)
	for h := range n.machines {
		n.step(h, Listed{})
	}
	n.run(2 * forgetTime)
	is.Equal(n.states(peerOf(3).Host), map[State]int{Alive: 8})
	n.down[peerOf(3).Host] = true
	n.run(2 * forgetTime)
	is.Equal(len(n.states(peerOf(3).Host)), 0)
}

// TestSuspicionIsRefuted sends a host the suspicion against it: it raises its
// incarnation, and all others see it alive.
func TestSuspicionIsRefuted(t *testing.T) {
	is := is.New(t)
	n := newNetwork(9)
	n.run(10 * time.Second)
	h := peerOf(5).Host
	before := n.machines[h].incarnation
	n.step(h, Received{Message{From: peerOf(1), Incarnation: 1 << 60, Updates: []Update{{Peer: peerOf(5), State: Suspect, Incarnation: before}}}})
	n.run(10 * time.Second)
	is.Equal(n.machines[h].incarnation, before+1)
	is.Equal(n.states(h), map[State]int{Alive: 8})
}

// TestMessagesDoNotGrow checks that the messages per host and second do not grow
// with the number of hosts.
func TestMessagesDoNotGrow(t *testing.T) {
	for _, count := range []int{9, 60, 200} {
		n := newNetwork(count)
		n.run(time.Minute)
		perHost := float64(n.messages) / 60 / float64(count)
		t.Logf("%d hosts: %.2f messages per host and second", count, perHost)
		if perHost > 4.5 {
			t.Errorf("%d hosts: %.2f messages per host and second", count, perHost)
		}
	}
}
