package backend

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/network"
)

// maxSendAllocations bounds the allocations of one request and its answer on a
// connection that is open, with those of the test's server.
const maxSendAllocations = 100

func newAnsweringServer() *fakeServer {
	return newFakeServer(func(w *bufio.Writer, r *http.Request, _ []byte, _ net.Conn) bool {
		writeAnswer(w, r, "done")
		return true
	})
}

// TestSendAllocations bounds the cost of a request on an open connection.
func TestSendAllocations(t *testing.T) {
	is := is.New(t)
	listener, err := newAnsweringServer().listen()
	is.NoErr(err)
	defer listener.Close()
	c := newTestClient(t, network.Real{DialTimeout: time.Second})
	r := Request{ID: "1", Address: listener.Addr().String(), Body: make([]byte, 512)}
	allocations := testing.AllocsPerRun(200, func() {
		_, err := c.Send(t.Context(), r)
		is.NoErr(err)
	})
	t.Logf("%.0f allocations", allocations)
	is.True(allocations <= maxSendAllocations)
	is.True(c.Counters.Dialed.Value() <= 2)
}

func BenchmarkSend(b *testing.B) {
	listener, err := newAnsweringServer().listen()
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	c := NewClient(ClientConfig{
		Network: network.Real{DialTimeout: time.Second}, Connections: 4, IdleTimeout: time.Second, CheckTimeout: time.Second,
		Silence: SilenceConfig{Floor: 10 * time.Second, Factor: 8, Checks: 3, CheckPause: time.Second},
	})
	defer c.Close()
	r := Request{ID: "1", Address: listener.Addr().String(), Body: make([]byte, 512)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Send(b.Context(), r); err != nil {
			b.Fatal(err)
		}
	}
}
