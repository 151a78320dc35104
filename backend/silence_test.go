package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// newTimedServer returns a server whose requests run for the duration in their
// body. After a comma, the body may give the interval between 102 responses.
func newTimedServer() *fakeServer {
	return newFakeServer(func(w *bufio.Writer, r *http.Request, body []byte, _ net.Conn) bool {
		run, beat, beats := strings.Cut(string(body), ",")
		left, _ := time.ParseDuration(run)
		if beats {
			pause, _ := time.ParseDuration(beat)
			for ; left > pause; left -= pause {
				time.Sleep(pause)
				fmt.Fprint(w, "HTTP/1.1 102 Processing\r\n\r\n")
				if w.Flush() != nil {
					return false
				}
			}
		}
		time.Sleep(left)
		writeAnswer(w, r, "done")
		return true
	})
}

// pendingRequest is a request that a test has sent.
type pendingRequest struct {
	err  error
	took time.Duration
	done chan struct{}
}

func send(ctx context.Context, c *Client, id, body string) *pendingRequest {
	s := &pendingRequest{done: make(chan struct{})}
	start := time.Now()
	go func() {
		defer close(s.done)
		_, s.err = c.Send(ctx, Request{ID: ident.Request(id), Address: "server:1", Body: []byte(body)})
		s.took = time.Since(start)
	}()
	synctest.Wait()
	return s
}

// TestSilentConnection checks that a silent connection is ended within the bound
// while others to the same server continue, and that later requests use new
// connections.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTimedServer()
		p := newPipeNetwork(t, s)
		c := newTestClient(t, p)
		stuck := send(t.Context(), c, "stuck", "1s")
		long := send(t.Context(), c, "long", "40s,5s")
		p.silence(0)
		for i := range 100 {
			short := send(t.Context(), c, fmt.Sprint(i), "50ms")
			<-short.done
			is.NoErr(short.err)
			is.Equal(short.took, 50*time.Millisecond)
			time.Sleep(150 * time.Millisecond)
		}
		<-stuck.done
		is.Equal(outcome.From(stuck.err).Kind, outcome.Unknown)
		is.Equal(outcome.From(stuck.err).Code, outcome.Silent)
		is.Equal(stuck.took, 10*time.Second)
		is.True(s.count("stuck") <= 1)
		is.Equal(c.Counters.Silent.Value(), int64(1))
		is.Equal(c.Counters.Checks.Value(), int64(1))
		is.Equal(s.healthChecks(), 1)
		<-long.done
		is.NoErr(long.err)
	})
}

// TestIdleConnection checks that a connection that went silent while idle is not
// reused after the idle timeout.
func TestIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPipeNetwork(t, newTimedServer())
		c := newTestClient(t, p)
		first := send(t.Context(), c, "first", "50ms")
		<-first.done
		is.NoErr(first.err)
		p.silence(0)
		time.Sleep(time.Second)
		second := send(t.Context(), c, "second", "50ms")
		<-second.done
		is.NoErr(second.err)
		is.Equal(second.took, 50*time.Millisecond)
		is.Equal(c.Counters.Retired.Value(), int64(1))
	})
}

// TestLostServer checks that a request ends after the bound and the health
// checks if the server does not answer on new connections either.
func TestLostServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTimedServer()
		p := newPipeNetwork(t, s)
		c := newTestClient(t, p)
		stuck := send(t.Context(), c, "stuck", "1s")
		p.silence(0)
		s.unresponsive.Store(true)
		<-stuck.done
		is.Equal(outcome.From(stuck.err).Kind, outcome.Unknown)
		is.Equal(outcome.From(stuck.err).Code, outcome.LinkLost)
		is.True(stuck.took <= 17*time.Second)
		is.Equal(c.Counters.Lost.Value(), int64(1))
	})
}

// TestLongRunsAreLearned checks that the bound grows with the run times of a
// server.
func TestLongRunsAreLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newTestClient(t, newPipeNetwork(t, newTimedServer()))
		for i, run := range []string{"5s", "30s"} {
			r := send(t.Context(), c, fmt.Sprint(i), run)
			<-r.done
			is.NoErr(r.err)
		}
		is.Equal(c.Counters.Silent.Value(), int64(0))
	})
}

// TestDeadline checks that a request ends at its deadline: with unknown if it
// was sent, and with not run otherwise.
func TestDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTimedServer()
		c := newTestClient(t, newPipeNetwork(t, s))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var sent []*pendingRequest
		for i := range cap(c.pool("server:1").slots) {
			sent = append(sent, send(ctx, c, fmt.Sprint(i), "5s"))
		}
		queued := send(ctx, c, "queued", "5s")
		for _, r := range sent {
			<-r.done
			is.Equal(outcome.From(r.err).Kind, outcome.Unknown)
			is.Equal(outcome.From(r.err).Code, outcome.DeadlinePassed)
			is.Equal(r.took, time.Second)
		}
		<-queued.done
		is.Equal(outcome.From(queued.err).Kind, outcome.NotRun)
		is.Equal(outcome.From(queued.err).Code, outcome.DeadlinePassed)
		is.Equal(s.count("queued"), 0)
	})
}

// TestCallerHangsUp checks that after its caller hangs up, a request that was
// not sent is never sent, and one that was sent runs once to its end while its
// answer is dropped.
func TestCallerHangsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTimedServer()
		c := newTestClient(t, newPipeNetwork(t, s))
		ctx, cancel := context.WithCancel(t.Context())
		sent := send(ctx, c, "sent", "1s")
		cancel()
		late := send(ctx, c, "late", "1s")
		<-late.done
		is.Equal(outcome.From(late.err).Kind, outcome.NotRun)
		is.Equal(s.count("late"), 0)
		<-sent.done
		is.NoErr(sent.err)
		is.Equal(sent.took, time.Second)
		is.Equal(s.count("sent"), 1)
		is.Equal(c.Counters.Dropped.Value(), int64(1))
		is.Equal(c.Counters.Dialed.Value(), int64(1))
	})
}

// TestAnswers checks the outcome that follows from each answer of a server.
func TestAnswers(t *testing.T) {
	const id = "X-Request-Id: 1\r\n"
	tests := map[string]struct {
		answer string
		kind   outcome.Kind
		code   outcome.Code
	}{
		"refused":                   {"503 Busy\r\n" + id + "Catkingap-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", outcome.NotRun, outcome.Busy},
		"refused, leaving":          {"503 Busy\r\n" + id + "Catkingap-Outcome: notRun\r\nCatkingap-Leaving: true\r\nContent-Length: 0\r\n\r\n", outcome.NotRun, outcome.Leaving},
		"refused another request":   {"503 Busy\r\nX-Request-Id: 2\r\nCatkingap-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", outcome.Unknown, outcome.WrongAnswer},
		"refused without id":        {"503 Busy\r\nCatkingap-Outcome: notRun\r\nContent-Length: 0\r\n\r\n", outcome.Unknown, outcome.WrongAnswer},
		"503 without outcome":       {"503 Busy\r\n" + id + "Content-Length: 0\r\n\r\n", outcome.Unknown, outcome.TaskFailed},
		"502 without id":            {"502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", outcome.Unknown, outcome.WrongAnswer},
		"failed":                    {"500 Failed\r\n" + id + "Content-Length: 3\r\n\r\nbad", outcome.Failed, outcome.TaskFailed},
		"answer to another request": {"200 OK\r\nX-Request-Id: 2\r\nContent-Length: 2\r\n\r\nok", outcome.Unknown, outcome.WrongAnswer},
		"without digest":            {"200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok", outcome.Unknown, outcome.WrongAnswer},
		"with another digest":       {"200 OK\r\n" + id + "Content-Digest: " + Digest([]byte("no")) + "\r\nContent-Length: 2\r\n\r\nok", outcome.Unknown, outcome.WrongAnswer},
		"shorter than its length":   {"200 OK\r\n" + id + "Content-Digest: " + Digest([]byte("ok")) + "\r\nContent-Length: 3\r\n\r\nok", outcome.Unknown, outcome.LinkLost},
		"redirect":                  {"307 Elsewhere\r\n" + id + "Location: /run\r\nContent-Length: 0\r\n\r\n", outcome.Failed, outcome.TaskFailed},
		"not HTTP":                  {"\r\n\r\n\r\n", outcome.Unknown, outcome.LinkLost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFakeServer(func(w *bufio.Writer, _ *http.Request, _ []byte, _ net.Conn) bool {
					fmt.Fprint(w, "HTTP/1.1 "+tt.answer)
					w.Flush()
					return false
				})
				c := newTestClient(t, newPipeNetwork(t, s))
				_, err := c.Send(t.Context(), Request{ID: "1", Address: "server:1", Body: []byte("work")})
				is.Equal(outcome.From(err).Kind, tt.kind)
				is.Equal(outcome.From(err).Code, tt.code)
				is.Equal(s.count("1"), 1)
			})
		})
	}
}

// TestCrossedAnswers checks that a connection on which a wrong answer arrived
// carries no further request.
func TestCrossedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mutex sync.Mutex
		last := map[net.Conn]*http.Request{}
		s := newFakeServer(func(w *bufio.Writer, r *http.Request, _ []byte, c net.Conn) bool {
			mutex.Lock()
			defer mutex.Unlock()
			previous := last[c]
			last[c] = r
			if previous == nil {
				previous = r
			}
			writeAnswer(w, previous, "")
			return true
		})
		c := newTestClient(t, newPipeNetwork(t, s))
		for i, want := range []bool{true, false, true, false} {
			_, err := c.Send(t.Context(), Request{ID: ident.Request(fmt.Sprint(i)), Address: "server:1"})
			is.Equal(err == nil, want)
		}
		is.Equal(c.Counters.Wrong.Value(), int64(2))
	})
}
