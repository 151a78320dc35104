package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/catkingap/catkingap/network"
)

// fakeServer is a backend server on raw connections. Its serve function is
// called for each complete request of PathRun.
type fakeServer struct {
	serve func(w *bufio.Writer, r *http.Request, body []byte, c net.Conn) bool

	mutex  sync.Mutex
	counts map[string]int
	checks int
	// unresponsive is true if the server accepts connections but answers nothing.
	unresponsive atomic.Bool
}

func newFakeServer(serve func(w *bufio.Writer, r *http.Request, body []byte, c net.Conn) bool) *fakeServer {
	return &fakeServer{serve: serve, counts: map[string]int{}}
}

// count returns how often the head of a request with the id was read.
func (s *fakeServer) count(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counts[id]
}

// healthChecks returns the number of health checks that were answered.
func (s *fakeServer) healthChecks() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.checks
}

// handle serves one connection until serve returns false.
func (s *fakeServer) handle(c net.Conn) {
	defer c.Close()
	if s.unresponsive.Load() {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	reader, writer := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.URL.Path == PathHealth {
			s.mutex.Lock()
			s.checks++
			s.mutex.Unlock()
			fmt.Fprint(writer, "HTTP/1.1 204 No Content\r\n\r\n")
			if writer.Flush() != nil {
				return
			}
			continue
		}
		s.mutex.Lock()
		s.counts[r.Header.Get(HeaderRequest)]++
		s.mutex.Unlock()
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.serve(writer, r, body, c) || writer.Flush() != nil {
			return
		}
	}
}

// writeAnswer writes a correct answer to r.
func writeAnswer(w io.Writer, r *http.Request, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRequest, r.Header.Get(HeaderRequest), HeaderDigest, Digest([]byte(body)), len(body), body)
}

// listen serves s on a TCP port.
func (s *fakeServer) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.handle(c)
		}
	}()
	return listener, nil
}

// pipeNetwork is a network of in-memory connections to one server. It works in
// the virtual time of synctest.
type pipeNetwork struct {
	network.Network
	server *fakeServer

	mutex    sync.Mutex
	open     []*pipe
	handlers sync.WaitGroup
	// refuse is true if no new connection is opened.
	refuse bool
}

// newPipeNetwork returns a network to s. The test waits for the handlers of s
// before it ends.
func newPipeNetwork(t *testing.T, s *fakeServer) *pipeNetwork {
	p := &pipeNetwork{server: s}
	t.Cleanup(p.handlers.Wait)
	return p
}

// DialContext implements network.Network.
func (p *pipeNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.refuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: io.ErrClosedPipe}
	}
	near, far := net.Pipe()
	c := &pipe{Conn: near, closed: make(chan struct{})}
	p.open = append(p.open, c)
	p.handlers.Go(func() { p.server.handle(far) })
	return c, nil
}

// silence makes the connection that was opened as number i go silent for good.
func (p *pipeNetwork) silence(i int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open[i].silent.Store(true)
}

// pipe is a connection that can go silent: writes are lost and reads return
// nothing, both without an error.
type pipe struct {
	net.Conn
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements net.Conn.
func (c *pipe) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *pipe) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *pipe) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// newTestClient returns a client with the bounds of the daemon.
func newTestClient(t *testing.T, n network.Network) *Client {
	c := NewClient(ClientConfig{
		Network:      n,
		Connections:  4,
		IdleTimeout:  time.Second,
		CheckTimeout: time.Second,
		Silence:      SilenceConfig{Floor: 10 * time.Second, Factor: 8, Checks: 3, CheckPause: time.Second},
	})
	t.Cleanup(c.Close)
	return c
}
