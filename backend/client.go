package backend

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/outcome"
)

// ClientConfig builds a Client.
type ClientConfig struct {
	// Network opens the connections.
	Network network.Network
	// Connections limits the connections in use to one backend server.
	Connections int
	// IdleTimeout is the time without a byte after which an idle connection
	// is closed and carries no request.
	IdleTimeout time.Duration
	// CheckTimeout bounds a health check.
	CheckTimeout time.Duration
	// Silence bounds how long a busy connection may show no life.
	Silence SilenceConfig
}

// Client is the Sender over HTTP. It is safe for concurrent use.
type Client struct {
	Counters Counters

	config ClientConfig
	pools  sync.Map
}

// NewClient returns a client.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c}
}

func (c *Client) pool(address string) *pool {
	if p, ok := c.pools.Load(address); ok {
		return p.(*pool)
	}
	p, _ := c.pools.LoadOrStore(address, newPool(c, address))
	return p.(*pool)
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.pools.Range(func(_, p any) bool {
		p.(*pool).dropIdle()
		return true
	})
}

// Check implements Sender.
func (c *Client) Check(ctx context.Context, address string) (Health, error) {
	return c.pool(address).check(ctx)
}

// Send implements Sender. A request goes to another connection only if not a
// byte of it was written.
func (c *Client) Send(ctx context.Context, r Request) (Reply, error) {
	p := c.pool(r.Address)
	if err := p.enter(ctx); err != nil {
		return Reply{}, unsent(r, err)
	}
	defer p.leave()
	for {
		k, err := p.take(ctx, time.Now())
		if err != nil {
			return Reply{}, unsent(r, err)
		}
		x := &exchange{client: c, pool: p, connection: k, request: r}
		reply, err := x.run(ctx)
		if x.sent() || !k.reused || err == nil {
			return reply, err
		}
		c.Counters.Unsent.Add(1)
	}
}

// unsent returns the outcome of a request of which nothing was written.
func unsent(r Request, err error) error {
	switch {
	case errors.Is(err, context.Canceled):
		return outcome.New(outcome.NotRun, outcome.Cancelled, "the caller went away before the request was sent")
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.New(outcome.NotRun, outcome.DeadlinePassed, "no connection to %s in time", r.Address)
	}
	return outcome.New(outcome.NotRun, outcome.Unreachable, "no connection to %s: %v", r.Address, errors.UnwrapAll(err))
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client     *Client
	pool       *pool
	connection *connection
	request    Request

	before  int64
	failure atomic.Pointer[outcome.Error]
	mutex   sync.Mutex
	timer   *time.Timer
	over    bool
}

// sent returns true if a byte of the request was written.
func (x *exchange) sent() bool { return x.connection.socket.count() > x.before }

// run sends the request and reads the answer. A caller that goes away does
// not end it: the server may run the request already.
func (x *exchange) run(ctx context.Context) (Reply, error) {
	detached, cancel := detach(ctx)
	defer cancel()
	request, err := x.build(detached)
	if err != nil {
		x.connection.close()
		return Reply{}, outcome.New(outcome.NotRun, outcome.Invalid, "request: %v", err)
	}
	x.before = x.connection.socket.count()
	start := time.Now()
	x.watch(start)
	reply, err := x.roundTrip(request)
	x.stop()
	if x.sent() {
		x.client.Counters.Messages.Add(1)
	}
	if x.sent() && errors.Is(ctx.Err(), context.Canceled) {
		x.client.Counters.Dropped.Add(1)
	}
	if err == nil {
		x.pool.learn(time.Since(start))
	}
	return reply, err
}

// detach returns a context with the deadline of ctx that is not cancelled with
// it.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// build returns the HTTP request. Its answers with a status of 1xx are signs
// of life without a limit of their number.
func (x *exchange) build(ctx context.Context) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { return nil },
	})
	r := x.request
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+PathRun, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set(HeaderRequest, string(r.ID))
	request.Header.Set(HeaderDigest, Digest(r.Body))
	if r.Task != "" {
		request.Header.Set(HeaderTask, r.Task)
	}
	return request, nil
}

func (x *exchange) roundTrip(request *http.Request) (Reply, error) {
	response, err := x.connection.http.RoundTrip(request)
	if err != nil {
		written := x.connection.socket.seal() > x.before
		x.connection.close()
		if !written {
			return Reply{}, unsent(x.request, err)
		}
		return Reply{}, x.cut(err)
	}
	reply, err := receive(x.request, response)
	if errors.As(err, new(*cutError)) {
		x.connection.close()
		return reply, x.cut(err)
	}
	if ended := outcome.From(err); ended != nil && ended.Code == outcome.WrongAnswer {
		// The connection may be out of step.
		x.client.Counters.Wrong.Add(1)
		x.connection.close()
		return reply, err
	}
	x.pool.put(time.Now(), x.connection)
	return reply, err
}

// cut returns the outcome of a request whose connection ended after a byte was
// written.
func (x *exchange) cut(err error) error {
	if e := x.failure.Load(); e != nil {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.New(outcome.Unknown, outcome.DeadlinePassed, "%s did not answer in time", x.request.Address)
	}
	return outcome.New(outcome.Unknown, outcome.LinkLost, "connection to %s was lost: %v", x.request.Address, errors.UnwrapAll(err))
}

// watch ends the exchange when its connection has gone silent.
func (x *exchange) watch(now time.Time) {
	s := newSilence(now, x.client.config.Silence, x.pool.longestRun())
	_, due := s.next(now, now)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.timer = time.AfterFunc(due.Sub(now), func() { x.look(s) })
}

// stop ends the watch.
func (x *exchange) stop() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.over = true
	x.timer.Stop()
}

// look executes what s decides.
func (x *exchange) look(s *silence) {
	now := time.Now()
	v, due := s.next(now, x.connection.socket.lastHeard())
	if v == check {
		answered := x.pool.answers(context.Background())
		now = time.Now()
		v, due = s.checked(now, x.connection.socket.lastHeard(), answered)
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.over {
		return
	}
	switch v {
	case wait:
		x.timer.Reset(due.Sub(now))
	case silent:
		x.client.Counters.Silent.Add(1)
		x.give(outcome.New(outcome.Unknown, outcome.Silent, "the connection to %s went silent", x.request.Address))
	case lost:
		x.client.Counters.Lost.Add(1)
		x.give(outcome.New(outcome.Unknown, outcome.LinkLost, "%s answers no check", x.request.Address))
	}
}

// give ends the exchange with e and closes its connection and the idle ones.
func (x *exchange) give(e *outcome.Error) {
	x.failure.Store(e)
	x.connection.close()
	x.pool.dropIdle()
}
