package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/rollout"
	"github.com/catkingap/catkingap/timeline"
)

const (
	kindConfigFetch   = peer.Kind("configFetch")
	fetchTimeout      = time.Second
	tombstoneInterval = 10 * time.Minute
)

// ConfigFetch asks a peer for the configuration changes after a revision.
type ConfigFetch struct {
	After ident.Revision `msgpack:"after"`
}

// Rollout keeps the configuration of this host up to date.
type Rollout struct {
	store      *resource.Store
	dispatcher *Dispatcher
	directory  *Directory
	links      *peer.Links
	prober     *Prober
	ring       *timeline.Ring
	logger     log.Interface
	// observed is when the table last answered, in Unix nanoseconds.
	observed atomic.Int64

	mutex   sync.Mutex
	machine *rollout.Machine
	changed chan struct{}
}

func newRollout(s *resource.Store, d *Dispatcher, directory *Directory, l *peer.Links, p *Prober, ring *timeline.Ring, logger log.Interface) *Rollout {
	r := &Rollout{
		store: s, dispatcher: d, directory: directory, links: l, prober: p, ring: ring, logger: logger,
		machine: rollout.NewMachine(rollout.Config{FetchTimeout: fetchTimeout}),
		changed: make(chan struct{}),
	}
	s.OnDelta(func(d rollout.Delta) {
		r.observe()
		r.post(rollout.DeltaReceived{Delta: d})
	})
	p.onRevision(func(h ident.Host, revision ident.Revision) {
		r.post(rollout.RevisionHeard{Host: h, Revision: revision})
	})
	return r
}

func (r *Rollout) register(l *peer.Links) {
	peer.Handle(l, kindConfigFetch, func(_ context.Context, f ConfigFetch) (rollout.Delta, error) {
		return r.store.Snapshot().Rows.Since(f.After), nil
	})
}

// observe records that the table has answered.
func (r *Rollout) observe() {
	r.observed.Store(time.Now().UnixNano())
}

// Observed returns when the table last answered, zero if it never did.
func (r *Rollout) Observed() time.Time {
	if nanoseconds := r.observed.Load(); nanoseconds != 0 {
		return time.Unix(0, nanoseconds)
	}
	return time.Time{}
}

// Changed returns a channel that is closed when the next revision is applied.
func (r *Rollout) Changed() <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changed
}

// Configure applies the snapshot and the membership list to the dispatcher. The
// mutex serialises calls, so that none reverts to an older snapshot.
func (r *Rollout) Configure() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.dispatcher.Configure(r.store.Snapshot(), r.directory)
}

// poll reads the changes from the table, or the whole configuration if this host
// has none.
func (r *Rollout) poll(ctx context.Context) {
	read := r.store.Poll
	if r.store.Snapshot().Revision == 0 {
		read = r.store.Load
	}
	r.read(ctx, read)
}

func (r *Rollout) read(ctx context.Context, read func(context.Context) (rollout.Delta, error)) {
	d, err := read(ctx)
	if err != nil {
		r.logger.WithError(err).Debug("configuration not read")
		r.post(rollout.Ticked{})
		return
	}
	r.observe()
	r.post(rollout.DeltaReceived{Delta: d})
}

// sweep removes old tombstones of deleted resources.
func (r *Rollout) sweep(ctx context.Context) {
	if err := r.store.Sweep(ctx, time.Now()); err != nil {
		r.logger.WithError(err).Debug("tombstones not removed")
	}
}

// post passes an event to the machine and executes the resulting actions.
func (r *Rollout) post(e rollout.Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, a := range r.machine.Step(time.Now(), e) {
		switch a := a.(type) {
		case rollout.Apply:
			r.apply(a.Set)
		case rollout.Fetch:
			go r.fetch(a)
		case rollout.Announce:
			go r.prober.announce()
		case rollout.Reload:
			go r.read(context.Background(), r.store.Load)
		}
	}
}

// apply applies a set of rows. The caller holds the mutex.
func (r *Rollout) apply(set *rollout.Set) {
	now := time.Now()
	applied, err := r.store.Apply(now, set)
	if err != nil {
		r.logger.WithError(err).Error("invalid resources not applied")
	}
	if !applied {
		return
	}
	r.ring.Add(now, timeline.Event{Kind: timeline.ConfigApplied, Revision: set.Revision})
	r.dispatcher.Configure(r.store.Snapshot(), r.directory)
	close(r.changed)
	r.changed = make(chan struct{})
}

// fetch requests the configuration changes from a peer.
func (r *Rollout) fetch(f rollout.Fetch) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	view, ok := r.prober.view(f.Host)
	if !ok {
		r.post(rollout.FetchFailed{Host: f.Host})
		return
	}
	d, err := peer.Call[ConfigFetch, rollout.Delta](ctx, r.links, view.Address, kindConfigFetch, ConfigFetch{After: f.After})
	if err != nil {
		r.logger.WithField("peer", string(f.Host)).WithError(err).Debug("configuration not fetched")
		r.post(rollout.FetchFailed{Host: f.Host})
		return
	}
	r.post(rollout.Fetched{Host: f.Host, Delta: d})
}
