// Package route decides which backend server runs which task or request of a
// pool, and when. It is pure: the caller passes the present time and executes
// the bindings.
package route

import (
	"math"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Server is what the choice knows of a backend server.
type Server struct {
	Name       ident.Server
	Address    string
	DataCentre ident.DataCentre
	// Slots is the number of tasks that the server runs at once.
	Slots int
	// Leaving is true if the server must get no new work.
	Leaving bool
}

// Config builds a Pool.
type Config struct {
	// Local is the data centre of the entry host.
	Local ident.DataCentre
	// RemoteDelay is the time that a round trip to another data centre takes.
	RemoteDelay time.Duration
	// BusyPause is the time for which a server that refused gets no work.
	BusyPause time.Duration
}

// Binding is the decision to send an item to a server.
type Binding[Item any] struct {
	Item   Item
	Server Server
	// Queued is when the item entered the queue.
	Queued time.Time
}

// Pool is the state of one pool on one entry host: its queue and what is known
// of its servers.
type Pool[Item any] struct {
	config  Config
	queue   []entry[Item]
	servers map[ident.Server]*server
	order   []*server
}

type entry[Item any] struct {
	item   Item
	queued time.Time
}

type server struct {
	Server
	present bool
	running int
	// runTime is the mean run time learned from answers.
	runTime time.Duration
	paused  time.Time
}

// learnShare is the weight of a new run time in the learned mean.
const learnShare = 0.2

// NewPool returns a pool without servers.
func NewPool[Item any](c Config) *Pool[Item] {
	return &Pool[Item]{config: c, servers: map[ident.Server]*server{}}
}

// SetServers replaces the servers of the pool. What was learned of a server
// that stays is kept.
func (p *Pool[Item]) SetServers(servers []Server) {
	for _, s := range p.servers {
		s.present = false
	}
	p.order = p.order[:0]
	for _, s := range servers {
		known := p.servers[s.Name]
		if known == nil {
			known = &server{}
			p.servers[s.Name] = known
		}
		known.Server = s
		known.present = true
		p.order = append(p.order, known)
	}
	for name, s := range p.servers {
		if !s.present && s.running == 0 {
			delete(p.servers, name)
		}
	}
}

// Enqueue adds an item at the end of the queue.
func (p *Pool[Item]) Enqueue(now time.Time, i Item) {
	p.queue = append(p.queue, entry[Item]{item: i, queued: now})
}

// Requeue adds an item that did not run at the front of the queue.
func (p *Pool[Item]) Requeue(queued time.Time, i Item) {
	p.queue = append([]entry[Item]{{item: i, queued: queued}}, p.queue...)
}

// Waiting returns the number of queued items.
func (p *Pool[Item]) Waiting() int { return len(p.queue) }

// Size returns the number of servers.
func (p *Pool[Item]) Size() int { return len(p.order) }

// Drop removes the queued items that match and returns them.
func (p *Pool[Item]) Drop(match func(Item) bool) []Item {
	var dropped []Item
	kept := p.queue[:0]
	for _, e := range p.queue {
		if match(e.item) {
			dropped = append(dropped, e.item)
		} else {
			kept = append(kept, e)
		}
	}
	clear(p.queue[len(kept):])
	p.queue = kept
	return dropped
}

// Bind removes the first item of the queue and binds it to the server with the
// least expected finish. It returns false if the queue is empty or no server
// has a free slot.
func (p *Pool[Item]) Bind(now time.Time) (Binding[Item], bool) {
	if len(p.queue) == 0 {
		return Binding[Item]{}, false
	}
	best := p.choose(now)
	if best == nil {
		return Binding[Item]{}, false
	}
	first := p.queue[0]
	p.queue[0] = entry[Item]{}
	p.queue = p.queue[1:]
	best.running++
	return Binding[Item]{Item: first.item, Server: best.Server, Queued: first.queued}, true
}

// choose returns the server with a free slot and the least expected finish.
func (p *Pool[Item]) choose(now time.Time) *server {
	var best *server
	cost := math.Inf(1)
	for _, s := range p.order {
		if s.Leaving || s.running >= s.Slots || now.Before(s.paused) {
			continue
		}
		c := float64(s.runTime) * (1 + float64(s.running)/float64(s.Slots))
		if s.DataCentre != p.config.Local {
			c += float64(p.config.RemoteDelay)
		}
		if c < cost {
			best, cost = s, c
		}
	}
	return best
}

// Ended tells that an item on a server ended after took. Ran is false if the
// server refused it.
func (p *Pool[Item]) Ended(now time.Time, name ident.Server, took time.Duration, ran bool) {
	s := p.servers[name]
	if s == nil {
		return
	}
	s.running--
	if !ran {
		s.paused = now.Add(p.config.BusyPause)
		return
	}
	if s.runTime == 0 {
		s.runTime = took
		return
	}
	s.runTime += time.Duration(learnShare * float64(took-s.runTime))
}

// MarkLeaving records that a server announced that it is leaving.
func (p *Pool[Item]) MarkLeaving(name ident.Server) {
	if s := p.servers[name]; s != nil {
		s.Leaving = true
	}
}

// NextPause returns the earliest time at which a paused server may get work
// again, or the zero time if none is paused.
func (p *Pool[Item]) NextPause(now time.Time) time.Time {
	var next time.Time
	for _, s := range p.order {
		if s.paused.After(now) && (next.IsZero() || s.paused.Before(next)) {
			next = s.paused
		}
	}
	return next
}
