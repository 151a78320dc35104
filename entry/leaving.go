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
	// leavingTick is the pause between looks at the leaving servers.
	leavingTick = time.Second
	// tellTimeout bounds the message to one host that a server is leaving.
	tellTimeout = 2 * time.Second
	// trialPause and maxTrialPause bound the time until a server that said
	// that it is leaving is asked whether it came back.
	trialPause    = 5 * time.Second
	maxTrialPause = 5 * time.Minute
)

// ServerLeaving tells another entry host that a backend server is leaving.
type ServerLeaving struct {
	Server drain.Server `msgpack:"server"`
}

// Leaving knows which backend servers said that they are leaving. The host
// that first hears it from the server tells all others.
type Leaving struct {
	identity  Identity
	store     *resource.Store
	directory *Directory
	links     *peer.Links
	sender    backend.Sender
	ring      *timeline.Ring
	logger    log.Interface
	// changed is called when the set of leaving servers has changed.
	changed func()
	// told counts messages to other hosts.
	told atomic.Int64

	mutex   sync.Mutex
	servers *drain.Servers
}

// newLeaving returns the state in which no server is leaving. The client is
// used for checks.
func newLeaving(i Identity, s *resource.Store, d *Directory, l *peer.Links, c *backend.Client, r *timeline.Ring, logger log.Interface) *Leaving {
	return &Leaving{
		identity: i, store: s, directory: d, links: l, sender: c, ring: r, logger: logger, changed: func() {},
		servers: drain.NewServers(drain.ServersConfig{TrialPause: trialPause, MaxTrialPause: maxTrialPause}),
	}
}

// newSender returns the sender of the dispatcher, which passes on what servers
// say of themselves.
func newSender(c *backend.Client, l *Leaving) backend.Sender {
	return &listeningSender{Sender: c, leaving: l}
}

// listeningSender tells Leaving of each answer that says that its server is
// leaving.
type listeningSender struct {
	backend.Sender
	leaving *Leaving
}

// Send implements backend.Sender.
func (s *listeningSender) Send(ctx context.Context, r backend.Request) (backend.Reply, error) {
	reply, err := s.Sender.Send(ctx, r)
	if reply.Leaving {
		s.leaving.heard(time.Now(), r.Address)
	}
	return reply, err
}

// Is returns true if the server said that it is leaving.
func (l *Leaving) Is(s resource.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.servers.IsLeaving(drain.Server{Name: s.Name, Address: s.Address})
}

// heard takes an answer of the server at address that says that it is leaving.
func (l *Leaving) heard(now time.Time, address string) {
	for _, servers := range l.store.Snapshot().Servers {
		for _, s := range servers {
			if s.Address == address {
				l.said(now, drain.Server{Name: s.Name, Address: address}, drain.Contact)
			}
		}
	}
}

func (l *Leaving) said(now time.Time, server drain.Server, source drain.Source) {
	l.mutex.Lock()
	actions := l.servers.Said(now, server, source)
	l.mutex.Unlock()
	if len(actions) > 0 {
		l.ring.Add(now, timeline.Event{Kind: timeline.Drained, Server: server.Name, Detail: string(source)})
	}
	l.execute(actions)
}

// tick takes the present list and configuration, and checks servers that may
// have come back.
func (l *Leaving) tick(ctx context.Context) {
	snapshot := l.store.Snapshot()
	declared := map[drain.Server]bool{}
	for _, servers := range snapshot.Servers {
		for _, s := range servers {
			declared[drain.Server{Name: s.Name, Address: s.Address}] = true
		}
	}
	l.mutex.Lock()
	l.servers.Known(func(s drain.Server) bool { return declared[s] })
	actions := l.servers.Listed(func(s drain.Server) bool { return l.directory.Leaving(string(s.Name)) })
	if ctx.Err() == nil {
		actions = append(actions, l.servers.Tick(time.Now())...)
	}
	l.mutex.Unlock()
	l.execute(actions)
}

func (l *Leaving) execute(actions []drain.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case drain.Apply:
			l.changed()
		case drain.Check:
			go l.check(a.Server)
		case drain.Tell:
			l.tell(a.Server)
		}
	}
}

// check asks a server for its health.
func (l *Leaving) check(server drain.Server) {
	health, err := l.sender.Check(context.Background(), server.Address)
	now := time.Now()
	present := err == nil && !health.Leaving
	l.mutex.Lock()
	actions := l.servers.Checked(now, server, present)
	l.mutex.Unlock()
	if present {
		l.ring.Add(now, timeline.Event{Kind: timeline.Returned, Server: server.Name})
	}
	l.execute(actions)
}

// tell sends one message to each other entry host.
func (l *Leaving) tell(server drain.Server) {
	for _, m := range l.directory.Hosts() {
		if m.ID == string(l.identity.Host) {
			continue
		}
		l.told.Add(1)
		go l.tellHost(m, server)
	}
}

func (l *Leaving) tellHost(m storage.Member, server drain.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	if _, err := peer.Call[ServerLeaving, struct{}](ctx, l.links, m.Address, kindServerLeaving, ServerLeaving{Server: server}); err != nil {
		l.logger.WithError(err).WithField("peer", m.ID).Debug("not told that a server is leaving")
	}
}

// listen registers the messages of other hosts.
func (l *Leaving) listen() {
	peer.Handle(l.links, kindServerLeaving, func(_ context.Context, m ServerLeaving) (struct{}, error) {
		l.said(time.Now(), m.Server, drain.Peer)
		return struct{}{}, nil
	})
}

// runLeaving puts the set of leaving servers in force and looks at it.
func runLeaving(life fx.Lifecycle, l *Leaving, d *Dispatcher) {
	d.leaving = l.Is
	l.changed = func() { d.Configure(l.store.Snapshot(), l.directory) }
	l.listen()
	ctx, cancel := context.WithCancel(context.Background())
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go every(ctx, leavingTick, l.tick)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}
