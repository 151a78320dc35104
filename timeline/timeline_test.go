package timeline

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
)

var start = time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)

func taskEvent(i int) Event {
	task := ident.TaskIndex(i)
	return Event{
		Kind: TaskStarted, Team: "kusweg", Job: ident.JobKey(fmt.Sprintf("tide-%d", i/500)), Task: &task,
		Request: ident.Request(fmt.Sprintf("0123456789abcdef-%d", i)), Server: "runner-1-1",
	}
}

func BenchmarkRingAdd(b *testing.B) {
	r := NewRing("entry-1", start, 20_000)
	e := taskEvent(1)
	b.ReportAllocs()
	for b.Loop() {
		r.Add(start, e)
	}
}

func BenchmarkRingAddParallel(b *testing.B) {
	r := NewRing("entry-1", start, 20_000)
	e := taskEvent(1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Add(start, e)
		}
	})
}

// BenchmarkRingMemory reports the bytes of one kept event, including the strings
// and the index that only it refers to.
func BenchmarkRingMemory(b *testing.B) {
	const size = 20_000
	for b.Loop() {
		before := heap()
		r := NewRing("entry-1", start, size)
		for i := range 2 * size {
			r.Add(start, taskEvent(i))
		}
		b.ReportMetric(float64(heap()-before)/size, "bytes/event")
		runtime.KeepAlive(r)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestRingIsBounded(t *testing.T) {
	is := is.New(t)
	r := NewRing("entry-1", start, 100)
	for i := range 250 {
		r.Add(start.Add(time.Duration(i)*time.Second), taskEvent(i))
	}
	const taskLimit = 100 * taskShare / shares
	events := r.Events(Filter{})
	is.Equal(len(events), taskLimit)
	is.Equal(r.Overwritten(), uint64(250-taskLimit))
	for i, e := range events {
		is.Equal(e.Sequence, uint64(250-taskLimit+i))
		is.Equal(e.Monotonic, time.Duration(250-taskLimit+i)*time.Second)
	}
}

// TestBurstKeepsRareEvents checks that a burst of task and job events does not
// evict earlier events of hosts and servers.
func TestBurstKeepsRareEvents(t *testing.T) {
	is := is.New(t)
	r := NewRing("entry-1", start, 100)
	r.Add(start, Event{Kind: Ejected, Server: "runner-1"})
	r.Add(start, Event{Kind: Claimed, Job: "tide"})
	for i := range 500 {
		r.Add(start, taskEvent(i))
	}
	kinds := func() map[Kind]int {
		counts := map[Kind]int{}
		last := uint64(0)
		for _, e := range r.Events(Filter{}) {
			is.True(e.Sequence >= last) // in sequence over all classes
			last = e.Sequence
			counts[e.Kind]++
		}
		return counts
	}
	is.Equal(kinds()[Ejected], 1)
	is.Equal(kinds()[Claimed], 1)
	for range 500 {
		r.Add(start, Event{Kind: Claimed, Job: "school"})
	}
	is.Equal(kinds()[Ejected], 1)
	is.Equal(kinds()[TaskStarted], 100*taskShare/shares)
}
