// Package admission decides which work of which team a host takes, and in
// which order it starts. It is pure: the caller passes the present time.
//
// The order is fair at two levels: between teams in proportion to their
// weights, and within a team between its flows. A flow is a whole job or all
// requests to one service, so a small job does not stand behind a large one.
package admission

import (
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Flow identifies a unit of fairness within a team: one job or one service.
type Flow struct {
	Job     ident.Job
	Service ident.Service
}

// Entry is one task or request in a queue.
type Entry[Item any] struct {
	Item Item
	Team ident.Team
	Flow Flow
	// RunTime is the declared run time. Longer entries of a flow start first.
	RunTime time.Duration
	// GiveUp is when the entry is of no more use. Zero means never; the
	// entries of a flow that is dropped as a whole need none.
	GiveUp time.Time
	// Deadline is when the entry must have been answered. Zero means never.
	Deadline time.Time
	// Idempotent is true if the entry may run more than once.
	Idempotent bool
	// Hedge allows a second copy of the entry while it runs.
	Hedge bool
	// Queued is when the entry was pushed first.
	Queued time.Time
	// Tries counts the tries that ended without an answer.
	Tries int

	sequence uint64
	flow     *flow[Item]
	inFlow   int
	inAges   int
	charged  float64
	// ready is when an entry that waits for another try is queued again.
	ready   time.Time
	inDelay int
}

// delayOrder orders the entries that wait for another try.
type delayOrder[Item any] struct{ *Entry[Item] }

func (e delayOrder[Item]) before(o delayOrder[Item]) bool { return e.ready.Before(o.ready) }

func (e delayOrder[Item]) place() *int { return &e.inDelay }

// flowOrder orders the entries of one flow.
type flowOrder[Item any] struct{ *Entry[Item] }

func (e flowOrder[Item]) before(o flowOrder[Item]) bool {
	if e.RunTime != o.RunTime {
		return e.RunTime > o.RunTime
	}
	return e.sequence < o.sequence
}

func (e flowOrder[Item]) place() *int { return &e.inFlow }

// ageOrder orders entries by the time at which they are given up.
type ageOrder[Item any] struct{ *Entry[Item] }

func (e ageOrder[Item]) before(o ageOrder[Item]) bool { return e.GiveUp.Before(o.GiveUp) }

func (e ageOrder[Item]) place() *int { return &e.inAges }

// flow is the waiting entries of one job or service.
type flow[Item any] struct {
	key     Flow
	team    *team[Item]
	entries priority[flowOrder[Item]]
	// virtual is the work that the flow has got, at equal shares.
	virtual  float64
	sequence uint64
	index    int
	// inFlight counts the entries that were popped and have not ended.
	inFlight int
	// dropped is set once no entry of the flow may start any more.
	dropped bool
}

func (f *flow[Item]) before(o *flow[Item]) bool {
	if f.virtual != o.virtual {
		return f.virtual < o.virtual
	}
	return f.sequence < o.sequence
}

func (f *flow[Item]) place() *int { return &f.index }

// team is the waiting flows of one team.
type team[Item any] struct {
	name    ident.Team
	share   Share
	flows   priority[*flow[Item]]
	waiting int
	// virtual is the work that the team has got over its weight; base is that
	// of its flow that started last.
	virtual, base float64
	sequence      uint64
	index         int
	// runTime is the learned mean run time in seconds.
	runTime float64
	bucket  bucket
}

func (t *team[Item]) before(o *team[Item]) bool {
	if t.virtual != o.virtual {
		return t.virtual < o.virtual
	}
	return t.sequence < o.sequence
}

func (t *team[Item]) place() *int { return &t.index }

// throttled orders the teams whose quota is used up by when it is not.
type throttled[Item any] struct{ *team[Item] }

func (t throttled[Item]) before(o throttled[Item]) bool {
	return t.bucket.ready.Before(o.bucket.ready)
}

func (t throttled[Item]) place() *int { return &t.bucket.index }

// Queue holds the work that waits on one host for one pool. Each operation
// takes O(log n).
type Queue[Item any] struct {
	config    Config
	teams     map[ident.Team]*team[Item]
	flows     map[flowKey]*flow[Item]
	active    priority[*team[Item]]
	throttled priority[throttled[Item]]
	ages      priority[ageOrder[Item]]
	delayed   priority[delayOrder[Item]]
	waiting   int
	limit     int
	// weight is the sum of the weights of the teams with waiting work.
	weight   float64
	base     float64
	sequence uint64
	drain    meter
}

type flowKey struct {
	team ident.Team
	flow Flow
}

// NewQueue returns an empty queue.
func NewQueue[Item any](c Config) *Queue[Item] {
	return &Queue[Item]{config: c, teams: map[ident.Team]*team[Item]{}, flows: map[flowKey]*flow[Item]{}}
}

// Len returns the number of waiting entries.
func (q *Queue[Item]) Len() int { return q.waiting }

// Push adds an entry.
func (q *Queue[Item]) Push(now time.Time, e *Entry[Item]) {
	q.sequence++
	e.Queued, e.sequence, e.inFlow, e.inAges, e.inDelay = now, q.sequence, out, out, out
	q.insert(e)
}

// Requeue puts an entry that Pop returned, and that did not run, back to its
// place at the front of its flow. What it was charged is given back. It
// returns false if the flow was dropped in the meantime.
func (q *Queue[Item]) Requeue(e *Entry[Item]) bool {
	f, t := e.flow, e.flow.team
	f.inFlight--
	if f.dropped {
		return false
	}
	t.bucket.refund()
	f.virtual -= e.charged
	t.virtual -= e.charged / t.weight()
	q.insertIn(f, e)
	return true
}

// RequeueAt is Requeue at a later time. Until then the entry is not among those
// that Len counts, but Expire returns it when its time has come.
func (q *Queue[Item]) RequeueAt(e *Entry[Item], ready time.Time) bool {
	if e.flow.dropped {
		e.flow.inFlight--
		return false
	}
	e.ready = ready
	q.delayed.put(delayOrder[Item]{e})
	if !e.GiveUp.IsZero() {
		q.ages.put(ageOrder[Item]{e})
	}
	return true
}

// resume queues the entries whose time for another try has come.
func (q *Queue[Item]) resume(now time.Time) {
	for {
		e, ok := q.delayed.first()
		if !ok || e.ready.After(now) {
			return
		}
		q.delayed.remove(e)
		q.ages.remove(ageOrder[Item](e))
		q.Requeue(e.Entry)
	}
}

// Done tells that an entry that Pop returned has ended after took. Took is
// zero if it did not run.
func (q *Queue[Item]) Done(e *Entry[Item], took time.Duration) {
	e.flow.inFlight--
	q.forget(e.flow)
	if took > 0 {
		e.flow.team.learn(took)
	}
}

// insert adds an entry to its flow, which is made if there is none.
func (q *Queue[Item]) insert(e *Entry[Item]) {
	t := q.team(e.Team)
	key := flowKey{e.Team, e.Flow}
	f := q.flows[key]
	if f == nil {
		f = &flow[Item]{key: e.Flow, team: t, sequence: e.sequence, index: out}
		q.flows[key] = f
	}
	if len(f.entries.list) == 0 {
		f.virtual = max(f.virtual, t.base)
	}
	if t.waiting == 0 {
		t.virtual = max(t.virtual, q.base)
		t.sequence = e.sequence
	}
	q.insertIn(f, e)
}

func (q *Queue[Item]) insertIn(f *flow[Item], e *Entry[Item]) {
	t := f.team
	e.flow = f
	f.entries.put(flowOrder[Item]{e})
	if !e.GiveUp.IsZero() {
		q.ages.put(ageOrder[Item]{e})
	}
	if t.waiting == 0 {
		q.weight += t.weight()
	}
	t.waiting++
	q.waiting++
	t.flows.put(f)
	q.schedule(t)
}

// schedule puts a team where it belongs: among those that may start, among
// those whose quota is used up, or nowhere.
func (q *Queue[Item]) schedule(t *team[Item]) {
	switch {
	case t.waiting == 0:
		q.active.remove(t)
		q.throttled.remove(throttled[Item]{t})
	case t.bucket.ready.IsZero():
		q.throttled.remove(throttled[Item]{t})
		q.active.put(t)
	default:
		q.active.remove(t)
		q.throttled.put(throttled[Item]{t})
	}
}

// forget removes a flow that has no entries left.
func (q *Queue[Item]) forget(f *flow[Item]) {
	if len(f.entries.list) == 0 && f.inFlight == 0 && !f.dropped {
		delete(q.flows, flowKey{f.team.name, f.key})
	}
}

// Head returns the entry that Pop would return, or nil if none may start now.
func (q *Queue[Item]) Head(now time.Time) *Entry[Item] {
	q.resume(now)
	q.release(now)
	t, ok := q.active.first()
	if !ok {
		return nil
	}
	f, _ := t.flows.first()
	e, _ := f.entries.first()
	return e.Entry
}

// Pop removes and returns the entry that starts next, or nil if none may start
// now.
func (q *Queue[Item]) Pop(now time.Time) *Entry[Item] {
	e := q.Head(now)
	if e == nil {
		return nil
	}
	t, f := e.flow.team, e.flow
	q.base, t.base = t.virtual, f.virtual
	e.charged = t.cost()
	t.virtual += e.charged / t.weight()
	f.virtual += e.charged
	t.bucket.take(now, t.share.Rate)
	f.inFlight++
	q.remove(e)
	q.drain.count(now, len(q.active.list) > 0)
	return e
}

// remove takes a waiting entry out.
func (q *Queue[Item]) remove(e *Entry[Item]) {
	f := e.flow
	f.entries.remove(flowOrder[Item]{e})
	q.ages.remove(ageOrder[Item]{e})
	if len(f.entries.list) > 0 {
		f.team.flows.put(f)
	} else {
		f.team.flows.remove(f)
		q.forget(f)
	}
	q.shrink(f.team, 1)
}

// shrink counts n entries of a team less.
func (q *Queue[Item]) shrink(t *team[Item], n int) {
	t.waiting -= n
	q.waiting -= n
	if t.waiting == 0 {
		q.weight -= t.weight()
	}
	q.schedule(t)
}

// Drop removes all entries of a flow without touching each, and returns their
// number. Entries of the flow that were popped can not be queued again. It is
// for flows whose entries have no GiveUp.
func (q *Queue[Item]) Drop(name ident.Team, key Flow) int {
	f := q.flows[flowKey{name, key}]
	if f == nil {
		return 0
	}
	f.dropped = true
	delete(q.flows, flowKey{name, key})
	n := len(f.entries.list)
	if n > 0 {
		f.entries.list = nil
		f.team.flows.remove(f)
		q.shrink(f.team, n)
	}
	return n
}

// Expire removes and returns the entries that are of no more use.
func (q *Queue[Item]) Expire(now time.Time) []*Entry[Item] {
	var expired []*Entry[Item]
	for {
		e, ok := q.ages.first()
		if !ok || e.GiveUp.After(now) {
			return expired
		}
		if e.inDelay != out {
			q.delayed.remove(delayOrder[Item](e))
			q.ages.remove(e)
			q.Done(e.Entry, 0)
		} else {
			q.remove(e.Entry)
		}
		expired = append(expired, e.Entry)
	}
}

// Wake returns the earliest time at which Expire or Pop may return more
// without another event, or the zero time.
func (q *Queue[Item]) Wake() time.Time {
	var next time.Time
	if e, ok := q.ages.first(); ok {
		next = e.GiveUp
	}
	if e, ok := q.delayed.first(); ok && (next.IsZero() || e.ready.Before(next)) {
		next = e.ready
	}
	if t, ok := q.throttled.first(); ok && (next.IsZero() || t.bucket.ready.Before(next)) {
		next = t.bucket.ready
	}
	return next
}

// release lets teams start again whose quota has come back.
func (q *Queue[Item]) release(now time.Time) {
	for {
		t, ok := q.throttled.first()
		if !ok || t.bucket.ready.After(now) {
			return
		}
		t.bucket.ready = time.Time{}
		t.virtual = max(t.virtual, q.base)
		q.schedule(t.team)
	}
}

// learn adds a run time to the learned mean.
func (t *team[Item]) learn(took time.Duration) {
	if t.runTime == 0 {
		t.runTime = took.Seconds()
	}
	t.runTime += learnShare * (took.Seconds() - t.runTime)
}

func (q *Queue[Item]) team(name ident.Team) *team[Item] {
	t := q.teams[name]
	if t == nil {
		t = &team[Item]{name: name, index: out, bucket: bucket{index: out}}
		q.teams[name] = t
	}
	return t
}
