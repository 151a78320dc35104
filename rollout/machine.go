package rollout

import (
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Event is an input of the Machine.
type Event interface{ event() }

// DeltaReceived carries rows of the table: the answer to a poll or to a write.
type DeltaReceived struct {
	Delta Delta
}

// RevisionHeard reports the revision that a peer has in force.
type RevisionHeard struct {
	Host     ident.Host
	Revision ident.Revision
}

// Fetched carries a peer's answer to a Fetch.
type Fetched struct {
	Host  ident.Host
	Delta Delta
}

// FetchFailed reports that a peer did not answer a Fetch.
type FetchFailed struct {
	Host ident.Host
}

// Ticked reports that time has passed.
type Ticked struct{}

func (DeltaReceived) event() {}
func (RevisionHeard) event() {}
func (Fetched) event()       {}
func (FetchFailed) event()   {}
func (Ticked) event()        {}

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

// Announce announces the new revision to some peers at once.
type Announce struct{}

// Reload reads all rows of the table.
type Reload struct{}

func (Apply) action()    {}
func (Fetch) action()    {}
func (Announce) action() {}
func (Reload) action()   {}

// Config builds a Machine.
type Config struct {
	// FetchTimeout is how long a peer may take to answer a fetch before another
	// peer is asked.
	FetchTimeout time.Duration
}

// Machine is the state machine of the configuration rollout on one host.
type Machine struct {
	config Config
	set    *Set
	// heard holds the revisions of peers that are newer than the set.
	heard map[ident.Host]ident.Revision

	// source is the peer that a fetch is under way from, if any.
	source       ident.Host
	fetchStarted time.Time
}

// NewMachine returns the machine of a host that has no configuration.
func NewMachine(c Config) *Machine {
	return &Machine{config: c, set: &Set{}, heard: map[ident.Host]ident.Revision{}}
}

// Set returns the set in force.
func (m *Machine) Set() *Set { return m.set }

// Step handles an event and returns the actions that follow from it.
func (m *Machine) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case DeltaReceived:
		if !m.set.Fits(e.Delta) && e.Delta.Revision > m.set.Revision {
			return []Action{Reload{}}
		}
		actions = m.apply(e.Delta)
	case RevisionHeard:
		m.noteRevision(e)
	case Fetched:
		m.endFetch(e.Host)
		actions = m.apply(e.Delta)
		delete(m.heard, e.Host)
	case FetchFailed:
		m.endFetch(e.Host)
		delete(m.heard, e.Host)
	}
	return append(actions, m.startFetch(now)...)
}

// noteRevision remembers a peer's revision if it is newer than the set.
func (m *Machine) noteRevision(e RevisionHeard) {
	if e.Revision > m.set.Revision {
		m.heard[e.Host] = max(e.Revision, m.heard[e.Host])
	}
}

func (m *Machine) endFetch(h ident.Host) {
	if m.source == h {
		m.source = ""
	}
}

// apply merges a delta into the set and puts the result in force if it is
// newer.
func (m *Machine) apply(d Delta) []Action {
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
	return []Action{Apply{Set: next}, Announce{}}
}

// startFetch starts a fetch from the peer with the highest revision, unless one
// is under way.
func (m *Machine) startFetch(now time.Time) []Action {
	if m.source != "" && now.Sub(m.fetchStarted) < m.config.FetchTimeout {
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
	m.source, m.fetchStarted = best, now
	return []Action{Fetch{Host: best, After: m.set.Revision}}
}
