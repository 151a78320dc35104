// Package network opens all sockets of the daemon. Its implementations wrap each
// other: Real opens sockets, Severable can close them all at once, and Counting
// counts their bytes.
package network

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Network opens sockets.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Real is the network of the machine.
type Real struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
}

// Listen implements Network.
func (r Real) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// keepAlive makes the kernel detect a dead peer, or a path that drops all packets,
// within 6 s on a connection without unacknowledged data.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// DialContext implements Network.
func (r Real) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: r.DialTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, network, address)
}

// errSevered is the error of sockets that are opened after Sever.
var errSevered = errors.New("the network is cut")

// Severable is a network whose sockets can all be closed at once, as when the
// process is killed.
type Severable struct {
	Network

	mutex     sync.Mutex
	severed   bool
	sockets   map[net.Conn]struct{}
	listeners []net.Listener
}

// NewSeverable returns a Severable that wraps n.
func NewSeverable(n Network) *Severable {
	return &Severable{Network: n, sockets: map[net.Conn]struct{}{}}
}

// Sever closes all sockets and makes opening new ones fail.
func (s *Severable) Sever() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.severed = true
	for _, l := range s.listeners {
		l.Close()
	}
	for c := range s.sockets {
		c.Close()
	}
}

// Listen implements Network.
func (s *Severable) Listen(address string) (net.Listener, error) {
	l, err := s.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listeners = append(s.listeners, l)
	return &severableListener{Listener: l, network: s}, nil
}

// DialContext implements Network.
func (s *Severable) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if s.isSevered() {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errSevered}
	}
	c, err := s.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return s.add(c)
}

func (s *Severable) isSevered() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.severed
}

// add registers a new connection so that Sever closes it.
func (s *Severable) add(c net.Conn) (net.Conn, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.severed {
		c.Close()
		return nil, errSevered
	}
	s.sockets[c] = struct{}{}
	return &severableConn{Conn: c, network: s}, nil
}

type severableListener struct {
	net.Listener
	network *Severable
}

// Accept implements net.Listener.
func (l *severableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.add(c)
}

type severableConn struct {
	net.Conn
	network *Severable
}

// Close implements net.Conn.
func (c *severableConn) Close() error {
	c.network.mutex.Lock()
	delete(c.network.sockets, c.Conn)
	c.network.mutex.Unlock()
	return c.Conn.Close()
}

// Counting is a network that counts the bytes of its dialed sockets.
type Counting struct {
	Network

	Sent     atomic.Int64
	Received atomic.Int64
}

// DialContext implements Network.
func (r *Counting) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := r.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, counting: r}, nil
}

type countingConn struct {
	net.Conn
	counting *Counting
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counting.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counting.Sent.Add(int64(n))
	return n, err
}

// IsDial reports whether err means that no connection could be opened, so that
// nothing was sent.
func IsDial(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
