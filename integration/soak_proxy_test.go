package integration

import (
	"net"
	"slices"
	"sync"
	"testing"
)

// direction is a direction of traffic through a proxy.
type direction int

const (
	// toServer is from the client to the upstream server.
	toServer direction = iota
	toClient
)

// tcpProxy forwards connections to one address. It can hold back the traffic in
// either direction, and mute or reset the open connections.
type tcpProxy struct {
	listener net.Listener
	upstream string
	// origin returns the name of the client that opened a connection.
	origin func(net.Conn) string

	mutex sync.Mutex
	holds map[*trafficHold]bool
	// released is closed and replaced when a hold ends.
	released    chan struct{}
	connections map[*proxiedConn]bool
}

// trafficHold holds back traffic in some directions on connections from some
// origins.
type trafficHold struct {
	from       func(origin string) bool
	directions []direction
}

// anyOrigin matches all origins.
func anyOrigin(string) bool { return true }

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	ends   [2]net.Conn
	origin string
	gone   chan struct{}
	once   sync.Once
	// muted is true once nothing more may pass. The proxy's mutex guards it.
	muted bool
}

// newTCPProxy starts a proxy on a loopback address.
func newTCPProxy(t testing.TB, ip, upstream string, origin func(net.Conn) string) *tcpProxy {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	w := &tcpProxy{listener: l, upstream: upstream, origin: origin, holds: map[*trafficHold]bool{}, released: make(chan struct{}), connections: map[*proxiedConn]bool{}}
	go w.accept()
	t.Cleanup(func() {
		l.Close()
		w.reset(anyOrigin)
	})
	return w
}

func (w *tcpProxy) address() string { return w.listener.Addr().String() }

func (w *tcpProxy) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.connect(c)
	}
}

func (w *tcpProxy) connect(c net.Conn) {
	s, err := net.Dial("tcp", w.upstream)
	if err != nil {
		closeConnection(c, true)
		return
	}
	k := &proxiedConn{ends: [2]net.Conn{s, c}, origin: w.origin(c), gone: make(chan struct{})}
	w.mutex.Lock()
	w.connections[k] = true
	w.mutex.Unlock()
	var open sync.WaitGroup
	open.Go(func() { w.forward(k, toServer) })
	open.Go(func() { w.forward(k, toClient) })
	open.Wait()
	k.close(false)
	w.mutex.Lock()
	delete(w.connections, k)
	w.mutex.Unlock()
}

// proxyBufferSize is the size of one read in bytes.
const proxyBufferSize = 16 << 10

// forward copies one direction of a connection until it ends, and passes the
// end on.
func (w *tcpProxy) forward(k *proxiedConn, d direction) {
	to, from := k.ends[d], k.ends[1-d]
	buffer := make([]byte, proxyBufferSize)
	for {
		n, err := from.Read(buffer)
		w.waitUntilReleased(k, d)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				k.close(true)
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite()
			}
			return
		}
	}
}

// waitUntilReleased waits until a direction is not held back, or the connection
// is closed.
func (w *tcpProxy) waitUntilReleased(k *proxiedConn, d direction) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for k.muted || w.isHeld(k, d) {
		released := w.released
		w.mutex.Unlock()
		select {
		case <-released:
		case <-k.gone:
		}
		w.mutex.Lock()
		select {
		case <-k.gone:
			return
		default:
		}
	}
}

// isHeld reports whether a direction of a connection is held back. The caller
// holds the mutex.
func (w *tcpProxy) isHeld(k *proxiedConn, d direction) bool {
	for h := range w.holds {
		if slices.Contains(h.directions, d) && h.from(k.origin) {
			return true
		}
	}
	return false
}

// hold holds traffic back until the returned function is called. What was sent
// meanwhile then arrives, as after a network partition.
func (w *tcpProxy) hold(from func(origin string) bool, held ...direction) func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	h := &trafficHold{from: from, directions: held}
	w.holds[h] = true
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.holds, h)
		close(w.released)
		w.released = make(chan struct{})
	}
}

// mute keeps the open connections, but nothing passes on them any more.
func (w *tcpProxy) mute(from func(origin string) bool) {
	w.forEach(from, func(k *proxiedConn) { k.muted = true })
}

// reset resets the open connections.
func (w *tcpProxy) reset(from func(origin string) bool) {
	w.forEach(from, func(k *proxiedConn) { k.close(true) })
}

func (w *tcpProxy) forEach(from func(origin string) bool, f func(k *proxiedConn)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for k := range w.connections {
		if from(k.origin) {
			f(k)
		}
	}
}

// close closes both ends, with a reset if abrupt.
func (k *proxiedConn) close(abrupt bool) {
	k.once.Do(func() {
		close(k.gone)
		for _, c := range k.ends {
			closeConnection(c, abrupt)
		}
	})
}

// closeConnection closes a connection, with a reset if abrupt.
func closeConnection(c net.Conn, abrupt bool) {
	if t, ok := c.(*net.TCPConn); ok && abrupt {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
