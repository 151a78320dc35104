package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// socket is a connection that knows what was written to it and when it last
// received a byte.
type socket struct {
	net.Conn
	opened time.Time
	// heard is the time from opened to the last byte received, in nanoseconds.
	heard atomic.Int64

	mutex   sync.Mutex
	written int64
}

func newSocket(now time.Time, c net.Conn) *socket {
	return &socket{Conn: c, opened: now}
}

// Read implements net.Conn.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.Conn.Read(p)
	if n > 0 {
		s.heard.Store(int64(time.Since(s.opened)))
	}
	return n, err
}

// Write implements net.Conn.
func (s *socket) Write(p []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n, err := s.Conn.Write(p)
	s.written += int64(n)
	return n, err
}

// lastHeard returns when the last byte was received, or when the connection
// was opened.
func (s *socket) lastHeard() time.Time {
	return s.opened.Add(time.Duration(s.heard.Load()))
}

// count returns the number of bytes written.
func (s *socket) count() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written
}

// seal closes the connection and returns the number of bytes written. No byte
// is written after it.
func (s *socket) seal() int64 {
	s.Close()
	return s.count()
}
