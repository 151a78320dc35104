package backend

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/outcome"
)

// resetConnection closes a connection with a TCP reset where it can, so that the
// other end reads an error at once.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// closeCases are the points at which a server closes its connection.
var closeCases = map[string]struct {
	serve func(w *bufio.Writer, r *http.Request, body []byte, c net.Conn) bool
	kind  outcome.Kind
}{
	"after the answer": {
		serve: func(w *bufio.Writer, r *http.Request, _ []byte, _ net.Conn) bool {
			writeAnswer(w, r, "done")
			w.Flush()
			return false
		},
	},
	"before the answer": {
		serve: func(*bufio.Writer, *http.Request, []byte, net.Conn) bool { return false },
		kind:  outcome.Unknown,
	},
	"in the head of the answer": {
		serve: func(w *bufio.Writer, _ *http.Request, _ []byte, c net.Conn) bool {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\nX-Req")
			w.Flush()
			resetConnection(c)
			return false
		},
		kind: outcome.Unknown,
	},
	"in the body of the answer": {
		serve: func(w *bufio.Writer, r *http.Request, _ []byte, _ net.Conn) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 100\r\n\r\nhalf", HeaderRequest, r.Header.Get(HeaderRequest))
			w.Flush()
			return false
		},
		kind: outcome.Unknown,
	},
	"with a reset": {
		serve: func(_ *bufio.Writer, _ *http.Request, _ []byte, c net.Conn) bool {
			resetConnection(c)
			return false
		},
		kind: outcome.Unknown,
	},
}

// TestClosedConnections checks that a request reaches the server once if the
// server closes the connection, on a new connection and on a reused one.
func TestClosedConnections(t *testing.T) {
	for name, tt := range closeCases {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused %t", name, reused), func(t *testing.T) {
				is := is.New(t)
				s := newFakeServer(func(w *bufio.Writer, r *http.Request, body []byte, c net.Conn) bool {
					if r.Header.Get(HeaderRequest) == "first" {
						writeAnswer(w, r, "warm")
						return true
					}
					return tt.serve(w, r, body, c)
				})
				listener, err := s.listen()
				is.NoErr(err)
				defer listener.Close()
				c := newTestClient(t, network.Real{DialTimeout: time.Second})
				address := listener.Addr().String()
				if reused {
					_, err := c.Send(t.Context(), Request{ID: "first", Address: address})
					is.NoErr(err)
				}
				_, err = c.Send(t.Context(), Request{ID: "second", Address: address, Body: []byte("work")})
				is.Equal(s.count("second"), 1)
				if tt.kind == "" {
					is.NoErr(err)
				} else {
					is.Equal(outcome.From(err).Kind, tt.kind)
				}
			})
		}
	}
}

// TestNotRunIsTrue guards against a request that is reported as not run but
// reached the server. The server closes connections at random points, idle ones
// included, and each outcome is checked against its count.
func TestNotRunIsTrue(t *testing.T) {
	is := is.New(t)
	const workers, each, seed = 8, 150, 4
	random := rand.New(rand.NewPCG(seed, seed))
	var mutex sync.Mutex
	draw := func(n int) int {
		mutex.Lock()
		defer mutex.Unlock()
		return random.IntN(n)
	}
	s := newFakeServer(func(w *bufio.Writer, r *http.Request, _ []byte, c net.Conn) bool {
		switch draw(5) {
		case 0:
			resetConnection(c)
			return false
		case 1:
			writeAnswer(w, r, "done")
			w.Flush()
			return false
		case 2:
			writeAnswer(w, r, "done")
			w.Flush()
			resetConnection(c)
			return false
		}
		writeAnswer(w, r, "done")
		return true
	})
	listener, err := s.listen()
	is.NoErr(err)
	defer listener.Close()
	c := newTestClient(t, network.Real{DialTimeout: time.Second})
	var group sync.WaitGroup
	var failures []error
	for i := range workers {
		group.Go(func() {
			for k := range each {
				id := fmt.Sprintf("%d-%d", i, k)
				reply, err := c.Send(t.Context(), Request{ID: ident.Request(id), Address: listener.Addr().String(), Body: []byte("work")})
				count := s.count(id)
				ended := outcome.From(err)
				switch {
				case count > 1:
					err = fmt.Errorf("request %s came %d times", id, count)
				case err == nil && (count != 1 || string(reply.Body) != "done"):
					err = fmt.Errorf("request %s: answer %q, count %d", id, reply.Body, count)
				case ended != nil && ended.Kind == outcome.NotRun && count != 0:
					err = fmt.Errorf("request %s came, but: %w", id, err)
				default:
					err = nil
				}
				if err != nil {
					mutex.Lock()
					failures = append(failures, err)
					mutex.Unlock()
				}
			}
		})
	}
	group.Wait()
	if len(failures) > 0 {
		t.Fatalf("seed %d: %d wrong, first: %v", seed, len(failures), failures[0])
	}
}

// TestNoConnection checks that a request without a connection is not run.
func TestNoConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener.Close()
	c := newTestClient(t, network.Real{DialTimeout: time.Second})
	_, err = c.Send(t.Context(), Request{ID: "x", Address: listener.Addr().String()})
	is.Equal(outcome.From(err).Kind, outcome.NotRun)
	is.Equal(outcome.From(err).Code, outcome.Unreachable)
}
