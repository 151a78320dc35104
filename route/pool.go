// Package route decides which backend server runs which task or request of a
// pool, and when. It is pure: the caller passes the present time and executes
// the bindings.
package route

import (
	"math"
	"time"

	"github.com/catkingap/catkingap/admission"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/retry"
)

// Config builds a Pool.
type Config struct {
	// Queue builds the queue of the pool.
	Queue admission.Config
	// Ejection builds the judge of the servers.
	Ejection ejection.Config
	// Retry builds the retry budget of each team.
	Retry retry.Config
	// Self is this entry host.
	Self Peer
	// Boot differs each time that this host starts.
	Boot string
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

// Binding is the decision to send an entry to a server.
type Binding[Item any] struct {
	Entry  *admission.Entry[Item]
	Server Server
}

// hedgeQuantile is the quantile of run times from which work counts as slow.
const hedgeQuantile = 0.95

// Pool is the state of one pool on one entry host: its queue, what is known of
// its servers, and the slots that it shares with other entry hosts.
type Pool[Item any] struct {
	config  Config
	queue   *admission.Queue[Item]
	servers map[ident.Server]*server
	order   []*server
	running int

	// judge decides which servers get no work. changes holds what it decided
	// and the caller has not seen.
	judge   *ejection.Judge[ident.Server]
	changes []ServerChange

	// policies holds the retry budgets of the teams.
	policies map[ident.Team]*retry.Policy
	// slow is the learned run time from which an entry counts as slow.
	slow retry.Quantile
	// copies counts the running copies of hedged entries; answered holds those
	// of which a copy still runs after the answer.
	copies   map[*admission.Entry[Item]]int
	answered map[*admission.Entry[Item]]bool

	peers     map[ident.Host]*peer
	peerOrder []*peer
	asked     time.Time
	beaten    time.Time
	beats     int
	// arrived counts the entries since the last heartbeat. demand is the
	// learned number of slots that they need, and weight what the peers are
	// told of it.
	arrived     int
	demand      float64
	weight      int
	windowStart time.Time
	// low is the least number of free slots since windowStart.
	low int
	// limit is the cost below which slots of peers are useful, in seconds.
	// Zero means that all are. It holds until slowUntil.
	limit     float64
	slowUntil time.Time
}

// NewPool returns a pool without servers.
func NewPool[Item any](c Config) *Pool[Item] {
	return &Pool[Item]{
		config: c, weight: initialWeight, queue: admission.NewQueue[Item](c.Queue),
		servers: map[ident.Server]*server{}, peers: map[ident.Host]*peer{},
		judge:    ejection.NewJudge[ident.Server](c.Ejection),
		policies: map[ident.Team]*retry.Policy{}, slow: retry.Quantile{Part: hedgeQuantile},
		copies: map[*admission.Entry[Item]]int{}, answered: map[*admission.Entry[Item]]bool{},
	}
}

// SetServers replaces the servers of the pool. What was learned of a server
// that stays is kept.
func (p *Pool[Item]) SetServers(servers []Server) {
	for _, s := range p.servers {
		s.present = false
	}
	p.order = p.order[:0]
	names := make([]ident.Server, 0, len(servers))
	for _, s := range servers {
		names = append(names, s.Name)
		known := index.Entry(p.servers, s.Name)
		known.Server = s
		if s.Leaving {
			// The list has caught up, and tells when the server is back.
			known.announced = 0
		}
		known.present = true
		p.order = append(p.order, known)
	}
	for name, s := range p.servers {
		if !s.present && s.running == 0 && s.lent == 0 && s.borrowed == 0 {
			delete(p.servers, name)
		}
	}
	p.judge.SetServers(names)
	p.share()
}

// SetShares replaces the bound of the queue and the shares of the teams.
func (p *Pool[Item]) SetShares(limit int, shares map[ident.Team]admission.Share) {
	p.queue.SetShares(limit, shares)
}

// Submit queues the entries of an arrival, or returns why it is refused.
func (p *Pool[Item]) Submit(now time.Time, a admission.Arrival, entries []*admission.Entry[Item]) *outcome.Error {
	p.arrived += len(entries)
	if e := p.queue.Admit(now, a); e != nil {
		return e
	}
	for _, e := range entries {
		p.queue.Push(now, e)
	}
	return nil
}

// Waiting returns the number of queued entries.
func (p *Pool[Item]) Waiting() int { return p.queue.Len() }

// Size returns the number of servers.
func (p *Pool[Item]) Size() int { return len(p.order) }

// Drop removes the queued entries of a flow.
func (p *Pool[Item]) Drop(name ident.Team, flow admission.Flow) int { return p.queue.Drop(name, flow) }

// Expire removes and returns the entries that waited too long, and the
// refusals that answer them.
func (p *Pool[Item]) Expire(now time.Time) ([]*admission.Entry[Item], []*outcome.Error) {
	expired := p.queue.Expire(now)
	refusals := make([]*outcome.Error, 0, len(expired))
	for _, e := range expired {
		refusals = append(refusals, p.queue.ExpiryRefusal(e.Team))
	}
	return expired, refusals
}

// Bind removes the first entry of the queue and binds it to the server with
// the least expected finish. It returns false if no entry may start or this
// host holds no free slot.
func (p *Pool[Item]) Bind(now time.Time) (Binding[Item], bool) {
	head := p.queue.Head(now)
	if head == nil {
		return Binding[Item]{}, false
	}
	best := p.choose(now, head.Queued, head.Idempotent)
	if best == nil {
		return Binding[Item]{}, false
	}
	p.enter(now, best)
	if head.FailedAttempts == 0 {
		p.retries(head.Team).First()
	}
	return Binding[Item]{Entry: p.queue.Pop(now), Server: best.Server}, true
}

// choose returns the server with a free slot and the least expected finish. It
// returns nil for a short time if that server is slow, while peers are asked
// for slots on faster ones.
func (p *Pool[Item]) choose(now, queued time.Time, safe bool) *server {
	p.limit = 0
	mean := p.meanRunTime()
	best, cost := p.cheapest(now, mean, safe, nil)
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
// mean one; except is left out.
func (p *Pool[Item]) cheapest(now time.Time, mean float64, safe bool, except *server) (*server, float64) {
	var best *server
	cost := math.Inf(1)
	for _, s := range p.order {
		if s == except || p.available(now, s, safe) <= 0 {
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

// available returns how many more tasks a server may get now. Safe work may be
// sent again if it fails.
func (p *Pool[Item]) available(now time.Time, s *server, safe bool) int {
	free := s.free()
	if free <= 0 || now.Before(s.paused) || !p.judge.Allowed(now, s.Name, safe) {
		return 0
	}
	return min(free, p.judge.Limit(now, s.Name)-s.running)
}

// meanRunTime returns the mean run time on a slot of the pool, in seconds, or
// zero before the first task has ended.
func (p *Pool[Item]) meanRunTime() float64 {
	rate, slots := 0.0, 0.0
	for _, s := range p.order {
		if s.samples > 0 && !s.isLeaving() {
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

// Result is how a bound entry ended.
type Result string

// The results of a bound entry.
const (
	// Answered means that the entry ran and was answered.
	Answered Result = "answered"
	// Broken means that the entry ran and failed.
	Broken Result = "broken"
	// Lost means that nothing is known of the entry.
	Lost Result = "lost"
	// Refused means that the server refused the entry, which did not run.
	Refused Result = "refused"
	// Unreachable means that no connection was made and the entry did not run.
	Unreachable Result = "unreachable"
	// Withdrawn means that the entry was not sent.
	Withdrawn Result = "withdrawn"
)

// End tells how a bound entry ended.
type End struct {
	Result Result
	// Took is the time from the start to the answer.
	Took time.Duration
}

// Next is what follows the end of a bound entry.
type Next string

// What follows the end of a bound entry.
const (
	// Finish means that the end is final and must be answered.
	Finish Next = "finish"
	// Queued means that the entry is queued again.
	Queued Next = "queued"
	// Ignore means that the entry has been answered or another copy runs.
	Ignore Next = "ignore"
)

// Ended tells that a bound entry ended, and returns what follows.
func (p *Pool[Item]) Ended(now time.Time, b Binding[Item], e End) Next {
	if s := p.leave(b); s != nil {
		if p.answered[b.Entry] && e.Result != Answered {
			p.judge.Withdrawn(s.Name)
		} else {
			p.record(now, s, e)
		}
	}
	left, hedged := p.copies[b.Entry]
	if hedged {
		if left--; left > 0 {
			p.copies[b.Entry] = left
		} else {
			delete(p.copies, b.Entry)
		}
		if left > 0 && e.Result != Answered || p.answered[b.Entry] {
			if left == 0 {
				delete(p.answered, b.Entry)
			}
			return Ignore
		}
		if left > 0 {
			p.answered[b.Entry] = true
		}
	}
	if e.Result != Answered && e.Result != Withdrawn && p.again(now, b.Entry, e) {
		return Queued
	}
	took := e.Took
	if e.Result != Answered {
		took = 0
	}
	p.queue.Done(b.Entry, took)
	return Finish
}

// record updates what is known of a server by how an entry ended.
func (p *Pool[Item]) record(now time.Time, s *server, e End) {
	change := ejection.None
	switch e.Result {
	case Answered:
		s.refusals = 0
		s.learn(e.Took)
		p.slow.Add(e.Took)
		change = p.judge.Answered(s.Name)
	case Broken:
		change = p.judge.Failed(now, s.Name)
	case Lost:
		// The task took at least that long. A server that loses tasks at once
		// is paused, or its free slots would draw all work.
		if e.Took.Seconds() > s.runTime {
			s.learn(e.Took)
		}
		s.refuse(now, p.config.BusyPause)
		change = p.judge.Failed(now, s.Name)
	case Unreachable:
		s.refuse(now, p.config.BusyPause)
		change = p.judge.Failed(now, s.Name)
	case Refused:
		s.refuse(now, p.config.BusyPause)
		p.judge.Withdrawn(s.Name)
	case Withdrawn:
		p.judge.Withdrawn(s.Name)
	}
	if change != ejection.None {
		p.changes = append(p.changes, ServerChange{s.Name, change})
	}
}

// ServerChange tells that a server was ejected or has returned.
type ServerChange struct {
	Server ident.Server
	Change ejection.Change
}

// Changes returns the changes of servers since the last call.
func (p *Pool[Item]) Changes() []ServerChange {
	changes := p.changes
	p.changes = nil
	return changes
}

// again queues an entry again if the retry policy allows it.
func (p *Pool[Item]) again(now time.Time, e *admission.Entry[Item], end End) bool {
	e.FailedAttempts++
	after, ok := p.retries(e.Team).Again(now, retry.Attempt{
		Tries:      e.FailedAttempts,
		NotRun:     end.Result == Refused || end.Result == Unreachable,
		Idempotent: e.Idempotent,
		Overloaded: p.Waiting() > 0,
		Deadline:   e.Deadline,
	})
	switch {
	case !ok:
		return false
	case after == 0:
		return p.queue.Requeue(e)
	}
	return p.queue.RequeueAt(e, now.Add(after))
}

// retries returns the retry policy of a team.
func (p *Pool[Item]) retries(name ident.Team) *retry.Policy {
	r := p.policies[name]
	if r == nil {
		r = retry.NewPolicy(p.config.Retry)
		p.policies[name] = r
	}
	return r
}

// HedgeAfter returns the time after its start at which a second copy of an
// entry may be sent, or zero if none may.
func (p *Pool[Item]) HedgeAfter(e *admission.Entry[Item]) time.Duration {
	if !e.Hedge || !e.Idempotent {
		return 0
	}
	return p.slow.Value()
}

// Hedge binds a second copy of a running entry to another server. It returns
// false if other work waits, no server is free or the retry budget is spent.
func (p *Pool[Item]) Hedge(now time.Time, b Binding[Item]) (Binding[Item], bool) {
	if p.copies[b.Entry] > 0 || p.Waiting() > 0 {
		return Binding[Item]{}, false
	}
	first := p.servers[b.Server.Name]
	best, _ := p.cheapest(now, p.meanRunTime(), true, first)
	if best == nil || !p.retries(b.Entry.Team).Take() {
		return Binding[Item]{}, false
	}
	p.copies[b.Entry] = 2
	p.enter(now, best)
	return Binding[Item]{Entry: b.Entry, Server: best.Server}, true
}

// enter takes a slot of a server.
func (p *Pool[Item]) enter(now time.Time, s *server) {
	s.running++
	p.running++
	p.judge.Started(now, s.Name)
}

// leave frees the slot of a binding.
func (p *Pool[Item]) leave(b Binding[Item]) *server {
	p.running--
	s := p.servers[b.Server.Name]
	if s != nil {
		s.running--
	}
	return s
}

// MarkLeaving records that a server announced that it is leaving.
func (p *Pool[Item]) MarkLeaving(name ident.Server) {
	if s := p.servers[name]; s != nil && !s.Leaving {
		s.announced = announcedBeats
	}
}

// Wake returns the earliest time after now at which Bind may succeed without
// another event, or the zero time if there is none.
func (p *Pool[Item]) Wake(now time.Time) time.Time {
	next := p.queue.WakeTime()
	if p.limit > 0 && p.slowUntil.After(now) && (next.IsZero() || p.slowUntil.Before(next)) {
		next = p.slowUntil
	}
	earlier := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, s := range p.order {
		earlier(s.paused)
		if p.Waiting() > 0 && s.free() > 0 && s.running > 0 {
			// The limit of a new server grows with time.
			earlier(p.judge.Grows(now, s.Name))
		}
	}
	return next
}
