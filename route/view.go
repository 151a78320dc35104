package route

import (
	"time"

	"github.com/catkingap/catkingap/ident"
)

// ServerView is the state of a server as a pool sees it.
type ServerView struct {
	Leaving bool
	// Paused is true while the server gets no work after it refused or lost some
	// or could not be reached.
	Paused  bool
	Running int
}

// View returns the state of a server, or false if the pool has none of that
// name.
func (p *Pool[Item]) View(now time.Time, name ident.Server) (ServerView, bool) {
	s := p.servers[name]
	if s == nil || !s.present {
		return ServerView{}, false
	}
	return ServerView{Leaving: s.Leaving, Paused: now.Before(s.pausedUntil), Running: s.running}, true
}
