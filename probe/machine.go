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
	// UpdateRepeats is the number of messages that carry each update.
	UpdateRepeats int
	// SuspectTime is the time after which a suspect host is lost.
	SuspectTime time.Duration
	// ForgetTime is the time after which a lost host that the platform does not
	// list is forgotten.
	ForgetTime time.Duration
	// Random shuffles the probe order and chooses random hosts.
	Random *rand.Rand
}

// Machine is the state machine of the probing by one host.
type Machine struct {
	config      Config
	incarnation Incarnation
	views       map[ident.Host]*View
	probeOrder  []ident.Host
	updates     []pending
}

// pending is an update that further messages have to carry.
type pending struct {
	Update
	remaining int
}

// NewMachine returns the machine of a host that knows no other. Its incarnation
// starts at the wall clock, above those of earlier processes of the host.
func NewMachine(now time.Time, c Config) *Machine {
	return &Machine{config: c, incarnation: Incarnation(now.UnixMilli()), views: map[ident.Host]*View{}}
}

// Views returns the views of all other hosts, in order of their names.
func (m *Machine) Views() []View {
	views := make([]View, 0, len(m.views))
	for _, v := range m.views {
		views = append(views, *v)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Host, b.Host) })
	return views
}

// Step handles an event and returns the actions that follow from it.
func (m *Machine) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Ticked:
		return append(m.expireViews(now), m.nextProbes()...)
	case Listed:
		m.applyList(now, e.Peers)
	case Received:
		return m.receive(now, e.Message)
	case Failed:
		return m.relayProbe(now, e.Host)
	case RelayFailed:
		return m.suspect(now, e.Host)
	}
	return nil
}

// Message returns a message with revision, load and the updates that were sent
// least often. It counts the updates as sent once more.
func (m *Machine) Message(revision ident.Revision, load int) Message {
	message := Message{From: m.config.Self, Incarnation: m.incarnation, Revision: revision, Load: load}
	slices.SortStableFunc(m.updates, func(a, b pending) int { return cmp.Compare(b.remaining, a.remaining) })
	for i := range m.updates[:min(len(m.updates), m.config.MaxUpdates)] {
		message.Updates = append(message.Updates, m.updates[i].Update)
		m.updates[i].remaining--
	}
	m.updates = slices.DeleteFunc(m.updates, func(p pending) bool { return p.remaining <= 0 })
	return message
}

// RandomAlive returns up to n random hosts that are alive, without except.
func (m *Machine) RandomAlive(n int, except ident.Host) []Peer {
	var peers []Peer
	for _, h := range slices.Sorted(maps.Keys(m.views)) {
		if v := m.views[h]; v.State == Alive && h != except {
			peers = append(peers, v.Peer)
		}
	}
	m.config.Random.Shuffle(len(peers), func(i, k int) { peers[i], peers[k] = peers[k], peers[i] })
	return peers[:min(n, len(peers))]
}

// applyList takes the platform's list as a hint: it adds hosts and removes none.
func (m *Machine) applyList(now time.Time, peers []Peer) {
	for _, v := range m.views {
		v.Listed = false
	}
	for _, p := range peers {
		if v := m.viewOf(now, p); v != nil {
			v.Listed, v.Peer = true, p
		}
	}
}

// viewOf returns the view of a host and adds it if it is new. It returns nil for
// this host itself and for an empty name.
func (m *Machine) viewOf(now time.Time, p Peer) *View {
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

// nextProbes returns the probes of one interval. Each host is probed once before
// any is probed again.
func (m *Machine) nextProbes() []Action {
	var actions []Action
	for range min(m.config.Fanout, len(m.views)) {
		if len(m.probeOrder) == 0 {
			m.probeOrder = slices.Sorted(maps.Keys(m.views))
			m.config.Random.Shuffle(len(m.probeOrder), func(i, k int) { m.probeOrder[i], m.probeOrder[k] = m.probeOrder[k], m.probeOrder[i] })
		}
		next := m.probeOrder[0]
		m.probeOrder = m.probeOrder[1:]
		if v := m.views[next]; v != nil {
			actions = append(actions, Probe{Peer: v.Peer})
		}
	}
	return actions
}

// expireViews marks hosts as lost whose suspicion nobody refuted, and forgets
// those that were lost long ago and that the platform does not list.
func (m *Machine) expireViews(now time.Time) []Action {
	var actions []Action
	for _, h := range slices.Sorted(maps.Keys(m.views)) {
		v := m.views[h]
		switch {
		case v.State == Suspect && now.Sub(v.Since) >= m.config.SuspectTime:
			actions = append(actions, m.setState(now, v, Lost))
		case v.State == Lost && !v.Listed && now.Sub(v.Since) >= m.config.ForgetTime:
			delete(m.views, h)
		}
	}
	return actions
}

func (m *Machine) setState(now time.Time, v *View, s State) Action {
	v.State, v.Since = s, now
	return Changed{View: *v}
}

// receive applies a message: what a host reports about itself and about others.
func (m *Machine) receive(now time.Time, message Message) []Action {
	v := m.viewOf(now, message.From)
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
		actions = append(actions, m.setState(now, v, Alive))
		m.queueUpdate(Update{Peer: v.Peer, State: Alive, Incarnation: v.Incarnation})
	}
	for _, u := range message.Updates {
		actions = append(actions, m.applyUpdate(now, u)...)
	}
	return actions
}

// applyUpdate applies what one host reports about another. A suspicion counts
// only if this host has not heard from the suspect itself for half of
// SuspectTime. An update about this host that is not Alive is refuted with a
// higher incarnation.
func (m *Machine) applyUpdate(now time.Time, u Update) []Action {
	if u.Peer.Host == m.config.Self.Host {
		if u.State != Alive && u.Incarnation >= m.incarnation {
			m.incarnation = u.Incarnation + 1
			m.queueUpdate(Update{Peer: m.config.Self, State: Alive, Incarnation: m.incarnation})
		}
		return nil
	}
	v := m.viewOf(now, u.Peer)
	if v == nil || u.Incarnation < v.Incarnation {
		return nil
	}
	switch {
	case u.State == Suspect && v.State == Alive && now.Sub(v.Heard) >= m.config.SuspectTime/2:
		v.Incarnation = u.Incarnation
		m.queueUpdate(u)
		return []Action{m.setState(now, v, Suspect)}
	case u.State == Alive && u.Incarnation > v.Incarnation:
		v.Incarnation = u.Incarnation
		m.queueUpdate(u)
		if v.State != Alive {
			return []Action{m.setState(now, v, Alive)}
		}
	}
	return nil
}

// relayProbe asks other hosts to probe a host that did not answer.
func (m *Machine) relayProbe(now time.Time, h ident.Host) []Action {
	v := m.views[h]
	if v == nil || v.State != Alive {
		return nil
	}
	via := m.RandomAlive(m.config.Indirect, h)
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
	m.queueUpdate(Update{Peer: v.Peer, State: Suspect, Incarnation: v.Incarnation})
	return []Action{m.setState(now, v, Suspect)}
}

// queueUpdate makes the next messages carry u in place of an older update about
// the same host.
func (m *Machine) queueUpdate(u Update) {
	m.updates = slices.DeleteFunc(m.updates, func(p pending) bool { return p.Peer.Host == u.Peer.Host })
	m.updates = append(m.updates, pending{Update: u, remaining: m.config.UpdateRepeats})
}
