package fleet

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/explain"
	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/logline"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/sharing"
)

// logOutput is the destination of the log.
type logOutput io.Writer

// newLogger returns a logger that writes JSON lines and never blocks on its output.
func newLogger(life fx.Lifecycle, o logOutput, s Settings) (log.Interface, error) {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	lines := logline.NewWriter(o)
	runLoops(life, lines.Run)
	logger := &log.Logger{Handler: json.New(lines), Level: level}
	return logger.WithField("host", string(s.Host)), nil
}

// Counters holds the metrics of this host.
type Counters struct {
	// orders counts the orders to workers by kind and verdict.
	orders *expvar.Map
	// panics counts the events of owners that panicked.
	panics *expvar.Int
	// pauses counts the times that an ownership of this host handled no event for longer
	// than pauseThreshold.
	pauses *expvar.Int
	// results counts the jobs of this host's callers by result.
	results *expvar.Map
	// response is the time from a caller's request to its response.
	response *metrics.Histogram
	// owner counts the events of this host's owners.
	owner ownerCounters
	// workersLost counts the workers that were lost with their runs, and runsLost the runs
	// that ended for another reason than their task, by cause; reservations counts those for large tasks.
	workersLost, runsLost, reservations *expvar.Map
	// workerSpeeds counts the workers that have become slow and those that have recovered.
	workerSpeeds *expvar.Map
	// suspectStarts counts the starts of tasks that workers were lost under, and
	// tasksGivenUp the jobs that were ended because of such a task, by cause.
	suspectStarts *expvar.Int
	tasksGivenUp  *expvar.Map
	// jobsWithoutMemory counts the jobs that owners refused for want of memory.
	jobsWithoutMemory *expvar.Int
	// refusals counts the jobs that this host's owners have refused, by queue, and shortages
	// how often a pool has become short of capacity. queueNames bounds the labels of refusals.
	refusals   *expvar.Map
	shortages  *expvar.Int
	queueNames sharing.Names
	// withdrawals counts the withdrawals of jobs whose callers have left, by outcome.
	withdrawals *expvar.Map
	// evacuations counts the evacuations that began and ended in the view of this host, and
	// evacuatedJobs the jobs that left an owner of this host because of one, by result.
	evacuations, evacuatedJobs *expvar.Map
	// coldStarts counts the starts on cold workers.
	coldStarts *expvar.Int
	// deferredPolls counts the polls of workers that had to wait for earlier ones, and
	// crowdedWorkers how often a worker had too many runs and ends to get another run. heldStarts
	// counts how often tasks had to wait for the answers to other starts.
	deferredPolls, crowdedWorkers, heldStarts *expvar.Int
}

// The outcomes of withdrawals: an owner of this host received one and knew the job or
// did not, or this host could not deliver one.
const (
	withdrawalKnown   = "known"
	withdrawalLost    = "lost"
	withdrawalUnknown = "unknown"
)

func newCounters(s *metrics.Set, l *peer.Links) *Counters {
	s.Func("peerSentBytes", func() any { return l.Statistics.SentBytes.Load() })
	s.Func("peerReceivedBytes", func() any { return l.Statistics.ReceivedBytes.Load() })
	s.Func("peerPanics", func() any { return l.Statistics.Panics.Load() })
	s.Func("peerSilentLinks", func() any { return l.Statistics.Silent.Load() })
	s.Func("peerShedLinks", func() any { return l.Statistics.Shed.Load() })
	return &Counters{
		owner:  ownerCounters{events: s.Counters("ownerEvents"), busy: s.Counters("ownerBusyUs"), lag: s.Histogram("ownerLag")},
		orders: s.Counters("orders"), panics: s.Counter("ownerPanics"), pauses: s.Counter("pauses"), results: s.Counters("results"),
		response: s.Histogram("response"), withdrawals: s.Counters("withdrawals"),
		coldStarts: s.Counter("coldStarts"), deferredPolls: s.Counter("deferredPolls"), crowdedWorkers: s.Counter("crowdedWorkers"), heldStarts: s.Counter("heldStarts"), evacuations: s.Counters("evacuations"), evacuatedJobs: s.Counters("evacuatedJobs"),
		workersLost: s.Counters("workersLost"), runsLost: s.Counters("runsLost"), workerSpeeds: s.Counters("workerSpeeds"),
		jobsWithoutMemory: s.Counter("jobsWithoutMemory"), suspectStarts: s.Counter("suspectStarts"), tasksGivenUp: s.Counters("tasksGivenUp"),
		refusals: s.Counters("refusals"), shortages: s.Counter("shortages"), reservations: s.Counters("reservations"),
	}
}

// runMetrics serves the metrics, and explains where a job would go.
func runMetrics(life fx.Lifecycle, s Settings, n network.Network, set *metrics.Set, self ownership.Host, logger log.Interface, x *Submitter, c *Configuration) {
	if s.MetricsAddress == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", set.Handler())
	mux.Handle(explain.Path, explain.Handler(func(r explain.Request) (*explain.Answer, error) { return x.explain(c.Table(), r) }))
	server := httplimit.New(httplimit.Config{
		Handler: mux, Connections: s.Connections.Metrics, HeaderTimeout: time.Second, IdleTimeout: time.Minute,
	})
	var listener net.Listener
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			var err error
			logger.WithField("boot", self.Boot).Info("started")
			if listener, err = n.Listen(s.MetricsAddress); err != nil {
				// Callers are served even without metrics.
				logger.WithField("address", s.MetricsAddress).WithError(err).Error("metrics are not served")
				return nil
			}
			go func() { _ = server.Serve(listener) }()
			return nil
		},
		OnStop: func(context.Context) error { return server.Close() },
	})
}
