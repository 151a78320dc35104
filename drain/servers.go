// Package drain decides which backend servers get no new work because they are
// leaving, and how an entry host shuts down. It is pure: it takes events and the
// current time, and returns the actions to execute.
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

// Source is the origin of a report that a server is leaving.
type Source string

// The sources of reports.
const (
	// Contact is an answer of the server to this host.
	Contact Source = "contact"
	// Peer is another entry host that received such an answer.
	Peer Source = "peer"
)

// Action is something that the caller must do. Its types are Apply, Check and
// Notify.
type Action interface{ action() }

// Apply asks to apply the current set of leaving servers.
type Apply struct{}

// Check asks to check the health of a server and to pass the result to
// ReportCheck.
type Check struct {
	Server Server
}

// Notify asks to notify all other entry hosts that a server is leaving.
type Notify struct {
	Server Server
}

func (Apply) action()  {}
func (Check) action()  {}
func (Notify) action() {}

// ServersConfig builds Servers.
type ServersConfig struct {
	// CheckDelay is the time from the report that a server is leaving to the
	// first check whether it is back. It doubles each time the server leaves
	// again.
	CheckDelay time.Duration
	// MaxCheckDelay limits the doubled CheckDelay.
	MaxCheckDelay time.Duration
}

// Servers tracks the backend servers that have announced that they are leaving,
// until they are back.
type Servers struct {
	config  ServersConfig
	servers map[Server]*departure
}

// departure is the state of a server that is leaving or has recently come back.
type departure struct {
	leaving bool
	// listed is true if the membership list has shown the server as leaving
	// since the report.
	listed     bool
	checkDelay time.Duration
	nextCheck  time.Time
	// checking is true while a check is pending.
	checking bool
}

// NewServers returns Servers of which none is leaving.
func NewServers(c ServersConfig) *Servers {
	return &Servers{config: c, servers: map[Server]*departure{}}
}

// IsLeaving returns true if the server has announced that it is leaving and is
// not back.
func (s *Servers) IsLeaving(server Server) bool {
	d := s.servers[server]
	return d != nil && d.leaving
}

// Leaving returns the servers that are leaving, sorted by name.
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

// ReportLeaving records a report that a server is leaving. Only a host that was
// told by the server itself notifies the others, once for each departure.
func (s *Servers) ReportLeaving(now time.Time, server Server, source Source) []Action {
	d := index.GetOrCreate(s.servers, server)
	if d.leaving {
		d.nextCheck = now.Add(d.checkDelay)
		return nil
	}
	d.checkDelay = min(max(2*d.checkDelay, s.config.CheckDelay), s.config.MaxCheckDelay)
	d.leaving, d.listed, d.nextCheck = true, false, now.Add(d.checkDelay)
	if source == Peer {
		return []Action{Apply{}}
	}
	return []Action{Apply{}, Notify{Server: server}}
}

// ReportList compares the servers with the membership list. Leaving tells whether
// a server is listed as leaving. A server that was listed as leaving and no
// longer is has come back.
func (s *Servers) ReportList(leaving func(Server) bool) []Action {
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

// Retain removes all servers that are not declared.
func (s *Servers) Retain(declared func(Server) bool) {
	maps.DeleteFunc(s.servers, func(server Server, _ *departure) bool { return !declared(server) })
}

// Tick returns the checks that are due, and removes servers that came back long
// ago.
func (s *Servers) Tick(now time.Time) []Action {
	var actions []Action
	for server, d := range s.servers {
		switch {
		case d.leaving && !d.checking && !now.Before(d.nextCheck):
			d.checking = true
			actions = append(actions, Check{Server: server})
		case !d.leaving && now.Sub(d.nextCheck) > s.config.MaxCheckDelay:
			delete(s.servers, server)
		}
	}
	return actions
}

// ReportCheck records the result of a check. Present is true if the server
// answered and did not announce that it is leaving.
func (s *Servers) ReportCheck(now time.Time, server Server, present bool) []Action {
	d := s.servers[server]
	if d == nil || !d.checking {
		return nil
	}
	d.checking = false
	// A report that arrived during the check is newer than its result.
	if !d.leaving || now.Before(d.nextCheck) {
		return nil
	}
	d.nextCheck = now.Add(d.checkDelay)
	d.leaving = !present
	return apply(present)
}

// apply returns an Apply action if the set of leaving servers has changed.
func apply(changed bool) []Action {
	if !changed {
		return nil
	}
	return []Action{Apply{}}
}
