// Package entry is the daemon of an entry host: it accepts jobs and requests
// from callers, dispatches them to backend servers and returns the answers.
package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/commit"
	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

// Timeouts and limits, the same on each entry host.
const (
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout       = time.Second
	idleTimeout          = 90 * time.Second
	platformMaxIdleConns = 8
	peerWriteTimeout     = 2 * time.Second
	peerSilenceTimeout   = time.Second
	// commitMaxWrites and commitMaxBytes stay below etcd's default limits of
	// 128 operations and 1.5 MiB for a transaction.
	commitMaxWrites = 100
	commitMaxBytes  = 1 << 20
	commitBurst     = 10
	commitMinPause  = 20 * time.Millisecond
	commitMaxPause  = 250 * time.Millisecond
	// tableWritesPerSecond is the number of transactions per second that all
	// entry hosts together may send to the table.
	tableWritesPerSecond = 300
	headerReadTimeout    = 10 * time.Second
	// bodyReadTimeout bounds the time to receive the body of a request.
	bodyReadTimeout = 30 * time.Second
	// callerIdleTimeout is longer than callers keep idle connections.
	callerIdleTimeout  = 2 * time.Minute
	storeRetryDelay    = time.Second
	settleReadInterval = 100 * time.Millisecond

	// serverIdleTimeout is the idle time after which a connection to a backend
	// server is not used again.
	serverIdleTimeout  = time.Second
	serverCheckTimeout = time.Second
	// serverSilence, or serverSilenceFactor times the longest run time of a
	// server, is how long a busy connection may be silent.
	serverSilence       = 10 * time.Second
	serverSilenceFactor = 8
	serverChecks        = 3
)

// Listeners holds the open sockets of the daemon.
type Listeners struct {
	API  net.Listener
	Peer net.Listener
}

// Identity identifies this process: its host, boot token and data centre.
type Identity struct {
	job.Holder
	DataCentre ident.DataCentre
}

// Options configures the fx application of the daemon.
type Options struct {
	Settings settings.Settings
	// Log receives the log as JSON lines.
	Log io.Writer
	// Network opens the sockets of the daemon.
	Network network.Network
}

// New returns the fx application of an entry host with additional options.
func New(o Options, more ...fx.Option) *fx.App {
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o.Settings),
		fx.Provide(
			func() network.Network { return o.Network },
			func(s settings.Settings) (log.Interface, error) { return newLogger(o.Log, s) },
			newIdentity,
			newMetrics,
			newRequestLog,
			newRing,
			newListeners,
			newPlatformClient,
			newTable,
			newObjects,
			newMembership,
			newBatcher,
			resource.NewStore,
			newLinks,
			newBackendClient,
			newLeavingTracker,
			newSender,
			newDirectory,
			newProber,
			newRollout,
			newStatuses,
			newDispatcher,
			newJobs,
			newHandover,
			newLending,
			newServices,
			newShutdown,
			newTimelines,
			newAPI,
		),
		fx.Invoke(
			registerMetrics,
			runBackground,
			runPeer,
			runHostWatcher,
			runRetention,
			runLeaving,
			runLending,
			runAPI,
		),
		// The lifecycle hooks apply the timeouts of the settings themselves.
		fx.StopTimeout(time.Duration(o.Settings.ShutdownTimeout)+cutAnswerTime+closeTime+time.Second),
		fx.Options(more...),
	)
}

func newIdentity(s settings.Settings) Identity {
	return Identity{Holder: job.Holder{Host: s.Host, Boot: ident.NewToken()}, DataCentre: s.DataCentre}
}

func newRing(s settings.Settings, l log.Interface) *timeline.Ring {
	ring := timeline.NewRing(s.Host, time.Now(), s.Limits.TimelineEvents)
	ring.Observe(logEvents(l, s))
	return ring
}

func newListeners(s settings.Settings, n network.Network) (Listeners, error) {
	api, err := n.Listen(s.Listen.API)
	if err != nil {
		return Listeners{}, errors.Wrap(err, "listen.api")
	}
	link, err := n.Listen(s.Listen.Peer)
	if err != nil {
		api.Close()
		return Listeners{}, errors.Wrap(err, "listen.peer")
	}
	return Listeners{API: api, Peer: link}, nil
}

// newPlatformClient returns the HTTP client for all services of the platform.
func newPlatformClient(s settings.Settings, n network.Network, m *Metrics) *http.Client {
	counting := &network.Counting{Network: n}
	m.registerPlatform(counting)
	return &http.Client{
		Timeout:   time.Duration(s.Platform.Timeout),
		Transport: &http.Transport{DialContext: counting.DialContext, MaxIdleConnsPerHost: platformMaxIdleConns, IdleConnTimeout: idleTimeout},
	}
}

func newTable(s settings.Settings, c *http.Client, m *Metrics) storage.Table {
	return measuredTable{Table: storage.NewRemoteTable(c, s.Platform.Table), metrics: m}
}

func newObjects(s settings.Settings, c *http.Client) storage.Objects {
	return storage.NewRemoteObjects(c, s.Platform.Objects)
}

func newMembership(s settings.Settings, c *http.Client) storage.Membership {
	return storage.NewRemoteMembership(c, s.Platform.Membership)
}

func newBatcher(s settings.Settings, t storage.Table) *commit.Batcher {
	return commit.NewBatcher(commit.Config{
		Table:   t,
		Timeout: time.Duration(s.Platform.Timeout),
		Window: commit.WindowConfig{
			Rate:      tableWritesPerSecond,
			Burst:     commitBurst,
			MaxWrites: commitMaxWrites,
			MaxBytes:  commitMaxBytes,
			MinPause:  commitMinPause,
			MaxPause:  commitMaxPause,
		},
	})
}

func newLinks(l log.Interface, n network.Network) *peer.Links {
	return peer.NewLinks(peer.Config{Logger: l, Network: n, WriteTimeout: peerWriteTimeout, SilenceTimeout: peerSilenceTimeout})
}

func newBackendClient(s settings.Settings, n network.Network) *backend.Client {
	return backend.NewClient(backend.ClientConfig{
		Network:      n,
		Connections:  s.Limits.Connections,
		IdleTimeout:  serverIdleTimeout,
		CheckTimeout: serverCheckTimeout,
		Silence: backend.SilenceConfig{
			Floor: serverSilence, Factor: serverSilenceFactor, Checks: serverChecks, CheckPause: serverCheckTimeout,
		},
	})
}

// registerMetrics adds the counters of all components to the metrics.
func registerMetrics(m *Metrics, b *commit.Batcher, d *Dispatcher, j *Jobs, l *peer.Links, r *timeline.Ring, client *backend.Client, store *resource.Store) {
	m.register(metricSources{batcher: b, dispatcher: d, jobs: j, links: l, ring: r, sender: client, store: store})
}

// allotment returns how many connections this host accepts.
func allotment(s settings.Settings) intake.Allotment {
	memory := httplimit.SetMemory(intake.Bytes(s.Limits.MemoryMB) << 20)
	return intake.Allot(httplimit.Descriptors(intake.Descriptors(s.Limits.Descriptors)), memory)
}

// runPeer serves the connections from other entry hosts.
func runPeer(lc fx.Lifecycle, s settings.Settings, l Listeners, links *peer.Links, jobs *Jobs, timelines *Timelines, p *Prober, r *Rollout) {
	links.LimitAccepted(allotment(s).Peers)
	jobs.register(links)
	p.register(links)
	r.register(links)
	timelines.register(links)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { _ = links.Serve(l.Peer) }()
			return nil
		},
		OnStop: func(context.Context) error {
			l.Peer.Close()
			links.Close()
			return nil
		},
	})
}
