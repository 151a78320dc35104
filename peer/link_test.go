package peer

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/standin"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.String()
}

// newTestLinks returns links that serve the kinds echo and slow, their log output and
// their address.
func newTestLinks(t *testing.T) (*Links, *lockedBuffer, string) {
	t.Helper()
	output := &lockedBuffer{}
	l := NewLinks(Config{
		Logger: &log.Logger{Handler: json.New(output)}, Network: network.Real{DialTimeout: time.Second},
		WriteTimeout: time.Second, SilenceTimeout: 200 * time.Millisecond,
	})
	Handle(l, "echo", func(_ context.Context, text string) (string, error) { return text, nil })
	Handle(l, "slow", func(ctx context.Context, text string) (string, error) {
		select {
		case <-time.After(time.Second):
			return text, nil
		case <-ctx.Done():
			return "", ctx.Err()
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.Serve(listener) }()
	t.Cleanup(func() {
		listener.Close()
		l.Close()
	})
	return l, output, listener.Addr().String()
}

// TestBadFrameClosesOnlyItsLink checks that a bad frame closes its link with a
// logged reason while calls on another link go on.
func TestBadFrameClosesOnlyItsLink(t *testing.T) {
	for name, tt := range badFrames {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server, output, address := newTestLinks(t)
			caller, _, _ := newTestLinks(t)
			slow := make(chan error, 1)
			go func() {
				_, err := Call[string, string](t.Context(), caller, address, "slow", "a")
				slow <- err
			}()
			bad, err := net.Dial("tcp", address)
			is.NoErr(err)
			_, err = bad.Write(tt.data)
			is.NoErr(err)
			is.NoErr(bad.(*net.TCPConn).CloseWrite())
			is.NoErr(bad.SetReadDeadline(time.Now().Add(10 * time.Second)))
			_, err = bad.Read(make([]byte, 1))
			is.True(err != nil && !errors.Is(err, context.DeadlineExceeded))
			answer, err := Call[string, string](t.Context(), caller, address, "echo", "b")
			is.NoErr(err)
			is.Equal(answer, "b")
			is.NoErr(<-slow)
			is.Equal(server.Statistics.Bad.Load(), int64(1))
			is.True(strings.Contains(output.text(), tt.reason))
		})
	}
}

// TestTooLongCall checks that a call that exceeds MaxFrameBytes is not sent and
// that its link stays open for other calls.
func TestTooLongCall(t *testing.T) {
	is := is.New(t)
	_, _, address := newTestLinks(t)
	caller, _, _ := newTestLinks(t)
	slow := make(chan error, 1)
	go func() {
		_, err := Call[string, string](t.Context(), caller, address, "slow", "a")
		slow <- err
	}()
	time.Sleep(50 * time.Millisecond)
	_, err := Call[string, string](t.Context(), caller, address, "echo", strings.Repeat("x", MaxFrameBytes))
	is.True(errors.As(err, new(*UnreachableError)))
	is.NoErr(<-slow)
}

// TestSilentLink checks that a link whose connection silently drops all data is
// closed even if its calls have no deadline, and that the next call opens a new
// link.
func TestSilentLink(t *testing.T) {
	is := is.New(t)
	_, _, address := newTestLinks(t)
	caller, output, _ := newTestLinks(t)
	middle, err := standin.NewMiddlebox(address)
	is.NoErr(err)
	defer middle.Close()
	_, err = Call[string, string](t.Context(), caller, middle.Address(), "echo", "a")
	is.NoErr(err)
	middle.Forget()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	_, err = Call[string, string](ctx, caller, middle.Address(), "echo", "b")
	is.True(errors.Is(err, errLinkClosed))
	is.Equal(caller.Statistics.Silent.Load(), int64(1))
	is.True(strings.Contains(output.text(), errSilent.Error()))
	answer, err := Call[string, string](ctx, caller, middle.Address(), "echo", "c")
	is.NoErr(err)
	is.Equal(answer, "c")
}

// TestSlowCallIsNotSilent checks that a link whose handler is slow stays open.
func TestSlowCallIsNotSilent(t *testing.T) {
	is := is.New(t)
	_, _, address := newTestLinks(t)
	caller, _, _ := newTestLinks(t)
	answer, err := Call[string, string](t.Context(), caller, address, "slow", "a")
	is.NoErr(err)
	is.Equal(answer, "a")
	is.Equal(caller.Statistics.Silent.Load(), int64(0))
}

// TestSilence checks when a link is pinged and when it counts as silent.
func TestSilence(t *testing.T) {
	const timeout = time.Second
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	after := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	tests := map[string]struct {
		now, lastReceived time.Time
		pinged            time.Time
		open              int
		want              silenceVerdict
	}{
		"no open calls":     {now: after(60), lastReceived: start, want: linkAlive},
		"received recently": {now: after(0.9), lastReceived: start, open: 1, want: linkAlive},
		"nothing received":  {now: after(1), lastReceived: start, open: 1, want: linkNeedsPing},
		"pinged":            {now: after(1.5), lastReceived: start, pinged: after(1), open: 1, want: linkAlive},
		"ping not answered": {now: after(2), lastReceived: start, pinged: after(1), open: 1, want: linkSilent},
		"ping answered":     {now: after(2), lastReceived: after(1.1), pinged: after(1), open: 1, want: linkAlive},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &silence{timeout: timeout, pinged: tt.pinged}
			is.Equal(s.decide(tt.now, tt.lastReceived, tt.open), tt.want)
		})
	}
}
