package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/cold"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/queue"
	"github.com/catkingap/catkingap/rollout"
	"github.com/catkingap/catkingap/storage"
)

const (
	kindFetch = peer.Kind("configFetch")
	// fetchTimeout bounds the fetch of a configuration from another host.
	fetchTimeout = 500 * time.Millisecond
	// configRow is the key of the only row of the rollout.
	configRow = "queues"
)

// fetchRequest requests the changes of the configuration after a revision.
type fetchRequest struct {
	After ident.Revision `msgpack:"after"`
}

// Configuration holds the queues in force on this host. It receives new versions from
// the platform's table and from other hosts, and never returns to an older one.
type Configuration struct {
	links      *peer.Links
	decoder    Decoder
	evacuation *Evacuation
	view       *storage.View
	key        string
	logger     log.Interface
	table      atomic.Pointer[queue.Table]

	mutex     sync.Mutex
	machine   *rollout.Machine
	addresses map[ident.Host]string
	fetches   chan rollout.Fetch
}

func newConfiguration(l *peer.Links, d Decoder, e *Evacuation, t storage.Table, f storage.Feed, logger log.Interface) *Configuration {
	_, group, key := d.Groups()
	c := &Configuration{
		links: l, decoder: d, evacuation: e, view: storage.NewView(t, f, group), key: key, logger: logger,
		machine:   rollout.NewMachine(rollout.Config{FetchTimeout: fetchTimeout}),
		addresses: map[ident.Host]string{},
		fetches:   make(chan rollout.Fetch, 1),
	}
	peer.Handle(l, kindFetch, func(_ context.Context, r fetchRequest) (rollout.Delta, error) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		return c.machine.Set().Since(r.After), nil
	})
	return c
}

func runConfiguration(life fx.Lifecycle, c *Configuration) {
	runLoops(life, c.follow, c.fetch)
}

// Table returns the queues in force, or nil before the first version.
func (c *Configuration) Table() *queue.Table { return c.table.Load() }

// coldLimits returns the limits for the cold workers of each pool.
func (c *Configuration) coldLimits(slack float64) map[ident.Pool]cold.Limits {
	if c == nil || c.Table() == nil {
		return nil
	}
	return c.Table().ColdLimits(slack)
}

// Revision returns the revision of the configuration in force.
func (c *Configuration) Revision() ident.Revision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.machine.Set().Revision
}

// ObserveRevision records the revision that another host has in force.
func (c *Configuration) ObserveRevision(h ownership.Host, r ident.Revision) {
	c.mutex.Lock()
	c.addresses[h.Name] = h.Address
	c.mutex.Unlock()
	c.handle(rollout.RevisionHeard{Host: h.Name, Revision: r})
}

// follow reads the configuration from the platform's table.
func (c *Configuration) follow(ctx context.Context) {
	(&follower{
		view: c.view, logger: c.logger, name: "the table of the configuration", read: func() { c.evacuation.readView(c.view) },
	}).run(ctx, c.readRow)
}

// readRow offers the configuration row of the view to the rollout.
func (c *Configuration) readRow() {
	row, ok := c.view.Rows()[c.key]
	if !ok {
		return
	}
	q, err := c.decoder.Configuration(row)
	if err != nil {
		c.logger.WithField("revision", int64(row.Revision)).WithError(err).Error("configuration cannot be read")
		return
	}
	value, err := msgpack.Marshal(q)
	if err != nil {
		c.logger.WithError(err).Error("configuration cannot be encoded")
		return
	}
	r := rollout.Row{Key: configRow, Value: value, Revision: row.Revision}
	c.handle(rollout.DeltaReceived{Delta: rollout.Delta{Revision: row.Revision, Rows: []rollout.Row{r}}})
}

func (c *Configuration) handle(e rollout.Event) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range c.machine.Step(time.Now(), e) {
		switch a := a.(type) {
		case rollout.Apply:
			c.apply(a.Set)
		case rollout.Fetch:
			select {
			case c.fetches <- a:
			default:
				// A fetch is pending. The next contact triggers another one.
			}
		}
	}
}

// apply puts a version into force.
func (c *Configuration) apply(s *rollout.Set) {
	row, ok := s.Row(configRow)
	if !ok {
		return
	}
	var q queue.Configuration
	if err := msgpack.Unmarshal(row.Value, &q); err != nil {
		c.logger.WithError(err).Error("configuration cannot be read")
		return
	}
	c.table.Store(queue.NewTable(q))
	c.logger.WithFields(log.Fields{
		"revision": int64(s.Revision), "version": int64(q.Version), "queues": len(q.Queues),
	}).Info("configuration in force")
}

// fetch fetches newer versions from other hosts until ctx ends.
func (c *Configuration) fetch(ctx context.Context) {
	for {
		var f rollout.Fetch
		select {
		case <-ctx.Done():
			return
		case f = <-c.fetches:
		}
		c.mutex.Lock()
		address := c.addresses[f.Host]
		c.mutex.Unlock()
		call, cancel := context.WithTimeout(ctx, fetchTimeout)
		d, err := peer.Call[fetchRequest, rollout.Delta](call, c.links, address, kindFetch, fetchRequest{After: f.After})
		cancel()
		if err != nil {
			c.logger.WithField("peer", string(f.Host)).WithError(err).Warn("configuration not fetched")
			c.handle(rollout.FetchFailed{Host: f.Host})
			continue
		}
		c.handle(rollout.Fetched{Host: f.Host, Delta: d})
	}
}
