package entry

import (
	"context"
	"sync"
	"time"

	"github.com/catkingap/catkingap/admission"
	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/route"
	"github.com/catkingap/catkingap/timeline"
)

const (
	// requestMaxWait is the expected wait above which requests are rejected.
	requestMaxWait = 2 * time.Second
	// requestMaxAge is the wait after which a queued request expires.
	requestMaxAge = 2 * requestMaxWait
)

// poolQueue executes the routing policy of one pool.
type poolQueue struct {
	dispatcher *Dispatcher
	mutex      sync.Mutex
	pool       *route.Pool[*Work]
	name       ident.Pool
	timer      *time.Timer
}

func newPoolQueue(d *Dispatcher, name ident.Pool, c route.Config) *poolQueue {
	q := &poolQueue{dispatcher: d, name: name, pool: route.NewPool[*Work](c)}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.timer = time.AfterFunc(time.Hour, q.onTimer)
	return q
}

func (q *poolQueue) configure(servers []route.Server, peers []route.Peer, limit int, teams map[ident.Team]admission.Share) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pool.SetServers(servers)
	q.pool.SetPeers(peers)
	q.pool.SetShares(limit, teams)
	q.dispatch()
}

func (q *poolQueue) submit(works []*Work) *outcome.Error {
	now := time.Now()
	a := admission.Arrival{Team: works[0].Team, Entries: len(works)}
	a.Deadline, _ = works[0].Context.Deadline()
	entries := make([]*admission.Entry[*Work], 0, len(works))
	for _, w := range works {
		if w.Hedge && w.Idempotent {
			w.Context, w.stop = context.WithCancel(w.Context)
		}
		w.request = q.dispatcher.requests.Next()
		e := &admission.Entry[*Work]{Item: w, Team: w.Team, Flow: w.flow(), RunTime: w.RunTime, Deadline: a.Deadline, Idempotent: w.Idempotent, Hedge: w.Hedge}
		if w.Task == nil && !w.Admitted {
			a.MaxWait = requestMaxWait
			e.ExpiresAt = now.Add(requestMaxAge)
			if !a.Deadline.IsZero() && a.Deadline.Before(e.ExpiresAt) {
				e.ExpiresAt = a.Deadline
			}
		}
		entries = append(entries, e)
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if e := q.pool.Submit(now, a, entries); e != nil {
		q.dispatcher.addEvent(timeline.Refused, works[0], "", outcomeLabel(e))
		return e
	}
	q.dispatch()
	return nil
}

// flow returns the flow of the work, the unit of fair queueing.
func (w *Work) flow() admission.Flow {
	if w.Task != nil {
		return admission.Flow{Job: w.Task.Job}
	}
	return admission.Flow{Service: w.Service}
}

func (q *poolQueue) drop(j ident.Job) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pool.Drop(j.Team, admission.Flow{Job: j})
}

func (q *poolQueue) onTimer() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.dispatch()
}

// dispatch ends expired work, and binds and sends what it can. The caller holds
// the mutex.
func (q *poolQueue) dispatch() {
	now := time.Now()
	expired, refusals := q.pool.Expire(now)
	for i, e := range expired {
		if !e.Item.take() {
			continue
		}
		refusal := e.Item.correctKind(refusals[i])
		q.dispatcher.addEvent(timeline.Refused, e.Item, "", outcomeLabel(refusal))
		go e.Item.Done(backend.Reply{}, refusal)
	}
	for {
		b, ok := q.pool.Bind(now)
		if !ok {
			break
		}
		go q.run(b)
	}
	if q.pool.ShouldAskPeers(now) {
		q.exchange(now)
	}
	q.timer.Stop()
	if next := q.pool.WakeTime(now); !next.IsZero() {
		q.timer.Reset(max(next.Sub(now), time.Millisecond))
	}
}

// run sends one bound entry unless it was withdrawn or its context has ended.
func (q *poolQueue) run(b route.Binding[*Work]) {
	w := b.Entry.Item
	if !w.take() {
		q.reportEnd(b, route.End{Result: route.Withdrawn}, false)
		return
	}
	if w.Context.Err() != nil {
		if q.reportEnd(b, route.End{Result: route.Withdrawn}, false) == route.Finish {
			w.Done(backend.Reply{}, w.correctKind(outcomeOfContext(w.Context, false)))
		}
		return
	}
	if w.stop != nil {
		defer q.scheduleHedge(b).Stop()
	}
	q.send(b)
}

// send sends one copy of a bound entry and reports how it ended.
func (q *poolQueue) send(b route.Binding[*Work]) {
	w := b.Entry.Item
	start := time.Now()
	event := q.dispatcher.addEvent(timeline.TaskStarted, w, b.Server.Name, "")
	task := ""
	if w.Task != nil {
		task = w.Task.String()
	}
	reply, err := q.dispatcher.sender.Send(w.Context, backend.Request{ID: w.request, Task: task, Address: b.Server.Address, Body: w.Body})
	failure := outcome.From(err)
	now := time.Now()
	q.dispatcher.metrics.recordDispatch(start.Sub(b.Entry.Queued), now.Sub(start), failure)
	event.Kind, event.Detail = timeline.TaskEnded, outcomeLabel(failure)
	q.dispatcher.ring.Add(now, event)
	end := route.End{Result: policyResult(failure), Took: now.Sub(start)}
	if end.Result == route.Failed || end.Result == route.Lost {
		w.markRan()
	}
	switch q.reportEnd(b, end, reply.Leaving) {
	case route.Finish:
		if w.stop != nil {
			w.stop()
		}
		w.Done(reply, w.correctKind(failure))
	case route.Queued:
		q.dispatcher.addEvent(timeline.Retried, w, b.Server.Name, outcomeLabel(failure))
	}
}

// scheduleHedge starts a timer that sends a second copy of b if it is slow.
func (q *poolQueue) scheduleHedge(b route.Binding[*Work]) *time.Timer {
	q.mutex.Lock()
	after, ends := q.pool.HedgeAfter(b.Entry), b.Entry.Item.endedCopies
	q.mutex.Unlock()
	if after == 0 {
		// No run times are known yet.
		after = requestMaxAge
	}
	return time.AfterFunc(after, func() {
		q.mutex.Lock()
		if b.Entry.Item.endedCopies != ends {
			// The first copy ended as the timer fired.
			q.mutex.Unlock()
			return
		}
		second, ok := q.pool.Hedge(time.Now(), b)
		q.mutex.Unlock()
		if ok {
			q.dispatcher.addEvent(timeline.Retried, b.Entry.Item, second.Server.Name, "hedged")
			q.send(second)
		}
	})
}

// policyResult maps an outcome to a result of the routing policy.
func policyResult(failure *outcome.Error) route.Result {
	switch {
	case failure == nil:
		return route.Answered
	case failure.Kind == outcome.NotRun && failure.Code == outcome.Unreachable:
		return route.Unreachable
	case failure.Kind == outcome.NotRun:
		return route.Refused
	case failure.Kind == outcome.Failed:
		return route.Failed
	}
	return route.Lost
}

// reportEnd reports to the policy how an entry ended and returns what follows.
func (q *poolQueue) reportEnd(b route.Binding[*Work], e route.End, leaving bool) route.Next {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if leaving {
		q.pool.MarkLeaving(b.Server.Name)
	}
	if b.Entry.Item.Context.Err() != nil && (e.Result == route.Refused || e.Result == route.Unreachable) {
		// There is no time left to send it again.
		e.Result = route.Withdrawn
	}
	now := time.Now()
	b.Entry.Item.endedCopies++
	next := q.pool.Ended(now, b, e)
	for _, c := range q.pool.Changes() {
		kind := timeline.Ejected
		if c.Change == ejection.Returned {
			kind = timeline.Returned
		}
		q.dispatcher.ring.Add(now, timeline.Event{Kind: kind, Server: c.Server})
	}
	if next == route.Queued {
		// It can not be bound until the mutex is unlocked.
		b.Entry.Item.release()
	}
	if q.pool.OwesSlots(now) {
		q.exchange(now)
	}
	q.dispatch()
	return next
}

// addEvent adds an event about work to the timeline and returns it.
func (d *Dispatcher) addEvent(k timeline.Kind, w *Work, server ident.Server, detail string) timeline.Event {
	e := timeline.Event{Kind: k, Team: w.Team, Service: w.Service, Request: w.request, Server: server, Detail: detail}
	if w.Task != nil {
		e.Job, e.Task = w.Task.Job.Key, &w.Task.Index
	}
	d.ring.Add(time.Now(), e)
	return e
}
