package dispatch

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// TestOwnerKeepsLessThanTheWeight checks that an owner keeps no more memory of a job than the
// weight with which it is charged.
func TestOwnerKeepsLessThanTheWeight(t *testing.T) {
	// Tasks of all cores wait, and those of one thousandth run.
	const all, least = 64_000, 1
	for name, row := range map[string]struct {
		jobs, steps, count, cores int
		stored                    bool
	}{
		"one task that waits":         {jobs: 5000, steps: 1, count: 1, cores: all},
		"tasks that wait":             {jobs: 500, steps: 1, count: 20, cores: all},
		"stored tasks that wait":      {jobs: 500, steps: 1, count: 20, cores: all, stored: true},
		"1,300 tasks that wait":       {jobs: 10, steps: 1, count: 1300, cores: all},
		"steps that wait":             {jobs: 4, steps: 5000, count: 1, cores: all},
		"tasks that run":              {jobs: 24, steps: 1, count: 20, cores: least},
		"stored tasks that run":       {jobs: 24, steps: 1, count: 20, cores: least, stored: true},
		"stored steps that run first": {jobs: 2, steps: 1300, count: 1, cores: least, stored: true},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(origin, Config{Token: 1, MaxLease: time.Second, FarFactor: 2})
			m.StoredJobsLoaded(origin)
			m.SetWorkers(origin, []worker.Worker{{ID: "w", Life: 1, Pool: "p", Capacity: work.Size{Cores: all}}})
			for _, l := range m.TakeActions().Polls {
				m.PollAnswered(origin, origin, l, &worker.Report{Incarnation: 1, Clock: 1000}, worker.Accepted)
			}
			var jobs []work.Job
			weight := 0
			for i := range row.jobs {
				jobs = append(jobs, work.Job{ID: work.ID(fmt.Sprintf("%016x", i)), Pool: "p", Stretch: 1000, Target: time.Hour})
				for range row.steps {
					jobs[i].Steps = append(jobs[i].Steps, work.Step{Count: row.count, Size: work.Size{Cores: row.cores}, Estimate: time.Millisecond})
				}
				weight += int(jobs[i].Weight())
			}
			before := heapBytes()
			for i, j := range jobs {
				if row.stored {
					m.AddStored(origin, j, work.Progress{}, false)
				} else {
					m.Submit(origin, Submission{Host: "h", Call: uint64(i), Remaining: time.Hour, Final: true, Job: j})
				}
			}
			m.TakeActions()
			kept := int(heapBytes() - before)
			is.New(t).Equal(len(m.jobs), row.jobs)
			t.Logf("%d bytes a job are kept, %d are charged", kept/row.jobs, weight/row.jobs)
			if kept > weight {
				t.Errorf("%d bytes are kept of jobs with a weight of %d", kept, weight)
			}
			runtime.KeepAlive(m)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
