package httplimit

import (
	"net"
	"sync"
	"time"

	"github.com/catkingap/catkingap/intake"
)

// conn is a connection of a client. Each write to it is bounded in time.
type conn struct {
	net.Conn
	server *Server
	once   sync.Once
	// claim is the memory of the request that is handled, or nil. Only its handler uses it.
	claim *intake.Claim
}

// release gives back what the request that was handled holds, however its handler has
// ended.
func (c *conn) release() {
	if c.claim != nil {
		c.claim.Release()
		c.claim = nil
	}
}

// Write implements net.Conn. A client that does not read its answers can not hold the
// connection for longer than the timeout.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.server.config.WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// CloseWrite makes net/http end answers on this connection as on a TCP connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { c.server.connections.Remove(c) })
	return c.Conn.Close()
}

// listener bounds the open connections that it has accepted.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, server: l.server}
		victim, found := l.server.connections.Add(time.Now(), c)
		if !found {
			return c, nil
		}
		l.server.shed(shedConnection)
		_ = victim.Close()
		if victim != c {
			return c, nil
		}
	}
}
