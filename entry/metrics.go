package entry

import (
	"context"
	"expvar"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/commit"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

// Metrics holds the metrics of one daemon. docs/METRICS.md lists all names.
type Metrics struct {
	set *metrics.Set

	answers     *expvar.Map
	outcomes    *expvar.Map
	requests    *expvar.Map
	open        atomic.Int64
	requestTime *metrics.Histogram

	backendOutcomes *expvar.Map
	queueTime       *metrics.Histogram
	runTime         *metrics.Histogram

	tableFailures *expvar.Int
	tableReads    *expvar.Int
	tableTime     *metrics.Histogram
}

func newMetrics() *Metrics {
	s := metrics.NewSet()
	m := &Metrics{
		set:             s,
		answers:         s.Counters("answers"),
		outcomes:        s.Counters("outcomes"),
		requests:        s.Counters("requests"),
		requestTime:     s.Histogram("requestMicroseconds"),
		backendOutcomes: s.Counters("backendOutcomes"),
		queueTime:       s.Histogram("queueMicroseconds"),
		runTime:         s.Histogram("runMicroseconds"),
		tableFailures:   s.Counter("tableFailures"),
		tableReads:      s.Counter("tableReads"),
		tableTime:       s.Histogram("tableMicroseconds"),
	}
	s.Func("openRequests", func() any { return m.open.Load() })
	return m
}

// metricSources holds the components that have counters of their own.
type metricSources struct {
	batcher    *commit.Batcher
	dispatcher *Dispatcher
	jobs       *Jobs
	links      *peer.Links
	ring       *timeline.Ring
	sender     backend.Sender
	store      *resource.Store
}

// register adds the counters of other components.
func (m *Metrics) register(p metricSources) {
	count := func(name string, f func() int64) { m.set.Func(name, func() any { return f() }) }
	count("backendMessages", func() int64 { return sentMessages(p.sender) })
	count("configAgeMilliseconds", func() int64 { return configAge(p.store.Snapshot(), time.Now()) })
	count("configRevision", func() int64 { return int64(p.store.Snapshot().Revision) })
	count("heldJobs", p.jobs.heldCount)
	count("peerReceivedBytes", p.links.Statistics.ReceivedBytes.Load)
	count("peerSentBytes", p.links.Statistics.SentBytes.Load)
	count("peerSentFrames", p.links.Statistics.SentFrames.Load)
	count("tableRows", p.batcher.Rows.Load)
	count("tableTransactions", p.batcher.Transactions.Load)
	count("timelineOverwritten", func() int64 { return int64(p.ring.Overwritten()) })
	if c, ok := p.sender.(*backend.Client); ok {
		m.set.Add("backendConnections", c.Counters.Map())
	}
	m.set.Func("events", func() any { return p.ring.Counts() })
	m.set.Func("queueLength", func() any { return p.dispatcher.queueLengths() })
}

// registerPlatform adds the traffic to and from the services of the platform.
func (m *Metrics) registerPlatform(r *network.Counting) {
	m.set.Func("platformReceivedBytes", func() any { return r.Received.Load() })
	m.set.Func("platformSentBytes", func() any { return r.Sent.Load() })
}

// sentMessages returns the number of messages that a sender has sent.
func sentMessages(s backend.Sender) int64 {
	if c, ok := s.(*backend.Client); ok {
		return c.Counters.Messages.Value()
	}
	return 0
}

// configAge returns the time since a snapshot was applied in milliseconds, or
// zero if none was.
func configAge(s *resource.Snapshot, now time.Time) int64 {
	if s.Revision == 0 {
		return 0
	}
	return now.Sub(s.Applied).Milliseconds()
}

// queueLengths returns the number of queued tasks and requests of each pool.
func (d *Dispatcher) queueLengths() map[ident.Pool]int {
	pools := *d.pools.Load()
	lengths := make(map[ident.Pool]int, len(pools))
	for name, q := range pools {
		q.mutex.Lock()
		lengths[name] = q.pool.Waiting()
		q.mutex.Unlock()
	}
	return lengths
}

// heldCount returns the number of jobs that this host holds.
func (j *Jobs) heldCount() int64 {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return int64(len(j.held))
}

// measure is middleware that counts requests and responses.
func (m *Metrics) measure(c *gin.Context) {
	start := time.Now()
	m.requests.Add(routeOf(c), 1)
	m.open.Add(1)
	defer m.open.Add(-1)
	c.Next()
	m.requestTime.Record(time.Since(start))
	m.answers.Add(strconv.Itoa(c.Writer.Status()), 1)
	if e := outcomeOf(c); e != nil {
		m.outcomes.Add(outcomeLabel(e), 1)
	}
}

// routeOf returns the metric label of a request's route. Requests for unknown
// paths share a label, so that callers can not make the metrics grow.
func routeOf(c *gin.Context) string {
	if c.FullPath() == "" {
		return "other"
	}
	return c.Request.Method + " " + c.FullPath()
}

// recordDispatch records the end of one message to a backend server.
func (m *Metrics) recordDispatch(waited, took time.Duration, failure *outcome.Error) {
	m.queueTime.Record(waited)
	m.runTime.Record(took)
	m.backendOutcomes.Add(outcomeLabel(failure), 1)
}

// outcomeLabel returns the metric label of an outcome: its kind and code.
func outcomeLabel(e *outcome.Error) string {
	if e == nil {
		return "answered"
	}
	return string(e.Kind) + "." + string(e.Code)
}

// measuredTable is a table that records its calls in the metrics.
type measuredTable struct {
	storage.Table
	metrics *Metrics
}

// Commit implements storage.Table.
func (t measuredTable) Commit(ctx context.Context, writes []storage.Write) ([]storage.Result, error) {
	for _, w := range writes {
		t.metrics.tableReads.Add(int64(len(w.Reads)))
	}
	start := time.Now()
	results, err := t.Table.Commit(ctx, writes)
	t.recordCall(start, err)
	return results, err
}

// Get implements storage.Table.
func (t measuredTable) Get(ctx context.Context, key string) (*storage.Row, ident.Revision, error) {
	t.metrics.tableReads.Add(1)
	start := time.Now()
	row, revision, err := t.Table.Get(ctx, key)
	t.recordCall(start, err)
	return row, revision, err
}

// List implements storage.Table.
func (t measuredTable) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, ident.Revision, error) {
	t.metrics.tableReads.Add(1)
	start := time.Now()
	rows, revision, err := t.Table.List(ctx, prefix, after, limit)
	t.recordCall(start, err)
	return rows, revision, err
}

// ListChanged implements storage.Table.
func (t measuredTable) ListChanged(ctx context.Context, r storage.Read) ([]storage.Row, error) {
	t.metrics.tableReads.Add(1)
	start := time.Now()
	rows, err := t.Table.ListChanged(ctx, r)
	t.recordCall(start, err)
	return rows, err
}

func (t measuredTable) recordCall(start time.Time, err error) {
	t.metrics.tableTime.Record(time.Since(start))
	if err != nil {
		t.metrics.tableFailures.Add(1)
	}
}
