package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// nestedFrame returns a frame whose body consists of depth nested arrays.
func nestedFrame(depth int) []byte {
	// A map of one entry: "body" and the arrays.
	body := append([]byte{0x81, 0xa4, 'b', 'o', 'd', 'y'}, bytes.Repeat([]byte{0x91}, depth)...)
	return rawFrame(uint32(len(body)+1), Version, append(body, 0xc0))
}

// TestDeeplyNestedFrame guards against a stack overflow by a frame that is nested as deep
// as its length allows: it must be rejected before it is decoded.
func TestDeeplyNestedFrame(t *testing.T) {
	tests := map[string]struct {
		depth int
		valid bool
	}{
		"as messages are": {depth: 10, valid: true},
		"too deep":        {depth: maxNesting + 1},
		"a whole frame":   {depth: MaxFrameBytes - 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readFrame(bytes.NewReader(nestedFrame(test.depth)))
			is.Equal(err == nil, test.valid)
			var bad *FrameError
			is.Equal(errors.As(err, &bad), !test.valid)
		})
	}
}

// TestPanicOfAHandler guards against a handler that panics and takes its link or process
// down: its call must fail, be logged and counted, and the next call on the same link be
// answered.
func TestPanicOfAHandler(t *testing.T) {
	is := is.New(t)
	l, output, address := newTestLinks(t)
	Handle(l, "panic", func(_ context.Context, steps []string) (string, error) { return steps[0], nil })
	HandleCast(l, "panicCast", func(steps []string) { _ = steps[0] })
	_, err := Call[[]string, string](t.Context(), l, address, "panic", []string{})
	var remote *RemoteError
	is.True(errors.As(err, &remote))
	is.NoErr(Cast(t.Context(), l, address, "panicCast", []string{}))
	answer, err := Call[string, string](t.Context(), l, address, "echo", "still here")
	is.NoErr(err)
	is.Equal(answer, "still here")
	for end := time.Now().Add(5 * time.Second); l.Statistics.Panics.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(l.Statistics.Panics.Load(), int64(2))
	is.True(strings.Contains(output.text(), "index out of range"))
}

// TestCrowdOfLinks guards against connections that hold all accepted links: those that have
// sent nothing are closed for new ones, and links that work stay.
func TestCrowdOfLinks(t *testing.T) {
	const limit = 8
	is := is.New(t)
	server, _, _ := newTestLinks(t)
	server.LimitAccepted(limit)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	client, _, _ := newTestLinks(t)
	answer, err := Call[string, string](t.Context(), client, address, "echo", "before")
	is.NoErr(err)
	is.Equal(answer, "before")
	sent := client.Statistics.SentFrames.Load()
	for range 5 * limit {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer c.Close()
	}
	answer, err = Call[string, string](t.Context(), client, address, "echo", "after")
	is.NoErr(err)
	is.Equal(answer, "after")
	is.Equal(client.Statistics.SentFrames.Load(), sent+1)
	other, _, _ := newTestLinks(t)
	answer, err = Call[string, string](t.Context(), other, address, "echo", "new")
	is.NoErr(err)
	is.Equal(answer, "new")
	is.True(server.Statistics.Shed.Load() >= 4*limit)
}

// TestBufferedFrames checks which frames are read without a deadline: only those that have
// arrived whole.
func TestBufferedFrames(t *testing.T) {
	whole := nestedFrame(3)
	for name, row := range map[string]struct {
		data []byte
		want bool
	}{
		"nothing":        {},
		"half a header":  {data: whole[:headerBytes-1]},
		"header":         {data: whole[:headerBytes]},
		"all but a byte": {data: whole[:len(whole)-1]},
		"whole":          {data: whole, want: true},
		"and more":       {data: append(bytes.Clone(whole), 1), want: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := bufio.NewReader(bytes.NewReader(row.data))
			_, _ = r.Peek(1)
			is.Equal(isBuffered(r), row.want)
		})
	}
}
