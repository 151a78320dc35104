package httplimit

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/intake"
)

// OverloadedError means that a request was not received or not decoded because the host
// lacks memory or connections for it. Nothing of it has run.
type OverloadedError struct {
	Reason string
}

// Error implements error.
func (e *OverloadedError) Error() string { return e.Reason }

// errTooSlow is returned for a body that has not arrived in time.
var errTooSlow = errors.New("the body has not arrived in time")

// IsTooSlow reports whether an error of ReadBody means that the body did not arrive in
// time.
func IsTooSlow(err error) bool { return errors.Is(err, errTooSlow) }

// BodyConfig configures ReadBody.
type BodyConfig struct {
	// Limit is the largest body. A larger one is an *http.MaxBytesError.
	Limit int64
	// Weigh returns an upper bound of the memory that the decoded body takes until the
	// request is answered.
	Weigh func(body []byte) intake.Bytes
}

// WeighCopy returns the memory of a decoded body that holds a copy of it.
func WeighCopy(body []byte) intake.Bytes { return intake.Bytes(len(body)) }

// smallBytes is the length below which a body is read into one buffer of its length. Most
// bodies are smaller.
const smallBytes = 4 << 10

// bodyReader reads one body.
type bodyReader struct {
	// conn is nil if the server has no limits, as in tests. claim is nil if it has no budget.
	conn  *conn
	claim *intake.Claim
}

// ReadBody reads the body of a request. Its memory, and then that of what is decoded from
// it, is charged to the budget of the server until the handler returns. If ReadBody
// fails, the connection is to be closed after the answer.
func ReadBody(w http.ResponseWriter, r *http.Request, c BodyConfig) ([]byte, error) {
	x := bodyReader{}
	x.conn, _ = r.Context().Value(contextKey{}).(*conn)
	if x.conn == nil {
		controller := http.NewResponseController(w)
		// Only the response writers of tests do not support deadlines.
		_ = controller.SetReadDeadline(time.Now().Add(DefaultBodyTimeout))
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	}
	data, err := x.read(w, r, c)
	if err != nil {
		w.Header().Set("Connection", "close")
		err = x.explain(err)
		if x.claim != nil {
			x.claim.Release()
		}
		return nil, err
	}
	if x.conn != nil {
		// The server goes on reading the connection to detect that the caller disconnects.
		_ = x.conn.SetReadDeadline(time.Time{})
	}
	return data, nil
}

func (x *bodyReader) read(w http.ResponseWriter, r *http.Request, c BodyConfig) ([]byte, error) {
	if r.ContentLength > c.Limit {
		return nil, &http.MaxBytesError{Limit: c.Limit}
	}
	if x.conn != nil && x.conn.server.config.Budget != nil {
		now := time.Now()
		x.claim = x.conn.server.config.Budget.Open(now, func() { _ = x.conn.SetReadDeadline(now) })
		x.conn.claim = x.claim
	}
	reader := http.MaxBytesReader(w, r.Body, c.Limit)
	if r.ContentLength >= 0 && r.ContentLength < smallBytes {
		return x.readSmall(reader, r.ContentLength, c)
	}
	return x.readBlocks(reader, c)
}

// readSmall reads a body of n bytes.
func (x *bodyReader) readSmall(r io.Reader, n int64, c BodyConfig) ([]byte, error) {
	if !x.grow(intake.Bytes(n)) {
		return nil, errNoMemory
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	return data, x.finish(data, c)
}

// block is a part of an unfinished body. Blocks are used again, since a crowd whose bodies
// never end would otherwise leave garbage faster than it is collected.
type block [16 << 10]byte

var blocks = sync.Pool{New: func() any { return new(block) }}

// readBlocks reads a body of unknown or large size. It is charged as it arrives, whatever
// size it claims.
func (x *bodyReader) readBlocks(r io.Reader, c BodyConfig) ([]byte, error) {
	var full []*block
	defer func() {
		for _, b := range full {
			blocks.Put(b)
		}
	}()
	size := 0
	for {
		if !x.grow(intake.Bytes(len(block{}))) {
			return nil, errNoMemory
		}
		b := blocks.Get().(*block)
		full = append(full, b)
		n, err := fill(r, b[:])
		size += n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if !x.grow(intake.Bytes(size)) {
		return nil, errNoMemory
	}
	data := make([]byte, 0, size)
	for _, b := range full {
		data = append(data, b[:min(len(b), size-len(data))]...)
	}
	if err := x.finish(data, c); err != nil {
		return nil, err
	}
	x.grow(-intake.Bytes(len(full) * len(block{})))
	return data, nil
}

// fill reads until p is full or r fails. Unlike io.ReadFull, it returns the error of r as it
// is: io.ErrUnexpectedEOF means that the body was cut.
func fill(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// errNoMemory is returned for a body that does not fit into the budget.
var errNoMemory = &OverloadedError{Reason: "the host has no memory for this body now"}

// grow charges n bytes, and returns false if they do not fit.
func (x *bodyReader) grow(n intake.Bytes) bool {
	return x.claim == nil || x.claim.Grow(time.Now(), n)
}

// finish charges what the body decodes to, and marks the request as received.
func (x *bodyReader) finish(data []byte, c BodyConfig) error {
	if x.conn == nil {
		return nil
	}
	if x.claim != nil && (!x.grow(c.Weigh(data)) || !x.claim.Finish()) {
		return errNoMemory
	}
	if !x.conn.server.connections.Set(time.Now(), x.conn, intake.Serving) {
		x.conn.server.shed(shedServing)
		return &OverloadedError{Reason: "too many requests wait for their answers"}
	}
	return nil
}

// explain counts a body that could not be read, and returns its error for the handler.
func (x *bodyReader) explain(err error) error {
	count := func(r reason) {
		if x.conn != nil {
			x.conn.server.shed(r)
		}
	}
	if errors.Is(err, errNoMemory) {
		count(shedMemory)
		return err
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if x.claim != nil && x.claim.WasShed() {
		count(shedBody)
		return &OverloadedError{Reason: "the body stalled while the host was short of memory"}
	}
	count(shedSlow)
	return errors.Mark(err, errTooSlow)
}
