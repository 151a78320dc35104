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

// encoded returns a frame as it is on the link.
func encoded(f *frame) []byte {
	var b bytes.Buffer
	if err := writeFrame(&b, f); err != nil {
		panic(err)
	}
	return b.Bytes()
}

// raw returns a frame with a body that is not checked.
func raw(length uint32, version byte, body []byte) []byte {
	data := binary.BigEndian.AppendUint32(nil, length)
	return append(append(data, version), body...)
}

// badFrames are frames that close a link, and the reason that is logged.
var badFrames = map[string]struct {
	data   []byte
	reason string
}{
	"body cut":        {encoded(&frame{Call: 1, Kind: "echo"})[:12], "cut"},
	"empty":           {raw(0, Version, nil), "not msgpack"},
	"header cut":      {[]byte{0, 0}, "cut in its header"},
	"not a map":       {raw(1, Version, []byte{0x01}), "not msgpack"},
	"not msgpack":     {raw(4, Version, []byte{0xc1, 0xc1, 0xc1, 0xc1}), "not msgpack"},
	"too long":        {raw(MaxFrameBytes+1, Version, nil), "more than"},
	"unknown version": {raw(1, Version+1, []byte{0x80}), "version 2 is not 1"},
	"very long":       {raw(0xffffffff, Version, nil), "more than"},
	"wrong type":      {raw(7, Version, []byte{0x81, 0xa4, 'c', 'a', 'l', 'l', 0xa0}), "not msgpack"},
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

// FuzzReadFrame checks that no input makes the decoder fail otherwise than with
// a *FrameError or the end of the input, and that a frame that it reads is
// written and read again the same.
func FuzzReadFrame(f *testing.F) {
	for _, b := range badFrames {
		f.Add(b.data)
	}
	body, _ := msgpack.Marshal("text")
	f.Add(encoded(&frame{Call: 1, Kind: "echo", Body: body}))
	f.Add(encoded(&frame{Call: 1 << 63, Answer: true, Kind: "echo", Error: "no", Body: body}))
	f.Fuzz(func(t *testing.T, data []byte) {
		read, err := readFrame(bytes.NewReader(data))
		if err != nil {
			if !errors.As(err, new(*FrameError)) && !errors.Is(err, io.EOF) {
				t.Fatalf("error of another type: %v", err)
			}
			return
		}
		again, err := readFrame(bytes.NewReader(encoded(read)))
		if err != nil {
			t.Fatal(err)
		}
		if read.Call != again.Call || read.Answer != again.Answer || read.Kind != again.Kind || read.Error != again.Error || !bytes.Equal(read.Body, again.Body) {
			t.Fatalf("%+v became %+v", read, again)
		}
	})
}
