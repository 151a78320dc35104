package dispatch

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// jobKind is a kind of job in a simulated load.
type jobKind struct {
	name     string
	rate     float64 // jobs a second
	tasks    float64
	runTime  time.Duration
	priority work.Priority
	// cores returns the cores of a job's tasks. If it is nil, they are 32 with a spread of
	// 0.2, and at most 48.
	cores func(l *loadSim) int
}

// jobKinds make up the load of one data centre of a fleet of 350 workers: 68 % of
// the cores.
var jobKinds = []jobKind{
	{name: "short", rate: 69, tasks: 8, runTime: 60 * time.Millisecond, priority: 0},
	{name: "medium", rate: 200, tasks: 2, runTime: 200 * time.Millisecond, priority: 1},
	{name: "long", rate: 12.5, tasks: 4, runTime: 900 * time.Millisecond, priority: 2},
}

const (
	loadWorkers = 117
	loadHosts   = 14
	// messageDelay is the time that a message takes between an owner and a worker
	// or host.
	messageDelay = 200 * time.Microsecond
	// orderTimeout is how long an order may go unanswered, and maxLagAllowance
	// bounds the extra time that an owner allows for its own lag.
	orderTimeout, maxLagAllowance = 60 * time.Millisecond, 300 * time.Millisecond
	// spread is how far run times, counts and estimates scatter around their means.
	spread = 0.4
	// loadSeconds is the length of a simulation. The load is higher between
	// burstFrom and burstTo.
	loadSeconds, burstFrom, burstTo = 14, 4, 8
)

// loadEvent is an event of a simulated load.
type loadEvent struct {
	at    time.Time
	order int
	do    func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }
func (e loadEvents) Less(i, k int) bool {
	if !e[i].at.Equal(e[k].at) {
		return e[i].at.Before(e[k].at)
	}
	return e[i].order < e[k].order
}
func (e loadEvents) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simulatedRun is a run on a simulated worker. It takes took unless the worker has a slow
// phase, and ends at ends unless one begins or ends before.
type simulatedRun struct {
	took time.Duration
	ends time.Time
}

// simulatedWorker is a worker of a simulated load.
type simulatedWorker struct {
	id     worker.ID
	speed  float64
	runs   map[runKey]*simulatedRun
	ended  []worker.Ended
	number worker.EndNumber
	// poll is the open poll that waits for an end, and polls counts the polls that
	// have waited.
	poll     *worker.Poll
	pollSent time.Time
	polls    int
	// down is true once the worker has crashed.
	down bool
	// slow is how many times longer runs take than usual.
	slow float64
}

// callerAnswer is the answer to a caller of a simulated load.
type callerAnswer struct {
	kind            string
	submitted       time.Time
	objective, took time.Duration
	result          Result
	// cores is the size of a task. firstStart and lastStart are when the first and the last
	// of the tasks were ordered to start, and starts counts the orders.
	tasks, cores, starts  int
	firstStart, lastStart time.Time
	// returned is true if the caller has come back, and retryAfter is when it was told to.
	returned   bool
	retryAfter time.Duration
}

// loadSim simulates jobs on the workers of one owner in virtual time.
type loadSim struct {
	m       *Machine
	config  Config
	list    []worker.Worker
	random  *rand.Rand
	now     time.Time
	events  loadEvents
	order   int
	workers map[worker.ID]*simulatedWorker
	// factor returns the load at a second as a multiple of the usual load.
	factor func(second float64) float64
	// kinds are the kinds of jobs that are submitted.
	kinds []jobKind
	// kindFactor returns the same for one kind of jobs, beside factor.
	kindFactor func(kind string, second float64) float64
	// usedCores is the core-time in core-seconds that runs take between measureFrom and
	// measureTo.
	usedCores              float64
	measureFrom, measureTo float64
	// length is the length of the simulation.
	length time.Duration
	// comeBack is true if refused callers come back once, after the time that they were told.
	comeBack bool
	jobs     map[work.ID]*simulatedJob
	answers  []callerAnswer
	// open holds the submissions that are not answered, and sequence numbers them.
	open     map[work.ID]Submission
	sequence Sequence
	// retry tells whether a submission does not reach the owner, and if so after which
	// time its caller sends it again, or false if it does not.
	retry func(Submission) (again Submission, delay time.Duration, lost bool)
	// backlog holds the events that wait for the owner's processor, and busy is
	// true while it handles one. cost returns how long that takes, given the number
	// of workers and jobs examined and the number of resulting orders and replies.
	backlog []func()
	busy    bool
	cost    func(visits, orders int) time.Duration
	// lag is how late the last ticks were handled.
	lag time.Duration
	// tail returns how many times longer the tasks of the next job take than its estimate
	// says. Nil means once.
	tail func() float64
	// phases measures how slow phases are recognised, or is nil.
	phases *recognition
	// unanswered counts the starts that were given up because the owner lagged
	// behind.
	unanswered int
	// observe is called with the actions of each event.
	observe func(Actions)
}

// simulatedJob is a job of a simulated load, with the true run times of its tasks
// on a worker of speed 1.
type simulatedJob struct {
	callerAnswer
	runTimes []time.Duration
}

func newLoadSim(seed uint64, factor func(second float64) float64) *loadSim {
	return newLoadSimOf(jobKinds, seed, factor)
}

// newLoadSimOf returns the simulation of a load that some kinds of jobs make up.
func newLoadSimOf(kinds []jobKind, seed uint64, factor func(second float64) float64) *loadSim {
	l := &loadSim{
		kinds:  kinds,
		random: rand.New(rand.NewPCG(seed, 7)), now: origin, workers: map[worker.ID]*simulatedWorker{}, jobs: map[work.ID]*simulatedJob{}, open: map[work.ID]Submission{},
		observe: func(Actions) {},
		factor:  factor, cost: func(int, int) time.Duration { return 0 },
		measureFrom: burstFrom, measureTo: burstTo, length: loadSeconds * time.Second, kindFactor: func(string, float64) float64 { return 1 },
	}
	l.config = Config{
		Token: 1, MaxLease: time.Second, FarFactor: 2,
		Ejection: ejection.Config{MaxShare: 0.5, Failures: 3, MinProbe: 500 * time.Millisecond, MaxProbe: 5 * time.Second},
	}
	l.m = New(origin, l.config)
	l.m.StoredJobsLoaded(origin)
	for i := range loadWorkers {
		x := &simulatedWorker{id: worker.ID(fmt.Sprintf("w%04d", i)), speed: 1.2, slow: 1, runs: map[runKey]*simulatedRun{}}
		if i%4 == 0 {
			x.speed = 0.55
		}
		size := work.Size{Cores: 64_000, Memory: 128_000}
		if i%3 == 2 {
			size.Cores = 96_000
		}
		l.workers[x.id] = x
		l.list = append(l.list, worker.Worker{ID: x.id, Life: 1, Address: string(x.id), Pool: "pool", Capacity: size})
	}
	l.deliver(func() { l.m.SetWorkers(l.now, l.list) })
	l.tick()
	for _, k := range l.kinds {
		l.submitRepeatedly(k)
	}
	return l
}

// after schedules an event to happen after d.
func (l *loadSim) after(d time.Duration, do func()) {
	l.order++
	heap.Push(&l.events, loadEvent{at: l.now.Add(d), order: l.order, do: do})
}

// deliver has the owner handle an event once its processor is free.
func (l *loadSim) deliver(event func()) {
	l.backlog = append(l.backlog, event)
	if !l.busy {
		l.handle()
	}
}

func (l *loadSim) handle() {
	l.busy = len(l.backlog) > 0
	if !l.busy {
		return
	}
	event := l.backlog[0]
	l.backlog = l.backlog[1:]
	before := l.m.visited
	event()
	a := l.m.TakeActions()
	l.observe(a)
	l.after(l.cost(l.m.visited-before, len(a.Starts)+len(a.Stops)+len(a.Polls)+len(a.Replies)), func() {
		l.carryOut(a)
		l.handle()
	})
}

func (l *loadSim) tick() {
	due := l.now
	l.deliver(func() {
		l.lag = max(l.now.Sub(due), l.lag*4/5)
		l.m.Tick(l.now)
	})
	l.after(25*time.Millisecond, l.tick)
}

func (l *loadSim) clock() worker.Clock { return worker.Clock(1000 + l.now.Sub(origin).Milliseconds()) }

// logNormal returns a value of a log-normal distribution with a mean of 1 and a
// standard deviation of s.
func (l *loadSim) logNormal(s float64) float64 {
	sigma := math.Sqrt(math.Log(1 + s*s))
	return math.Exp(l.random.NormFloat64()*sigma - sigma*sigma/2)
}

// submitRepeatedly submits jobs of a kind for ever.
func (l *loadSim) submitRepeatedly(k jobKind) {
	second := l.now.Sub(origin).Seconds()
	pause := time.Duration(l.random.ExpFloat64() / (k.rate * l.factor(second) * l.kindFactor(k.name, second)) * float64(time.Second))
	l.after(pause, func() {
		l.submit(k)
		l.submitRepeatedly(k)
	})
}

func (l *loadSim) submit(k jobKind) {
	runTime := time.Duration(min(l.logNormal(spread), 4) * float64(k.runTime))
	size := work.Size{Memory: 64}
	if k.cores != nil {
		size.Cores = k.cores(l)
	} else {
		size.Cores = int(min(l.logNormal(0.2)*32_000, 48_000))
	}
	estimated := runTime
	if l.tail != nil {
		runTime = scaled(runTime, l.tail())
	}
	j := &simulatedJob{callerAnswer: callerAnswer{
		kind: k.name, submitted: l.now, objective: time.Duration(1.6*float64(runTime)) + 60*time.Millisecond,
	}}
	count := max(1, int(math.Round(min(l.logNormal(spread), 4)*k.tasks)))
	j.tasks, j.cores = count, size.Cores
	for range count {
		j.runTimes = append(j.runTimes, time.Duration(l.logNormal(0.15)*float64(runTime)))
	}
	spec := work.Job{
		ID: work.ID(fmt.Sprintf("%s-%06d", k.name, len(l.jobs))), Queue: work.Queue(k.name), Pool: "pool", Priority: k.priority, Attempts: 3, Stretch: 1.6, Target: 60 * time.Millisecond,
		Steps: []work.Step{{Count: count, Size: size, Estimate: time.Duration(l.logNormal(spread) * float64(estimated))}},
	}
	l.jobs[spec.ID] = j
	s := Submission{
		Job: spec, Host: ident.Host(fmt.Sprint("host-", l.random.IntN(loadHosts))), Call: uint64(len(l.jobs)), Boot: "b",
		Remaining: 1500*time.Millisecond + runTime, Final: true,
	}
	l.offer(s)
}

// offer submits a job to the owner, if that is reached.
func (l *loadSim) offer(s Submission) {
	if l.retry != nil {
		if again, delay, lost := l.retry(s); lost {
			l.after(delay, func() { l.offer(again) })
			return
		}
	}
	l.sequence++
	s.Sequence = l.sequence
	l.open[s.Job.ID] = s
	l.after(messageDelay, func() { l.deliver(func() { l.m.Submit(l.now, s) }) })
}

// hosts returns the hosts that submit jobs.
func (l *loadSim) hosts() []ident.Host {
	var hosts []ident.Host
	for i := range loadHosts {
		hosts = append(hosts, ident.Host(fmt.Sprint("host-", i)))
	}
	return hosts
}

func (l *loadSim) carryOut(a Actions) {
	for _, r := range a.Replies {
		j := l.jobs[r.Job]
		l.after(messageDelay, func() {
			s := l.open[r.Job]
			delete(l.open, r.Job)
			x := j.callerAnswer
			x.result, x.took = r.Result, l.now.Sub(j.submitted)
			x.retryAfter = (r.RetryAfter + time.Second - 1).Truncate(time.Second)
			l.answers = append(l.answers, x)
			if l.comeBack && r.Result == Refused && !j.returned {
				l.after(x.retryAfter, func() { l.submitAgain(s.Job, j) })
			}
		})
	}
	for _, s := range a.Starts {
		j := l.jobs[s.Task.Job]
		if j.starts++; j.starts == 1 {
			j.firstStart = l.now
		}
		j.lastStart = l.now
		l.after(messageDelay, func() { l.start(s) })
	}
	for _, s := range a.Stops {
		l.after(messageDelay, func() { l.stop(s) })
	}
	for _, x := range a.Polls {
		sent := l.now
		l.after(messageDelay, func() { l.receivePoll(sent, x) })
	}
}

// crash ends a worker and its runs. It does not return.
func (l *loadSim) crash(w *simulatedWorker) {
	w.down = true
	clear(w.runs)
	if w.poll != nil {
		l.failPoll(w.pollSent, *w.poll, worker.Unanswered)
		w.poll = nil
	}
}

// failPoll has a poll end without a report.
func (l *loadSim) failPoll(sent time.Time, x worker.Poll, v worker.Verdict) {
	l.after(messageDelay, func() { l.deliver(func() { l.m.PollAnswered(l.now, sent, x, nil, v) }) })
}

func (l *loadSim) start(s worker.Start) {
	w := l.workers[s.Worker]
	if w.down {
		l.after(messageDelay, func() {
			l.deliver(func() { l.m.Started(l.now, s, worker.Answer{Verdict: worker.Unsent}) })
		})
		return
	}
	if l.phases != nil {
		l.phases.noteStart(s)
	}
	took := time.Duration(float64(l.jobs[s.Task.Job].runTimes[s.Task.Index]) / w.speed)
	key := runKey{task: s.Task.String(), run: s.Run}
	l.addUsed(s.Task, took)
	r := &simulatedRun{took: took}
	w.runs[key] = r
	l.endAfter(w, key, r, scaled(took, w.slow))
	handled := false
	respond := func(v worker.Verdict) {
		l.deliver(func() {
			if !handled {
				handled = true
				l.m.Started(l.now, s, worker.Answer{Verdict: v, Clock: l.clock()})
			}
		})
	}
	l.after(messageDelay, func() { respond(worker.Accepted) })
	// An order that goes unanswered for too long is given up, also if it waits in
	// the owner's own process.
	l.after(orderTimeout+min(4*l.lag, maxLagAllowance)-messageDelay, func() {
		if !handled {
			l.unanswered++
			handled = true
			l.deliver(func() { l.m.Started(l.now, s, worker.Answer{Verdict: worker.Unanswered}) })
		}
	})
}

func (l *loadSim) stop(s worker.Stop) {
	if l.workers[s.Worker].down {
		l.after(messageDelay, func() {
			l.deliver(func() { l.m.Stopped(l.now, s, worker.Answer{Verdict: worker.Unsent}) })
		})
		return
	}
	l.end(l.workers[s.Worker], runKey{task: s.Task, run: s.Run}, worker.Lost)
	l.after(messageDelay, func() {
		l.deliver(func() { l.m.Stopped(l.now, s, worker.Answer{Verdict: worker.Accepted, Clock: l.clock()}) })
	})
}

func (l *loadSim) end(w *simulatedWorker, k runKey, result worker.Result) {
	if w.runs[k] == nil {
		return
	}
	delete(w.runs, k)
	w.number++
	w.ended = append(w.ended, worker.Ended{Number: w.number, Task: k.task, Run: k.run, Result: result})
	if w.poll != nil {
		l.answerPoll(w)
	}
}

func (l *loadSim) receivePoll(sent time.Time, x worker.Poll) {
	w := l.workers[x.Worker]
	if w.down {
		l.failPoll(sent, x, worker.Unsent)
		return
	}
	for len(w.ended) > 0 && w.ended[0].Number <= x.AcknowledgedEnds {
		w.ended = w.ended[1:]
	}
	if x.Wait == 0 || len(w.ended) > 0 {
		l.report(w, sent, x)
		return
	}
	w.poll, w.pollSent = &x, sent
	w.polls++
	number := w.polls
	l.after(x.Wait, func() {
		if w.poll != nil && w.polls == number {
			l.answerPoll(w)
		}
	})
}

func (l *loadSim) answerPoll(w *simulatedWorker) {
	x := *w.poll
	w.poll = nil
	l.report(w, w.pollSent, x)
}

func (l *loadSim) report(w *simulatedWorker, sent time.Time, x worker.Poll) {
	r := &worker.Report{Incarnation: 1, Clock: l.clock(), Ended: append([]worker.Ended(nil), w.ended...)}
	for k, x := range w.runs {
		done := 1 - float64(x.ends.Sub(l.now))/(float64(x.took)*w.slow)
		r.Running = append(r.Running, worker.Running{Task: k.task, Run: k.run, Percent: int(100 * done)})
	}
	slices.SortFunc(r.Running, func(a, b worker.Running) int { return cmp.Compare(a.Task, b.Task) })
	l.after(messageDelay, func() { l.deliver(func() { l.m.PollAnswered(l.now, sent, x, r, worker.Accepted) }) })
}

// run runs the simulation to its end.
func (l *loadSim) run() {
	end := origin.Add(l.length)
	for len(l.events) > 0 && l.events[0].at.Before(end) {
		e := heap.Pop(&l.events).(loadEvent)
		l.now = e.at
		e.do()
	}
}

// burst returns the factor of a load that is x times as high for some seconds.
func burst(x float64) func(second float64) float64 {
	return func(second float64) float64 {
		if second >= burstFrom && second < burstTo {
			return x
		}
		return 1
	}
}
