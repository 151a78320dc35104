package httplimit_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/intake"
)

// memory gives a budget of 256 KiB.
const memory = 1 << 20

// serve starts a server whose handler reads the body and then calls hold.
func serve(t *testing.T, c httplimit.Config, limit int64, hold func(r *http.Request)) string {
	t.Helper()
	is := is.New(t)
	c.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := httplimit.ReadBody(w, r, httplimit.BodyConfig{Limit: limit, Weigh: func(b []byte) intake.Bytes { return intake.Bytes(len(b)) }})
		switch {
		case err == nil:
			hold(r)
			fmt.Fprint(w, len(data))
		case httplimit.IsTooSlow(err):
			w.WriteHeader(http.StatusRequestTimeout)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := httplimit.New(c)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// post writes a request and returns its connection.
func post(t *testing.T, address, framing, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s", framing, body)
	return c
}

func answer(t *testing.T, c net.Conn) (int, string) {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	data, _ := io.ReadAll(r.Body)
	return r.StatusCode, string(data)
}

// TestBudgetIsGivenBack guards against ways out of a request that keep its memory charged.
func TestBudgetIsGivenBack(t *testing.T) {
	large := strings.Repeat("a", 40<<10)
	for name, row := range map[string]struct {
		framing, body string
		status        int
		text          string
		// hangUp is true if the client leaves before it has sent the body.
		hangUp bool
		panics bool
	}{
		"small":          {framing: "Content-Length: 3", body: "abc", status: 200, text: "3"},
		"large":          {framing: fmt.Sprint("Content-Length: ", len(large)), body: large, status: 200, text: fmt.Sprint(len(large))},
		"whole blocks":   {framing: "Content-Length: 32768", body: large[:32768], status: 200, text: "32768"},
		"chunked":        {framing: "Transfer-Encoding: chunked", body: "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", status: 200, text: "5"},
		"stalls":         {framing: "Content-Length: 50000", body: large, status: 408},
		"small stalls":   {framing: "Content-Length: 50", body: "a", status: 408},
		"too large":      {framing: "Content-Length: 100000", body: large, status: 503},
		"too large late": {framing: "Transfer-Encoding: chunked", body: "11170\r\n" + strings.Repeat("a", 0x11170) + "\r\n", status: 503},
		"hangs up":       {framing: "Content-Length: 50000", body: large, hangUp: true},
		"handler panics": {framing: "Content-Length: 3", body: "abc", panics: true, hangUp: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := intake.NewBudget(memory, 1)
			address := serve(t, httplimit.Config{Budget: b, Connections: 4, BodyTimeout: 200 * time.Millisecond}, 60_000, func(*http.Request) {
				if row.panics {
					panic(http.ErrAbortHandler)
				}
				is.True(b.Used() > 0)
			})
			c := post(t, address, row.framing, row.body)
			if row.hangUp {
				is.NoErr(c.(*net.TCPConn).CloseWrite())
				_, _ = io.Copy(io.Discard, c)
			} else {
				status, text := answer(t, c)
				is.Equal(status, row.status)
				is.Equal(text, row.text)
			}
			for end := time.Now().Add(10 * time.Second); b.Used() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes stay charged", b.Used())
				}
			}
		})
	}
}

// TestStalledBodyIsShed guards against an unfinished body that keeps memory which another
// request needs: its client is refused, the other one is served.
func TestStalledBodyIsShed(t *testing.T) {
	is := is.New(t)
	b := intake.NewBudget(memory, 1)
	address := serve(t, httplimit.Config{Budget: b, Connections: 4, BodyTimeout: time.Minute}, 90_000, func(*http.Request) {})
	stalled := post(t, address, "Content-Length: 80001", strings.Repeat("a", 80_000))
	for b.Used() < 80_000 {
		time.Sleep(time.Millisecond)
	}
	status, text := answer(t, post(t, address, "Content-Length: 50000", strings.Repeat("a", 50_000)))
	is.Equal(status, http.StatusOK)
	is.Equal(text, "50000")
	status, _ = answer(t, stalled)
	is.Equal(status, http.StatusServiceUnavailable)
}

// TestWaitingRequestsAreKept guards against closing a connection whose request waits legally
// for its answer, or that is idle after one, while there is room.
func TestWaitingRequestsAreKept(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	address := serve(t, httplimit.Config{
		Budget: intake.NewBudget(memory, 1), Connections: 4, BodyTimeout: 50 * time.Millisecond, WriteTimeout: 50 * time.Millisecond,
	}, 100, func(r *http.Request) {
		select {
		case <-done:
		case <-r.Context().Done():
			t.Error("the request was given up")
		}
	})
	waiting := post(t, address, "Content-Length: 3", "abc")
	time.Sleep(200 * time.Millisecond)
	// The other three connections send nothing, and are closed for new ones.
	for range 10 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer c.Close()
	}
	close(done)
	status, text := answer(t, waiting)
	is.Equal(status, http.StatusOK)
	is.Equal(text, "3")
	fmt.Fprint(waiting, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nde")
	status, text = answer(t, waiting)
	is.Equal(status, http.StatusOK)
	is.Equal(text, "2")
}
