// Package drain decides how work moves away: which backend servers get no new
// work because they are leaving, and how an entry host shuts down. It is pure:
// events and the present time go in, actions come out.
package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
)

// Server identifies a backend server at one address.
type Server struct {
	Name    ident.Server `msgpack:"name"`
	Address string       `msgpack:"address"`
}

// Source says who said that a server is leaving.
type Source string

// The sources of the word that a server is leaving.
const (
	// Contact is an answer of the server to this host.
	Contact Source = "contact"
	// Peer is another entry host that had such an answer.
	Peer Source = "peer"
)

// Action is something that the caller must do. Its types are Apply, Check and
// Tell.
type Action interface{ action() }

// Apply asks to put the present set of leaving servers in force.
type Apply struct{}

// Check asks for the health of a server, to be passed to Checked.
type Check struct {
	Server Server
}

// Tell asks to tell all other entry hosts that a server is leaving.
type Tell struct {
	Server Server
}

func (Apply) action() {}
func (Check) action() {}
func (Tell) action()  {}

// ServersConfig builds Servers.
type ServersConfig struct {
	// TrialPause is the time from the word that a server is leaving to the
	// first check whether it came back. It doubles each time that the server
	// leaves again.
	TrialPause time.Duration
	// MaxTrialPause bounds TrialPause.
	MaxTrialPause time.Duration
}

// Servers knows which backend servers are leaving by their own word, until
// they come back.
type Servers struct {
	config  ServersConfig
	servers map[Server]*departure
}

// departure is what is known of a server that is leaving or has left lately.
type departure struct {
	leaving bool
	// listed is true if the membership list has shown the server as leaving
	// since its word.
	listed bool
	pause  time.Duration
	trial  time.Time
	// checking is true while the result of a check is open.
	checking bool
}

// NewServers returns the state in which no server is leaving.
func NewServers(c ServersConfig) *Servers {
	return &Servers{config: c, servers: map[Server]*departure{}}
}

// IsLeaving returns true if the server said that it is leaving and has not
// come back.
func (s *Servers) IsLeaving(server Server) bool {
	d := s.servers[server]
	return d != nil && d.leaving
}

// Leaving returns the servers that are leaving, by name.
func (s *Servers) Leaving() []Server {
	var leaving []Server
	for server, d := range s.servers {
		if d.leaving {
			leaving = append(leaving, server)
		}
	}
	slices.SortFunc(leaving, func(a, b Server) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return leaving
}

// Said takes the word that a server is leaving. Only the host that had it from
// the server itself tells the others, once for each departure.
func (s *Servers) Said(now time.Time, server Server, source Source) []Action {
	d := index.Entry(s.servers, server)
	if d.leaving {
		d.trial = now.Add(d.pause)
		return nil
	}
	d.pause = min(max(2*d.pause, s.config.TrialPause), s.config.MaxTrialPause)
	d.leaving, d.listed, d.trial = true, false, now.Add(d.pause)
	if source == Peer {
		return []Action{Apply{}}
	}
	return []Action{Apply{}, Tell{Server: server}}
}

// Listed takes the membership list: leaving tells whether a server is listed
// as leaving. A server that was and no longer is has come back.
func (s *Servers) Listed(leaving func(Server) bool) []Action {
	returned := false
	for server, d := range s.servers {
		switch {
		case !d.leaving:
		case leaving(server):
			d.listed = true
		case d.listed:
			d.leaving, returned = false, true
		}
	}
	return apply(returned)
}

// Known forgets all servers that are not among those declared.
func (s *Servers) Known(declared func(Server) bool) {
	maps.DeleteFunc(s.servers, func(server Server, _ *departure) bool { return !declared(server) })
}

// Tick returns the checks that are due, and forgets servers that came back
// long ago.
func (s *Servers) Tick(now time.Time) []Action {
	var actions []Action
	for server, d := range s.servers {
		switch {
		case d.leaving && !d.checking && !now.Before(d.trial):
			d.checking = true
			actions = append(actions, Check{Server: server})
		case !d.leaving && now.Sub(d.trial) > s.config.MaxTrialPause:
			delete(s.servers, server)
		}
	}
	return actions
}

// Checked takes the result of a check: present is true if the server answered
// and did not say that it is leaving.
func (s *Servers) Checked(now time.Time, server Server, present bool) []Action {
	d := s.servers[server]
	if d == nil || !d.checking {
		return nil
	}
	d.checking = false
	// A word that came during the check is newer than its result.
	if !d.leaving || now.Before(d.trial) {
		return nil
	}
	d.trial = now.Add(d.pause)
	d.leaving = !present
	return apply(present)
}

func apply(changed bool) []Action {
	if !changed {
		return nil
	}
	return []Action{Apply{}}
}
