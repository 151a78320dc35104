// Package peer links the processes of catkingap: typed messages in msgpack on
// framed TCP.
package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the version of the link. A frame of another version closes it.
const Version = 1

// MaxFrameBytes bounds the length of one frame without its header.
const MaxFrameBytes = 8 << 20

// headerBytes is the length of a frame's header: four bytes of length, most
// significant first, and one byte of version.
const headerBytes = 5

// frame is one message on a link.
type frame struct {
	// Call matches an answer to its call. It is set by the calling side. Zero
	// means that no answer is wanted.
	Call uint64 `msgpack:"call"`
	// Answer is true for the answer to a call.
	Answer bool               `msgpack:"answer"`
	Kind   Kind               `msgpack:"kind"`
	Error  string             `msgpack:"error,omitempty"`
	Body   msgpack.RawMessage `msgpack:"body"`
}

// FrameError means that a frame can not be read; the link is closed.
type FrameError struct {
	Reason string
}

// Error implements error.
func (e *FrameError) Error() string { return "peer frame: " + e.Reason }

func writeFrame(w io.Writer, f *frame) error {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return err
	}
	if len(body) > MaxFrameBytes {
		return &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", len(body), MaxFrameBytes)}
	}
	data := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(data, uint32(len(body)))
	data[headerBytes-1] = Version
	_, err = w.Write(append(data, body...))
	return err
}

func readFrame(r io.Reader) (*frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, &FrameError{Reason: "cut in its header"}
	} else if err != nil {
		return nil, err
	}
	if version := header[headerBytes-1]; version != Version {
		return nil, &FrameError{Reason: fmt.Sprintf("version %d is not %d", version, Version)}
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return nil, &FrameError{Reason: fmt.Sprintf("%d bytes are more than %d", length, MaxFrameBytes)}
	}
	// The memory grows with what arrives, not with what the header says.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(length)); err != nil {
		return nil, &FrameError{Reason: "cut: " + err.Error()}
	}
	if nestedDeeper(body.Bytes(), maxNesting) {
		return nil, &FrameError{Reason: "nested too deep"}
	}
	var f frame
	if err := msgpack.Unmarshal(body.Bytes(), &f); err != nil {
		return nil, &FrameError{Reason: "not msgpack: " + err.Error()}
	}
	return &f, nil
}
