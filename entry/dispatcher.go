package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkingap/catkingap/admission"
	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/retry"
	"github.com/catkingap/catkingap/route"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/timeline"
)

// Times of the routing policy of a pool; see route.Config.
const (
	remoteDelay      = 3 * time.Millisecond
	busyPause        = 10 * time.Millisecond
	askPause         = 5 * time.Millisecond
	wantTime         = 200 * time.Millisecond
	returnTime       = 250 * time.Millisecond
	fasterWait       = 8 * time.Millisecond
	lendHeartbeat    = time.Second
	lendTimeout      = 5 * time.Second
	exchangeInterval = 20 * time.Millisecond
)

// The retry budget of a team for one pool on one host.
const (
	// retryShare is the number of retries that each first attempt allows.
	retryShare = 0.05
	retryBurst = 10
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// The ejection of backend servers.
const (
	// maxEjected is the largest share of a pool's servers that is ejected.
	maxEjected      = 0.3
	failuresToEject = 3
	minProbe        = time.Second
	maxProbe        = 30 * time.Second
)

// Work is one task or request to be sent to a backend server.
type Work struct {
	Context context.Context
	Team    ident.Team
	Pool    ident.Pool
	// Task is set for a task of a job.
	Task *ident.Task
	// RunTime is the declared run time of a task, zero if none was declared.
	RunTime time.Duration
	// Service is set for a request to a service.
	Service ident.Service
	// Idempotent is true if the work may be sent again after it ran or may have
	// run.
	Idempotent bool
	// Hedge allows a second copy of idempotent work that is slow.
	Hedge bool
	// Admitted is true for a request that this host queued before. It is not
	// rejected because of the queue length.
	Admitted bool
	Body     []byte
	// Done is called once, with the answer or an *outcome.Error, unless the
	// work was dropped or withdrawn.
	Done func(backend.Reply, *outcome.Error)

	claim
	request ident.Request
	// stop cancels the copies of hedged work.
	stop context.CancelFunc
	// endedCopies counts the copies that have ended. The pool's mutex guards it.
	endedCopies int
}

// Dispatcher queues work for each pool and assigns it to backend servers. Work
// that provably did not run is queued again; other work is sent only once.
type Dispatcher struct {
	settings settings.Settings
	identity Identity
	sender   backend.Sender
	ring     *timeline.Ring
	metrics  *Metrics
	requests *ident.Sequence
	// isLeaving returns true for servers that reported that they are leaving.
	isLeaving func(resource.Server) bool

	configureMutex sync.Mutex
	// newest is the snapshot in force.
	newest *resource.Snapshot
	// sendSlots sends messages that transfer slots to other hosts. It must not
	// block.
	sendSlots func(ident.Pool, []route.Outgoing)

	// pools is replaced as a whole when a pool is added.
	pools atomic.Pointer[map[ident.Pool]*poolQueue]
	mutex sync.Mutex
}

func newDispatcher(s settings.Settings, i Identity, sender backend.Sender, ring *timeline.Ring, m *Metrics) *Dispatcher {
	d := &Dispatcher{
		settings:  s,
		identity:  i,
		sender:    sender,
		ring:      ring,
		metrics:   m,
		requests:  ident.NewSequence(),
		isLeaving: func(resource.Server) bool { return false },
		sendSlots: func(ident.Pool, []route.Outgoing) {},
	}
	d.pools.Store(&map[ident.Pool]*poolQueue{})
	return d
}

// Configure applies the servers and teams of a snapshot.
//
// Concurrent and out-of-order calls are safe: the newest snapshot wins.
func (d *Dispatcher) Configure(s *resource.Snapshot, directory *Directory) {
	d.configureMutex.Lock()
	defer d.configureMutex.Unlock()
	if d.newest != nil && d.newest.Revision > s.Revision {
		s = d.newest
	}
	d.newest = s
	peers := d.peers(directory)
	for name, pool := range s.Pools {
		servers := make([]route.Server, 0, len(s.Servers[name]))
		for _, b := range s.Servers[name] {
			servers = append(servers, route.Server{
				Name:       b.Name,
				Address:    b.Address,
				DataCentre: b.DataCentre,
				Slots:      b.Slots,
				Leaving:    b.Drain || directory.IsLeaving(string(b.Name)) || d.isLeaving(b),
			})
		}
		limit := d.settings.Limits.QueueTasks
		if pool.QueueTasks > 0 {
			limit = min(limit, pool.QueueTasks)
		}
		d.getOrCreateQueue(name).configure(servers, peers, limit, shares(s.Teams, len(peers)+1))
	}
}

// peers returns the other entry hosts that are not leaving.
func (d *Dispatcher) peers(directory *Directory) []route.Peer {
	var peers []route.Peer
	for _, m := range directory.Hosts() {
		if m.ID != string(d.identity.Host) && !directory.IsLeaving(m.ID) {
			peers = append(peers, route.Peer{Name: ident.Host(m.ID), DataCentre: m.DataCentre})
		}
	}
	return peers
}

// shares returns the share of each team on one of several hosts.
func shares(teams map[ident.Team]resource.TeamSpec, hosts int) map[ident.Team]admission.Share {
	shares := make(map[ident.Team]admission.Share, len(teams))
	for name, t := range teams {
		shares[name] = admission.Share{Weight: t.Weight, Rate: t.TasksPerSecond / float64(hosts), Limit: t.QueueTasks}
	}
	return shares
}

// getOrCreateQueue returns the queue of a pool and creates it if needed.
func (d *Dispatcher) getOrCreateQueue(name ident.Pool) *poolQueue {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	pools := *d.pools.Load()
	if q := pools[name]; q != nil {
		return q
	}
	q := newPoolQueue(d, name, route.Config{
		Queue:    admission.Config{Jitter: rand.Float64},
		Ejection: ejection.Config{MaxShare: maxEjected, Failures: failuresToEject, MinProbe: minProbe, MaxProbe: maxProbe},
		Retry: retry.Config{
			Share: retryShare, Burst: retryBurst, MinBackoff: minBackoff, MaxBackoff: maxBackoff, Jitter: rand.Float64,
		},
		Self:        route.Peer{Name: d.identity.Host, DataCentre: d.identity.DataCentre},
		Boot:        d.identity.Boot,
		RemoteDelay: remoteDelay,
		BusyPause:   busyPause,
		AskPause:    askPause,
		WantTime:    wantTime,
		ReturnTime:  returnTime,
		FasterWait:  fasterWait,
		Heartbeat:   lendHeartbeat,
		PeerTimeout: lendTimeout,
	})
	next := maps.Clone(pools)
	next[name] = q
	d.pools.Store(&next)
	return q
}

// findQueue returns the queue of a pool, or nil if there is none.
func (d *Dispatcher) findQueue(name ident.Pool) *poolQueue {
	return (*d.pools.Load())[name]
}

// hasCapacity returns true if fewer tasks wait in a pool than it has servers.
func (d *Dispatcher) hasCapacity(name ident.Pool) bool {
	q := d.findQueue(name)
	if q == nil {
		return false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.pool.Waiting() < q.pool.Size()
}

// Submit queues work of one pool, team and flow, or rejects all of it.
func (d *Dispatcher) Submit(works ...*Work) *outcome.Error {
	q := d.findQueue(works[0].Pool)
	if q == nil {
		return outcome.New(outcome.NotRun, outcome.NotFound, "there is no pool %s", works[0].Pool)
	}
	return q.submit(works)
}

// Drop removes the queued tasks of a job. Its tasks that are already assigned
// are not sent again if the server refuses them.
func (d *Dispatcher) Drop(pool ident.Pool, j ident.Job) {
	if q := d.findQueue(pool); q != nil {
		q.drop(j)
	}
}
