package entry

import (
	"context"
	"sync"
	"time"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/route"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/timeline"
)

// Work is one task or request on its way to a backend server.
type Work struct {
	Context context.Context
	Team    ident.Team
	Pool    ident.Pool
	// Task is set for a task of a job.
	Task *ident.Task
	// Service is set for a request to a service.
	Service ident.Service
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	Body       []byte
	// Done is called once, with the answer or an *outcome.Error, unless the
	// work was withdrawn.
	Done func(backend.Reply, *outcome.Error)

	claim
	request ident.Request
}

// Dispatcher queues work for each pool and binds it to backend servers. Work
// that provably did not run is queued again; other work is sent once.
type Dispatcher struct {
	settings settings.Settings
	identity Identity
	sender   backend.Sender
	ring     *timeline.Ring
	metrics  *Metrics
	requests *ident.Sequence
	// leaving returns true for servers that said that they are leaving.
	leaving func(resource.Server) bool

	mutex sync.RWMutex
	pools map[ident.Pool]*poolQueue
}

// poolQueue drives the policy of one pool.
type poolQueue struct {
	dispatcher *Dispatcher
	mutex      sync.Mutex
	pool       *route.Pool[*Work]
	wake       *time.Timer
}

func newDispatcher(s settings.Settings, i Identity, sender backend.Sender, ring *timeline.Ring, m *Metrics) *Dispatcher {
	return &Dispatcher{
		settings: s,
		identity: i,
		sender:   sender,
		ring:     ring,
		metrics:  m,
		requests: ident.NewSequence(),
		pools:    map[ident.Pool]*poolQueue{},
		leaving:  func(resource.Server) bool { return false },
	}
}

// Configure puts the servers of a snapshot in force.
func (d *Dispatcher) Configure(s *resource.Snapshot, directory *Directory) {
	for name := range s.Pools {
		servers := make([]route.Server, 0, len(s.Servers[name]))
		for _, b := range s.Servers[name] {
			servers = append(servers, route.Server{
				Name:       b.Name,
				Address:    b.Address,
				DataCentre: b.DataCentre,
				Slots:      b.Slots,
				Leaving:    b.Drain || directory.Leaving(string(b.Name)) || d.leaving(b),
			})
		}
		d.queue(name).configure(servers)
	}
}

func (d *Dispatcher) queue(name ident.Pool) *poolQueue {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	q := d.pools[name]
	if q == nil {
		q = &poolQueue{dispatcher: d, pool: route.NewPool[*Work](route.Config{
			Self:        route.Peer{Name: d.identity.Host, DataCentre: d.identity.DataCentre},
			RemoteDelay: remoteDelay,
			BusyPause:   busyPause,
		})}
		d.pools[name] = q
	}
	return q
}

// Submit queues work or refuses it.
func (d *Dispatcher) Submit(works ...*Work) *outcome.Error {
	d.mutex.RLock()
	q := d.pools[works[0].Pool]
	d.mutex.RUnlock()
	if q == nil {
		return outcome.New(outcome.NotRun, outcome.NotFound, "there is no pool %s", works[0].Pool)
	}
	return q.submit(works)
}

// Drop removes the queued tasks of a job.
func (d *Dispatcher) Drop(pool ident.Pool, j ident.Job) {
	d.mutex.RLock()
	q := d.pools[pool]
	d.mutex.RUnlock()
	if q == nil {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pool.Drop(func(w *Work) bool { return w.Task != nil && w.Task.Job == j })
}

func (q *poolQueue) configure(servers []route.Server) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pool.SetServers(servers)
	q.pump()
}

func (q *poolQueue) submit(works []*Work) *outcome.Error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	limit := q.dispatcher.settings.Limits.QueueTasks
	if q.pool.Waiting()+len(works) > limit {
		return outcome.New(outcome.NotRun, outcome.QueueFull, "%d tasks wait already", q.pool.Waiting()).After(time.Second)
	}
	now := time.Now()
	for _, w := range works {
		w.request = q.dispatcher.requests.Next()
		q.pool.Enqueue(now, w)
	}
	q.pump()
	return nil
}

// pump binds work while there are free slots. The caller holds the mutex.
func (q *poolQueue) pump() {
	now := time.Now()
	for {
		b, ok := q.pool.Bind(now)
		if !ok {
			break
		}
		go q.run(b)
	}
	if q.wake != nil {
		q.wake.Stop()
		q.wake = nil
	}
	if q.pool.Waiting() == 0 {
		return
	}
	if next := q.pool.Wake(now); !next.IsZero() {
		q.wake = time.AfterFunc(next.Sub(now), func() {
			q.mutex.Lock()
			defer q.mutex.Unlock()
			q.pump()
		})
	}
}

// run sends one bound item and reports how it ended.
func (q *poolQueue) run(b route.Binding[*Work]) {
	w := b.Item
	if !w.take() {
		q.ended(b, 0, false)
		return
	}
	if err := w.Context.Err(); err != nil {
		q.ended(b, 0, false)
		w.Done(backend.Reply{}, ended(w.Context, false))
		return
	}
	start := time.Now()
	event := timeline.Event{Kind: timeline.TaskStarted, Team: w.Team, Service: w.Service, Request: w.request, Server: b.Server.Name}
	task := ""
	if w.Task != nil {
		event.Job, event.Task, task = w.Task.Job.Key, &w.Task.Index, w.Task.String()
	}
	q.dispatcher.ring.Add(start, event)
	reply, err := q.dispatcher.sender.Send(w.Context, backend.Request{ID: w.request, Task: task, Address: b.Server.Address, Body: w.Body})
	failure := outcome.From(err)
	now := time.Now()
	event.Kind = timeline.TaskEnded
	q.dispatcher.metrics.dispatched(start.Sub(b.Queued), now.Sub(start), failure)
	event.Detail = label(failure)
	q.dispatcher.ring.Add(now, event)
	refused := failure != nil && failure.Kind == outcome.NotRun
	if refused && w.Context.Err() == nil {
		q.again(b, reply)
		return
	}
	q.ended(b, now.Sub(start), !refused)
	w.Done(reply, failure)
}

// again queues work that provably did not run.
func (q *poolQueue) again(b route.Binding[*Work], reply backend.Reply) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if reply.Leaving {
		q.pool.MarkLeaving(b.Server.Name)
	}
	q.pool.Ended(time.Now(), b.Server.Name, 0, false)
	b.Item.release()
	q.pool.Requeue(b.Queued, b.Item)
	q.pump()
}

func (q *poolQueue) ended(b route.Binding[*Work], took time.Duration, ran bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.pool.Ended(time.Now(), b.Server.Name, took, ran)
	q.pump()
}
