package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// TestWeightOfStoredJobs checks that a store keeps less memory than its weight, and that an ended
// job, whose state is kept, weighs little.
func TestWeightOfStoredJobs(t *testing.T) {
	const jobs, tasks = 500, 20
	is := is.New(t)
	s := newTable().claim()
	write := func() {
		for {
			_, ok, err := s.Next()
			is.NoErr(err)
			if !ok {
				return
			}
			s.HandleResult(storage.Result{Applied: true, Revision: 1}, nil)
		}
	}
	before := heapBytes()
	var ids []work.ID
	for i := range jobs {
		id := work.ID(fmt.Sprintf("%016x", i))
		j := work.Job{ID: id, Queue: "q", Steps: []work.Step{{Count: tasks}}}
		ids = append(ids, id)
		is.Equal(accept(is, s, j), false)
	}
	open := s.Weight()
	write()
	is.True(heapBytes()-before <= int64(open))
	for _, id := range ids {
		for task := range tasks {
			s.RecordEnd(id, task, 1, true, worker.EndID{Worker: "w", Incarnation: 1, Number: worker.EndNumber(task + 1)})
		}
		s.End(start, id, ledger.Completed)
	}
	write()
	ended := s.Weight()
	is.True(heapBytes()-before <= int64(ended))
	t.Logf("%d bytes a job are charged; %d once it has ended, of %d that are kept", open/jobs, ended/jobs, (heapBytes()-before)/jobs)
	is.True(ended <= jobs*intake.Bytes(1<<10))
	runtime.KeepAlive(s)
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
