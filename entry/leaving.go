package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/drain"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

const (
	kindServerLeaving = peer.Kind("serverLeaving")
	// leavingInterval is the pause between updates of the leaving servers.
	leavingInterval = time.Second
	// notifyTimeout bounds the message to one host that a server is leaving.
	notifyTimeout = 2 * time.Second
	// checkDelay and maxCheckDelay bound the time until a server that reported
	// that it is leaving is checked for its return.
	checkDelay    = 5 * time.Second
	maxCheckDelay = 5 * time.Minute
)

// ServerLeaving notifies another entry host that a backend server is leaving.
type ServerLeaving struct {
	Server drain.Server `msgpack:"server"`
}

// LeavingTracker tracks the backend servers that reported that they are leaving.
// The host that first receives such a report from the server notifies all others.
type LeavingTracker struct {
	identity  Identity
	store     *resource.Store
	directory *Directory
	links     *peer.Links
	sender    backend.Sender
	ring      *timeline.Ring
	logger    log.Interface
	// onChange is called when the set of leaving servers has changed.
	onChange func()
	// notified counts messages to other hosts.
	notified atomic.Int64

	mutex   sync.Mutex
	servers *drain.Servers
}

// newLeavingTracker returns a tracker without leaving servers. The client is
// used for checks.
func newLeavingTracker(i Identity, s *resource.Store, d *Directory, l *peer.Links, c *backend.Client, r *timeline.Ring, logger log.Interface) *LeavingTracker {
	return &LeavingTracker{
		identity: i, store: s, directory: d, links: l, sender: c, ring: r, logger: logger, onChange: func() {},
		servers: drain.NewServers(drain.ServersConfig{CheckDelay: checkDelay, MaxCheckDelay: maxCheckDelay}),
	}
}

// newSender returns the sender of the dispatcher, which reports leaving servers
// to the tracker.
func newSender(c *backend.Client, l *LeavingTracker) backend.Sender {
	return &observingSender{Sender: c, leaving: l}
}

// observingSender reports servers to the tracker whose replies say that they are
// leaving.
type observingSender struct {
	backend.Sender
	leaving *LeavingTracker
}

// Send implements backend.Sender.
func (s *observingSender) Send(ctx context.Context, r backend.Request) (backend.Reply, error) {
	reply, err := s.Sender.Send(ctx, r)
	if reply.Leaving {
		s.leaving.reportLeavingAddress(time.Now(), r.Address)
	}
	return reply, err
}

// IsLeaving returns true if the server reported that it is leaving.
func (l *LeavingTracker) IsLeaving(s resource.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.servers.IsLeaving(drain.Server{Name: s.Name, Address: s.Address})
}

// reportLeavingAddress handles a reply from the server at address that says that
// it is leaving.
func (l *LeavingTracker) reportLeavingAddress(now time.Time, address string) {
	for _, servers := range l.store.Snapshot().Servers {
		for _, s := range servers {
			if s.Address == address {
				l.reportLeaving(now, drain.Server{Name: s.Name, Address: address}, drain.Contact)
			}
		}
	}
}

func (l *LeavingTracker) reportLeaving(now time.Time, server drain.Server, source drain.Source) {
	l.mutex.Lock()
	actions := l.servers.ReportLeaving(now, server, source)
	l.mutex.Unlock()
	if len(actions) > 0 {
		l.ring.Add(now, timeline.Event{Kind: timeline.Drained, Server: server.Name, Detail: string(source)})
	}
	l.execute(actions)
}

// tick applies the current membership list and configuration, and checks servers
// that may have returned.
func (l *LeavingTracker) tick(ctx context.Context) {
	snapshot := l.store.Snapshot()
	declared := map[drain.Server]bool{}
	for _, servers := range snapshot.Servers {
		for _, s := range servers {
			declared[drain.Server{Name: s.Name, Address: s.Address}] = true
		}
	}
	l.mutex.Lock()
	l.servers.Retain(func(s drain.Server) bool { return declared[s] })
	actions := l.servers.ReportList(func(s drain.Server) bool { return l.directory.IsLeaving(string(s.Name)) })
	if ctx.Err() == nil {
		actions = append(actions, l.servers.Tick(time.Now())...)
	}
	l.mutex.Unlock()
	l.execute(actions)
}

func (l *LeavingTracker) execute(actions []drain.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case drain.Apply:
			l.onChange()
		case drain.Check:
			go l.check(a.Server)
		case drain.Notify:
			l.notifyHosts(a.Server)
		}
	}
}

// check checks the health of a server.
func (l *LeavingTracker) check(server drain.Server) {
	health, err := l.sender.Check(context.Background(), server.Address)
	now := time.Now()
	present := err == nil && !health.Leaving
	l.mutex.Lock()
	actions := l.servers.ReportCheck(now, server, present)
	l.mutex.Unlock()
	if present {
		l.ring.Add(now, timeline.Event{Kind: timeline.Returned, Server: server.Name})
	}
	l.execute(actions)
}

// notifyHosts sends one message to each other entry host.
func (l *LeavingTracker) notifyHosts(server drain.Server) {
	for _, m := range l.directory.Hosts() {
		if m.ID == string(l.identity.Host) {
			continue
		}
		l.notified.Add(1)
		go l.notifyHost(m, server)
	}
}

func (l *LeavingTracker) notifyHost(m storage.Member, server drain.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	if _, err := peer.Call[ServerLeaving, struct{}](ctx, l.links, m.Address, kindServerLeaving, ServerLeaving{Server: server}); err != nil {
		l.logger.WithError(err).WithField("peer", m.ID).Debug("host not notified that a server is leaving")
	}
}

// register registers the handler for messages of other hosts.
func (l *LeavingTracker) register() {
	peer.Handle(l.links, kindServerLeaving, func(_ context.Context, m ServerLeaving) (struct{}, error) {
		l.reportLeaving(time.Now(), m.Server, drain.Peer)
		return struct{}{}, nil
	})
}

// runLeaving connects the tracker to the dispatcher and updates it periodically.
func runLeaving(lc fx.Lifecycle, l *LeavingTracker, d *Dispatcher) {
	d.isLeaving = l.IsLeaving
	l.onChange = func() { d.Configure(l.store.Snapshot(), l.directory) }
	l.register()
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runPeriodically(ctx, leavingInterval, l.tick)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}
