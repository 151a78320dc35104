// Package standin holds small stand-ins for the systems around catkingap: the
// platform's tables, object store and membership list, backend servers, workers
// and middleboxes. Most have fault switches.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Mode says how a stand-in treats requests.
type Mode string

// The modes of a stand-in.
const (
	// Serve answers as the real system does.
	Serve Mode = "serve"
	// Refuse answers 503 at once. The request has no effect.
	Refuse Mode = "refuse"
	// LoseAnswer lets the request take effect and closes the connection without an
	// answer.
	LoseAnswer Mode = "loseAnswer"
	// Late closes the connection at once and lets the request take effect after
	// Delay, if it still can.
	Late Mode = "late"
	// Silent keeps the connection open and never answers. The request has no effect.
	Silent Mode = "silent"
	// Stale answers reads with the state at the time when the mode was set.
	Stale Mode = "stale"
	// FailAll answers each task with an error.
	FailAll Mode = "failAll"
	// Drain refuses new requests, as a leaving backend server does.
	Drain Mode = "drain"
	// Close runs requests and answers with "Connection: close", as a backend server
	// that shuts down does.
	Close Mode = "close"
	// Cross answers a task with the answer to the previous task.
	Cross Mode = "cross"
)

// Faults are the faults of one stand-in.
type Faults struct {
	Mode Mode `json:"mode"`
	// Delay is the time before the request takes effect.
	Delay time.Duration `json:"delayNs"`
	// Slowdown multiplies the run times of tasks. Zero means one.
	Slowdown float64 `json:"slowdown"`
	// Count limits the fault to that many requests. Zero means no limit.
	Count int `json:"count"`
}

// Switch holds the faults of a stand-in, which may change while it runs.
type Switch struct {
	mutex  sync.Mutex
	faults Faults
}

// Set replaces the faults.
func (s *Switch) Set(f Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

// mode returns the current mode without counting a request.
func (s *Switch) mode() Mode {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.Mode
}

// takeFaults returns the faults for one request and counts the request.
func (s *Switch) takeFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f := s.faults
	if f.Mode == "" {
		f.Mode = Serve
	}
	if s.faults.Count > 0 {
		s.faults.Count--
		if s.faults.Count == 0 {
			s.faults = Faults{}
		}
	}
	return f
}

// ServeHTTP sets the faults to those in the JSON body of a PUT.
func (s *Switch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// PathFaults is the path of the fault switches of a stand-in.
const PathFaults = "/faults"

// applyFaults wraps next with the faults that do not depend on the kind of request.
// The faults are taken once per request and passed on to next.
func (s *Switch) applyFaults(next func(http.ResponseWriter, *http.Request, Faults)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.takeFaults()
		if f.Mode == Late {
			runLate(next, r, f)
			panic(http.ErrAbortHandler)
		}
		if !sleep(r.Context(), f.Delay) {
			return
		}
		switch f.Mode {
		case Refuse:
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case Silent:
			// The server detects that the client disconnects only after the whole
			// body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case LoseAnswer:
			next(discardWriter{}, r, f)
			panic(http.ErrAbortHandler)
		default:
			next(w, r, f)
		}
	}
}

// runLate carries out a request after the delay. Its sender is gone by then.
func runLate(next func(http.ResponseWriter, *http.Request, Faults), r *http.Request, f Faults) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	delayed := r.Clone(context.WithoutCancel(r.Context()))
	delayed.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(f.Delay, func() { next(discardWriter{}, delayed, f) })
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// discardWriter is a response writer that drops the answer.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

// writeJSON writes value as the JSON answer.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
