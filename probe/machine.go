package probe

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Config builds a Machine.
type Config struct {
	Self Peer
	// Fanout is the number of hosts that are probed in one interval.
	Fanout int
	// Indirect is the number of hosts that are asked to probe a silent one.
	Indirect int
	// MaxUpdates bounds the updates of one message.
	MaxUpdates int
	// UpdateRepeats is the number of messages that carry an update.
	UpdateRepeats int
	// SuspectTime is the time from a suspicion to the loss of a host.
	SuspectTime time.Duration
	// ForgetTime is the time after which a lost host that is not listed is
	// forgotten.
	ForgetTime time.Duration
	// Random orders the probes.
	Random *rand.Rand
}

// Machine is the probing of one host.
type Machine struct {
	config      Config
	incarnation Incarnation
	views       map[ident.Host]*View
	order       []ident.Host
	updates     []pending
}

type pending struct {
	Update
	left int
}

// NewMachine returns the machine of a host that knows no other. The first
// incarnation follows those of earlier runs of the host.
func NewMachine(now time.Time, c Config) *Machine {
	return &Machine{config: c, incarnation: Incarnation(now.UnixMilli()), views: map[ident.Host]*View{}}
}

// Views returns what is held of each other host, in order of their names.
func (m *Machine) Views() []View {
	views := make([]View, 0, len(m.views))
	for _, v := range m.views {
		views = append(views, *v)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Host, b.Host) })
	return views
}

// Step decides what an event asks for.
func (m *Machine) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Ticked:
		return append(m.age(now), m.probes()...)
	case Listed:
		m.list(now, e.Peers)
	case Received:
		return m.receive(now, e.Message)
	case Failed:
		return m.fail(now, e.Host)
	case ViaFailed:
		return m.suspect(now, e.Host)
	}
	return nil
}

// Message returns a message that tells revision and load, with the updates
// that were spread least. It takes an update's turn.
func (m *Machine) Message(revision ident.Revision, load int) Message {
	message := Message{From: m.config.Self, Incarnation: m.incarnation, Revision: revision, Load: load}
	slices.SortStableFunc(m.updates, func(a, b pending) int { return cmp.Compare(b.left, a.left) })
	for i := range m.updates[:min(len(m.updates), m.config.MaxUpdates)] {
		message.Updates = append(message.Updates, m.updates[i].Update)
		m.updates[i].left--
	}
	m.updates = slices.DeleteFunc(m.updates, func(p pending) bool { return p.left <= 0 })
	return message
}

// Random returns up to n random hosts that are alive.
func (m *Machine) Random(n int, except ident.Host) []Peer {
	var peers []Peer
	for _, h := range slices.Sorted(maps.Keys(m.views)) {
		if v := m.views[h]; v.State == Alive && h != except {
			peers = append(peers, v.Peer)
		}
	}
	m.config.Random.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	return peers[:min(n, len(peers))]
}

// list takes the platform's list as a hint: it adds hosts and removes none.
func (m *Machine) list(now time.Time, peers []Peer) {
	for _, v := range m.views {
		v.Listed = false
	}
	for _, p := range peers {
		if v := m.learn(now, p); v != nil {
			v.Listed, v.Peer = true, p
		}
	}
}

// learn returns the view of a host and adds it if it is new.
func (m *Machine) learn(now time.Time, p Peer) *View {
	if p.Host == m.config.Self.Host || p.Host == "" {
		return nil
	}
	v := m.views[p.Host]
	if v == nil {
		v = &View{Peer: p, State: Alive, Since: now}
		m.views[p.Host] = v
	}
	return v
}

// probes returns the probes of one interval. Each host is probed once before
// any is probed again.
func (m *Machine) probes() []Action {
	var actions []Action
	for range min(m.config.Fanout, len(m.views)) {
		if len(m.order) == 0 {
			m.order = slices.Sorted(maps.Keys(m.views))
			m.config.Random.Shuffle(len(m.order), func(i, k int) { m.order[i], m.order[k] = m.order[k], m.order[i] })
		}
		next := m.order[0]
		m.order = m.order[1:]
		if v := m.views[next]; v != nil {
			actions = append(actions, Probe{Peer: v.Peer})
		}
	}
	return actions
}

// age loses hosts whose suspicion nobody refuted, and forgets those that were
// lost long ago and that the platform does not list.
func (m *Machine) age(now time.Time) []Action {
	var actions []Action
	for _, h := range slices.Sorted(maps.Keys(m.views)) {
		v := m.views[h]
		switch {
		case v.State == Suspect && now.Sub(v.Since) >= m.config.SuspectTime:
			actions = append(actions, m.enter(now, v, Lost))
		case v.State == Lost && !v.Listed && now.Sub(v.Since) >= m.config.ForgetTime:
			delete(m.views, h)
		}
	}
	return actions
}

func (m *Machine) enter(now time.Time, v *View, s State) Action {
	v.State, v.Since = s, now
	return Changed{View: *v}
}

// receive takes what a host says of itself and of others.
func (m *Machine) receive(now time.Time, message Message) []Action {
	v := m.learn(now, message.From)
	if v == nil || message.Incarnation < v.Incarnation {
		return nil
	}
	if !v.Listed {
		v.Peer = message.From
	}
	v.Incarnation = message.Incarnation
	v.Heard, v.Load, v.Revision = now, message.Load, max(v.Revision, message.Revision)
	var actions []Action
	if v.State != Alive {
		actions = append(actions, m.enter(now, v, Alive))
		m.spread(Update{Peer: v.Peer, State: Alive, Incarnation: v.Incarnation})
	}
	for _, u := range message.Updates {
		actions = append(actions, m.update(now, u)...)
	}
	return actions
}

// update takes what another host says of a third one. A suspicion counts only
// while this host has not heard the third one itself.
func (m *Machine) update(now time.Time, u Update) []Action {
	if u.Peer.Host == m.config.Self.Host {
		if u.State != Alive && u.Incarnation >= m.incarnation {
			m.incarnation = u.Incarnation + 1
			m.spread(Update{Peer: m.config.Self, State: Alive, Incarnation: m.incarnation})
		}
		return nil
	}
	v := m.learn(now, u.Peer)
	if v == nil || u.Incarnation < v.Incarnation {
		return nil
	}
	switch {
	case u.State == Suspect && v.State == Alive && now.Sub(v.Heard) >= m.config.SuspectTime/2:
		v.Incarnation = u.Incarnation
		m.spread(u)
		return []Action{m.enter(now, v, Suspect)}
	case u.State == Alive && u.Incarnation > v.Incarnation:
		v.Incarnation = u.Incarnation
		m.spread(u)
		if v.State != Alive {
			return []Action{m.enter(now, v, Alive)}
		}
	}
	return nil
}

// fail asks others to probe a host that did not answer.
func (m *Machine) fail(now time.Time, h ident.Host) []Action {
	v := m.views[h]
	if v == nil || v.State != Alive {
		return nil
	}
	via := m.Random(m.config.Indirect, h)
	if len(via) == 0 {
		return m.suspect(now, h)
	}
	return []Action{Relay{Peer: v.Peer, Via: via}}
}

func (m *Machine) suspect(now time.Time, h ident.Host) []Action {
	v := m.views[h]
	if v == nil || v.State != Alive {
		return nil
	}
	m.spread(Update{Peer: v.Peer, State: Suspect, Incarnation: v.Incarnation})
	return []Action{m.enter(now, v, Suspect)}
}

// spread makes the next messages carry u in place of older news of the host.
func (m *Machine) spread(u Update) {
	m.updates = slices.DeleteFunc(m.updates, func(p pending) bool { return p.Peer.Host == u.Peer.Host })
	m.updates = append(m.updates, pending{Update: u, left: m.config.UpdateRepeats})
}
