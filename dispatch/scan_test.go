package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/lookahead"
	"github.com/catkingap/catkingap/room"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

var origin = time.Unix(1_800_000_000, 0)

// candidate holds the criteria by which workers for a task are compared. The first
// one in order is to be chosen.
type candidate struct {
	failed, far bool
	class       room.SpeedClass
	free        int
	id          worker.ID
}

func (s candidate) compare(o candidate) int {
	for _, c := range [...]int{compareBool(s.failed, o.failed), compareBool(s.far, o.far)} {
		if c != 0 {
			return c
		}
	}
	if c := cmp.Compare(s.class, o.class); c != 0 {
		return c
	}
	if c := cmp.Compare(s.free, o.free); c != 0 {
		return c
	}
	return cmp.Compare(s.id, o.id)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// scanWorkers chooses a worker by examining all of them.
func (m *Machine) scanWorkers(now time.Time, t *task, tardy bool) *node {
	var best *node
	var bestRank candidate
	size := t.step().Size
	left := t.job.objective.Sub(now) - answerMargin
	for _, n := range m.ordered {
		free := n.Capacity.Minus(n.used)
		if r := m.plan.Of(n); r != nil {
			free = r.Spare
		}
		if !n.suits(t) || !size.Fits(free) || !m.isUsable(now, n) || !m.withinWorkerLimit(n, t) {
			continue
		}
		expected := m.expectedRunTime(n, t)
		inTime := expected <= left
		if tardy {
			inTime = t.job.isWorthwhile(now, expected+answerMargin)
		}
		if !inTime || m.maxLease(now, n, t.job) < minLease || m.leaseOutlives(n, t.job) {
			continue
		}
		s := candidate{
			failed: t.hasFailedOn(n),
			far:    t.step().Rack != "" && !slices.Contains(n.Labels, t.step().Rack),
			class:  room.ClassOf(n.slowdown.Log()), free: free.Cores, id: n.ID,
		}
		if best == nil || s.compare(bestRank) < 0 {
			best, bestRank = n, s
		}
	}
	if best != nil {
		return best
	}
	return m.scanReserved(now, t, tardy)
}

// scanReserved chooses among the workers that are reserved for a task.
func (m *Machine) scanReserved(now time.Time, t *task, tardy bool) *node {
	for _, r := range m.plan.All() {
		n := r.Worker
		expected := m.expectedRunTime(n, t)
		inTime := expected <= t.job.objective.Sub(now)-answerMargin
		if tardy {
			inTime = t.job.isWorthwhile(now, expected+answerMargin)
		}
		if r.Holder.job == t.job && inTime && n.suits(t) && t.step().Size.Fits(n.Capacity.Minus(n.used)) && m.isUsable(now, n) &&
			m.withinWorkerLimit(n, t) && m.maxLease(now, n, t.job) >= minLease && !m.leaseOutlives(n, t.job) {
			return n
		}
	}
	return nil
}

// checkReservations checks that each reserved worker has the capacity for the task that it is
// reserved for, and offers others nothing that the task needs.
func checkReservations(is *is.I, m *Machine, now time.Time) {
	is.Helper()
	is.True(len(m.plan.All()) <= lookahead.MaxReservations(len(m.ordered)))
	for _, r := range m.plan.All() {
		n := r.Worker
		is.True(r.Holder.job.live && r.Holder.waiting() >= m.plan.Count(r.Holder))
		is.True(m.isUsable(now, n))
		is.True(r.Spare.Fits(n.Capacity.Minus(n.used)))
		is.True(r.Spare.Plus(r.Size).Fits(n.Capacity))
		is.Equal(n.contribution.Entry.Free, r.Spare)
	}
}

// checkAgainstScan compares the incrementally updated counts with those of a full
// scan.
func checkAgainstScan(is *is.I, m *Machine, now time.Time) {
	is.Helper()
	pools := map[ident.Pool]*room.PoolCapacity{}
	tasks, unanswered, usable := 0, 0, 0
	for _, n := range m.ordered {
		if pools[n.Pool] == nil {
			pools[n.Pool] = &room.PoolCapacity{}
		}
		if !n.answered {
			unanswered++
		}
		if n.listed {
			pools[n.Pool].UsedCores += n.used.Cores
		}
		if m.isUsable(now, n) {
			usable++
			pools[n.Pool].FreeCores += n.Capacity.Cores - n.used.Cores
		}
		is.Equal(n.contribution.Entry != nil, m.isUsable(now, n))
		tasks += n.contribution.Tasks
		is.True(m.nextPollAt(now, n).After(now)) // No poll is missed.
	}
	is.Equal(m.capacity.Unanswered, unanswered)
	is.Equal(m.capacity.Tasks, tasks)
	for p, x := range pools {
		is.Equal(*m.capacity.Pool(p), *x)
	}
	waiting := 0
	for c := range m.queue.jobs {
		for _, j := range m.queue.items(class(c)) {
			is.Equal(int(j.class), c)
			is.True(j.live && len(j.waiting) > 0)
			waiting += len(j.waiting)
		}
	}
	is.Equal(m.queue.tasks, waiting)
	checkQueuesAgainstScan(is, m)
}

// checkQueuesAgainstScan compares the order of waiting jobs and the cores of each queue with
// those of a full scan: within a class, jobs of queues over their share come last.
func checkQueuesAgainstScan(is *is.I, m *Machine) {
	is.Helper()
	used, waiting := map[group]int{}, map[group]int{}
	for _, n := range m.ordered {
		for _, r := range n.runs {
			if r.task != nil {
				used[r.task.job.group()] += r.size.Cores
			}
		}
	}
	before := func(a, b *job) int {
		return cmp.Or(compareBool(m.queue.isOver(a.group()), m.queue.isOver(b.group())), compareJobs(a, b))
	}
	for c := range classes {
		jobs := m.queue.items(c)
		is.True(slices.IsSortedFunc(jobs, before))
		is.Equal(m.queue.jobs[c].Len(), len(jobs))
		for _, j := range jobs {
			for _, t := range j.waiting {
				if c <= onTime && len(t.failedWorkers) == 0 {
					waiting[j.group()] += t.step().Size.Cores
				}
			}
		}
	}
	for _, j := range m.jobs {
		x, w := m.queue.poolShares(j.spec.Pool).Cores(j.spec.Queue)
		is.Equal(x, used[j.group()])
		is.Equal(w, waiting[j.group()])
	}
}

// simulation applies random events to a Machine.
type simulation struct {
	m       *Machine
	random  *rand.Rand
	now     time.Time
	jobs    int
	numbers map[worker.ID]worker.EndNumber
	starts  []worker.Start
	polls   []worker.Poll
}

const poolCount = 2

func newSimulation(seed uint64, workers int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: origin, numbers: map[worker.ID]worker.EndNumber{}}
	s.m = New(origin, Config{
		Token: 1, MaxLease: time.Second, FarFactor: 2, LookAhead: true, ResendDelay: 1300 * time.Millisecond,
		Ejection: ejection.Config{MaxShare: 0.5, Failures: 3, MinProbe: 500 * time.Millisecond, MaxProbe: 5 * time.Second},
	})
	s.m.StoredJobsLoaded(origin)
	s.m.SetWorkers(origin, s.workers(workers))
	s.answerPolls()
	return s
}

func (s *simulation) workers(count int) []worker.Worker {
	var list []worker.Worker
	for i := range count {
		list = append(list, worker.Worker{
			ID: worker.ID(fmt.Sprintf("w%04d", i)), Life: 1, Address: fmt.Sprintf("w%d:1", i),
			Pool: ident.Pool(fmt.Sprint("pool-", i%poolCount)), Labels: []string{fmt.Sprint("r", i%5), fmt.Sprint("kind-", i%3)},
			Capacity: work.Size{Cores: 40_000 + 24_000*(i%2), Memory: 64_000}, Draining: s.random.IntN(40) == 0,
		})
	}
	return list
}

// clock returns the time on the clock of all workers.
func (s *simulation) clock() worker.Clock {
	return worker.Clock(1000 + s.now.Sub(origin).Milliseconds())
}

// collectOrders collects the orders of the Machine, and confirms stops at once.
func (s *simulation) collectOrders() {
	a := s.m.TakeActions()
	s.starts = append(s.starts, a.Starts...)
	s.polls = append(s.polls, a.Polls...)
	for _, x := range a.Stops {
		s.m.Stopped(s.now, x, worker.Answer{Verdict: worker.Accepted, Clock: s.clock()})
	}
}

// report returns the report of a worker that runs all that it was ordered to.
func (s *simulation) report(n *node) *worker.Report {
	r := &worker.Report{Incarnation: n.Life, Clock: s.clock()}
	for _, x := range n.sortedRuns() {
		if x.state == running {
			r.Running = append(r.Running, worker.Running{Task: x.key.task, Run: x.key.run, Percent: 50})
		}
	}
	return r
}

func (s *simulation) answerPolls() {
	for s.collectOrders(); len(s.polls) > 0; s.collectOrders() {
		l := s.polls[0]
		s.polls = s.polls[1:]
		if n := s.m.nodes[l.Worker]; n != nil && l.Wait == 0 {
			s.m.PollAnswered(s.now, s.now, l, s.report(n), worker.Accepted)
		} else if n != nil {
			n.pollOpen = true
		}
	}
}

func (s *simulation) submission() Submission {
	s.jobs++
	x := s.random
	step := work.Step{
		Count: 1 + x.IntN(6), Estimate: time.Duration(40+x.IntN(900)) * time.Millisecond,
		Size: work.Size{Cores: 5_000 + x.IntN(35_000), Memory: 1000},
	}
	switch x.IntN(6) {
	case 0:
		step.Label = fmt.Sprint("kind-", x.IntN(3))
	case 1:
		step.Rack = fmt.Sprint("r", x.IntN(5))
	case 2:
		step.PerWorker = 1 + x.IntN(2)
	}
	return Submission{
		Host: ident.Host(fmt.Sprint("host-", x.IntN(3))), Boot: "b", Call: uint64(s.jobs), Sequence: Sequence(s.jobs), Remaining: 4 * time.Second,
		Final: x.IntN(3) > 0,
		Job: work.Job{
			ID: work.ID(fmt.Sprintf("j%05d", s.jobs)), Pool: ident.Pool(fmt.Sprint("pool-", x.IntN(poolCount))),
			Queue: work.Queue(fmt.Sprint("queue-", x.IntN(3))), Attempts: 3, Stretch: 1.6, Target: 60 * time.Millisecond,
			Priority: work.Priority(x.IntN(2)), Steps: []work.Step{step},
		},
	}
}

// endRandomRun reports the end of a random run.
func (s *simulation) endRandomRun(result worker.Result) {
	busy := slices.DeleteFunc(slices.Clone(s.m.ordered), func(n *node) bool { return len(n.runs) == 0 })
	if len(busy) == 0 {
		return
	}
	n := busy[s.random.IntN(len(busy))]
	runs := n.sortedRuns()
	r := runs[s.random.IntN(len(runs))]
	if r.state != running {
		return
	}
	report := s.report(n)
	report.Running = slices.DeleteFunc(report.Running, func(x worker.Running) bool { return x.Task == r.key.task })
	s.numbers[n.ID]++
	report.Ended = []worker.Ended{{Number: s.numbers[n.ID], Task: r.key.task, Run: r.key.run, Result: result}}
	s.m.PollAnswered(s.now, s.now, worker.Poll{Order: worker.Order{Worker: n.ID}}, report, worker.Accepted)
}

// sendKeepalives sends keepalives of all hosts that list all their calls.
func (s *simulation) sendKeepalives() {
	s.jobs++
	for h := range 3 {
		host := ident.Host(fmt.Sprint("host-", h))
		var calls []uint64
		for _, j := range s.m.jobsByHost[host] {
			calls = append(calls, j.call)
		}
		slices.Sort(calls)
		s.m.KeepaliveReceived(s.now, Keepalive{Host: host, Boot: "b", At: s.now, Sequence: Sequence(s.jobs), Calls: calls})
	}
}

// step applies one random event.
func (s *simulation) step() {
	s.now = s.now.Add(time.Duration(s.random.IntN(3)) * time.Millisecond)
	switch x := s.random.IntN(100); {
	case x < 20:
		s.m.Submit(s.now, s.submission())
	case x < 50:
		s.endRandomRun(worker.Done)
	case x < 53:
		s.endRandomRun(worker.Failed)
	case x < 56:
		s.sendKeepalives()
	case x < 60:
		s.m.Tick(s.now)
	case x < 61:
		n := s.m.ordered[s.random.IntN(len(s.m.ordered))]
		s.m.PollAnswered(s.now, s.now, worker.Poll{Order: worker.Order{Worker: n.ID}, Extra: true}, nil, worker.Unanswered)
	case x < 62:
		for _, j := range s.m.queue.items(onTime) {
			s.m.Withdraw(s.now, j.host, j.call, j.spec.ID)
			break
		}
	case len(s.starts) > 0:
		verdict := worker.Accepted
		if s.random.IntN(50) == 0 {
			verdict = worker.Full
		}
		s.m.Started(s.now, s.starts[0], worker.Answer{Verdict: verdict, Clock: s.clock()})
		s.starts = s.starts[1:]
	}
	s.answerPolls()
}

// TestIndexFindsWhatAScanFinds applies random events and compares each choice and
// all counts with those of a scan of all workers. After a tick no task may wait for
// which a scan finds a worker.
func TestIndexFindsWhatAScanFinds(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(seed, 30)
			chosen, reserved := 0, 0
			for range 4000 {
				s.step()
				if !s.m.lastEvent.Equal(s.now) {
					// There was no event to apply.
					continue
				}
				checkAgainstScan(is, s.m, s.now)
				checkReservations(is, s.m, s.now)
				reserved += len(s.m.plan.All())
				j := newJob(s.now, s.submission())
				tardy := s.random.IntN(2) == 0
				n, want := s.m.chooseWorker(s.now, j.tasks[0], tardy), s.m.scanWorkers(s.now, j.tasks[0], tardy)
				is.True(n == want)
				if n != nil {
					chosen++
				}
			}
			is.True(chosen > 100)
			is.True(reserved > 100)
			s.m.Tick(s.now)
			for c := range s.m.queue.jobs {
				for _, j := range s.m.queue.items(class(c)) {
					if s.m.hasPreviousRuns(j.spec.ID) {
						continue
					}
					for _, x := range j.waiting {
						is.True(s.m.scanWorkers(s.now, x, s.m.bestCase(s.now, j) != onTime) == nil)
					}
				}
			}
		})
	}
}
