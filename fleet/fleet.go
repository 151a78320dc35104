// Package fleet implements the daemon of an entry host on a platform that lists
// the workers. The hosts find each other in the platform's table, one of them owns
// the workers of each data centre, and all of them accept jobs from callers and
// submit them to an owner.
package fleet

import (
	"cmp"
	"context"
	"io"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/catkingap/catkingap/decoding"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/pause"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/queue"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/worker"
)

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, s worker.Start) worker.Answer
	Stop(ctx context.Context, s worker.Stop) worker.Answer
	// Poll polls a worker. It returns a report only with the verdict Accepted.
	Poll(ctx context.Context, l worker.Poll) (*worker.Report, worker.Verdict)
	// Reach returns nil if the worker's host accepts a connection.
	Reach(ctx context.Context, w worker.Worker) error
}

// Decoder decodes the rows that other systems write into the platform's table.
type Decoder interface {
	// Groups returns the group of the worker rows, and the group and the key of the
	// configuration row.
	Groups() (workers, configuration, key string)
	// Worker decodes a worker row.
	Worker(r storage.Row) (worker.Worker, error)
	// Configuration decodes the configuration row.
	Configuration(r storage.Row) (queue.Configuration, error)
	// EvacuatedCentre returns the data centre that the row with a key, in the group of the
	// configuration, evacuates. It returns false for other rows.
	EvacuatedCentre(key string) (ident.DataCentre, bool)
}

// Settings configures the daemon of one host.
type Settings struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// DataCentres lists all known data centres.
	DataCentres []ident.DataCentre
	// PeerAddress is the address on which this host listens for other hosts.
	PeerAddress string
	// AdvertisedAddress is the address at which other hosts reach this one. Empty
	// means PeerAddress.
	AdvertisedAddress string
	// Seeds lists addresses of other hosts, some of which may be stale.
	Seeds []string
	// Cores is the processor capacity of the host in cores.
	Cores float64
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// FarFactor is the factor by which a task takes longer outside its rack.
	FarFactor float64
	// LookAhead is true if owners reserve workers for large tasks that wait.
	LookAhead bool
	// Resend is the time after which a caller whose connection broke resubmits its
	// job.
	Resend time.Duration
	// EvacuationTime is the time within which the evacuation of a data centre must be in
	// force. Zero means that evacuation is off.
	EvacuationTime time.Duration
	// ColdSlack is the number of starts below which a burst on a cold worker must stay.
	ColdSlack float64
	// Retention is how long the state of a stored job can be queried after its end.
	Retention time.Duration
	// RowBytes is the largest value of a row that the table stores. Zero means a default.
	RowBytes int
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	// Connections holds the connections that are accepted. Zero means no bound.
	Connections intake.Allotment
	// Memory is the memory of the host. Zero means that jobs of other hosts are not bounded.
	Memory intake.Bytes
	// MetricsAddress is the address that serves the metrics. Empty disables them.
	MetricsAddress string
	LogLevel       string
}

// Options holds the dependencies of the daemon.
type Options struct {
	Settings Settings
	Log      io.Writer
	Network  network.Network
	Table    storage.Table
	Feed     storage.Feed
	Decoder  Decoder
	Workers  Workers
	// Clock is the machine's clock. Nil means time.Now.
	Clock Clock
}

// Clock returns the current time. Unlike the difference of two readings of
// time.Now, it includes time during which the machine was suspended.
type Clock func() time.Time

const (
	peerWriteTimeout = time.Second
	// peerSilenceTimeout is the time without a byte after which a link with open
	// calls is pinged. After the same time again the link is closed. Contacts keep
	// the silence of a working link far below it.
	peerSilenceTimeout = 300 * time.Millisecond
)

// New returns the fx application of one entry host. The options in more are added to it.
func New(o Options, more ...fx.Option) *fx.App {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o.Settings),
		fx.Provide(
			func() network.Network { return o.Network },
			func() storage.Table { return o.Table },
			func() storage.Feed { return o.Feed },
			func() Decoder { return o.Decoder },
			func() Workers { return o.Workers },
			func() Clock { return o.Clock },
			func() logOutput { return o.Log },
			newLogger,
			metrics.NewSet,
			newCounters,
			func(c Clock, l log.Interface) *pause.Detector { return pause.New(c, l) },
			newSelf,
			newLinks,
			newEvacuation,
			newConfiguration,
			newDirectory,
			newContacts,
			newRoster,
			newJobBudget,
			newCallGate,
			newOwners,
			newSubmitter,
			newShutdown,
		),
		fx.Invoke(runConfiguration, runDirectory, runContacts, runOwners, runLinks, runMetrics),
		fx.Invoke(func(life fx.Lifecycle, d *pause.Detector) { runLoops(life, d.Run) }),
		fx.StopTimeout(o.Settings.ShutdownTimeout),
		fx.Options(more...),
	)
}

// newSelf returns the identity of this process.
func newSelf(s Settings) ownership.Host {
	return ownership.Host{
		Name: s.Host, Boot: ident.NewToken(), Address: cmp.Or(s.AdvertisedAddress, s.PeerAddress),
		DataCentre: s.DataCentre, Cores: s.Cores,
	}
}

func newLinks(l log.Interface, n network.Network) *peer.Links {
	return peer.NewLinks(peer.Config{Logger: l, Network: n, WriteTimeout: peerWriteTimeout, SilenceTimeout: peerSilenceTimeout})
}

// runLinks serves the links to other hosts. The unnamed parameters make fx build
// the components that register handlers first.
func runLinks(life fx.Lifecycle, s Settings, n network.Network, links *peer.Links, calls *decoding.Gate, _ *Contacts, _ *Owners, _ *Configuration, _ *Submitter) {
	var listener net.Listener
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var err error
			if listener, err = n.Listen(s.PeerAddress); err != nil {
				return errors.Wrap(err, "address for other hosts")
			}
			links.LimitAccepted(s.Connections.Peers)
			links.LimitCalls(calls)
			go func() { _ = links.Serve(listener) }()
			return nil
		},
		OnStop: func(context.Context) error {
			listener.Close()
			links.Close()
			return nil
		},
	})
}

// runLoops starts loops with the application and cancels them when it stops.
func runLoops(life fx.Lifecycle, loops ...func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, l := range loops {
				go l(ctx)
			}
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
