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

// pool holds the connections to one backend server. The most recently used idle
// connection is taken first, so that surplus ones expire and are closed.
type pool struct {
	client  *Client
	address string
	// slots bounds the connections in use.
	slots chan struct{}

	mutex       sync.Mutex
	idle        []*connection
	expiryTimer *time.Timer
	// longest is the longest recent run time of a request.
	longest time.Duration

	checkMutex sync.Mutex
	checkedAt  time.Time
	checkedOK  bool
}

func newPool(c *Client, address string) *pool {
	return &pool{client: c, address: address, slots: make(chan struct{}, c.config.Connections)}
}

// acquireSlot waits until one more connection may be in use.
func (p *pool) acquireSlot(ctx context.Context) error {
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pool) releaseSlot() { <-p.slots }

// get returns an idle connection that has received a byte within the idle
// timeout, or a new one. If ctx has ended, it returns the error of ctx.
func (p *pool) get(ctx context.Context, now time.Time) (*connection, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	p.closeExpired(now)
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

// put returns a connection to the pool after a complete answer.
func (p *pool) put(now time.Time, k *connection) {
	if k.http.Err() != nil {
		k.close()
		return
	}
	k.reused = true
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle = append(p.idle, k)
	p.closeExpired(now)
}

// closeExpired closes the idle connections that have received nothing within the
// idle timeout and schedules the next check. The caller holds the mutex.
func (p *pool) closeExpired(now time.Time) {
	limit := now.Add(-p.client.config.IdleTimeout)
	kept := p.idle[:0]
	for _, k := range p.idle {
		if k.socket.lastRead().After(limit) {
			kept = append(kept, k)
			continue
		}
		k.close()
		p.client.Counters.Retired.Add(1)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	if len(p.idle) == 0 || p.expiryTimer != nil {
		return
	}
	p.expiryTimer = time.AfterFunc(p.client.config.IdleTimeout, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.expiryTimer = nil
		p.closeExpired(time.Now())
	})
}

// dropIdle closes all idle connections. If one connection to the server went
// silent, the others may have gone silent for the same reason.
func (p *pool) dropIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, k := range p.idle {
		k.close()
	}
	p.client.Counters.Retired.Add(int64(len(p.idle)))
	p.idle = nil
}

// dial opens a connection. It has a transport of its own, so that no request is
// sent again on another connection.
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

// recordRunTime takes the run time of a request into account.
func (p *pool) recordRunTime(took time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.longest = updateLongest(p.longest, took)
}

func (p *pool) longestRun() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.longest
}

// isResponsive returns true if the server answers a health check on a new
// connection. The result is reused for CheckPause, so that many silent
// connections cause one check.
func (p *pool) isResponsive(ctx context.Context) bool {
	p.checkMutex.Lock()
	defer p.checkMutex.Unlock()
	if !p.checkedAt.IsZero() && time.Since(p.checkedAt) < p.client.config.Silence.CheckPause {
		return p.checkedOK
	}
	_, err := p.check(ctx)
	p.checkedAt, p.checkedOK = time.Now(), err == nil
	return p.checkedOK
}

// check asks the server for its health on a new connection, which then joins the
// pool.
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
