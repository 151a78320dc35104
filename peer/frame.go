// Package peer connects the processes of catkingap by typed msgpack messages in
// frames over TCP.
package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the version of the protocol. A frame of another version closes its
// link.
const Version = 1

// MaxFrameBytes is the maximum length of a frame without its header.
const MaxFrameBytes = 8 << 20

// headerBytes is the length of a frame's header: the length of the body in four
// bytes, most significant first, and the version in one byte.
const headerBytes = 5

// frame is one message on a link.
type frame struct {
	// Call identifies the call that an answer belongs to. The calling side sets it.
	// Zero marks a one-way message.
	Call uint64 `msgpack:"call"`
	// Answer is true for the answer to a call.
	Answer bool               `msgpack:"answer"`
	Kind   Kind               `msgpack:"kind"`
	Error  string             `msgpack:"error,omitempty"`
	Body   msgpack.RawMessage `msgpack:"body"`
}

// FrameError means that a frame is invalid or too long. A link that receives an
// invalid frame is closed.
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
		return nil, &FrameError{Reason: "truncated header"}
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
	// The buffer grows with the received bytes, not to the length that the header
	// claims.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(length)); err != nil {
		return nil, &FrameError{Reason: "truncated body: " + err.Error()}
	}
	if exceedsNesting(body.Bytes(), maxNesting) {
		return nil, &FrameError{Reason: "nested too deeply"}
	}
	var f frame
	if err := msgpack.Unmarshal(body.Bytes(), &f); err != nil {
		return nil, &FrameError{Reason: "not msgpack: " + err.Error()}
	}
	return &f, nil
}

// isBuffered returns true if r has buffered the next frame whole.
func isBuffered(r *bufio.Reader) bool {
	if r.Buffered() < headerBytes {
		return false
	}
	header, err := r.Peek(headerBytes)
	return err == nil && int64(r.Buffered()) >= headerBytes+int64(binary.BigEndian.Uint32(header))
}
