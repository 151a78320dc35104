package rollout

import (
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Event is something that happened to a host's configuration.
type Event interface{ event() }

// Offered brings rows of the table: the answer to a poll or to a write.
type Offered struct {
	Delta Delta
}

// Heard tells the revision that a peer has in force.
type Heard struct {
	Host     ident.Host
	Revision ident.Revision
}

// Fetched brings the answer of a peer to a Fetch.
type Fetched struct {
	Host  ident.Host
	Delta Delta
}

// FetchFailed tells that a peer did not answer a Fetch.
type FetchFailed struct {
	Host ident.Host
}

// Ticked tells that time has passed.
type Ticked struct{}

func (Offered) event()     {}
func (Heard) event()       {}
func (Fetched) event()     {}
func (FetchFailed) event() {}
func (Ticked) event()      {}

// Action is something that the caller of a machine must do.
type Action interface{ action() }

// Apply puts a set in force.
type Apply struct {
	Set *Set
}

// Fetch asks a peer for what changed after a revision.
type Fetch struct {
	Host  ident.Host
	After ident.Revision
}

// Spread tells some peers at once that a new revision is in force.
type Spread struct{}

// Reload reads all rows of the table.
type Reload struct{}

func (Apply) action()  {}
func (Fetch) action()  {}
func (Spread) action() {}
func (Reload) action() {}

// Config builds a Machine.
type Config struct {
	// FetchTimeout is the time after which a fetch from another peer starts.
	FetchTimeout time.Duration
}

// Machine is the rollout of the configuration on one host.
type Machine struct {
	config Config
	set    *Set
	heard  map[ident.Host]ident.Revision

	// source is the peer of the fetch under way, if any.
	source  ident.Host
	fetched time.Time
}

// NewMachine returns the machine of a host that has no configuration.
func NewMachine(c Config) *Machine {
	return &Machine{config: c, set: &Set{}, heard: map[ident.Host]ident.Revision{}}
}

// Set returns the set in force.
func (m *Machine) Set() *Set { return m.set }

// Step decides what an event asks for.
func (m *Machine) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case Offered:
		if !m.set.Fits(e.Delta) && e.Delta.Revision > m.set.Revision {
			return []Action{Reload{}}
		}
		actions = m.merge(e.Delta)
	case Heard:
		m.hear(e)
	case Fetched:
		m.end(e.Host)
		actions = m.merge(e.Delta)
		delete(m.heard, e.Host)
	case FetchFailed:
		m.end(e.Host)
		delete(m.heard, e.Host)
	}
	return append(actions, m.next(now)...)
}

// hear keeps the revisions that are newer than the set.
func (m *Machine) hear(e Heard) {
	if e.Revision > m.set.Revision {
		m.heard[e.Host] = max(e.Revision, m.heard[e.Host])
	}
}

func (m *Machine) end(h ident.Host) {
	if m.source == h {
		m.source = ""
	}
}

// merge puts the set of a delta in force if it is newer.
func (m *Machine) merge(d Delta) []Action {
	next := m.set.Merge(d)
	if next == m.set {
		return nil
	}
	m.set = next
	for h, r := range m.heard {
		if r <= next.Revision {
			delete(m.heard, h)
		}
	}
	return []Action{Apply{Set: next}, Spread{}}
}

// next starts a fetch from the peer with the highest revision, unless one is
// under way.
func (m *Machine) next(now time.Time) []Action {
	if m.source != "" && now.Sub(m.fetched) < m.config.FetchTimeout {
		return nil
	}
	if m.source != "" {
		delete(m.heard, m.source)
		m.source = ""
	}
	var best ident.Host
	for h, r := range m.heard {
		if r > m.heard[best] || (r == m.heard[best] && h < best) {
			best = h
		}
	}
	if best == "" {
		return nil
	}
	m.source, m.fetched = best, now
	return []Action{Fetch{Host: best, After: m.set.Revision}}
}
