package integration

import (
	"net"
	"slices"
	"sync"
	"testing"
)

// way is a direction of a wire.
type way int

const (
	// forth is towards the server.
	forth way = iota
	back
)

// wire forwards connections to one address. It can hold back what goes either
// way, mute the connections that are open, and cut them.
type wire struct {
	listener net.Listener
	upstream string
	// origin returns who opened a connection.
	origin func(net.Conn) string

	mutex sync.Mutex
	holds map[*wireHold]bool
	// freed is closed and made anew when a hold ends.
	freed chan struct{}
	links map[*wireLink]bool
}

// wireHold holds back what goes some ways on links from some origins.
type wireHold struct {
	from func(origin string) bool
	ways []way
}

// anybody is all origins.
func anybody(string) bool { return true }

// wireLink is one connection through a wire.
type wireLink struct {
	ends   [2]net.Conn
	origin string
	gone   chan struct{}
	once   sync.Once
	// muted is true once nothing more passes. The wire's mutex guards it.
	muted bool
}

// newWire starts a wire on a loopback address.
func newWire(t testing.TB, ip, upstream string, origin func(net.Conn) string) *wire {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{listener: l, upstream: upstream, origin: origin, holds: map[*wireHold]bool{}, freed: make(chan struct{}), links: map[*wireLink]bool{}}
	go w.accept()
	t.Cleanup(func() {
		l.Close()
		w.cut(anybody)
	})
	return w
}

func (w *wire) address() string { return w.listener.Addr().String() }

func (w *wire) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.connect(c)
	}
}

func (w *wire) connect(c net.Conn) {
	s, err := net.Dial("tcp", w.upstream)
	if err != nil {
		closeConnection(c, true)
		return
	}
	k := &wireLink{ends: [2]net.Conn{s, c}, origin: w.origin(c), gone: make(chan struct{})}
	w.mutex.Lock()
	w.links[k] = true
	w.mutex.Unlock()
	var open sync.WaitGroup
	open.Go(func() { w.pump(k, forth) })
	open.Go(func() { w.pump(k, back) })
	open.Wait()
	k.close(false)
	w.mutex.Lock()
	delete(w.links, k)
	w.mutex.Unlock()
}

// wireBuffer is how much is read at once.
const wireBuffer = 16 << 10

// pump forwards one way of a link until its end, which it passes on.
func (w *wire) pump(k *wireLink, y way) {
	to, from := k.ends[y], k.ends[1-y]
	buffer := make([]byte, wireBuffer)
	for {
		n, err := from.Read(buffer)
		w.pass(k, y)
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

// pass waits until a way is free, or the link is gone.
func (w *wire) pass(k *wireLink, y way) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for k.muted || w.held(k, y) {
		freed := w.freed
		w.mutex.Unlock()
		select {
		case <-freed:
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

// held returns true if a way of a link is held back. The caller holds the mutex.
func (w *wire) held(k *wireLink, y way) bool {
	for h := range w.holds {
		if slices.Contains(h.ways, y) && h.from(k.origin) {
			return true
		}
	}
	return false
}

// hold holds ways back until the returned function is called: what was sent
// meanwhile arrives then, as after a cut of the network.
func (w *wire) hold(from func(origin string) bool, held ...way) func() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	h := &wireHold{from: from, ways: held}
	w.holds[h] = true
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.holds, h)
		close(w.freed)
		w.freed = make(chan struct{})
	}
}

// mute lets the open connections stand, but nothing passes on them any more.
func (w *wire) mute(from func(origin string) bool) {
	w.each(from, func(k *wireLink) { k.muted = true })
}

// cut resets the open connections.
func (w *wire) cut(from func(origin string) bool) {
	w.each(from, func(k *wireLink) { k.close(true) })
}

func (w *wire) each(from func(origin string) bool, f func(k *wireLink)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for k := range w.links {
		if from(k.origin) {
			f(k)
		}
	}
}

// close closes both ends, with a reset or in order.
func (k *wireLink) close(abrupt bool) {
	k.once.Do(func() {
		close(k.gone)
		for _, c := range k.ends {
			closeConnection(c, abrupt)
		}
	})
}

// closeConnection closes a connection, with a reset or in order.
func closeConnection(c net.Conn, abrupt bool) {
	if t, ok := c.(*net.TCPConn); ok && abrupt {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
