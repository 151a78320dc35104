// Package standin holds small stand-ins for the systems around catkingap: the
// platform's table, object store and membership list, and backend servers.
// Each has fault switches.
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
	// Refuse answers 503 at once; nothing takes effect.
	Refuse Mode = "refuse"
	// LoseAnswer lets the request take effect and cuts the connection.
	LoseAnswer Mode = "loseAnswer"
	// Late cuts the connection at once, and lets the request take effect after
	// Delay if it still can.
	Late Mode = "late"
	// Silent keeps the connection open and never answers; nothing takes effect.
	Silent Mode = "silent"
	// Stale answers reads with the state at the time of the switch.
	Stale Mode = "stale"
	// FailAll runs nothing and answers each task with an error.
	FailAll Mode = "failAll"
	// Drain refuses new work as a leaving backend server does.
	Drain Mode = "drain"
	// Close runs work and answers with "Connection: close", as a backend
	// server that shuts down does.
	Close Mode = "close"
	// Cross answers a task with the answer of the task before it.
	Cross Mode = "cross"
)

// Faults is the state of the fault switches of one stand-in.
type Faults struct {
	Mode Mode `json:"mode"`
	// Delay is added before the request takes effect.
	Delay time.Duration `json:"delayNs"`
	// Slowdown multiplies the run time of tasks. Zero means one.
	Slowdown float64 `json:"slowdown"`
	// Count limits the fault to that many requests. Zero means no limit.
	Count int `json:"count"`
}

// Switch holds Faults that change while the stand-in runs.
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

// mode returns the present mode without counting a request.
func (s *Switch) mode() Mode {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.Mode
}

// take returns the faults for one request and counts it.
func (s *Switch) take() Faults {
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

// ServeHTTP sets the faults from the JSON body of a PUT.
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

// guard applies the faults that do not depend on the request around next. It
// takes the faults once and passes them on in the context.
func (s *Switch) guard(next func(http.ResponseWriter, *http.Request, Faults)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.take()
		if f.Mode == Late {
			late(next, r, f)
			panic(http.ErrAbortHandler)
		}
		if !sleep(r.Context(), f.Delay) {
			return
		}
		switch f.Mode {
		case Refuse:
			http.Error(w, "refused", http.StatusServiceUnavailable)
		case Silent:
			// The server sees that the client hangs up only after it has read
			// the whole body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case LoseAnswer:
			next(discard{}, r, f)
			panic(http.ErrAbortHandler)
		default:
			next(w, r, f)
		}
	}
}

// late carries a request out later. Its sender is gone by then.
func late(next func(http.ResponseWriter, *http.Request, Faults), r *http.Request, f Faults) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := r.Clone(context.WithoutCancel(r.Context()))
	again.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(f.Delay, func() { next(discard{}, again, f) })
}

// sleep waits for d and returns false if ctx ends first.
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

// discard is a response writer that drops the answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// writeJSON writes value as the JSON answer.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
