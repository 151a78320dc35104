package network

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Memory is an in-memory network for tests in virtual time. Site returns the view
// of one host.
type Memory struct {
	config    MemoryConfig
	mutex     sync.Mutex
	listeners map[string]*memoryListener
	open      map[*memoryConn]struct{}
	lost      func(from, to string) bool
	dropped   func(from, to string, data []byte) bool
	refused   func(from, to string) bool
	slow      func(from, to string) time.Duration
}

// MemoryConfig configures a Memory.
type MemoryConfig struct {
	// Delay returns the latency between two sites.
	Delay func(from, to string) time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
}

// NewMemory returns a network without listeners.
func NewMemory(c MemoryConfig) *Memory {
	return &Memory{config: c, listeners: map[string]*memoryListener{}, open: map[*memoryConn]struct{}{}}
}

// Cut silently drops all data for which lost returns true. Nil ends the cut.
func (m *Memory) Cut(lost func(from, to string) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lost = lost
}

func (m *Memory) isLost(from, to string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lost != nil && m.lost(from, to)
}

// Drop drops each write, on arrival, for which dropped returns true. Nil ends it.
func (m *Memory) Drop(dropped func(from, to string, data []byte) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dropped = dropped
}

// Refuse makes all dials for which refused returns true fail at once. Nil ends it.
func (m *Memory) Refuse(refused func(from, to string) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.refused = refused
}

// Slow adds extra latency to all data that is written from now on. Later writes to
// the same connection wait for earlier ones. Nil ends it.
func (m *Memory) Slow(extra func(from, to string) time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.slow = extra
}

// Reset closes all connections between two sites for which broken returns true in
// either direction. Data in flight is lost.
func (m *Memory) Reset(broken func(from, to string) bool) {
	m.mutex.Lock()
	var found []*memoryConn
	for c := range m.open {
		if broken(c.from, c.to) || broken(c.to, c.from) {
			found = append(found, c)
		}
	}
	m.mutex.Unlock()
	for _, c := range found {
		c.Close()
	}
}

func (m *Memory) isDropped(from, to string, data []byte) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lost != nil && m.lost(from, to) || m.dropped != nil && m.dropped(from, to, data)
}

func (m *Memory) isRefused(from, to string) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.refused != nil && m.refused(from, to)
}

// delay returns the latency of data that is written now.
func (m *Memory) delay(from, to string) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	d := m.config.Delay(from, to)
	if m.slow != nil {
		d += m.slow(from, to)
	}
	return d
}

// Site returns the network as seen from the named site. An address is the name of
// a site with a port.
func (m *Memory) Site(name string) Network { return &memorySite{memory: m, name: name} }

// memorySite implements Network for one site.
type memorySite struct {
	memory *Memory
	name   string
}

// Listen implements Network.
func (s *memorySite) Listen(address string) (net.Listener, error) {
	m := s.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Err: net.ErrClosed}
	}
	l := &memoryListener{memory: m, address: memoryAddress(address), pending: make(chan net.Conn), done: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// DialContext implements Network.
func (s *memorySite) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	m := s.memory
	ctx, cancel := context.WithTimeout(ctx, m.config.DialTimeout)
	defer cancel()
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Err: err}
	}
	if m.isRefused(s.name, to) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	if m.isLost(s.name, to) || m.isLost(to, s.name) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	m.mutex.Lock()
	l := m.listeners[address]
	m.mutex.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := m.newPair(s.name, to)
	err = syscall.ECONNREFUSED
	select {
	case l.pending <- far:
		return near, nil
	case <-l.done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	near.Close()
	far.Close()
	return nil, &net.OpError{Op: "dial", Err: err}
}

type memoryAddress string

func (a memoryAddress) Network() string { return "memory" }
func (a memoryAddress) String() string  { return string(a) }

type memoryListener struct {
	memory  *Memory
	address memoryAddress
	pending chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.memory.mutex.Lock()
		delete(l.memory.listeners, string(l.address))
		l.memory.mutex.Unlock()
		close(l.done)
	})
	return nil
}

// maxWritesInFlight is the number of writes of one connection that may be in flight.
const maxWritesInFlight = 4096

// memoryChunk is the data of one write and the time at which it arrives.
type memoryChunk struct {
	data []byte
	due  time.Time
}

// memoryConn is one end of a connection. Written data is delayed and then goes to
// a pipe, from which the other end reads.
type memoryConn struct {
	// Conn is the end of the pipe that this end reads from.
	net.Conn
	memory   *Memory
	from, to string
	out      chan memoryChunk
	once     sync.Once
	closed   chan struct{}
	// write is the end of the pipe that the other side reads from.
	write net.Conn
}

// newPair returns the two ends of a new connection.
func (m *Memory) newPair(from, to string) (near, far *memoryConn) {
	nearRead, farWrite := net.Pipe()
	farRead, nearWrite := net.Pipe()
	near = &memoryConn{Conn: nearRead, memory: m, from: from, to: to, out: make(chan memoryChunk, maxWritesInFlight), closed: make(chan struct{}), write: nearWrite}
	far = &memoryConn{Conn: farRead, memory: m, from: to, to: from, out: make(chan memoryChunk, maxWritesInFlight), closed: make(chan struct{}), write: farWrite}
	m.mutex.Lock()
	m.open[near], m.open[far] = struct{}{}, struct{}{}
	m.mutex.Unlock()
	go near.deliver()
	go far.deliver()
	return near, far
}

// deliver passes written data to the other end until the connection ends. It also
// closes the other end then, unless the network is cut.
func (c *memoryConn) deliver() {
	for {
		select {
		case k := <-c.out:
			if !c.deliverChunk(k) {
				return
			}
		case <-c.closed:
			c.flush()
			return
		}
	}
}

// deliverChunk passes on a chunk once it is due, together with the queued chunks that
// are due by then. It returns false if the other end no longer reads.
func (c *memoryConn) deliverChunk(k memoryChunk) bool {
	time.Sleep(time.Until(k.due))
	var data []byte
	for more := true; more; {
		if !c.memory.isDropped(c.from, c.to, k.data) {
			data = append(data, k.data...)
		}
		select {
		case k = <-c.out:
			if time.Until(k.due) > 0 {
				return c.writeFar(data) && c.deliverChunk(k)
			}
		default:
			more = false
		}
	}
	return c.writeFar(data)
}

// writeFar writes data to the other end. It returns false if that end no longer
// reads.
func (c *memoryConn) writeFar(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	_, err := c.write.Write(data)
	return err == nil
}

// flush passes on the data that was written before the connection was closed, and
// then closes the other end unless the network is cut.
func (c *memoryConn) flush() {
	for {
		select {
		case k := <-c.out:
			time.Sleep(time.Until(k.due))
			if _, err := c.write.Write(k.data); err != nil {
				return
			}
		default:
			if !c.memory.isLost(c.from, c.to) {
				c.write.Close()
			}
			return
		}
	}
}

// Write implements net.Conn.
func (c *memoryConn) Write(p []byte) (int, error) {
	data := append([]byte(nil), p...)
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- memoryChunk{data: data, due: time.Now().Add(c.memory.delay(c.from, c.to))}:
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.once.Do(func() {
		c.memory.mutex.Lock()
		delete(c.memory.open, c)
		c.memory.mutex.Unlock()
		close(c.closed)
	})
	return c.Conn.Close()
}

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return memoryAddress(c.from) }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddress(c.to) }

// SetDeadline implements net.Conn. Only reads can time out.
func (c *memoryConn) SetDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. It does nothing, because writes do not
// block.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
