// Package logline writes log lines to an output that may block, without ever blocking the caller.
package logline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// lineBuffer is the number of log lines that are buffered for the output. In a burst,
	// a host writes some hundred lines a second.
	lineBuffer = 2048
	// omittedInterval is the time between two log lines that report omitted lines.
	omittedInterval = time.Second
	// flushTime bounds the writing of buffered lines at the end.
	flushTime = 200 * time.Millisecond
)

// Writer writes lines to an output that may block. Lines that do not fit into its
// buffer are dropped and counted.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	omitted atomic.Int64
}

// NewWriter returns a Writer to an output. Run must be called for lines to be written.
func NewWriter(output io.Writer) *Writer {
	return &Writer{output: output, lines: make(chan []byte, lineBuffer)}
}

// Write implements io.Writer. It never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.omitted.Add(1)
	}
	return len(p), nil
}

// Run writes lines until ctx ends, and then flushes the buffer.
func (w *Writer) Run(ctx context.Context) {
	last := time.Now()
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		case <-ctx.Done():
			w.flush()
			return
		}
		if now := time.Now(); now.Sub(last) >= omittedInterval {
			last = now
			w.report(now)
		}
	}
}

// flush writes the buffered lines.
func (w *Writer) flush() {
	end := time.Now().Add(flushTime)
	for time.Now().Before(end) {
		select {
		case line := <-w.lines:
			w.emit(line)
		default:
			w.report(time.Now())
			return
		}
	}
}

// report logs the number of omitted lines.
func (w *Writer) report(now time.Time) {
	if n := w.omitted.Swap(0); n > 0 {
		w.emit(fmt.Appendf(nil, "{\"fields\":{\"count\":%d},\"level\":\"warn\",\"timestamp\":%q,\"message\":\"log lines left out\"}\n",
			n, now.UTC().Format(time.RFC3339Nano)))
	}
}

// emit writes one line. It ignores errors, since a failure of the log output cannot be
// logged.
func (w *Writer) emit(line []byte) { _, _ = w.output.Write(line) }
