// Package fleet is the daemon of an entry host on a platform that lists the
// workers: the hosts find each other in the platform's table, one of them owns
// the workers of each data centre, and all of them take jobs from callers and
// hand them to an owner.
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

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/queue"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/worker"
)

// Workers gives orders to workers.
type Workers interface {
	Start(ctx context.Context, s worker.Start) worker.Answer
	Stop(ctx context.Context, s worker.Stop) worker.Answer
	// Look returns a report only with the verdict Accepted.
	Look(ctx context.Context, l worker.Look) (*worker.Report, worker.Verdict)
	// Reach returns nil if the worker's host accepts a connection.
	Reach(ctx context.Context, w worker.Worker) error
}

// Decoder reads what others write into the platform's table.
type Decoder interface {
	// Groups returns the group of the workers' rows, the group of the
	// configuration's row, and that row's key.
	Groups() (workers, configuration, key string)
	// Worker returns the worker of a row.
	Worker(r storage.Row) (worker.Worker, error)
	// Configuration returns the configuration of a row.
	Configuration(r storage.Row) (queue.Configuration, error)
}

// Settings are what a host knows of itself and its surroundings.
type Settings struct {
	Host       ident.Host
	DataCentre ident.DataCentre
	// DataCentres are all known ones.
	DataCentres []ident.DataCentre
	// PeerAddress is where this host listens for other hosts.
	PeerAddress string
	// AdvertisedAddress is where other hosts reach this one, or empty if that is
	// PeerAddress.
	AdvertisedAddress string
	// Seeds are addresses of other hosts that may be stale.
	Seeds []string
	// Cores is the processor of the host, in cores.
	Cores float64
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// FarFactor is how many times as long a task takes away from its rack.
	FarFactor float64
	// Resend is how long after the end of its connection a caller sends its job
	// again.
	Resend time.Duration
	// Retention is how long the state of a job that lasts can be asked for after
	// its end.
	Retention time.Duration
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	// MetricsAddress serves the metrics, or is empty.
	MetricsAddress string
	LogLevel       string
}

// Options builds the daemon's fx application.
type Options struct {
	Settings Settings
	Log      io.Writer
	Network  network.Network
	Table    storage.Table
	Feed     storage.Feed
	Decoder  Decoder
	Workers  Workers
	// Clock is that of the machine. Nil stands for time.Now.
	Clock Clock
}

// Clock returns the present time. It also counts the time in which the machine
// was suspended, which time.Now does not between two of its readings.
type Clock func() time.Time

const (
	peerWriteTimeout = time.Second
	// peerSilence is the time without a byte after which a link with open calls
	// is pinged, and after as much again is closed. Contacts keep living links
	// far below it.
	peerSilence = 300 * time.Millisecond
)

// New returns the fx application of one entry host, with more options added.
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
			newWatch,
			newSelf,
			newLinks,
			newConfiguration,
			newDirectory,
			newContacts,
			newRoster,
			newOwners,
			newSubmitter,
			newShutdown,
		),
		fx.Invoke(runConfiguration, runDirectory, runContacts, runOwners, runLinks, runMetrics, runWatch),
		fx.StopTimeout(o.Settings.ShutdownTimeout),
		fx.Options(more...),
	)
}

// newSelf returns who this process is.
func newSelf(s Settings) ownership.Host {
	return ownership.Host{
		Name: s.Host, Boot: ident.NewToken(), Address: cmp.Or(s.AdvertisedAddress, s.PeerAddress),
		DataCentre: s.DataCentre, Cores: s.Cores,
	}
}

func newLinks(l log.Interface, n network.Network) *peer.Links {
	return peer.NewLinks(peer.Config{Logger: l, Network: n, WriteTimeout: peerWriteTimeout, SilenceTimeout: peerSilence})
}

// runLinks serves the links to other hosts. The handlers are registered by the
// parts before.
func runLinks(life fx.Lifecycle, s Settings, n network.Network, links *peer.Links, _ *Contacts, _ *Owners, _ *Configuration, _ *Submitter) {
	var listener net.Listener
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var err error
			if listener, err = n.Listen(s.PeerAddress); err != nil {
				return errors.Wrap(err, "address for other hosts")
			}
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

// background runs loops that end when the application stops.
func background(life fx.Lifecycle, loops ...func(ctx context.Context)) {
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

// pause waits for d, or returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
