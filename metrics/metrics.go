// Package metrics holds the counters and histograms of one daemon and publishes
// them in the format of expvar. Several daemons in one process may use the same
// names.
package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Name is the key of the daemon's own metrics in the answer of Handler.
const Name = "catkingap"

// Set holds the metrics of one daemon by name.
type Set struct {
	vars expvar.Map
}

// NewSet returns a set without metrics.
func NewSet() *Set { return &Set{} }

// Counter adds a counter that only grows and returns it.
func (s *Set) Counter(name string) *expvar.Int {
	counter := &expvar.Int{}
	s.vars.Set(name, counter)
	return counter
}

// Counters adds counters that only grow, one for each label, and returns them.
func (s *Set) Counters(name string) *expvar.Map {
	counters := &expvar.Map{}
	s.vars.Set(name, counters)
	return counters
}

// Add adds a variable that another package maintains.
func (s *Set) Add(name string, v expvar.Var) { s.vars.Set(name, v) }

// Func adds a value that is computed by f each time it is published.
func (s *Set) Func(name string, f func() any) {
	s.vars.Set(name, expvar.Func(f))
}

// Histogram adds a histogram of durations and returns it.
func (s *Set) Histogram(name string) *Histogram {
	h := NewHistogram()
	s.vars.Set(name, h)
	return h
}

// Handler returns a handler that writes the variables of the process and, under
// Name, those of s.
func (s *Set) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprintf(w, "{\n%q: %s", Name, s.vars.String())
		expvar.Do(func(kv expvar.KeyValue) {
			fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
		})
		fmt.Fprint(w, "\n}\n")
	})
}

// The bounds of a histogram in microseconds, and its significant digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Histogram counts durations in buckets of fixed relative width. It is safe
// for concurrent use.
type Histogram struct {
	mutex  sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{counts: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
}

// Record counts a duration. A duration outside the bounds counts as the nearest
// bound.
func (h *Histogram) Record(d time.Duration) {
	value := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	// The value is within the bounds, so recording it cannot fail.
	_ = h.counts.RecordValue(value)
}

// Summary is the published form of a histogram. Durations are in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// The quantiles of a summary, in percent.
const (
	medianPercent = 50
	tailPercent   = 99
)

// Summary returns the summary of all recorded durations.
func (h *Histogram) Summary() Summary {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return Summary{
		Count: h.counts.TotalCount(),
		P50:   h.counts.ValueAtQuantile(medianPercent),
		P99:   h.counts.ValueAtQuantile(tailPercent),
		Max:   h.counts.Max(),
	}
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	// Encoding a struct of integers cannot fail.
	data, _ := json.Marshal(h.Summary())
	return string(data)
}
