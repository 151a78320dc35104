// Package admission decides which work of which team a host accepts, and in
// which order it starts. It is pure: the caller passes the current time.
//
// The order is fair at two levels: between teams in proportion to their
// weights, and within a team between its flows. A flow is a whole job or all
// requests to one service, so that a small job does not wait for a large one.
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
	// ExpiresAt is when the entry expires in the queue. Zero means never. The
	// entries of a flow that is removed with Drop must not have one.
	ExpiresAt time.Time
	// Deadline is the time by which the entry must be answered. Zero means no
	// deadline.
	Deadline time.Time
	// Idempotent is true if the entry may run more than once.
	Idempotent bool
	// Hedge allows a second copy of the entry while it runs.
	Hedge bool
	// Queued is when the entry was pushed.
	Queued time.Time
	// FailedAttempts counts the attempts that ended without an answer.
	FailedAttempts int
	// LostAttempts counts those of them whose server was lost.
	LostAttempts int

	sequence    uint64
	flow        *flow[Item]
	flowIndex   int
	expiryIndex int
	charged     float64
	// retryAt is when an entry that waits for its backoff is queued again.
	retryAt    time.Time
	retryIndex int
}

// retryOrder orders the entries that wait for their backoff.
type retryOrder[Item any] struct{ *Entry[Item] }

func (e retryOrder[Item]) before(o retryOrder[Item]) bool { return e.retryAt.Before(o.retryAt) }

func (e retryOrder[Item]) heapIndex() *int { return &e.retryIndex }

// flowOrder orders the entries of one flow, those with the longest run time
// first.
type flowOrder[Item any] struct{ *Entry[Item] }

func (e flowOrder[Item]) before(o flowOrder[Item]) bool {
	if e.RunTime != o.RunTime {
		return e.RunTime > o.RunTime
	}
	return e.sequence < o.sequence
}

func (e flowOrder[Item]) heapIndex() *int { return &e.flowIndex }

// expiryOrder orders entries by the time at which they expire.
type expiryOrder[Item any] struct{ *Entry[Item] }

func (e expiryOrder[Item]) before(o expiryOrder[Item]) bool { return e.ExpiresAt.Before(o.ExpiresAt) }

func (e expiryOrder[Item]) heapIndex() *int { return &e.expiryIndex }

// flow holds the waiting entries of one job or service.
type flow[Item any] struct {
	key     Flow
	team    *team[Item]
	entries indexedHeap[flowOrder[Item]]
	// virtualTime is the cost of the entries that the flow has started.
	virtualTime float64
	sequence    uint64
	index       int
	// inFlight counts the popped entries that have not ended.
	inFlight int
	// dropped is set once no entry of the flow may start any more.
	dropped bool
}

func (f *flow[Item]) before(o *flow[Item]) bool {
	if f.virtualTime != o.virtualTime {
		return f.virtualTime < o.virtualTime
	}
	return f.sequence < o.sequence
}

func (f *flow[Item]) heapIndex() *int { return &f.index }

// team holds the waiting flows of one team.
type team[Item any] struct {
	name    ident.Team
	share   Share
	flows   indexedHeap[*flow[Item]]
	waiting int
	// virtualTime is the cost of the entries that the team has started, divided
	// by its weight. baseTime is the virtual time of the flow that started last;
	// a flow that becomes active begins there, so that it gains nothing from
	// its idle time.
	virtualTime, baseTime float64
	sequence              uint64
	index                 int
	// meanRunTime is the moving average of the run times, in seconds.
	meanRunTime float64
	bucket      bucket
}

func (t *team[Item]) before(o *team[Item]) bool {
	if t.virtualTime != o.virtualTime {
		return t.virtualTime < o.virtualTime
	}
	return t.sequence < o.sequence
}

func (t *team[Item]) heapIndex() *int { return &t.index }

// throttledOrder orders the teams that have used up their quota by the time
// at which they may start again.
type throttledOrder[Item any] struct{ *team[Item] }

func (t throttledOrder[Item]) before(o throttledOrder[Item]) bool {
	return t.bucket.readyAt.Before(o.bucket.readyAt)
}

func (t throttledOrder[Item]) heapIndex() *int { return &t.bucket.index }

// Queue holds the work that waits on one host for one pool. Operations on one
// entry take O(log n).
type Queue[Item any] struct {
	config    Config
	teams     map[ident.Team]*team[Item]
	flows     map[flowKey]*flow[Item]
	active    indexedHeap[*team[Item]]
	throttled indexedHeap[throttledOrder[Item]]
	expiries  indexedHeap[expiryOrder[Item]]
	delayed   indexedHeap[retryOrder[Item]]
	waiting   int
	limit     int
	// weight is the sum of the weights of the teams with waiting work.
	weight float64
	// baseTime is the virtual time of the team that started last.
	baseTime float64
	sequence uint64
	drain    rateMeter
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
	e.Queued, e.sequence, e.flowIndex, e.expiryIndex, e.retryIndex = now, q.sequence, notInHeap, notInHeap, notInHeap
	q.insert(e)
}

// Requeue puts an entry that Pop returned back to its place in its flow, and
// refunds its charge. It returns false if the flow was dropped in the
// meantime.
func (q *Queue[Item]) Requeue(e *Entry[Item]) bool {
	f, t := e.flow, e.flow.team
	f.inFlight--
	if f.dropped {
		return false
	}
	t.bucket.refund()
	f.virtualTime -= e.charged
	t.virtualTime -= e.charged / t.weight()
	q.insertInto(f, e)
	return true
}

// RequeueAt requeues the entry at the given time. Until then Len does not count
// the entry, but Expire returns it if it expires.
func (q *Queue[Item]) RequeueAt(e *Entry[Item], ready time.Time) bool {
	if e.flow.dropped {
		e.flow.inFlight--
		return false
	}
	e.retryAt = ready
	q.delayed.put(retryOrder[Item]{e})
	if !e.ExpiresAt.IsZero() {
		q.expiries.put(expiryOrder[Item]{e})
	}
	return true
}

// requeueDue requeues the entries whose backoff has passed.
func (q *Queue[Item]) requeueDue(now time.Time) {
	for {
		e, ok := q.delayed.first()
		if !ok || e.retryAt.After(now) {
			return
		}
		q.delayed.remove(e)
		q.expiries.remove(expiryOrder[Item](e))
		q.Requeue(e.Entry)
	}
}

// Done records that an entry returned by Pop has ended. Took is its run time,
// or zero if it did not run.
func (q *Queue[Item]) Done(e *Entry[Item], took time.Duration) {
	e.flow.inFlight--
	q.pruneFlow(e.flow)
	if took > 0 {
		e.flow.team.recordRunTime(took)
	}
}

// insert adds an entry to its flow, and creates the flow if needed.
func (q *Queue[Item]) insert(e *Entry[Item]) {
	t := q.team(e.Team)
	key := flowKey{e.Team, e.Flow}
	f := q.flows[key]
	if f == nil {
		f = &flow[Item]{key: e.Flow, team: t, sequence: e.sequence, index: notInHeap}
		q.flows[key] = f
	}
	if len(f.entries.items) == 0 {
		f.virtualTime = max(f.virtualTime, t.baseTime)
	}
	if t.waiting == 0 {
		t.virtualTime = max(t.virtualTime, q.baseTime)
		t.sequence = e.sequence
	}
	q.insertInto(f, e)
}

func (q *Queue[Item]) insertInto(f *flow[Item], e *Entry[Item]) {
	t := f.team
	e.flow = f
	f.entries.put(flowOrder[Item]{e})
	if !e.ExpiresAt.IsZero() {
		q.expiries.put(expiryOrder[Item]{e})
	}
	if t.waiting == 0 {
		q.weight += t.weight()
	}
	t.waiting++
	q.waiting++
	t.flows.put(f)
	q.schedule(t)
}

// schedule moves a team to the heap of its state: active if it may start work,
// throttled if its quota is used up, or none if it has no waiting work.
func (q *Queue[Item]) schedule(t *team[Item]) {
	switch {
	case t.waiting == 0:
		q.active.remove(t)
		q.throttled.remove(throttledOrder[Item]{t})
	case t.bucket.readyAt.IsZero():
		q.throttled.remove(throttledOrder[Item]{t})
		q.active.put(t)
	default:
		q.active.remove(t)
		q.throttled.put(throttledOrder[Item]{t})
	}
	if len(q.active.items) == 0 {
		q.drain.interrupt()
	}
}

// pruneFlow removes a flow that has no waiting or running entries left.
func (q *Queue[Item]) pruneFlow(f *flow[Item]) {
	if len(f.entries.items) == 0 && f.inFlight == 0 && !f.dropped {
		delete(q.flows, flowKey{f.team.name, f.key})
	}
}

// Head returns the entry that Pop would return, or nil if none may start now.
// It first requeues entries and releases teams whose time has come.
func (q *Queue[Item]) Head(now time.Time) *Entry[Item] {
	q.requeueDue(now)
	q.unthrottle(now)
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
	q.baseTime, t.baseTime = t.virtualTime, f.virtualTime
	e.charged = t.cost()
	t.virtualTime += e.charged / t.weight()
	f.virtualTime += e.charged
	t.bucket.take(now, t.share.Rate)
	f.inFlight++
	q.remove(e)
	q.drain.recordStart(now, len(q.active.items) > 0)
	return e
}

// remove removes a waiting entry.
func (q *Queue[Item]) remove(e *Entry[Item]) {
	f := e.flow
	f.entries.remove(flowOrder[Item]{e})
	q.expiries.remove(expiryOrder[Item]{e})
	if len(f.entries.items) > 0 {
		f.team.flows.put(f)
	} else {
		f.team.flows.remove(f)
		q.pruneFlow(f)
	}
	q.subtractWaiting(f.team, 1)
}

// subtractWaiting subtracts n from the number of waiting entries of a team.
func (q *Queue[Item]) subtractWaiting(t *team[Item], n int) {
	t.waiting -= n
	q.waiting -= n
	if t.waiting == 0 {
		q.weight -= t.weight()
	}
	q.schedule(t)
}

// Drop removes all entries of a flow in one step, and returns their number.
// Popped entries of the flow cannot be requeued. The entries must not have
// ExpiresAt set, because Drop leaves them in the expiry heap.
func (q *Queue[Item]) Drop(name ident.Team, key Flow) int {
	f := q.flows[flowKey{name, key}]
	if f == nil {
		return 0
	}
	f.dropped = true
	delete(q.flows, flowKey{name, key})
	n := len(f.entries.items)
	if n > 0 {
		f.entries.items = nil
		f.team.flows.remove(f)
		q.subtractWaiting(f.team, n)
	}
	return n
}

// Expire removes and returns the entries whose ExpiresAt has passed.
func (q *Queue[Item]) Expire(now time.Time) []*Entry[Item] {
	var expired []*Entry[Item]
	for {
		e, ok := q.expiries.first()
		if !ok || e.ExpiresAt.After(now) {
			return expired
		}
		if e.retryIndex != notInHeap {
			q.delayed.remove(retryOrder[Item](e))
			q.expiries.remove(e)
			q.Done(e.Entry, 0)
		} else {
			q.remove(e.Entry)
		}
		expired = append(expired, e.Entry)
	}
}

// WakeTime returns the earliest time at which Expire or Pop may return more
// entries without another event, or the zero time if there is none.
func (q *Queue[Item]) WakeTime() time.Time {
	var next time.Time
	if e, ok := q.expiries.first(); ok {
		next = e.ExpiresAt
	}
	if e, ok := q.delayed.first(); ok && (next.IsZero() || e.retryAt.Before(next)) {
		next = e.retryAt
	}
	if t, ok := q.throttled.first(); ok && (next.IsZero() || t.bucket.readyAt.Before(next)) {
		next = t.bucket.readyAt
	}
	return next
}

// unthrottle reactivates the teams whose quota allows a start again.
func (q *Queue[Item]) unthrottle(now time.Time) {
	for {
		t, ok := q.throttled.first()
		if !ok || t.bucket.readyAt.After(now) {
			return
		}
		t.bucket.readyAt = time.Time{}
		t.virtualTime = max(t.virtualTime, q.baseTime)
		q.schedule(t.team)
	}
}

// recordRunTime adds a run time to the moving average.
func (t *team[Item]) recordRunTime(took time.Duration) {
	if t.meanRunTime == 0 {
		t.meanRunTime = took.Seconds()
	}
	t.meanRunTime += runTimeSmoothing * (took.Seconds() - t.meanRunTime)
}

// team returns the state of a team, and creates it if needed.
func (q *Queue[Item]) team(name ident.Team) *team[Item] {
	t := q.teams[name]
	if t == nil {
		t = &team[Item]{name: name, index: notInHeap, bucket: bucket{index: notInHeap}}
		q.teams[name] = t
	}
	return t
}
