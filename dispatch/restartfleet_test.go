package dispatch_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// soakWorker is a simulated worker that restarts under its id. Each incarnation has a clock of
// its own.
type soakWorker struct {
	worker.Worker
	up   bool
	born time.Time
	// silentUntil is the time until which orders wait.
	silentUntil time.Time
	lease       time.Time
	// token is the highest fencing token that the incarnation has seen.
	token worker.Token
	// orderSent is when the order was sent that is carried out, and known is true once the
	// incarnation was sent an order since it began.
	orderSent time.Time
	known     bool
	// lapses counts the leases, so that an end that was told in a later one does not count
	// as taken note of.
	lapses int
	runs   map[string]*soakRun
	// highest holds the highest run of each task that has ended or was stopped here.
	highest map[string]work.Run
	ended   []*soakEnd
	number  worker.EndNumber
	// waiting holds the polls that wait for an end, and open the orders that get no answer if
	// the worker crashes.
	waiting []func()
	open    map[int]func()
	// downSince is when the worker crashed.
	downSince time.Time
}

// soakRun is a run as its worker has seen it.
type soakRun struct {
	worker worker.ID
	life   worker.Incarnation
	run    work.Run
	cores  int
	// ended is zero while the run is at work.
	ended time.Time
	how   worker.Result
	// crashed is true if the run ended with its worker.
	crashed bool
	// noted is when the end was taken note of, or zero.
	noted time.Time
}

type soakEnd struct {
	worker.Ended
	run    *soakRun
	lapses int
	// told is true once the owner has got a report that lists the end.
	told bool
}

type soakEvent struct {
	at    time.Time
	order int
	do    func()
}

type soakEvents []soakEvent

func (e soakEvents) Len() int { return len(e) }
func (e soakEvents) Less(i, k int) bool {
	return e[i].at.Before(e[k].at) || (e[i].at.Equal(e[k].at) && e[i].order < e[k].order)
}
func (e soakEvents) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *soakEvents) Push(x any)   { *e = append(*e, x.(soakEvent)) }
func (e *soakEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// restartSoak simulates an owner whose workers restart under their ids, idle and busy, while
// orders and answers overtake each other.
type restartSoak struct {
	m       *dispatch.Machine
	random  *rand.Rand
	now     time.Time
	events  soakEvents
	count   int
	workers map[worker.ID]*soakWorker
	ids     []worker.ID
	// revision is that of the owner's last heartbeat, which allows for a higher token.
	revision worker.Token
	// late is the share of orders that are carried out seconds later, without an answer.
	late float64
	// excuse is true if starts are no faults that come late to an incarnation which was sent no
	// order yet: no worker can refuse them.
	excuse  bool
	excused int
	// lateAcknowledgements is the share of polls with an acknowledgement for which that holds.
	// Waiting polls then have as much more time for their answer as they wait.
	lateAcknowledgements float64
	// runs holds all runs by task.
	runs    map[string][]*soakRun
	took    map[work.ID]time.Duration
	stored  map[work.ID]bool
	jobEnds map[work.ID]dispatch.Result
	replies map[work.ID]dispatch.Reply
	faults  []string
	// deadly holds the jobs whose tasks crash their workers.
	deadly map[work.ID]bool
}

func newRestartSoak(seed uint64) *restartSoak {
	s := &restartSoak{
		m: newMachine(), revision: 7, random: rand.New(rand.NewPCG(seed, 0)), now: begin, workers: map[worker.ID]*soakWorker{}, runs: map[string][]*soakRun{},
		took: map[work.ID]time.Duration{}, stored: map[work.ID]bool{}, jobEnds: map[work.ID]dispatch.Result{}, replies: map[work.ID]dispatch.Reply{}, deadly: map[work.ID]bool{},
	}
	for i := range soakWorkers {
		w := &soakWorker{Worker: testWorker(worker.ID(fmt.Sprint("w", i)))}
		w.Life = 0
		s.workers[w.ID] = w
		s.ids = append(s.ids, w.ID)
		s.boot(w)
	}
	s.m.StoredJobsLoaded(begin)
	s.every(500*time.Millisecond, s.readRows)
	s.every(25*time.Millisecond, func() { s.m.Tick(s.now) })
	s.every(time.Second, s.heartbeat)
	s.readRows()
	return s
}

func (s *restartSoak) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

func (s *restartSoak) after(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.events, soakEvent{at: s.now.Add(d), order: s.count, do: do})
}

func (s *restartSoak) every(d time.Duration, do func()) {
	s.after(d, func() {
		do()
		s.every(d, do)
	})
}

func (s *restartSoak) runUntil(end time.Time) {
	for s.carryOut(); len(s.events) > 0 && !s.events[0].at.After(end); s.carryOut() {
		e := heap.Pop(&s.events).(soakEvent)
		s.now = e.at
		e.do()
	}
}

func (w *soakWorker) clock(now time.Time) worker.Clock {
	return worker.Clock(now.Sub(w.born).Milliseconds() + 1)
}

// boot begins an incarnation of a worker.
func (s *restartSoak) boot(w *soakWorker) {
	w.up, w.born, w.silentUntil, w.lease, w.token, w.known = true, s.now, time.Time{}, time.Time{}, 0, false
	w.Life++
	w.runs, w.highest, w.ended, w.number, w.waiting, w.open = map[string]*soakRun{}, map[string]work.Run{}, nil, 0, nil, map[int]func(){}
}

// crash ends an incarnation of a worker, which is back after down.
func (s *restartSoak) crash(w *soakWorker, down time.Duration) {
	if !w.up {
		return
	}
	w.up, w.downSince = false, s.now
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		r.ended, r.crashed = s.now, true
	}
	for _, e := range w.ended {
		// An owner can not know that a run was done whose end it was never told.
		e.run.crashed = e.run.crashed || !e.told
	}
	for _, i := range slices.Sorted(maps.Keys(w.open)) {
		w.open[i]()
	}
	w.runs, w.waiting, w.open = map[string]*soakRun{}, nil, map[int]func(){}
	s.after(down, func() { s.boot(w) })
}

// heartbeat writes a heartbeat, whose revision is a higher token.
func (s *restartSoak) heartbeat() {
	s.revision++
	token := s.revision
	s.after(s.between(time.Millisecond, 50*time.Millisecond), func() { s.m.RaiseToken(token) })
}

func (s *restartSoak) readRows() {
	var rows []worker.Worker
	for _, id := range s.ids {
		w := s.workers[id]
		if w.up || s.now.Sub(w.downSince) < soakRowLifetime {
			rows = append(rows, w.Worker)
		}
	}
	s.after(s.between(0, 20*time.Millisecond), func() { s.m.SetWorkers(s.now, rows) })
}

// messageDelay returns how long a message is on its way.
func (s *restartSoak) messageDelay() time.Duration {
	if s.random.IntN(20) == 0 {
		return s.between(0, 150*time.Millisecond)
	}
	return s.between(100*time.Microsecond, 3*time.Millisecond)
}

// order sends an order, which is carried out late with the given probability. It is given up
// after soakOrderTimeout and the time for which the worker waits. Function execute carries it out on the worker and passes on how the owner
// handles the answer; function fail handles an order that gets none.
func (s *restartSoak) order(o worker.Order, late float64, wait time.Duration, execute func(w *soakWorker, respond func(func())), fail func(v worker.Verdict)) {
	w, answered, sent := s.workers[o.Worker], false, s.now
	once := func(do func()) {
		if !answered {
			answered = true
			do()
		}
	}
	s.after(soakOrderTimeout+wait, func() { once(func() { fail(worker.Unanswered) }) })
	if s.random.Float64() < late {
		s.after(s.between(500*time.Millisecond, 4*time.Second), func() {
			if w.up && !s.now.Before(w.silentUntil) && w.accepts(o, sent) {
				execute(w, func(func()) {})
			}
		})
		return
	}
	arrive := func() {
		if !w.up {
			once(func() { fail(worker.Refusing) })
			return
		}
		if !w.accepts(o, sent) {
			s.after(s.messageDelay(), func() { once(func() { fail(worker.Fenced) }) })
			return
		}
		s.count++
		number, life := s.count, w.Life
		w.open[number] = func() { s.after(time.Millisecond, func() { once(func() { fail(worker.Unanswered) }) }) }
		execute(w, func(do func()) {
			s.after(s.messageDelay(), func() {
				if w.Life == life {
					delete(w.open, number)
				}
				once(do)
			})
		})
	}
	s.after(s.messageDelay(), func() {
		if w.up && s.now.Before(w.silentUntil) {
			// The connection of an order that waits breaks with the worker.
			life := w.Life
			s.after(w.silentUntil.Sub(s.now), func() {
				if w.Life == life {
					arrive()
				}
			})
			return
		}
		arrive()
	})
}

// accepts returns true if a worker carries out an order: it has seen no higher token.
func (w *soakWorker) accepts(o worker.Order, sent time.Time) bool {
	if o.Token < w.token {
		return false
	}
	w.token, w.orderSent = o.Token, sent
	w.known = w.known || !sent.Before(w.born)
	return true
}

// extend extends the lease of a worker until a time on its clock.
func (s *restartSoak) extend(w *soakWorker, until worker.Clock) {
	if until == 0 {
		return
	}
	end := s.now.Add(min(soakMaxLease, time.Duration(until-w.clock(s.now))*time.Millisecond))
	if !end.After(w.lease) {
		return
	}
	if !s.now.Before(w.lease) {
		w.lapses++
	}
	w.lease = end
	life := w.Life
	s.after(end.Sub(s.now)+time.Millisecond, func() {
		if w.Life != life || !w.up || s.now.Before(w.lease) {
			return
		}
		for _, task := range slices.Sorted(maps.Keys(w.runs)) {
			s.end(w, task, worker.Lost, "lapsed")
		}
	})
}

// end ends a run, and answers the polls that wait for that.
func (s *restartSoak) end(w *soakWorker, task string, result worker.Result, reason string) {
	r := w.runs[task]
	delete(w.runs, task)
	r.ended, r.how = s.now, result
	w.highest[task] = max(w.highest[task], r.run)
	w.number++
	w.ended = append(w.ended, &soakEnd{run: r, lapses: w.lapses, Ended: worker.Ended{Number: w.number, Task: task, Run: r.run, Result: result, Reason: reason}})
	waiting := w.waiting
	w.waiting = nil
	for _, report := range waiting {
		report()
	}
}

func (s *restartSoak) carryOut() {
	a := s.m.TakeActions()
	if a.TokenWanted {
		s.heartbeat()
	}
	if a.Fenced {
		s.fault("FENCED: the owner takes its ownership to have ended")
	}
	for _, e := range a.RunEnds {
		s.after(s.between(time.Millisecond, 10*time.Millisecond), func() { s.m.EndStored(s.now, e.End) })
	}
	for _, e := range a.JobEnds {
		s.jobEnds[e.Job] = e.Result
		s.checkEnd(e.Job, e.Result)
	}
	for _, r := range a.Replies {
		s.replies[r.Job] = r
		s.checkEnd(r.Job, r.Result)
	}
	for _, x := range a.Starts {
		s.start(x)
	}
	for _, x := range a.Stops {
		s.order(x.Order, s.late, 0, func(w *soakWorker, respond func(func())) {
			w.highest[x.Task] = max(w.highest[x.Task], x.Run)
			if r := w.runs[x.Task]; r != nil && r.run <= x.Run {
				s.end(w, x.Task, worker.Lost, "stopped")
			}
			clock := w.clock(s.now)
			respond(func() { s.m.Stopped(s.now, x, worker.Answer{Verdict: worker.Accepted, Clock: clock}) })
		}, func(v worker.Verdict) { s.m.Stopped(s.now, x, worker.Answer{Verdict: v}) })
	}
	for _, x := range a.Polls {
		s.poll(x)
	}
}

func (s *restartSoak) start(x worker.Start) {
	s.order(x.Order, s.late, 0, func(w *soakWorker, respond func(func())) {
		s.extend(w, x.Until)
		task, verdict, clock := x.Task.String(), worker.Accepted, w.clock(s.now)
		used := 0
		for _, r := range w.runs {
			used += r.cores
		}
		switch r := w.runs[task]; {
		case r != nil && r.run == x.Run:
		case r != nil || x.Run <= w.highest[task]:
			verdict = worker.Superseded
		case x.Until <= clock:
			verdict = worker.Expired
		case used+taskCores > w.Capacity.Cores:
			verdict = worker.Full
		default:
			s.begin(w, task, x)
		}
		respond(func() { s.m.Started(s.now, x, worker.Answer{Verdict: verdict, Clock: clock}) })
	}, func(v worker.Verdict) { s.m.Started(s.now, x, worker.Answer{Verdict: v}) })
}

// begin carries out a start.
func (s *restartSoak) begin(w *soakWorker, task string, x worker.Start) {
	r := &soakRun{worker: w.ID, life: w.Life, run: x.Run, cores: taskCores}
	faults := len(s.faults)
	for _, o := range s.runs[task] {
		switch {
		case o.ended.IsZero():
			s.fault("TWICE: task %s starts as #%d on %s.%d while #%d runs on %s.%d", task, r.run, w.ID, w.Life, o.run, o.worker, o.life)
		case o.how == worker.Done && !o.noted.IsZero() && s.stored[x.Task.Job]:
			s.fault("TWICE: task %s starts as #%d on %s.%d though #%d was done on %s.%d, noted at %v", task, r.run, w.ID, w.Life, o.run, o.worker, o.life, o.noted.Sub(begin))
		}
	}
	if s.excuse && !w.known && w.orderSent.Before(w.born) {
		s.excused += len(s.faults) - faults
		s.faults = s.faults[:faults]
	}
	s.runs[task] = append(s.runs[task], r)
	w.runs[task] = r
	life := w.Life
	if s.deadly[x.Task.Job] {
		s.after(s.between(0, 20*time.Millisecond), func() {
			if w.Life == life && w.runs[task] == r {
				s.crash(w, s.between(100*time.Millisecond, 2*time.Second))
			}
		})
		return
	}
	s.after(s.took[x.Task.Job], func() {
		if w.Life == life && w.runs[task] == r {
			s.end(w, task, worker.Done, "done")
		}
	})
}

func (s *restartSoak) poll(x worker.Poll) {
	sent, late, wait := s.now, s.late, time.Duration(0)
	if s.lateAcknowledgements > 0 {
		wait = x.Wait
		if x.AcknowledgedEnds > 0 {
			late = max(late, s.lateAcknowledgements)
		}
	}
	s.order(x.Order, late, wait, func(w *soakWorker, respond func(func())) {
		s.extend(w, x.Until)
		for len(w.ended) > 0 && w.ended[0].Number <= x.AcknowledgedEnds {
			if e := w.ended[0]; e.lapses == w.lapses && s.now.Before(w.lease) && e.run.noted.IsZero() {
				e.run.noted = s.now
			}
			w.ended = w.ended[1:]
		}
		life, answered := w.Life, false
		report := func() {
			if answered || w.Life != life || !w.up {
				return
			}
			answered = true
			r := &worker.Report{Incarnation: w.Life, Clock: w.clock(s.now)}
			ended := slices.Clone(w.ended)
			for _, e := range ended {
				r.Ended = append(r.Ended, e.Ended)
			}
			for _, task := range slices.Sorted(maps.Keys(w.runs)) {
				r.Running = append(r.Running, worker.Running{Task: task, Run: w.runs[task].run, Percent: 10})
			}
			respond(func() {
				for _, e := range ended {
					e.told = true
				}
				s.m.PollAnswered(s.now, sent, x, r, worker.Accepted)
			})
		}
		if x.Wait == 0 || len(w.ended) > 0 {
			report()
			return
		}
		w.waiting = append(w.waiting, report)
		s.after(x.Wait, report)
	}, func(v worker.Verdict) { s.m.PollAnswered(s.now, sent, x, nil, v) })
}
