package httplimit_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/intake"
)

// oneListener accepts one connection.
type oneListener struct {
	net.Listener
	connections chan net.Conn
}

// Accept implements net.Listener.
func (l *oneListener) Accept() (net.Conn, error) {
	c, ok := <-l.connections
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l *oneListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzRequests checks that no bytes of a client, whatever their framing, cause a panic, a body
// above its limit or memory that stays charged.
func FuzzRequests(f *testing.F) {
	const limit = 100
	for _, text := range []string{
		"Content-Length: 3\r\n\r\nabc", "Content-Length: 3\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n", "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "Content-Length: -1\r\n\r\n",
		"Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab", "Content-Length: 99999999999\r\n\r\n", "X: y", "\r\n\r\nPOST / HTTP/1.1\r\n",
		"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\nA: b\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		b := intake.NewBudget(memory, 1)
		s := httplimit.New(httplimit.Config{
			Budget: b, Connections: 1, HeaderTimeout: time.Second, BodyTimeout: time.Second,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				data, err := httplimit.ReadBody(w, r, httplimit.BodyConfig{Limit: limit, Weigh: httplimit.WeighCopy})
				if err == nil && len(data) > limit {
					t.Errorf("a body of %d bytes was read", len(data))
				}
			}),
		})
		client, server := net.Pipe()
		l := &oneListener{connections: make(chan net.Conn, 1)}
		l.connections <- server
		close(l.connections)
		_ = s.Serve(l)
		go func() {
			_, _ = io.Copy(client, bytes.NewReader(append([]byte("POST / HTTP/1.1\r\nHost: a\r\n"), text...)))
			_ = client.SetReadDeadline(time.Now().Add(time.Millisecond))
		}()
		_, _ = io.Copy(io.Discard, client)
		_ = client.Close()
		for end := time.Now().Add(5 * time.Second); b.Used() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes stay charged", b.Used())
			}
		}
		_ = s.Close()
	})
}

// BenchmarkSmallRequest compares a request with a small body by httplimit with one by a
// server of net/http, on a connection that is kept.
func BenchmarkSmallRequest(b *testing.B) {
	body := bytes.Repeat([]byte("a"), 300)
	plain := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, 1000))
		_ = c.SetReadDeadline(time.Time{})
	})}
	limited := httplimit.New(httplimit.Config{
		Budget: intake.NewBudget(memory, 1), Connections: 4, HeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = httplimit.ReadBody(w, r, httplimit.BodyConfig{Limit: 1000, Weigh: httplimit.WeighCopy})
		}),
	})
	for name, serve := range map[string]func(net.Listener) error{"net/http": plain.Serve, "httplimit": limited.Serve} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go func() { _ = serve(l) }()
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.Post("http://"+l.Addr().String(), "text/plain", bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				_ = r.Body.Close()
			}
		})
	}
}
