package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// setCapacity changes the capacity of all workers, which their rows show at the next read
// of the list.
func (f *crashFleet) setCapacity(cores int) {
	for _, w := range f.workers {
		w.Capacity.Cores = cores
		w.changed = f.now
	}
}

// TestNoStartBeyondACapacityThatShrinks changes the capacity of workers that do not guard
// it, under a load that always waits for capacity.
func TestNoStartBeyondACapacityThatShrinks(t *testing.T) {
	tests := map[string]func(f *crashFleet){
		"below what runs": func(f *crashFleet) { f.setCapacity(30_000) },
		"to zero":         func(f *crashFleet) { f.setCapacity(0) },
		"while starts are on their way": func(f *crashFleet) {
			f.orderDelay = 100 * time.Millisecond
			f.setCapacity(30_000)
		},
		"and the owner changes": func(f *crashFleet) {
			f.setCapacity(30_000)
			f.replaceOwner()
		},
		"and workers are cut off": func(f *crashFleet) {
			f.setCapacity(30_000)
			for _, w := range f.workers {
				w.cut = true
				f.after(1500*time.Millisecond, func() { w.cut = false })
			}
		},
		"and the callers leave": func(f *crashFleet) {
			f.setCapacity(30_000)
			f.m.HostLost(f.now, hostA)
		},
	}
	for name, shrink := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newCrashFleet(newMachine(), 4)
			f.took = func(string) time.Duration { return 400 * time.Millisecond }
			f.runUntil(at(100))
			submit := func(from, until int) {
				for ms := from; ms < until; ms += 20 {
					f.runUntil(at(ms))
					s := submission(work.ID(fmt.Sprint("j", ms)), uint64(ms), 1)
					s.Job.Steps[0].Estimate, s.Job.Target = 400*time.Millisecond, time.Second
					f.m.Submit(f.now, s)
				}
			}
			submit(200, 1000)
			shrink(f)
			f.orderDelay = 0
			submit(1000, 5000)
			is.Equal(f.beyond, nil)
			before := len(f.done)
			f.setCapacity(64_000)
			submit(5000, 9000)
			is.Equal(f.beyond, nil)
			is.True(len(f.done) > before+50) // The capacity is used again.
		})
	}
}

// TestShrunkenCapacityFailsNoJob submits a job that no worker has capacity for at present,
// and one that none has ever had capacity for.
func TestShrunkenCapacityFailsNoJob(t *testing.T) {
	is := is.New(t)
	m := newMachine([]worker.Worker{}...)
	f := newCrashFleet(m, 2)
	f.runUntil(at(3000))
	f.setCapacity(20_000)
	f.runUntil(at(4000))
	m.Submit(f.now, submission("j", 1, 1))
	large := submission("large", 2, 1)
	large.Job.Steps[0].Size.Cores = 100_000
	m.Submit(f.now, large)
	replies := m.TakeActions().Replies
	is.Equal(len(replies), 2)
	is.Equal(replies[0].Result, dispatch.Refused)
	is.True(replies[0].RetryAfter > 0)
	is.Equal(replies[1].Result, dispatch.Failed)
	f.setCapacity(64_000)
	f.runUntil(at(5000))
	m.Submit(f.now, submission("j2", 3, 1))
	f.runUntil(at(6000))
	is.True(f.done["j2.0.0.0"])
}
