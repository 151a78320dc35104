package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connection is one HTTP connection to a backend server. It carries one
// request at a time.
type connection struct {
	http   *http.ClientConn
	socket *socket
	// reused is true once the connection has carried a request.
	reused bool
}

// close closes the connection at once.
func (k *connection) close() {
	k.socket.Close()
	k.http.Close()
}

// pool holds the connections to one backend server. The newest idle one is
// used first, so that the others grow old and are closed.
type pool struct {
	client  *Client
	address string
	// places bounds the connections in use.
	places chan struct{}

	mutex sync.Mutex
	idle  []*connection
	reap  *time.Timer
	// longest is the longest run time seen lately.
	longest time.Duration

	checking  sync.Mutex
	checkedAt time.Time
	checkedOK bool
}

func newPool(c *Client, address string) *pool {
	return &pool{client: c, address: address, places: make(chan struct{}, c.config.Connections)}
}

// enter waits until there is room for one more connection in use.
func (p *pool) enter(ctx context.Context) error {
	select {
	case p.places <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pool) leave() { <-p.places }

// take returns an idle connection that has shown life within the idle
// timeout, or a new one. The error is that of ctx if it ended.
func (p *pool) take(ctx context.Context, now time.Time) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	p.retire(now)
	for n := len(p.idle); n > 0; n = len(p.idle) {
		k := p.idle[n-1]
		p.idle = p.idle[:n-1]
		if k.http.Err() == nil {
			p.mutex.Unlock()
			return k, nil
		}
		k.close()
	}
	p.mutex.Unlock()
	k, err := p.dial(ctx)
	if err == nil && ctx.Err() != nil {
		p.put(time.Now(), k)
		return nil, ctx.Err()
	}
	return k, err
}

// put returns a connection after a whole answer.
func (p *pool) put(now time.Time, k *connection) {
	if k.http.Err() != nil {
		k.close()
		return
	}
	k.reused = true
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = append(p.idle, k)
	p.retire(now)
}

// retire closes the idle connections that have shown no life within the idle
// timeout and sets the timer for the next. The caller holds the mutex.
func (p *pool) retire(now time.Time) {
	limit := now.Add(-p.client.config.IdleTimeout)
	kept := p.idle[:0]
	for _, k := range p.idle {
		if k.socket.lastHeard().After(limit) {
			kept = append(kept, k)
			continue
		}
		k.close()
		p.client.Counters.Retired.Add(1)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	if len(p.idle) == 0 || p.reap != nil {
		return
	}
	p.reap = time.AfterFunc(p.client.config.IdleTimeout, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.reap = nil
		p.retire(time.Now())
	})
}

// dropIdle closes all idle connections, since what silenced one may have
// silenced them.
func (p *pool) dropIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, k := range p.idle {
		k.close()
	}
	p.client.Counters.Retired.Add(int64(len(p.idle)))
	p.idle = nil
}

// dial opens a connection. Its transport only carries this one connection and
// never sends a request a second time.
func (p *pool) dial(ctx context.Context) (*connection, error) {
	opened, err := p.client.config.Network.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.client.Counters.Dialed.Add(1)
	k := &connection{socket: newSocket(time.Now(), opened)}
	transport := &http.Transport{
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return k.socket, nil },
		DisableCompression: true,
	}
	if k.http, err = transport.NewClientConn(ctx, "http", p.address); err != nil {
		opened.Close()
		return nil, err
	}
	return k, nil
}

// learn takes the run time of a request.
func (p *pool) learn(took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.longest = learnLongest(p.longest, took)
}

func (p *pool) longestRun() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.longest
}

// answers returns true if the server answers a check on a new connection. The
// result of one check serves all connections that ask shortly after.
func (p *pool) answers(ctx context.Context) bool {
	p.checking.Lock()
	defer p.checking.Unlock()
	if !p.checkedAt.IsZero() && time.Since(p.checkedAt) < p.client.config.Silence.CheckPause {
		return p.checkedOK
	}
	_, err := p.check(ctx)
	p.checkedAt, p.checkedOK = time.Now(), err == nil
	return p.checkedOK
}

// check asks the server for its health on a new connection, which is kept.
func (p *pool) check(ctx context.Context) (Health, error) {
	ctx, cancel := context.WithTimeout(ctx, p.client.config.CheckTimeout)
	defer cancel()
	p.client.Counters.Checks.Add(1)
	k, err := p.dial(ctx)
	if err != nil {
		return Health{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+PathHealth, nil)
	if err != nil {
		k.close()
		return Health{}, err
	}
	response, err := k.http.RoundTrip(request)
	if err != nil {
		k.close()
		return Health{}, err
	}
	if _, err := readBounded(response); err != nil {
		k.close()
		return Health{}, err
	}
	p.put(time.Now(), k)
	return Health{Leaving: isLeaving(response) || response.StatusCode == http.StatusServiceUnavailable}, nil
}
