// Package route decides which backend server runs which task or request of a
// pool, and when. It is pure: the caller passes the current time and executes
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
	// Queue configures the queue of the pool.
	Queue admission.Config
	// Ejection configures the detector of failing servers.
	Ejection ejection.Config
	// Retry configures the retry policy of each team.
	Retry retry.Config
	// Self is this entry host.
	Self Peer
	// Boot identifies this process. It differs after each start of the host.
	Boot string
	// RemoteDelay is the round-trip time to another data centre.
	RemoteDelay time.Duration
	// BusyPause is the time for which a server gets no work after it refused or
	// lost some or could not be reached. It doubles with each such event since
	// the last answer.
	BusyPause time.Duration
	// AskPause is the time between two rounds of asking peers for slots.
	AskPause time.Duration
	// WantTime is the time for which a peer's request for slots is valid.
	WantTime time.Duration
	// ReturnTime is the time for which a borrowed slot must be unused before it
	// is returned.
	ReturnTime time.Duration
	// Heartbeat is the time between two heartbeats to peers.
	Heartbeat time.Duration
	// FasterWait is the time for which work waits for a slot on a faster server
	// while only slots on slow servers are free.
	FasterWait time.Duration
	// PeerTimeout is the time without messages after which the loans from and to
	// a peer end.
	PeerTimeout time.Duration
}

// Binding is the decision to send an entry to a server.
type Binding[Item any] struct {
	Entry  *admission.Entry[Item]
	Server Server
}

// hedgeQuantile is the quantile of run times above which work counts as slow.
const hedgeQuantile = 0.95

// Pool is the state of one pool on one entry host: its queue, its servers, and
// the slots that it shares with other entry hosts.
type Pool[Item any] struct {
	config      Config
	queue       *admission.Queue[Item]
	servers     map[ident.Server]*server
	serverOrder []*server
	running     int

	// detector decides which servers are ejected. changes holds its decisions
	// that the caller has not fetched.
	detector *ejection.Detector[ident.Server]
	changes  []ServerChange

	// retryPolicies holds the retry policies of the teams.
	retryPolicies map[ident.Team]*retry.Policy
	// slowRunTime is the run time from which an entry counts as slow.
	slowRunTime retry.Quantile
	// copies counts the running copies of hedged entries. answered holds those
	// that were answered while another copy is still running.
	copies   map[*admission.Entry[Item]]int
	answered map[*admission.Entry[Item]]bool

	peers         map[ident.Host]*peer
	peerOrder     []*peer
	lastAsked     time.Time
	lastHeartbeat time.Time
	heartbeats    int
	// arrived counts the entries submitted since the last heartbeat. demand is
	// the moving average of the slots that they need, and weight the weight that
	// is sent to the peers.
	arrived     int
	demand      float64
	weight      int
	windowStart time.Time
	// minFree is the least number of free slots since windowStart.
	minFree int
	// maxRunTime is the run time, in seconds, above which slots of peers are of
	// no use. Zero means no limit. It is valid until maxRunTimeUntil.
	maxRunTime      float64
	maxRunTimeUntil time.Time
}

// NewPool returns a pool without servers.
func NewPool[Item any](c Config) *Pool[Item] {
	return &Pool[Item]{
		config: c, weight: initialWeight, queue: admission.NewQueue[Item](c.Queue),
		servers: map[ident.Server]*server{}, peers: map[ident.Host]*peer{},
		detector:      ejection.NewDetector[ident.Server](c.Ejection),
		retryPolicies: map[ident.Team]*retry.Policy{}, slowRunTime: retry.Quantile{Level: hedgeQuantile},
		copies: map[*admission.Entry[Item]]int{}, answered: map[*admission.Entry[Item]]bool{},
	}
}

// SetServers replaces the servers of the pool. The state of a server that stays
// is kept.
func (p *Pool[Item]) SetServers(servers []Server) {
	for _, s := range p.servers {
		s.present = false
	}
	p.serverOrder = p.serverOrder[:0]
	names := make([]ident.Server, 0, len(servers))
	for _, s := range servers {
		names = append(names, s.Name)
		known := index.GetOrCreate(p.servers, s.Name)
		known.Server = s
		if s.Leaving {
			// The membership list shows the server as leaving, and from now on
			// also shows when it is back.
			known.announced = 0
		}
		known.present = true
		p.serverOrder = append(p.serverOrder, known)
	}
	for name, s := range p.servers {
		if !s.present && s.running == 0 && s.lent == 0 && s.borrowed == 0 {
			delete(p.servers, name)
		}
	}
	p.detector.SetServers(names)
	p.updateShares()
}

// SetShares replaces the limit of the queue and the shares of the teams.
func (p *Pool[Item]) SetShares(limit int, shares map[ident.Team]admission.Share) {
	p.queue.SetShares(limit, shares)
}

// Submit queues the entries of an arrival, or returns the reason of its refusal.
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
func (p *Pool[Item]) Size() int { return len(p.serverOrder) }

// Drop removes the queued entries of a flow, and returns their number.
func (p *Pool[Item]) Drop(name ident.Team, flow admission.Flow) int { return p.queue.Drop(name, flow) }

// Expire removes and returns the entries that have waited too long, and the
// refusals that answer them.
func (p *Pool[Item]) Expire(now time.Time) ([]*admission.Entry[Item], []*outcome.Error) {
	expired := p.queue.Expire(now)
	refusals := make([]*outcome.Error, 0, len(expired))
	for _, e := range expired {
		refusals = append(refusals, p.queue.ExpiryRefusal(e.Team))
	}
	return expired, refusals
}

// Bind removes the first entry of the queue and binds it to the server that is
// expected to finish it first. It returns false if no entry may start, if this
// host holds no free slot, or while the entry waits for a faster server.
func (p *Pool[Item]) Bind(now time.Time) (Binding[Item], bool) {
	head := p.queue.Head(now)
	if head == nil {
		return Binding[Item]{}, false
	}
	best := p.choose(now, head.Queued, head.Idempotent)
	if best == nil {
		return Binding[Item]{}, false
	}
	p.occupy(now, best)
	if head.FailedAttempts == 0 {
		p.retryPolicy(head.Team).RecordFirst()
	}
	return Binding[Item]{Entry: p.queue.Pop(now), Server: best.Server}, true
}

// choose returns the server with a free slot that is expected to finish first.
// If that server is slow, it returns nil until the entry has been queued for
// FasterWait, while peers are asked for slots on faster servers.
func (p *Pool[Item]) choose(now, queued time.Time, retryable bool) *server {
	p.maxRunTime = 0
	mean := p.meanRunTime()
	best, cost := p.fastest(now, mean, retryable, nil)
	if best == nil {
		return nil
	}
	if now.Sub(queued) < p.config.FasterWait && cost > fasterFactor*mean {
		p.maxRunTime = cost / fasterFactor
		p.maxRunTimeUntil = queued.Add(p.config.FasterWait)
		return nil
	}
	return best
}

// fastest returns the server with a free slot and the shortest expected run
// time, and that time in seconds. A server without samples counts with the
// mean. The server except is left out.
func (p *Pool[Item]) fastest(now time.Time, mean float64, retryable bool, except *server) (*server, float64) {
	var best *server
	cost := math.Inf(1)
	for _, s := range p.serverOrder {
		if s == except || p.available(now, s, retryable) <= 0 {
			continue
		}
		c := s.runTime
		if s.samples == 0 {
			c = mean
		}
		if s.DataCentre != p.config.Self.DataCentre {
			c += p.config.RemoteDelay.Seconds()
		}
		if c < cost || c == cost && s.freeSlots() > best.freeSlots() {
			best, cost = s, c
		}
	}
	return best, cost
}

// available returns how many more tasks a server may get now. Retryable is true
// for work that may be sent again if it fails.
func (p *Pool[Item]) available(now time.Time, s *server, retryable bool) int {
	free := s.freeSlots()
	if free <= 0 || now.Before(s.pausedUntil) || !p.detector.Allowed(now, s.Name, retryable) {
		return 0
	}
	return min(free, p.detector.Limit(now, s.Name)-s.running)
}

// meanRunTime returns the mean run time over the slots of the pool, in seconds,
// or zero before the first task has ended.
func (p *Pool[Item]) meanRunTime() float64 {
	rate, slots := 0.0, 0.0
	for _, s := range p.serverOrder {
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
// peers are asked for slots on faster ones. It is larger than the error of the
// run time estimates.
const fasterFactor = 1.6

// Result tells how a bound entry ended.
type Result string

// The results of a bound entry.
const (
	// Answered means that the entry ran and was answered.
	Answered Result = "answered"
	// Failed means that the entry ran and failed.
	Failed Result = "broken"
	// Lost means that it is not known whether the entry ran.
	Lost Result = "lost"
	// Refused means that the server refused the entry, which did not run.
	Refused Result = "refused"
	// Unreachable means that no connection was made, so the entry did not run.
	Unreachable Result = "unreachable"
	// Withdrawn means that the entry was not sent.
	Withdrawn Result = "withdrawn"
)

// End describes the end of a bound entry.
type End struct {
	Result Result
	// Took is the time from the start to the answer.
	Took time.Duration
}

// Next is what the caller must do after the end of a bound entry.
type Next string

// The values of Next.
const (
	// Finish means that the end is final and must be answered.
	Finish Next = "finish"
	// Queued means that the entry is queued again.
	Queued Next = "queued"
	// Ignore means that the entry has been answered, or that another copy still
	// runs.
	Ignore Next = "ignore"
)

// Ended records the end of a bound entry, and returns what the caller must do.
func (p *Pool[Item]) Ended(now time.Time, b Binding[Item], e End) Next {
	if s := p.vacate(b); s != nil {
		if p.answered[b.Entry] && e.Result != Answered {
			p.detector.Withdrawn(s.Name)
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
	if e.Result != Answered && e.Result != Withdrawn && p.requeue(now, b.Entry, e) {
		return Queued
	}
	took := e.Took
	if e.Result != Answered {
		took = 0
	}
	p.queue.Done(b.Entry, took)
	return Finish
}

// requeue queues an entry for another attempt if the retry policy allows it,
// and returns true if it did.
func (p *Pool[Item]) requeue(now time.Time, e *admission.Entry[Item], end End) bool {
	e.FailedAttempts++
	if end.Result == Lost {
		e.LostAttempts++
	}
	after, ok := p.retryPolicy(e.Team).Delay(now, retry.Attempt{
		Number:     e.FailedAttempts,
		Lost:       e.LostAttempts,
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

// retryPolicy returns the retry policy of a team, and creates it if needed.
func (p *Pool[Item]) retryPolicy(name ident.Team) *retry.Policy {
	r := p.retryPolicies[name]
	if r == nil {
		r = retry.NewPolicy(p.config.Retry)
		p.retryPolicies[name] = r
	}
	return r
}

// HedgeAfter returns the time after its start at which a second copy of an
// entry may be sent, or zero if none may.
func (p *Pool[Item]) HedgeAfter(e *admission.Entry[Item]) time.Duration {
	if !e.Hedge || !e.Idempotent {
		return 0
	}
	return p.slowRunTime.Value()
}

// Hedge binds a second copy of a running entry to another server. It returns
// false if other work waits, no server is free or the retry budget is spent.
func (p *Pool[Item]) Hedge(now time.Time, b Binding[Item]) (Binding[Item], bool) {
	if p.copies[b.Entry] > 0 || p.Waiting() > 0 {
		return Binding[Item]{}, false
	}
	first := p.servers[b.Server.Name]
	best, _ := p.fastest(now, p.meanRunTime(), true, first)
	if best == nil || !p.retryPolicy(b.Entry.Team).Take() {
		return Binding[Item]{}, false
	}
	p.copies[b.Entry] = 2
	p.occupy(now, best)
	return Binding[Item]{Entry: b.Entry, Server: best.Server}, true
}

// occupy takes a slot of a server.
func (p *Pool[Item]) occupy(now time.Time, s *server) {
	s.running++
	p.running++
	p.detector.Started(now, s.Name)
}

// vacate frees the slot of a binding, and returns its server, or nil if it is
// no longer known.
func (p *Pool[Item]) vacate(b Binding[Item]) *server {
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
		s.announced = announcedHeartbeats
	}
}

// WakeTime returns the earliest time after now at which Bind or Expire may
// return more without another event, or the zero time if there is none.
func (p *Pool[Item]) WakeTime(now time.Time) time.Time {
	next := p.queue.WakeTime()
	if p.maxRunTime > 0 && p.maxRunTimeUntil.After(now) && (next.IsZero() || p.maxRunTimeUntil.Before(next)) {
		next = p.maxRunTimeUntil
	}
	earlier := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	for _, s := range p.serverOrder {
		earlier(s.pausedUntil)
		if p.Waiting() > 0 && s.freeSlots() > 0 && s.running > 0 {
			// The limit of a new server grows over time.
			earlier(p.detector.NextLimitIncrease(now, s.Name))
		}
	}
	return next
}
