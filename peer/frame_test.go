package peer

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// encodeFrame returns a frame as it is sent on a link.
func encodeFrame(f *frame) []byte {
	var b bytes.Buffer
	if err := writeFrame(&b, f); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// rawFrame returns a frame with an arbitrary length, version and body.
func rawFrame(length uint32, version byte, body []byte) []byte {
	data := binary.BigEndian.AppendUint32(nil, length)
	return append(append(data, version), body...)
}

// badFrames are frames that close a link, with the reason that is logged.
var badFrames = map[string]struct {
	data   []byte
	reason string
}{
	"body cut":        {encodeFrame(&frame{Call: 1, Kind: "echo"})[:12], "truncated body"},
	"empty":           {rawFrame(0, Version, nil), "not msgpack"},
	"header cut":      {[]byte{0, 0}, "truncated header"},
	"not a map":       {rawFrame(1, Version, []byte{0x01}), "not msgpack"},
	"not msgpack":     {rawFrame(4, Version, []byte{0xc1, 0xc1, 0xc1, 0xc1}), "not msgpack"},
	"too long":        {rawFrame(MaxFrameBytes+1, Version, nil), "more than"},
	"unknown version": {rawFrame(1, Version+1, []byte{0x80}), "version 2 is not 1"},
	"very long":       {rawFrame(0xffffffff, Version, nil), "more than"},
	"wrong type":      {rawFrame(7, Version, []byte{0x81, 0xa4, 'c', 'a', 'l', 'l', 0xa0}), "not msgpack"},
}

// TestBadFrames checks that each bad frame is a *FrameError with its reason.
func TestBadFrames(t *testing.T) {
	for name, tt := range badFrames {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readFrame(bytes.NewReader(tt.data))
			var bad *FrameError
			is.True(errors.As(err, &bad))
			is.True(strings.Contains(bad.Reason, tt.reason))
		})
	}
}

// FuzzReadFrame checks that readFrame fails only with a *FrameError or io.EOF, and
// that a frame stays the same if it is written and read again.
func FuzzReadFrame(f *testing.F) {
	for _, b := range badFrames {
		f.Add(b.data)
	}
	body, _ := msgpack.Marshal("text")
	f.Add(encodeFrame(&frame{Call: 1, Kind: "echo", Body: body}))
	f.Add(encodeFrame(&frame{Call: 1 << 63, Answer: true, Kind: "echo", Error: "no", Body: body}))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := readFrame(bytes.NewReader(data))
		if err != nil {
			if !errors.As(err, new(*FrameError)) && !errors.Is(err, io.EOF) {
				t.Fatalf("error of another type: %v", err)
			}
			return
		}
		again, err := readFrame(bytes.NewReader(encodeFrame(read)))
		if err != nil {
			t.Fatal(err)
		}
		if read.Call != again.Call || read.Answer != again.Answer || read.Kind != again.Kind || read.Error != again.Error || !bytes.Equal(read.Body, again.Body) {
			t.Fatalf("%+v became %+v", read, again)
		}
	})
}
