// Package metrics keeps the counters and histograms of one daemon and shows
// them in the format of expvar. Several daemons of one process do not share
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

// Counter adds a count that only grows.
func (s *Set) Counter(name string) *expvar.Int {
	counter := &expvar.Int{}
	s.vars.Set(name, counter)
	return counter
}

// Counters adds counts that only grow, one for each label.
func (s *Set) Counters(name string) *expvar.Map {
	counters := &expvar.Map{}
	s.vars.Set(name, counters)
	return counters
}

// Add adds a variable that another part keeps.
func (s *Set) Add(name string, v expvar.Var) { s.vars.Set(name, v) }

// Func adds a value that f returns when it is shown.
func (s *Set) Func(name string, f func() any) {
	s.vars.Set(name, expvar.Func(f))
}

// Histogram adds a histogram of durations.
func (s *Set) Histogram(name string) *Histogram {
	h := NewHistogram()
	s.vars.Set(name, h)
	return h
}

// Handler shows the variables of the process and, under Name, those of s.
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

// Record counts a duration. Durations outside of the bounds count as the bound.
func (h *Histogram) Record(d time.Duration) {
	value := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	// The value is within the bounds, so that it is always counted.
	_ = h.counts.RecordValue(value)
}

// Summary is what a histogram shows, in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// The quantiles of a summary, in percent.
const (
	median      = 50
	tailPercent = 99
)

// Summary returns the summary of all durations since the start.
func (h *Histogram) Summary() Summary {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return Summary{
		Count: h.counts.TotalCount(),
		P50:   h.counts.ValueAtQuantile(median),
		P99:   h.counts.ValueAtQuantile(tailPercent),
		Max:   h.counts.Max(),
	}
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	// A struct of integers is always encoded.
	data, _ := json.Marshal(h.Summary())
	return string(data)
}
