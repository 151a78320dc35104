package cmd

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/decoding"
	"github.com/catkingap/catkingap/fleet"
	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/platform"
	"github.com/catkingap/catkingap/steady"
)

const (
	// readHeaderTimeout is the time within which a caller must send the header of
	// a request.
	readHeaderTimeout = 3 * time.Second
	// callerIdleTimeout is how long a caller's connection may be idle. It is longer
	// than callers keep idle connections, so that none is closed while a caller
	// sends a request on it.
	callerIdleTimeout = time.Minute
	// tableIdleConnections bounds the idle connections to the platform's table. The
	// daemon uses four at once: two feeds, the list of workers and a write.
	tableIdleConnections = 4
	// finalAnswerTimeout bounds the time to send the last answers at shutdown.
	finalAnswerTimeout = 200 * time.Millisecond
)

func (c *Config) newServeCmd() *cobra.Command {
	var file, advertised string
	var lookAhead bool
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run the daemon of an entry host on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.runServeCmd(command.Context(), file, advertised, lookAhead)
		},
	}
	command.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsVariable),
		"settings file of the platform, by default the one that "+platform.SettingsVariable+" names")
	command.Flags().BoolVar(&lookAhead, "look-ahead", false,
		"reserve workers for large tasks that wait, at the cost of smaller ones")
	command.Flags().StringVar(&advertised, "advertise", "",
		"address at which other hosts reach this one, by default the one that the settings name")
	return command
}

// runServeCmd runs the daemon until SIGTERM or SIGINT, and then shuts it down
// gracefully.
func (c *Config) runServeCmd(ctx context.Context, file, advertised string, lookAhead bool) error {
	if file == "" {
		return errors.Newf("no settings: name a file by --settings or by %s", platform.SettingsVariable)
	}
	s, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	s.Fleet.AdvertisedAddress, s.Fleet.LookAhead = advertised, lookAhead
	s.Fleet.Memory = httplimit.SetMemory(s.Memory)
	s.Fleet.Connections = intake.Allot(httplimit.Descriptors(s.Descriptors), s.Fleet.Memory)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// SIGHUP announces a changed settings file, but the settings of a host do not
	// change while it runs.
	signal.Ignore(syscall.SIGHUP)
	var shutdown *fleet.Shutdown
	var submitter *fleet.Submitter
	var configuration *fleet.Configuration
	var set *metrics.Set
	var logger log.Interface
	answers, bodies := decoding.NewGate(s.Fleet.Memory), decoding.NewGate(s.Fleet.Memory)
	app := fleet.New(c.fleetOptions(s, answers), fx.Populate(&shutdown, &submitter, &configuration, &set, &logger))
	if err := app.Err(); err != nil {
		return err
	}
	answers.Publish(set, "answersWaited", logger)
	bodies.Publish(set, "bodiesWaited", logger)
	if err := app.Start(ctx); err != nil {
		return err
	}
	ingress := platform.NewIngress(platform.IngressConfig{
		Dispatcher: submitter, Queues: configuration.Table,
		Ready: shutdown.Ready, CloseConnections: shutdown.Closing, MustRefuse: shutdown.MustRefuse, Rejected: submitter.Rejected,
		Gate: bodies,
	})
	callers := httplimit.New(httplimit.Config{
		Handler: ingress.Handler(), Logger: logger, Budget: intake.NewBudget(s.Fleet.Memory, platform.MaxBodyBytes), Connections: s.Fleet.Connections.Callers,
		HeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
	})
	callers.Publish(set)
	if err := c.serveHTTP(s.CallerAddress, callers); err != nil {
		return errors.Wrap(err, "address for callers")
	}
	readiness := httplimit.New(httplimit.Config{
		Handler: ingress.ReadyHandler(), Connections: s.Fleet.Connections.Readiness, HeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
	})
	if err := c.serveHTTP(s.ReadyAddress, readiness); err != nil {
		return errors.Wrap(err, "address for the balancer")
	}
	<-signals
	shutdown.Run(ctx)
	// Open requests are answered; connections without a request are closed.
	last, cancel := context.WithTimeout(ctx, finalAnswerTimeout)
	defer cancel()
	if err := callers.Shutdown(last); err != nil {
		_ = callers.Close()
	}
	_ = readiness.Close()
	return app.Stop(ctx)
}

// fleetOptions returns the options of the daemon, including its connections to the
// platform.
func (c *Config) fleetOptions(s platform.Settings, g *decoding.Gate) fleet.Options {
	table := platform.NewTable(&http.Client{Transport: &http.Transport{
		DialContext: c.network.DialContext, MaxIdleConnsPerHost: tableIdleConnections, DisableCompression: true,
	}}, s.TableAddress)
	return fleet.Options{
		Settings: s.Fleet, Log: c.stdout, Network: c.network, Table: table, Feed: table,
		Decoder: platform.Decoder{}, Workers: platform.NewWorkers(platform.WorkersConfig{Dial: c.network.DialContext, Gate: g}),
		Clock: steady.Now,
	}
}

// serveHTTP serves the connections to an address.
func (c *Config) serveHTTP(address string, s *httplimit.Server) error {
	listener, err := c.network.Listen(address)
	if err != nil {
		return err
	}
	go func() { _ = s.Serve(listener) }()
	return nil
}
