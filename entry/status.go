package entry

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/route"
)

const (
	// statusInterval is the pause between two updates of the conditions.
	statusInterval = 5 * time.Second
	// watchInterval is the longest pause between two checks of a watch.
	watchInterval = time.Second
)

// Reasons of conditions.
const (
	reasonAnnounced  = "Announced"
	reasonDeclared   = "Declared"
	reasonDraining   = "DrainDeclared"
	reasonListed     = "ListedAsLeaving"
	reasonNoServer   = "NoServerServes"
	reasonNotInForce = "NotInForceYet"
	reasonRefused    = "RefusedWork"
	reasonServing    = "ServerServes"
)

// Statuses determines the status of each resource as this host sees it.
type Statuses struct {
	host       ident.Host
	store      *resource.Store
	rollout    *Rollout
	dispatcher *Dispatcher
	directory  *Directory

	mutex  sync.Mutex
	latest map[string][]resource.Condition
}

func newStatuses(i Identity, s *resource.Store, r *Rollout, d *Dispatcher, directory *Directory) *Statuses {
	return &Statuses{
		host: i.Host, store: s, rollout: r, dispatcher: d, directory: directory, latest: map[string][]resource.Condition{},
	}
}

// observed returns when the table last answered this host, and the milliseconds
// since then. If the table never did, the time is that at which the snapshot was
// applied.
func (s *Statuses) observed(now time.Time) (time.Time, int64) {
	at := s.rollout.Observed()
	if at.IsZero() {
		at = s.store.Snapshot().Applied
	}
	return at, max(0, now.Sub(at).Milliseconds())
}

// withStatus returns o with its status.
func (s *Statuses) withStatus(now time.Time, o resource.Object) resource.Object {
	observed, stale := s.observed(now)
	o.Status = &resource.Status{Host: string(s.host), ObservedAt: observed, StaleMS: stale, Conditions: s.conditions(now, o)}
	return o
}

// refresh updates the conditions of all resources, so that the times of their
// changes are recorded even if nobody requests them.
func (s *Statuses) refresh(now time.Time) {
	for _, objects := range s.store.Snapshot().Objects {
		for _, o := range objects {
			s.conditions(now, o)
		}
	}
}

// conditions returns the present conditions of a resource. A condition keeps
// its time while its status and reason do not change.
func (s *Statuses) conditions(now time.Time, o resource.Object) []resource.Condition {
	present := s.evaluate(now, o)
	key := resource.Key(o.Kind, o.Name)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, c := range present {
		present[i].Since = now
		for _, k := range s.latest[key] {
			if k.Type == c.Type && k.Status == c.Status && k.Reason == c.Reason {
				present[i].Since = k.Since
			}
		}
	}
	s.latest[key] = present
	return slices.Clone(present)
}

func (s *Statuses) evaluate(now time.Time, o resource.Object) []resource.Condition {
	snapshot := s.store.Snapshot()
	switch o.Kind {
	case resource.KindBackendServer:
		if server, ok := snapshot.Server(ident.Server(o.Name)); ok {
			return s.serverConditions(now, server)
		}
	case resource.KindPool:
		return []resource.Condition{s.poolCondition(now, snapshot, ident.Pool(o.Name))}
	case resource.KindService:
		return []resource.Condition{s.poolCondition(now, snapshot, snapshot.Services[ident.Service(o.Name)].Pool)}
	}
	return []resource.Condition{{Type: resource.Available, Status: true, Reason: reasonDeclared}}
}

// serverConditions returns the conditions of a server: whether it serves, and if
// not, why.
func (s *Statuses) serverConditions(now time.Time, server resource.Server) []resource.Condition {
	view, ok := s.dispatcher.view(now, server.Pool, server.Name)
	leaving, ejected := s.leavingAndEjected(server, view)
	serving := resource.Condition{
		Type: resource.Serving, Status: ok && !leaving.Status && !ejected.Status, Reason: reasonServing,
		Message: strconv.Itoa(view.Running) + " tasks of this host run",
	}
	switch {
	case !ok:
		serving.Reason = reasonNotInForce
	case leaving.Status:
		serving.Reason = leaving.Reason
	case ejected.Status:
		serving.Reason = ejected.Reason
	}
	return []resource.Condition{serving, leaving, ejected}
}

// leavingAndEjected returns the conditions that can keep a server from getting
// work.
func (s *Statuses) leavingAndEjected(server resource.Server, view route.ServerView) (leaving, ejected resource.Condition) {
	leaving = resource.Condition{Type: resource.Leaving, Status: true}
	switch {
	case server.Drain:
		leaving.Reason = reasonDraining
	case s.directory.IsLeaving(string(server.Name)):
		leaving.Reason = reasonListed
	case view.Leaving:
		leaving.Reason = reasonAnnounced
	default:
		leaving.Status, leaving.Reason = false, reasonDeclared
	}
	ejected = resource.Condition{Type: resource.Ejected, Status: view.Paused, Reason: reasonDeclared}
	if view.Paused {
		ejected.Reason = reasonRefused
	}
	return leaving, ejected
}

func (s *Statuses) poolCondition(now time.Time, snapshot *resource.Snapshot, name ident.Pool) resource.Condition {
	servers := snapshot.Servers[name]
	ready, slots := 0, 0
	for _, server := range servers {
		view, ok := s.dispatcher.view(now, server.Pool, server.Name)
		if leaving, ejected := s.leavingAndEjected(server, view); ok && !leaving.Status && !ejected.Status {
			ready++
			slots += server.Slots
		}
	}
	c := resource.Condition{
		Type: resource.Available, Status: ready > 0, Reason: reasonServing,
		Message: fmt.Sprintf("%d of %d backend servers serve with %d slots", ready, len(servers), slots),
	}
	if ready == 0 {
		c.Reason = reasonNoServer
	}
	return c
}

// view returns the state of a server in the queue of a pool.
func (d *Dispatcher) view(now time.Time, pool ident.Pool, name ident.Server) (route.ServerView, bool) {
	q := d.findQueue(pool)
	if q == nil {
		return route.ServerView{}, false
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.pool.View(now, name)
}
