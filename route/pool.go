// Package route decides which backend server runs which task or request of a
// pool, and when. It is pure: the caller passes the present time and executes
// the bindings.
package route

import (
	"math"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Config builds a Pool.
type Config struct {
	// Self is this entry host.
	Self Peer
	// RemoteDelay is the time that a round trip to another data centre takes.
	RemoteDelay time.Duration
	// BusyPause is the time for which a server that refused gets no work. It
	// doubles with each refusal in a row.
	BusyPause time.Duration
	// AskPause is the time between two rounds of asking peers for slots.
	AskPause time.Duration
	// WantTime is the time for which a peer's wish for slots holds.
	WantTime time.Duration
	// ReturnTime is the time for which a borrowed slot must stand unused
	// before it is returned.
	ReturnTime time.Duration
	// Heartbeat is the time between two heartbeats to peers.
	Heartbeat time.Duration
	// FasterWait is the time for which work waits for a slot on a faster server
	// although one on a slow server is free.
	FasterWait time.Duration
	// PeerTimeout is the time after which the loans of a silent peer end.
	PeerTimeout time.Duration
}

// Binding is the decision to send an item to a server.
type Binding[Item any] struct {
	Item   Item
	Server Server
	// Queued is when the item entered the queue.
	Queued time.Time
}

// Pool is the state of one pool on one entry host: its queue, what is known of
// its servers, and the slots that it shares with other entry hosts.
type Pool[Item any] struct {
	config  Config
	queue   []entry[Item]
	servers map[ident.Server]*server
	order   []*server
	running int

	peers       map[ident.Host]*peer
	peerOrder   []*peer
	asked       time.Time
	beaten      time.Time
	beats       int
	windowStart time.Time
	// low is the least number of free slots since windowStart.
	low int
	// limit is the cost below which slots of peers are useful, in seconds.
	// Zero means that all are. It holds until slowUntil.
	limit     float64
	slowUntil time.Time
}

type entry[Item any] struct {
	item   Item
	queued time.Time
}

// NewPool returns a pool without servers.
func NewPool[Item any](c Config) *Pool[Item] {
	return &Pool[Item]{config: c, servers: map[ident.Server]*server{}, peers: map[ident.Host]*peer{}}
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
		if !s.present && s.running == 0 && s.lent == 0 && s.borrowed == 0 {
			delete(p.servers, name)
		}
	}
	p.share()
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
// least expected finish. It returns false if the queue is empty or this host
// holds no free slot.
func (p *Pool[Item]) Bind(now time.Time) (Binding[Item], bool) {
	if len(p.queue) == 0 {
		return Binding[Item]{}, false
	}
	best := p.choose(now, p.queue[0].queued)
	if best == nil {
		return Binding[Item]{}, false
	}
	first := p.queue[0]
	p.queue[0] = entry[Item]{}
	p.queue = p.queue[1:]
	best.running++
	p.running++
	return Binding[Item]{Item: first.item, Server: best.Server, Queued: first.queued}, true
}

// choose returns the server with a free slot and the least expected finish. It
// returns nil for a short time if that server is slow, while peers are asked
// for slots on faster ones.
func (p *Pool[Item]) choose(now, queued time.Time) *server {
	p.limit = 0
	mean := p.meanRunTime()
	best, cost := p.cheapest(now, mean)
	if best == nil {
		return nil
	}
	if now.Sub(queued) < p.config.FasterWait && cost > fasterFactor*mean {
		p.limit = cost / fasterFactor
		p.slowUntil = queued.Add(p.config.FasterWait)
		return nil
	}
	return best
}

// cheapest returns the server with a free slot and the least expected time of a
// task, and that time in seconds. A server that is not known yet counts as a
// mean one.
func (p *Pool[Item]) cheapest(now time.Time, mean float64) (*server, float64) {
	var best *server
	cost := math.Inf(1)
	for _, s := range p.order {
		if !s.usable(now) {
			continue
		}
		c := s.runTime
		if s.samples == 0 {
			c = mean
		}
		if s.DataCentre != p.config.Self.DataCentre {
			c += p.config.RemoteDelay.Seconds()
		}
		if c < cost || c == cost && s.free() > best.free() {
			best, cost = s, c
		}
	}
	return best, cost
}

// meanRunTime returns the mean run time on a slot of the pool, in seconds, or
// zero before the first task has ended.
func (p *Pool[Item]) meanRunTime() float64 {
	rate, slots := 0.0, 0.0
	for _, s := range p.order {
		if s.samples > 0 && !s.Leaving {
			rate += float64(s.Slots) / s.runTime
			slots += float64(s.Slots)
		}
	}
	if rate == 0 {
		return 0
	}
	return slots / rate
}

// fasterFactor is how many times slower than the mean a server must be before
// peers are asked for slots on faster ones. It is larger than the error of
// learned run times.
const fasterFactor = 1.6

// Ended tells that an item on a server ended after took. Ran is false if the
// server refused it.
func (p *Pool[Item]) Ended(now time.Time, name ident.Server, took time.Duration, ran bool) {
	s := p.servers[name]
	if s == nil {
		return
	}
	s.running--
	p.running--
	if !ran {
		s.refuse(now, p.config.BusyPause)
		return
	}
	s.refusals = 0
	s.learn(took)
}

// MarkLeaving records that a server announced that it is leaving.
func (p *Pool[Item]) MarkLeaving(name ident.Server) {
	if s := p.servers[name]; s != nil {
		s.Leaving = true
	}
}

// Wake returns the earliest time after now at which Bind may succeed without
// another event, or the zero time if there is none.
func (p *Pool[Item]) Wake(now time.Time) time.Time {
	var next time.Time
	if p.limit > 0 && p.slowUntil.After(now) {
		next = p.slowUntil
	}
	for _, s := range p.order {
		if s.paused.After(now) && (next.IsZero() || s.paused.Before(next)) {
			next = s.paused
		}
	}
	return next
}
