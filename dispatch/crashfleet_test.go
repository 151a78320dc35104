package dispatch_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// crashAfter is how long after its start a deadly task crashes its worker.
	crashAfter = 20 * time.Millisecond
	// rowLifetime is how long the row of a worker stays in the list after its crash.
	rowLifetime = 7 * time.Second
	// rowInterval is the time between two reads of the list.
	rowInterval = 500 * time.Millisecond
	taskCores   = 27_000
)

// crashWorker is a simulated worker that can crash.
type crashWorker struct {
	worker.Worker
	// down is true after a crash, and replaced is true once another worker uses the
	// address. cut is true while no order reaches it.
	down, replaced, cut bool
	crashedAt           time.Time
	runs                map[string]crashRun
	ended               []worker.Ended
	number              worker.EndNumber
	lease               time.Time
	poll                *worker.Poll
	pollSent            time.Time
	// changed is when the capacity last changed.
	changed time.Time
}

type crashRun struct {
	run   work.Run
	ends  time.Time
	cores int
}

// crashFleet simulates the workers of one owner, some of whose tasks crash their worker.
type crashFleet struct {
	m       *dispatch.Machine
	now     time.Time
	workers map[worker.ID]*crashWorker
	// deadly tells which tasks crash their worker, and took how long a task runs.
	deadly func(task string) bool
	took   func(task string) time.Duration
	// comesBack is how long after its crash a worker is back; zero means never. renamed
	// is true if it then has another id, at the same address.
	comesBack time.Duration
	renamed   bool
	// crashes counts the workers that each task has crashed, and starts its starts.
	crashes, starts map[string]int
	// beside lists, for each crash, the tasks that the worker ran.
	beside  [][]string
	replies []dispatch.Reply
	ends    []dispatch.JobEnd
	done    map[string]bool
	// losses holds the losses under each task as the owner has reported them.
	losses map[string]crash.TaskLosses
	// orderDelay is how long orders take to their worker. beyond lists the starts that
	// brought a worker over its capacity.
	orderDelay time.Duration
	// orderTimeout is after how long an order without an answer is given up.
	orderTimeout time.Duration
	beyond       []string
	later        []crashEvent
}

type crashEvent struct {
	at time.Time
	do func()
}

func newCrashFleet(m *dispatch.Machine, workers int) *crashFleet {
	return newNamedCrashFleet(m, "w", workers)
}

func newNamedCrashFleet(m *dispatch.Machine, prefix string, workers int) *crashFleet {
	f := &crashFleet{
		m: m, now: begin, workers: map[worker.ID]*crashWorker{}, crashes: map[string]int{}, starts: map[string]int{}, done: map[string]bool{}, losses: map[string]crash.TaskLosses{},
		deadly: func(string) bool { return false }, took: func(string) time.Duration { return 60 * time.Millisecond },
		comesBack: 3 * time.Second, orderTimeout: time.Millisecond,
	}
	for i := range workers {
		f.add(testWorker(worker.ID(fmt.Sprint(prefix, i))))
	}
	m.StoredJobsLoaded(begin)
	f.readRows()
	return f
}

func (f *crashFleet) add(w worker.Worker) {
	f.workers[w.ID] = &crashWorker{Worker: w, runs: map[string]crashRun{}}
}

func (f *crashFleet) after(d time.Duration, do func()) {
	f.later = append(f.later, crashEvent{at: f.now.Add(d), do: do})
}

// replaceOwner has another owner take the workers.
func (f *crashFleet) replaceOwner() {
	f.m.EndOwnership(f.now)
	f.carryOut(f.m.TakeActions())
	f.later = nil
	f.m = dispatch.New(f.now, dispatch.Config{Token: 8, MaxLease: time.Second, FarFactor: 2})
	f.readRows()
}

// readRows passes the rows of the workers to the owner.
func (f *crashFleet) readRows() {
	var list []worker.Worker
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		w := f.workers[id]
		if w.crashedAt.IsZero() || f.now.Sub(w.crashedAt) < rowLifetime {
			list = append(list, w.Worker)
		}
	}
	f.m.SetWorkers(f.now, list)
}

// runUntil simulates until a time.
func (f *crashFleet) runUntil(end time.Time) {
	for f.now.Before(end) {
		f.carryOut(f.m.TakeActions())
		f.now = f.now.Add(time.Millisecond)
		for i := 0; i < len(f.later); i++ {
			if e := f.later[i]; !e.at.After(f.now) {
				f.later = slices.Delete(f.later, i, i+1)
				e.do()
				i--
			}
		}
		for _, id := range slices.Sorted(maps.Keys(f.workers)) {
			f.step(f.workers[id])
		}
		since := f.now.Sub(begin)
		if since%(25*time.Millisecond) == 0 {
			f.m.Tick(f.now)
		}
		if since%rowInterval == 0 {
			f.readRows()
		}
	}
	f.carryOut(f.m.TakeActions())
}

// workerClock is the clock of all workers.
func (f *crashFleet) workerClock() worker.Clock {
	return worker.Clock(1000 + f.now.Sub(begin).Milliseconds())
}

func (f *crashFleet) step(w *crashWorker) {
	if w.down {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		switch x := w.runs[task]; {
		case f.now.After(w.lease):
			f.end(w, task, worker.Lost, "lapsed")
		case !f.now.Before(x.ends) && f.deadly(task):
			f.crashes[task]++
			f.crash(w)
			return
		case !f.now.Before(x.ends):
			f.done[task] = true
			f.end(w, task, worker.Done, "done")
		}
	}
	if w.poll != nil && (len(w.ended) > 0 || f.now.Sub(w.pollSent) >= w.poll.Wait) {
		l := *w.poll
		w.poll = nil
		f.report(w, l, w.pollSent)
	}
}

func (f *crashFleet) end(w *crashWorker, task string, result worker.Result, reason string) {
	w.number++
	w.ended = append(w.ended, worker.Ended{Number: w.number, Task: task, Run: w.runs[task].run, Result: result, Reason: reason})
	delete(w.runs, task)
}

// crash ends a worker and all its runs.
func (f *crashFleet) crash(w *crashWorker) {
	f.beside = append(f.beside, slices.Sorted(maps.Keys(w.runs)))
	w.down, w.crashedAt = true, f.now
	clear(w.runs)
	w.ended = nil
	if w.poll != nil {
		l, sent := *w.poll, w.pollSent
		w.poll = nil
		f.after(time.Millisecond, func() { f.m.PollAnswered(f.now, sent, l, nil, worker.Unanswered) })
	}
	if f.comesBack == 0 {
		return
	}
	f.after(f.comesBack, func() {
		next := w.Worker
		next.Life++
		if f.renamed {
			w.replaced = true
			next.ID += "'"
		}
		f.add(next)
	})
}

// verdict returns what becomes of an order that does not reach its worker, and false if
// it does.
func (w *crashWorker) verdict() (worker.Verdict, bool) {
	switch {
	case w.cut:
		return worker.Unanswered, true
	case w.replaced:
		return worker.Replaced, true
	case w.down:
		return worker.Refusing, true
	}
	return "", false
}

func (f *crashFleet) extend(w *crashWorker, until worker.Clock) {
	if end := f.now.Add(time.Duration(until-f.workerClock()) * time.Millisecond); until > 0 && end.After(w.lease) {
		w.lease = end
	}
}

func (f *crashFleet) carryOut(a dispatch.Actions) {
	f.replies = append(f.replies, a.Replies...)
	f.ends = append(f.ends, a.JobEnds...)
	for _, x := range a.Losses {
		f.losses[x.Task] = x
	}
	for _, e := range a.RunEnds {
		f.m.EndStored(f.now, e.End)
	}
	for _, s := range a.Starts {
		if f.orderDelay > 0 {
			f.after(f.orderDelay, func() { f.start(s) })
			continue
		}
		f.start(s)
	}
	for _, s := range a.Stops {
		w := f.workers[s.Worker]
		if v, lost := w.verdict(); lost {
			f.after(time.Millisecond, func() { f.m.Stopped(f.now, s, worker.Answer{Verdict: v}) })
			continue
		}
		if w.runs[s.Task].run == s.Run {
			f.end(w, s.Task, worker.Lost, "stopped")
		}
		f.after(time.Millisecond, func() {
			f.m.Stopped(f.now, s, worker.Answer{Verdict: worker.Accepted, Clock: f.workerClock()})
		})
	}
	for _, l := range a.Polls {
		w, sent := f.workers[l.Worker], f.now
		if v, lost := w.verdict(); lost {
			f.after(f.orderTimeout, func() { f.m.PollAnswered(f.now, sent, l, nil, v) })
			continue
		}
		f.extend(w, l.Until)
		for len(w.ended) > 0 && w.ended[0].Number <= l.AcknowledgedEnds {
			w.ended = w.ended[1:]
		}
		if l.Wait > 0 && len(w.ended) == 0 {
			w.poll, w.pollSent = &l, sent
			continue
		}
		f.report(w, l, sent)
	}
}

func (f *crashFleet) start(s worker.Start) {
	w := f.workers[s.Worker]
	if v, lost := w.verdict(); lost {
		f.after(time.Millisecond, func() { f.m.Started(f.now, s, worker.Answer{Verdict: v}) })
		return
	}
	task := s.Task.String()
	f.starts[task]++
	f.extend(w, s.Until)
	took := f.took(task)
	if f.deadly(task) {
		took = crashAfter
	}
	w.runs[task] = crashRun{run: s.Run, ends: f.now.Add(took), cores: taskCores}
	used := 0
	for _, x := range w.runs {
		used += x.cores
	}
	if used > w.Capacity.Cores && f.now.Sub(w.changed) > rowInterval+f.orderDelay {
		f.beyond = append(f.beyond, fmt.Sprintf("%s on %s at %v: %d of %d", task, w.ID, f.now.Sub(begin), used, w.Capacity.Cores))
	}
	f.after(time.Millisecond, func() {
		f.m.Started(f.now, s, worker.Answer{Verdict: worker.Accepted, Clock: f.workerClock()})
	})
}

func (f *crashFleet) report(w *crashWorker, l worker.Poll, sent time.Time) {
	r := &worker.Report{Incarnation: w.Life, Clock: f.workerClock(), Ended: slices.Clone(w.ended)}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r.Running = append(r.Running, worker.Running{Task: task, Run: w.runs[task].run, Percent: 50})
	}
	f.after(time.Millisecond, func() { f.m.PollAnswered(f.now, sent, l, r, worker.Accepted) })
}
