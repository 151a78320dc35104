package metrics

import (
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHistogram(t *testing.T) {
	is := is.New(t)
	h := NewHistogram()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for i := range 1000 {
				h.Record(time.Duration(i+1) * time.Millisecond)
			}
		})
	}
	group.Wait()
	s := h.Summary()
	is.Equal(s.Count, int64(4000))
	within := func(got, want int64) bool { return got >= want && got <= want+want/100+1 }
	is.True(within(s.P50, 500_000))
	is.True(within(s.P99, 990_000))
	is.True(within(s.Max, 1_000_000))
}

func TestHistogramBounds(t *testing.T) {
	is := is.New(t)
	h := NewHistogram()
	h.Record(-time.Second)
	h.Record(24 * time.Hour)
	s := h.Summary()
	is.Equal(s.Count, int64(2))
	is.Equal(s.P50, int64(minMicroseconds))
	is.True(s.Max >= maxMicroseconds)
}

// TestTwoSetsInOneProcess checks that metrics of the same name in two daemons
// neither conflict nor mix.
func TestTwoSetsInOneProcess(t *testing.T) {
	is := is.New(t)
	for _, count := range []int64{3, 5} {
		s := NewSet()
		s.Counter("requests").Add(count)
		s.Counters("outcomes").Add("notRun.busy", count)
		s.Func("queueLength", func() any { return count })
		s.Histogram("jobMicroseconds").Record(time.Second)
		recorder := httptest.NewRecorder()
		s.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/debug/vars", nil))
		var shown struct {
			Catkingap struct {
				Requests        int64
				Outcomes        map[string]int64
				QueueLength     int64
				JobMicroseconds Summary
			}
			Memstats struct{ HeapAlloc int64 }
		}
		is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &shown))
		is.Equal(shown.Catkingap.Requests, count)
		is.Equal(shown.Catkingap.Outcomes["notRun.busy"], count)
		is.Equal(shown.Catkingap.QueueLength, count)
		is.Equal(shown.Catkingap.JobMicroseconds.Count, int64(1))
		is.True(shown.Memstats.HeapAlloc > 0)
	}
}

func BenchmarkRecord(b *testing.B) {
	h := NewHistogram()
	b.ReportAllocs()
	b.ReportMetric(float64(h.counts.ByteSize()), "bytes/histogram")
	for b.Loop() {
		h.Record(250 * time.Millisecond)
	}
	b.ReportMetric(float64(h.counts.ByteSize()), "bytes/histogram")
}
