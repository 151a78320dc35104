package network

import (
	"context"
	"net"
	"sync"
	"time"
)

// Memory is a network within one process, for tests in virtual time. Each host
// has its own view of it by Site.
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

// MemoryConfig builds a Memory.
type MemoryConfig struct {
	// Delay returns how long data takes between two sites.
	Delay func(from, to string) time.Duration
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
}

// NewMemory returns a network without listeners.
func NewMemory(c MemoryConfig) *Memory {
	return &Memory{config: c, listeners: map[string]*memoryListener{}, open: map[*memoryConn]struct{}{}}
}

// Cut has all data lost for which lost is true, without a word to either side.
// Nil ends the cut.
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

// Drop has each write lost for which dropped is true, as it arrives. Nil ends it.
func (m *Memory) Drop(dropped func(from, to string, data []byte) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dropped = dropped
}

// Refuse has all dials fail at once for which refused is true. Nil ends it.
func (m *Memory) Refuse(refused func(from, to string) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.refused = refused
}

// Slow has all data that is written from now on take longer. What is written
// later to the same connection waits behind it. Nil ends it.
func (m *Memory) Slow(extra func(from, to string) time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.slow = extra
}

// Reset breaks all connections between two sites for which broken is true, in
// either order. What is on its way is lost.
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

// delay returns how long data takes that is written now.
func (m *Memory) delay(from, to string) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	d := m.config.Delay(from, to)
	if m.slow != nil {
		d += m.slow(from, to)
	}
	return d
}

// Site returns the network as the named site sees it. Addresses are the names
// of sites, with a port.
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
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	if m.isLost(s.name, to) || m.isLost(to, s.name) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	}
	m.mutex.Lock()
	l := m.listeners[address]
	m.mutex.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	near, far := m.pair(s.name, to)
	err = net.ErrClosed
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

// memoryWindow is the number of writes that may be on their way.
const memoryWindow = 4096

type memoryChunk struct {
	data []byte
	due  time.Time
}

// memoryConn is one end of a connection. What is written waits for its delay and
// then goes to a pipe, from which the other end reads.
type memoryConn struct {
	// Conn is the end of the pipe that is read from.
	net.Conn
	memory   *Memory
	from, to string
	out      chan memoryChunk
	once     sync.Once
	closed   chan struct{}
	// write is the end of the pipe of the other side.
	write net.Conn
}

// pair returns the two ends of a connection.
func (m *Memory) pair(from, to string) (near, far *memoryConn) {
	nearRead, farWrite := net.Pipe()
	farRead, nearWrite := net.Pipe()
	near = &memoryConn{Conn: nearRead, memory: m, from: from, to: to, out: make(chan memoryChunk, memoryWindow), closed: make(chan struct{}), write: nearWrite}
	far = &memoryConn{Conn: farRead, memory: m, from: to, to: from, out: make(chan memoryChunk, memoryWindow), closed: make(chan struct{}), write: farWrite}
	m.mutex.Lock()
	m.open[near], m.open[far] = struct{}{}, struct{}{}
	m.mutex.Unlock()
	go near.carry()
	go far.carry()
	return near, far
}

// carry passes on what was written. The end of the connection is passed on too,
// unless the network is cut.
func (c *memoryConn) carry() {
	for {
		select {
		case k := <-c.out:
			if !c.pass(k) {
				return
			}
		case <-c.closed:
			c.flush()
			return
		}
	}
}

// pass passes on a chunk once it is due, together with what has waited behind
// it. It returns false if the other end reads no more.
func (c *memoryConn) pass(k memoryChunk) bool {
	time.Sleep(time.Until(k.due))
	var data []byte
	for more := true; more; {
		if !c.memory.isDropped(c.from, c.to, k.data) {
			data = append(data, k.data...)
		}
		select {
		case k = <-c.out:
			if time.Until(k.due) > 0 {
				return c.put(data) && c.pass(k)
			}
		default:
			more = false
		}
	}
	return c.put(data)
}

func (c *memoryConn) put(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	_, err := c.write.Write(data)
	return err == nil
}

// flush passes on what was written before the connection was closed, and its
// end.
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

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. Writes do not block.
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
