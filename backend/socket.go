package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// socket is a connection that counts the bytes written to it and records when
// it last received one.
type socket struct {
	net.Conn
	opened time.Time
	// lastReadOffset is the time from opened to the last byte received, in nanoseconds.
	lastReadOffset atomic.Int64

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
		s.lastReadOffset.Store(int64(time.Since(s.opened)))
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

// lastRead returns the time of the last received byte, or that of opening if
// there was none.
func (s *socket) lastRead() time.Time {
	return s.opened.Add(time.Duration(s.lastReadOffset.Load()))
}

// bytesWritten returns the number of bytes written.
func (s *socket) bytesWritten() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written
}

// closeAndCount closes the connection and returns the number of bytes written.
// No byte is written after it returns.
func (s *socket) closeAndCount() int64 {
	s.Close()
	return s.bytesWritten()
}
