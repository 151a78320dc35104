// Package httplimit runs HTTP servers whose clients are not trusted: it applies the
// decisions of package intake to connections and to the bodies of requests.
package httplimit

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/metrics"
)

// Config configures a Server.
type Config struct {
	Handler http.Handler
	// Logger may be nil.
	Logger log.Interface
	// Budget bounds the bodies and what is decoded from them. Nil means no bound.
	Budget *intake.Budget
	// Connections is the number of connections that may be open.
	Connections int
	// HeaderTimeout bounds the time to receive the header of a request.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time to receive the body of a request. Zero means
	// DefaultBodyTimeout.
	BodyTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
	// WriteTimeout bounds one write of an answer. Zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// BaseContext is the context of all requests. Nil means context.Background.
	BaseContext func(net.Listener) context.Context
}

const (
	// DefaultBodyTimeout is the longest deadline of callers.
	DefaultBodyTimeout = 10 * time.Second
	// DefaultWriteTimeout is longer than a retransmission after a lost packet takes.
	DefaultWriteTimeout = 5 * time.Second
	// MaxHeaderBytes bounds the header of a request as it is received. It is twice the
	// 16,384 bytes that callers may send, which count without separators.
	MaxHeaderBytes = 32 << 10
	// logInterval is the shortest time between two log lines about shed clients.
	logInterval = time.Second
)

// reason is why a request was refused or a connection was closed.
type reason string

const (
	// shedConnection: there were too many connections.
	shedConnection reason = "connections"
	// shedBody: an unfinished body was given up for others.
	shedBody reason = "stalled"
	// shedMemory: the body or what it decodes to did not fit.
	shedMemory reason = "memory"
	// shedSlow: the body did not arrive in time.
	shedSlow reason = "slow"
	// shedServing: too many requests waited for their answers.
	shedServing reason = "waiting"
)

// Server is an HTTP server with limits.
type Server struct {
	http        http.Server
	config      Config
	connections *intake.Connections[*conn]
	refused     expvar.Map
	total       atomic.Int64
	lastLogged  atomic.Int64
}

// New returns a server. Serve starts it.
func New(c Config) *Server {
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	if c.BodyTimeout == 0 {
		c.BodyTimeout = DefaultBodyTimeout
	}
	s := &Server{config: c, connections: intake.NewConnections[*conn](c.Connections)}
	s.http = http.Server{
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: c.HeaderTimeout, IdleTimeout: c.IdleTimeout,
		MaxHeaderBytes: MaxHeaderBytes, BaseContext: c.BaseContext, ConnState: s.changeState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) },
	}
	return s
}

// Serve serves the connections of a listener until it is closed.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(&listener{Listener: l, server: s})
}

// Shutdown closes idle connections and waits for the open requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes all connections.
func (s *Server) Close() error { return s.http.Close() }

// Publish adds the metrics of the server to a set.
func (s *Server) Publish(set *metrics.Set) {
	set.Add("callersShed", &s.refused)
	set.Func("callerConnections", func() any { return s.connections.Open() })
	set.Func("callerBytes", func() any {
		if s.config.Budget == nil {
			return 0
		}
		return s.config.Budget.Used()
	})
}

func (s *Server) changeState(c net.Conn, next http.ConnState) {
	limited, ok := c.(*conn)
	if !ok {
		return
	}
	switch next {
	case http.StateActive:
		s.connections.Set(time.Now(), limited, intake.Receiving)
	case http.StateIdle:
		s.connections.Set(time.Now(), limited, intake.Idle)
	case http.StateHijacked, http.StateClosed:
		s.connections.Remove(limited)
	}
}

// shed counts a client that was refused, and logs that at most once in logInterval.
func (s *Server) shed(r reason) {
	s.refused.Add(string(r), 1)
	total := s.total.Add(1)
	now := time.Now().UnixNano()
	last := s.lastLogged.Load()
	if s.config.Logger == nil || now-last < int64(logInterval) || !s.lastLogged.CompareAndSwap(last, now) {
		return
	}
	s.config.Logger.WithFields(log.Fields{
		"reason": string(r), "total": total, "connections": s.connections.Open(),
	}).Warn("callers shed")
}

// contextKey is the key of the connection in the context of its requests.
type contextKey struct{}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(contextKey{}).(*conn)
	if !ok {
		s.config.Handler.ServeHTTP(w, r)
		return
	}
	defer c.release()
	if r.Body == nil || r.Body == http.NoBody {
		s.connections.Set(time.Now(), c, intake.Serving)
	} else {
		// It bounds also the discarding of a body that the handler does not read.
		_ = c.SetReadDeadline(time.Now().Add(s.config.BodyTimeout))
	}
	s.config.Handler.ServeHTTP(w, r)
}
