package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// TestTaskThatCrashesItsWorkersIsGivenUp runs a task that crashes each worker that starts
// it, of a job that nobody is in a hurry for.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for how, set := range map[string]func(f *crashFleet){
		"workers return":                    func(*crashFleet) {},
		"workers return under another name": func(f *crashFleet) { f.renamed = true },
		"workers do not return":             func(f *crashFleet) { f.comesBack = 0 },
	} {
		for kind, submit := range map[string]func(f *crashFleet){
			"caller waits for a minute": func(f *crashFleet) {
				s := submission("j", 1, 1)
				s.Remaining, s.Job.Target = time.Minute, 20*time.Second
				f.m.Submit(f.now, s)
			},
			"stored": func(f *crashFleet) { f.m.AddStored(f.now, submission("j", 1, 1).Job, work.Progress{}, false) },
		} {
			t.Run(kind+", "+how, func(t *testing.T) {
				is := is.New(t)
				f := newCrashFleet(newMachine(), 8)
				set(f)
				f.deadly = func(task string) bool { return task == "j.0.0.0" }
				f.runUntil(at(100))
				submit(f)
				f.runUntil(at(55_000))
				t.Log("crashed workers:", f.crashes["j.0.0.0"])
				is.True(f.crashes["j.0.0.0"] <= 3)
				if kind == "stored" {
					is.Equal(f.ends, []dispatch.JobEnd{{Job: "j", Result: dispatch.Failed}})
					return
				}
				is.Equal(len(f.replies), 1)
				is.Equal(f.replies[0].Result, dispatch.Failed)
			})
		}
	}
}

// TestCrashesAreRemembered crashes a worker under a job that then comes again in another
// way. It must not crash more workers than if it had stayed.
func TestCrashesAreRemembered(t *testing.T) {
	known := func(f *crashFleet) []crash.TaskLosses {
		var all []crash.TaskLosses
		for _, x := range f.losses {
			all = append(all, x)
		}
		return all
	}
	patient := func() dispatch.Submission {
		s := submission("j", 1, 1)
		s.Remaining, s.Job.Target = time.Minute, 20*time.Second
		return s
	}
	tests := map[string]func(f *crashFleet) *crashFleet{
		"same id through another host": func(f *crashFleet) *crashFleet {
			f.m.HostLost(f.now, hostA)
			s := patient()
			s.Host = hostB
			f.m.Submit(f.now, s)
			return f
		},
		"next owner of the workers": func(f *crashFleet) *crashFleet {
			f.replaceOwner()
			s := patient()
			s.Resubmitted, s.Losses = true, known(f)
			f.m.Submit(f.now, s)
			return f
		},
		"owner of another data centre": func(f *crashFleet) *crashFleet {
			other := newNamedCrashFleet(newMachine(), "x", 8)
			other.now, other.deadly, other.crashes = f.now, f.deadly, f.crashes
			s := patient()
			s.Losses = known(f)
			other.m.Submit(other.now, s)
			return other
		},
		"stored, next owner": func(f *crashFleet) *crashFleet {
			f.replaceOwner()
			f.m.AddLosses(f.now, known(f))
			f.m.AddStored(f.now, patient().Job, work.Progress{}, true)
			f.m.StoredJobsLoaded(f.now)
			return f
		},
	}
	for name, again := range tests {
		for crashes := 1; crashes <= 2; crashes++ {
			t.Run(fmt.Sprintf("%s, after %d", name, crashes), func(t *testing.T) {
				is := is.New(t)
				f := newCrashFleet(newMachine(), 8)
				f.deadly = func(task string) bool { return task == "j.0.0.0" }
				f.runUntil(at(100))
				f.m.Submit(f.now, patient())
				for f.crashes["j.0.0.0"] < crashes || len(f.losses["j.0.0.0"].Losses) < crashes {
					f.runUntil(f.now.Add(10 * time.Millisecond))
				}
				f = again(f)
				f.runUntil(f.now.Add(40 * time.Second))
				t.Log("crashed workers:", f.crashes["j.0.0.0"])
				is.True(f.crashes["j.0.0.0"] <= 3)
			})
		}
	}
}

// TestTaskBesideADeadlyOneIsNotLostAgain runs two tasks of stored jobs on one worker, of
// which one crashes it. The other one must be done on the next worker.
func TestTaskBesideADeadlyOneIsNotLostAgain(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(newMachine(), 3)
	f.renamed = true
	f.deadly = func(task string) bool { return task == "deadly.0.0.0" }
	f.took = func(string) time.Duration { return 600 * time.Millisecond }
	f.runUntil(at(100))
	for n := range 5 {
		f.m.AddStored(f.now, submission(work.ID(fmt.Sprint("sound", n)), 1, 1).Job, work.Progress{}, false)
	}
	f.m.AddStored(f.now, submission("deadly", 1, 1).Job, work.Progress{}, false)
	f.runUntil(at(55_000))
	t.Log("starts", f.starts, "beside", f.beside)
	is.True(f.crashes["deadly.0.0.0"] <= 3)
	is.True(len(f.beside[0]) > 1)
	for _, tasks := range f.beside[1:] {
		is.Equal(tasks, []string{"deadly.0.0.0"})
	}
	for n := range 5 {
		is.True(f.done[fmt.Sprintf("sound%d.0.0.0", n)])
	}
}

// TestCrashesOfWorkersDoNotCondemnTheirTasks crashes workers of their own accord, again
// and again, under tasks of stored jobs.
func TestCrashesOfWorkersDoNotCondemnTheirTasks(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(newMachine(), 8)
	f.renamed = true
	f.took = func(string) time.Duration { return 2 * time.Second }
	f.runUntil(at(100))
	for n := range 10 {
		f.m.AddStored(f.now, submission(work.ID(fmt.Sprint("sound", n)), 1, 1).Job, work.Progress{}, false)
	}
	for _, ms := range []int{500, 700, 900, 1100} {
		f.runUntil(at(ms))
		for _, id := range slices.Sorted(maps.Keys(f.workers)) {
			if w := f.workers[id]; !w.down && len(w.runs) > 1 {
				f.crash(w)
				break
			}
		}
	}
	f.runUntil(at(55_000))
	is.Equal(len(f.ends), 10)
	for _, e := range f.ends {
		is.Equal(e.Result, dispatch.Completed)
	}
}

// TestRunsThatLapsedBeforeTheirWorkersCrashedCondemnNoTask cuts off all workers, which crash
// behind the cut once the leases of their runs have lapsed, and return. Starts get lost, too.
func TestRunsThatLapsedBeforeTheirWorkersCrashedCondemnNoTask(t *testing.T) {
	for name, first := range map[string]int{"workers at the same time": 8, "one worker, then the others": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newCrashFleet(newMachine(), 8)
			f.renamed = true
			f.took = func(string) time.Duration { return 900 * time.Millisecond }
			f.runUntil(at(100))
			s := submission("j", 1, 1)
			s.Remaining, s.Job.Target, s.Job.Steps[0].Estimate = time.Minute, 40*time.Second, 900*time.Millisecond
			f.m.Submit(f.now, s)
			f.runUntil(at(400))
			cut := func(w *crashWorker) {
				w.cut = true
				f.after(2*time.Second, func() { f.crash(w) })
				f.after(5*time.Second, func() { w.cut = false })
			}
			for _, id := range slices.Sorted(maps.Keys(f.workers)) {
				if w := f.workers[id]; first == 8 || len(w.runs) > 0 {
					cut(w)
				}
			}
			f.runUntil(at(1500))
			for _, id := range slices.Sorted(maps.Keys(f.workers)) {
				if w := f.workers[id]; !w.cut && !w.down {
					cut(w)
				}
			}
			f.runUntil(at(55_000))
			is.Equal(len(f.replies), 1)
			is.Equal(f.replies[0].Result, dispatch.Completed)
		})
	}
}

// TestLapsedRunOfAStoredTaskIsNoCrash cuts off the worker of a stored task, again and again. It
// ends the run when its lease lapses, crashes behind the cut and returns (LOST: the job was shown
// as failed after the second time, with no crash under it).
func TestLapsedRunOfAStoredTaskIsNoCrash(t *testing.T) {
	for name, refuses := range map[string]bool{"the cut gets no answers": false, "the worker refuses connections at the end": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newCrashFleet(newMachine(), 3)
			f.took = func(string) time.Duration { return 3 * time.Second }
			f.orderTimeout, f.comesBack = 60*time.Millisecond, 500*time.Millisecond
			f.runUntil(at(100))
			f.m.AddStored(f.now, submission("j", 1, 1).Job, work.Progress{}, false)
			for range 3 {
				f.runUntil(f.now.Add(time.Second))
				for _, w := range f.workers {
					if len(w.runs) == 0 {
						continue
					}
					w.cut = true
					f.runUntil(f.now.Add(2500 * time.Millisecond))
					is.Equal(len(w.runs), 0)
					w.cut = !refuses
					f.crash(w)
					break
				}
			}
			f.runUntil(f.now.Add(10 * time.Second))
			is.Equal(f.starts["j.0.0.0"], 4)
			is.Equal(f.ends, []dispatch.JobEnd{{Job: "j", Result: dispatch.Completed}})
		})
	}
}

// TestSuspectStartsUnderFullLoad has a task that must be isolated wait for workers that have
// more work than they can do.
func TestSuspectStartsUnderFullLoad(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(newMachine(), 4)
	f.took = func(string) time.Duration { return 200 * time.Millisecond }
	f.runUntil(at(100))
	lost := func(id worker.ID) crash.Loss {
		return crash.Loss{Life: crash.Life{Worker: id, Incarnation: 1}, Proof: crash.Crashed, InTime: true}
	}
	f.m.AddLosses(f.now, []crash.TaskLosses{{Task: "z.0.0.0", Losses: crash.History{lost("x1"), lost("x2")}}})
	for n := range 2000 {
		f.m.AddStored(f.now, submission(work.ID(fmt.Sprint("sound", n)), 1, 1).Job, work.Progress{}, false)
	}
	f.m.AddStored(f.now, submission("z", 1, 1).Job, work.Progress{}, false)
	f.runUntil(at(1100))
	is.True(f.done["z.0.0.0"])
	is.True(len(f.done) > 30) // The other workers go on.
}

// TestUnansweredStartIsNoCrashOfAStoredTask crashes a silent worker that never carried out the
// start of a stored job's task, and then one that runs it. The job must not be given up.
func TestUnansweredStartIsNoCrashOfAStoredTask(t *testing.T) {
	tests := map[string]struct {
		second worker.ID
		// refuses is true if the first worker refuses connections before it is back, soon if
		// it crashes before the lease lapses, and atOnce if an order fails as soon as it is
		// sent.
		refuses, soon, atOnce bool
	}{
		"the same worker":                            {second: "w0"},
		"another worker":                             {second: "w1"},
		"another worker, the first one refuses":      {second: "w1", refuses: true},
		"the first one refuses, orders fail at once": {second: "w1", refuses: true, atOnce: true},
		"the first one crashes soon, and refuses":    {second: "w1", refuses: true, soon: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newCrashFleet(newMachine(), 1)
			f.took = func(string) time.Duration { return time.Second }
			if !test.atOnce {
				f.orderTimeout = 120 * time.Millisecond
			}
			f.runUntil(at(100))
			f.workers["w0"].cut = true
			f.m.AddStored(f.now, submission("j", 1, 1).Job, work.Progress{}, false)
			if test.soon {
				f.runUntil(at(230))
			} else {
				f.runUntil(at(2500))
			}
			is.Equal(f.starts["j.0.0.0"], 0)
			if test.second != "w0" {
				f.add(testWorker(test.second))
			}
			f.workers["w0"].cut = !test.refuses
			f.crash(f.workers["w0"])
			for f.starts["j.0.0.0"] == 0 && f.now.Before(at(20_000)) {
				f.runUntil(f.now.Add(100 * time.Millisecond))
			}
			f.runUntil(f.now.Add(300 * time.Millisecond))
			for _, w := range f.workers {
				if len(w.runs) > 0 {
					f.crash(w)
				}
			}
			f.runUntil(at(40_000))
			is.Equal(f.ends, []dispatch.JobEnd{{Job: "j", Result: dispatch.Completed}})
		})
	}
}

// TestCutsAndStopsAreNotCrashes cuts off each worker that a task runs on, so that its
// lease lapses, more often than a task may crash workers.
func TestCutsAndStopsAreNotCrashes(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(newMachine(), 8)
	f.took = func(string) time.Duration { return time.Second }
	f.runUntil(at(100))
	s := submission("j", 1, 1)
	s.Remaining, s.Job.Target = time.Minute, 40*time.Second
	f.m.Submit(f.now, s)
	for range 5 {
		f.runUntil(f.now.Add(300 * time.Millisecond))
		for _, w := range f.workers {
			if len(w.runs) > 0 {
				w.cut = true
				f.after(2500*time.Millisecond, func() { w.cut = false })
			}
		}
		f.runUntil(f.now.Add(3500 * time.Millisecond))
	}
	f.runUntil(at(55_000))
	t.Log("starts", f.starts)
	is.True(f.starts["j.0.0.0"] >= 4)
	is.Equal(len(f.replies), 1)
	is.Equal(f.replies[0].Result, dispatch.Completed)
}
