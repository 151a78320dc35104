package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/outcome"
)

// Start is one entry of a backend server's log of started requests.
type Start struct {
	Server  string `json:"server"`
	Task    string `json:"task"`
	Request string `json:"request"`
	// Digest is the digest of the request's body.
	Digest string    `json:"digest"`
	At     time.Time `json:"at"`
	Done   bool      `json:"done"`
}

// BackendConfig configures a Backend.
type BackendConfig struct {
	Name  string
	Slots int
	// Speed divides the run times of tasks. Zero means one.
	Speed float64
	// Work computes the answer and the run time from the body of a request.
	Work func(body []byte) (answer []byte, runTime time.Duration, err error)
	// Log receives each start as a line of JSON before the work runs, so that a
	// killed process leaves it behind. Nil means no log.
	Log io.Writer
}

// Backend is a stand-in for a backend server.
type Backend struct {
	Faults Switch

	config   BackendConfig
	slots    chan struct{}
	mutex    sync.Mutex
	starts   []Start
	previous []byte
	refusals []time.Time
}

// NewBackend returns a backend server that has started no request yet.
func NewBackend(c BackendConfig) *Backend {
	if c.Speed == 0 {
		c.Speed = 1
	}
	return &Backend{config: c, slots: make(chan struct{}, c.Slots)}
}

// Starts returns the log of starts.
func (b *Backend) Starts() []Start {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]Start{}, b.starts...)
}

// Refused returns the number of requests that were refused as not run.
func (b *Backend) Refused() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.refusals)
}

// Refusals returns the times at which requests were refused as not run.
func (b *Backend) Refusals() []time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]time.Time{}, b.refusals...)
}

// Handler returns the HTTP handler of the server.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.PathRun, b.Faults.applyFaults(b.serveRun))
	mux.HandleFunc("GET /starts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Starts()) })
	mux.HandleFunc("GET /refusals", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Refusals()) })
	mux.HandleFunc("GET "+backend.PathHealth, b.serveHealth)
	mux.Handle("PUT "+PathFaults, &b.Faults)
	return mux
}

// serveHealth answers without taking a slot. The answer tells if the server is leaving.
func (b *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	switch b.Faults.mode() {
	case Close:
		w.Header().Set("Connection", "close")
	case Drain:
		w.Header().Set(backend.HeaderLeaving, "true")
	}
	w.WriteHeader(http.StatusNoContent)
}

func (b *Backend) serveRun(w http.ResponseWriter, r *http.Request, f Faults) {
	if f.Mode == Close {
		w.Header().Set("Connection", "close")
	}
	if f.Mode == Drain {
		w.Header().Set(backend.HeaderLeaving, "true")
		b.refuse(w, r, "leaving")
		return
	}
	select {
	case b.slots <- struct{}{}:
	default:
		b.refuse(w, r, "all slots taken")
		return
	}
	defer func() { <-b.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	index := b.logStart(r)
	w.Header().Set(backend.HeaderRequest, r.Header.Get(backend.HeaderRequest))
	answer, runTime, err := b.config.Work(body)
	if err != nil || f.Mode == FailAll {
		http.Error(w, "task failed", http.StatusInternalServerError)
		return
	}
	slowdown := f.Slowdown
	if slowdown == 0 {
		slowdown = 1
	}
	time.Sleep(time.Duration(float64(runTime) * slowdown / b.config.Speed))
	answer = b.logDone(index, answer, f.Mode)
	w.Header().Set(backend.HeaderDigest, backend.Digest(answer))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

// refuse answers that the request did not run.
func (b *Backend) refuse(w http.ResponseWriter, r *http.Request, reason string) {
	b.mutex.Lock()
	b.refusals = append(b.refusals, time.Now())
	b.mutex.Unlock()
	w.Header().Set(backend.HeaderRequest, r.Header.Get(backend.HeaderRequest))
	w.Header().Set(backend.HeaderOutcome, string(outcome.NotRun))
	http.Error(w, reason, http.StatusServiceUnavailable)
}

// logStart logs the start of a request and returns the index of its entry.
func (b *Backend) logStart(r *http.Request) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	start := Start{
		Server:  b.config.Name,
		Task:    r.Header.Get(backend.HeaderTask),
		Request: r.Header.Get(backend.HeaderRequest),
		Digest:  r.Header.Get(backend.HeaderDigest),
		At:      time.Now(),
	}
	b.starts = append(b.starts, start)
	if b.config.Log != nil {
		_ = json.NewEncoder(b.config.Log).Encode(start)
	}
	return len(b.starts) - 1
}

// logDone marks a start as done. It returns the answer to send, which in mode Cross is
// that of the previous request.
func (b *Backend) logDone(index int, answer []byte, mode Mode) []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.starts[index].Done = true
	previous := b.previous
	b.previous = answer
	if mode == Cross && previous != nil {
		return previous
	}
	return answer
}

// DecodeStarts decodes the log of starts that Handler serves.
func DecodeStarts(r io.Reader) ([]Start, error) {
	var starts []Start
	err := json.NewDecoder(r).Decode(&starts)
	return starts, err
}
