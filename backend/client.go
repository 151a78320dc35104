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

// ClientConfig configures a Client.
type ClientConfig struct {
	// Network opens the connections.
	Network network.Network
	// Connections limits the connections in use to one backend server.
	Connections int
	// IdleTimeout is the time without a received byte after which an idle
	// connection is closed instead of reused.
	IdleTimeout time.Duration
	// CheckTimeout bounds a health check.
	CheckTimeout time.Duration
	// Silence bounds how long a connection with an open request may receive
	// nothing.
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

// Send implements Sender. A request is retried on another connection only if
// no byte of it was written.
func (c *Client) Send(ctx context.Context, r Request) (Reply, error) {
	p := c.pool(r.Address)
	if err := p.acquireSlot(ctx); err != nil {
		return Reply{}, notSentError(r, err)
	}
	defer p.releaseSlot()
	for {
		k, err := p.get(ctx, time.Now())
		if err != nil {
			return Reply{}, notSentError(r, err)
		}
		x := &exchange{client: c, pool: p, connection: k, request: r}
		reply, err := x.run(ctx)
		if x.isSent() || !k.reused || err == nil {
			return reply, err
		}
		c.Counters.Unsent.Add(1)
	}
}

// notSentError returns the error for a request of which no byte was written.
func notSentError(r Request, err error) error {
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

	writtenBefore int64
	failure       atomic.Pointer[outcome.Error]
	mutex         sync.Mutex
	timer         *time.Timer
	ended         bool
}

// isSent returns true if a byte of the request was written.
func (x *exchange) isSent() bool { return x.connection.socket.bytesWritten() > x.writtenBefore }

// run sends the request and reads the answer. It continues if the caller hangs
// up, because the server may already be running the request.
func (x *exchange) run(ctx context.Context) (Reply, error) {
	detached, cancel := detach(ctx)
	defer cancel()
	request, err := x.build(detached)
	if err != nil {
		x.connection.close()
		return Reply{}, outcome.New(outcome.NotRun, outcome.Invalid, "request: %v", err)
	}
	x.writtenBefore = x.connection.socket.bytesWritten()
	start := time.Now()
	x.startSilenceTimer(start)
	reply, err := x.roundTrip(request)
	x.stopSilenceTimer()
	if x.isSent() {
		x.client.Counters.Messages.Add(1)
	}
	if x.isSent() && errors.Is(ctx.Err(), context.Canceled) {
		x.client.Counters.Dropped.Add(1)
	}
	if err == nil {
		x.pool.recordRunTime(time.Since(start))
	}
	return reply, err
}

// detach returns a context with the deadline of ctx that is not cancelled when
// ctx is.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(detached, deadline)
	}
	return context.WithCancel(detached)
}

// build returns the HTTP request. It accepts any number of 1xx responses, which
// servers send to show that the request is still running.
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
		written := x.connection.socket.closeAndCount() > x.writtenBefore
		x.connection.close()
		if !written {
			return Reply{}, notSentError(x.request, err)
		}
		return Reply{}, x.lostError(err)
	}
	reply, err := readReply(x.request, response)
	if errors.As(err, new(*truncatedError)) {
		x.connection.close()
		return reply, x.lostError(err)
	}
	if ended := outcome.From(err); ended != nil && ended.Code == outcome.WrongAnswer {
		// Later answers on this connection may belong to other requests as well.
		x.client.Counters.Wrong.Add(1)
		x.connection.close()
		return reply, err
	}
	x.pool.put(time.Now(), x.connection)
	return reply, err
}

// lostError returns the error for a request whose connection ended after a byte
// was written.
func (x *exchange) lostError(err error) error {
	if e := x.failure.Load(); e != nil {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.New(outcome.Unknown, outcome.DeadlinePassed, "%s did not answer in time", x.request.Address)
	}
	return outcome.New(outcome.Unknown, outcome.LinkLost, "connection to %s was lost: %v", x.request.Address, errors.UnwrapAll(err))
}

// startSilenceTimer starts the timer that ends the exchange once its connection
// has gone silent.
func (x *exchange) startSilenceTimer(now time.Time) {
	s := newSilenceDetector(now, x.client.config.Silence, x.pool.longestRun())
	_, due := s.next(now, now)
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.timer = time.AfterFunc(due.Sub(now), func() { x.checkSilence(s) })
}

// stopSilenceTimer ends the silence checks.
func (x *exchange) stopSilenceTimer() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.ended = true
	x.timer.Stop()
}

// checkSilence carries out the action that s decides on.
func (x *exchange) checkSilence(s *silenceDetector) {
	now := time.Now()
	v, due := s.next(now, x.connection.socket.lastRead())
	if v == actionProbe {
		answered := x.pool.isResponsive(context.Background())
		now = time.Now()
		v, due = s.afterCheck(now, x.connection.socket.lastRead(), answered)
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.ended {
		return
	}
	switch v {
	case actionWait:
		x.timer.Reset(due.Sub(now))
	case actionCloseSilent:
		x.client.Counters.Silent.Add(1)
		x.abort(outcome.New(outcome.Unknown, outcome.Silent, "the connection to %s went silent", x.request.Address))
	case actionServerLost:
		x.client.Counters.Lost.Add(1)
		x.abort(outcome.New(outcome.Unknown, outcome.LinkLost, "%s answers no check", x.request.Address))
	}
}

// abort fails the exchange with e and closes its connection and all idle ones.
func (x *exchange) abort(e *outcome.Error) {
	x.failure.Store(e)
	x.connection.close()
	x.pool.dropIdle()
}
