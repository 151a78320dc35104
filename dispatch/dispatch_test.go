package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

var begin = time.Unix(1_800_000_000, 0)

const (
	hostA = ident.Host("host-a")
	hostB = ident.Host("host-b")
	pool  = ident.Pool("groyne-log")
)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func newMachine(previous ...worker.Worker) *dispatch.Machine {
	return dispatch.New(begin, dispatch.Config{
		Token: 7, MaxLease: time.Second, FarFactor: 2, PreviousWorkers: previous, PreviousWorkersComplete: previous != nil,
		Ejection: ejection.Config{MaxShare: 0.5, Failures: 3, MinProbe: 500 * time.Millisecond, MaxProbe: 5 * time.Second},
	})
}

func testWorker(id worker.ID) worker.Worker {
	return worker.Worker{
		ID: id, Life: 1, Address: string(id) + ":1", Pool: pool, DataCentre: "coast-a",
		Capacity: work.Size{Cores: 64_000, Memory: 1000},
	}
}

// submission returns a submission of a job whose tasks take half of a worker each.
func submission(id work.ID, call uint64, tasks int) dispatch.Submission {
	return dispatch.Submission{
		Host: hostA, Call: call, Remaining: 2 * time.Second, Final: true,
		Job: work.Job{
			ID: id, Pool: pool, Attempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond,
			Steps: []work.Step{{Count: tasks, Size: work.Size{Cores: 27_000, Memory: 64}, Estimate: 60 * time.Millisecond}},
		},
	}
}

// answerPolls answers the polls among some actions with the same report.
func answerPolls(m *dispatch.Machine, now time.Time, a dispatch.Actions, r worker.Report) {
	for _, l := range a.Polls {
		report := r
		m.PollAnswered(now, now.Add(-time.Millisecond), l, &report, worker.Accepted)
	}
}

// readyMachine returns a Machine whose workers have answered and have no runs.
func readyMachine(ids ...worker.ID) *dispatch.Machine { return withWorkers(newMachine(), ids...) }

// withWorkers adds workers to a Machine that answer and have no runs.
func withWorkers(m *dispatch.Machine, ids ...worker.ID) *dispatch.Machine {
	m.StoredJobsLoaded(begin)
	var workers []worker.Worker
	for _, id := range ids {
		workers = append(workers, testWorker(id))
	}
	m.SetWorkers(begin, workers)
	answerPolls(m, at(1), m.TakeActions(), worker.Report{Incarnation: 1, Clock: 1000})
	m.TakeActions()
	return m
}

// TestRunFoundAfterSubmission submits a caller's job to a new owner before the
// worker that runs its task has answered. The run must be taken over and not
// started a second time.
func TestRunFoundAfterSubmission(t *testing.T) {
	tests := map[string]struct {
		report worker.Report
		result dispatch.Result
	}{
		"at work": {report: worker.Report{Incarnation: 1, Clock: 1000, Running: []worker.Running{{Task: "j.0.0.0", Run: 1}}}},
		"done": {
			report: worker.Report{Incarnation: 1, Clock: 1000, Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Result: worker.Done}}},
			result: dispatch.Completed,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(testWorker("w1"))
			m.SetWorkers(begin, []worker.Worker{testWorker("w2")})
			polls := m.TakeActions().Polls
			is.Equal(len(polls), 2)
			m.PollAnswered(at(1), begin, polls[1], &worker.Report{Incarnation: 1, Clock: 1000}, worker.Accepted)
			s := submission("j", 1, 1)
			s.Resubmitted = true
			m.Submit(at(2), s)
			is.Equal(len(m.TakeActions().Starts), 0)
			m.PollAnswered(at(3), begin, polls[0], &test.report, worker.Accepted)
			m.Tick(at(50))
			a := m.TakeActions()
			is.Equal(len(a.Starts), 0)
			if test.result != "" {
				is.Equal(len(a.Replies), 1)
				is.Equal(a.Replies[0].Result, test.result)
			}
		})
	}
}

// TestJobBeforeAnyWorkerAnswers submits jobs to a new owner whose workers have not
// answered yet. A job that the previous owner had begun goes on, and another one
// starts.
func TestJobBeforeAnyWorkerAnswers(t *testing.T) {
	is := is.New(t)
	m := newMachine(testWorker("w1"))
	m.SetWorkers(begin, []worker.Worker{testWorker("w1")})
	polls := m.TakeActions().Polls
	is.Equal(len(polls), 1)
	again := submission("again", 1, 1)
	again.Resubmitted = true
	m.Submit(at(2), again)
	m.Submit(at(2), submission("first", 2, 1))
	m.Tick(at(3))
	is.Equal(len(m.TakeActions().Replies), 0)
	m.PollAnswered(at(4), begin, polls[0], &worker.Report{Incarnation: 1, Clock: 1000, Running: []worker.Running{{Task: "again.0.0.0", Run: 3}}}, worker.Accepted)
	a := m.TakeActions()
	is.Equal(len(a.Replies), 0)
	is.Equal(len(a.Starts), 1)
	is.Equal(a.Starts[0].Task.Job, work.ID("first"))
	m.PollAnswered(at(40), at(39), worker.Poll{Order: a.Starts[0].Order}, &worker.Report{
		Incarnation: 1, Clock: 1040, Ended: []worker.Ended{{Number: 1, Task: "again.0.0.0", Run: 3, Result: worker.Done}},
		Running: []worker.Running{{Task: "first.0.0.0", Run: 1}},
	}, worker.Accepted)
	replies := m.TakeActions().Replies
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Job, work.ID("again"))
	is.Equal(replies[0].Result, dispatch.Completed)
}

// startOne submits a job of one task and returns the order to start it.
func startOne(is *is.I, m *dispatch.Machine, now time.Time) worker.Start {
	m.Submit(now, submission("j", 1, 1))
	a := m.TakeActions()
	is.Equal(len(a.Starts), 1)
	return a.Starts[0]
}

// TestOrdersThatDoNotLeave has a worker refuse connections. The owner must not send
// it orders in a loop.
func TestOrdersThatDoNotLeave(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	s := startOne(is, m, at(10))
	m.Started(at(11), s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
	polls := m.TakeActions().Polls
	is.Equal(len(polls), 1)
	m.Withdraw(at(12), hostA, 1, "j")
	stops := m.TakeActions().Stops
	is.Equal(len(stops), 1)
	m.Stopped(at(13), stops[0], worker.Answer{Verdict: worker.Unsent})
	m.PollAnswered(at(13), at(12), polls[0], nil, worker.Unsent)
	orders := 0
	for ms := 14; ms < 114; ms++ {
		a := m.TakeActions()
		orders += len(a.Stops) + len(a.Polls)
		for _, l := range a.Polls {
			m.PollAnswered(at(ms), at(ms), l, nil, worker.Unsent)
		}
		for _, x := range a.Stops {
			m.Stopped(at(ms), x, worker.Answer{Verdict: worker.Unsent})
		}
		m.Tick(at(ms))
	}
	is.True(orders <= 6)
}

// TestReplacedWorker has another worker answer at the address of one that runs a
// task. The task must start elsewhere at once.
func TestReplacedWorker(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1", "w2")
	s := startOne(is, m, at(10))
	m.Started(at(11), s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
	polls := m.TakeActions().Polls
	is.Equal(len(polls), 1)
	m.PollAnswered(at(20), at(12), polls[0], nil, worker.Replaced)
	a := m.TakeActions()
	is.Equal(len(a.Starts), 1)
	is.True(a.Starts[0].Worker != s.Worker)
	for ms := 21; ms < 521; ms++ {
		m.Tick(at(ms))
		for _, l := range m.TakeActions().Polls {
			is.True(l.Worker != s.Worker)
		}
	}
}

// TestStartWithoutAnswer leaves a start unanswered. If the next poll lists the run,
// it goes on. Otherwise it must be stopped for certain before the task starts
// again, with a higher run number.
func TestStartWithoutAnswer(t *testing.T) {
	tests := map[string]struct {
		running []worker.Running
		stopped bool
	}{
		"at work":     {running: []worker.Running{{Task: "j.0.0.0", Run: 1, Percent: 50}}},
		"not arrived": {stopped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			s := startOne(is, m, at(10))
			m.Started(at(70), s, worker.Answer{Verdict: worker.Unanswered})
			a := m.TakeActions()
			is.Equal(len(a.Starts), 0)
			is.Equal(len(a.Stops), 0)
			is.True(len(a.Polls) > 0)
			// A poll that was sent before the start was given up tells nothing.
			m.PollAnswered(at(71), at(69), worker.Poll{Order: a.Polls[0].Order, Extra: true}, &worker.Report{Incarnation: 1, Clock: 1070}, worker.Accepted)
			is.Equal(len(m.TakeActions().Stops), 0)
			answerPolls(m, at(72), a, worker.Report{Incarnation: 1, Clock: 1072, Running: test.running})
			a = m.TakeActions()
			is.Equal(len(a.Starts), 0)
			is.Equal(len(a.Stops) == 1, test.stopped)
			if !test.stopped {
				m.PollAnswered(at(100), at(99), worker.Poll{Order: s.Order}, &worker.Report{
					Incarnation: 1, Clock: 1100, Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Result: worker.Done}},
				}, worker.Accepted)
				replies := m.TakeActions().Replies
				is.Equal(len(replies), 1)
				is.Equal(replies[0].Result, dispatch.Completed)
				return
			}
			m.Stopped(at(73), a.Stops[0], worker.Answer{Verdict: worker.Accepted, Clock: 1073})
			a = m.TakeActions()
			is.Equal(len(a.Starts), 0)
			for _, l := range a.Polls {
				m.PollAnswered(at(75), at(74), l, &worker.Report{Incarnation: 1, Clock: 1075}, worker.Accepted)
			}
			a = m.TakeActions()
			is.Equal(len(a.Starts), 1)
			is.Equal(a.Starts[0].Run, work.Run(2))
		})
	}
}

// TestSameJobFromAnotherHost has a caller send its job again through another host.
// Its runs must go on for the new host.
func TestSameJobFromAnotherHost(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	s := startOne(is, m, at(10))
	m.Started(at(11), s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
	polls := m.TakeActions().Polls
	again := submission("j", 9, 1)
	again.Host = hostB
	m.Submit(at(30), again)
	a := m.TakeActions()
	is.Equal(len(a.Starts), 0)
	is.Equal(a.Replies[0].Host, hostA)
	is.Equal(a.Replies[0].Result, dispatch.Superseded)
	done := worker.Report{Incarnation: 1, Clock: 1070, Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Result: worker.Done}}}
	m.PollAnswered(at(71), at(12), polls[0], &done, worker.Accepted)
	a = m.TakeActions()
	is.Equal(len(a.Replies), 1)
	is.Equal(a.Replies[0].Host, hostB)
	is.Equal(a.Replies[0].Result, dispatch.Completed)
}

// TestJobAgainWhileItStops submits a job again after it was dropped. Nothing of it
// may start before its earlier runs have ended.
func TestJobAgainWhileItStops(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1", "w2")
	s := startOne(is, m, at(10))
	m.Started(at(11), s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
	polls := m.TakeActions().Polls
	m.HostLost(at(20), hostA)
	stops := m.TakeActions().Stops
	is.Equal(len(stops), 1)
	again := submission("j", 9, 1)
	again.Host = hostB
	m.Submit(at(30), again)
	is.Equal(len(m.TakeActions().Starts), 0)
	stopped := worker.Report{Incarnation: 1, Clock: 1050, Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Result: worker.Lost}}}
	m.PollAnswered(at(51), at(12), polls[0], &stopped, worker.Accepted)
	a := m.TakeActions()
	is.Equal(len(a.Starts), 1)
	is.Equal(a.Starts[0].Run, work.Run(2))
}

// TestSilentWorker has a worker stop answering. Its task may start on another
// worker only when its lease must have lapsed.
func TestSilentWorker(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1", "w2")
	s := startOne(is, m, at(10))
	m.Started(at(11), s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
	last := at(11)
	for ms := 12; ms < 2000; ms++ {
		a := m.TakeActions()
		if len(a.Starts) > 0 {
			is.True(at(ms).Sub(last) >= time.Second)
			is.True(at(ms).Sub(last) < 1200*time.Millisecond)
			return
		}
		for _, l := range a.Polls {
			m.PollAnswered(at(ms), at(ms), l, nil, worker.Unanswered)
		}
		m.Tick(at(ms))
	}
	is.Fail()
}

// TestFailures checks that failed runs of a task count as attempts and that lost
// ones do not.
func TestFailures(t *testing.T) {
	tests := map[string]struct {
		ends   []worker.Result
		result dispatch.Result
	}{
		"done":                  {ends: []worker.Result{worker.Done}, result: dispatch.Completed},
		"failed once":           {ends: []worker.Result{worker.Failed, worker.Done}, result: dispatch.Completed},
		"failed twice":          {ends: []worker.Result{worker.Failed, worker.Failed}, result: dispatch.Failed},
		"lost twice and failed": {ends: []worker.Result{worker.Lost, worker.Lost, worker.Failed, worker.Done}, result: dispatch.Completed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1", "w2", "w3", "w4")
			s := startOne(is, m, at(10))
			numbers := map[worker.ID]worker.EndNumber{}
			for i, how := range test.ends {
				now := at(20 + 10*i)
				m.Started(now, s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
				numbers[s.Worker]++
				report := worker.Report{Incarnation: 1, Clock: 1020, Ended: []worker.Ended{{
					Number: numbers[s.Worker], Task: "j.0.0.0", Run: s.Run, Result: how,
				}}}
				for _, l := range m.TakeActions().Polls {
					if l.Worker == s.Worker {
						m.PollAnswered(now, now, l, &report, worker.Accepted)
					}
				}
				a := m.TakeActions()
				if len(a.Replies) > 0 {
					is.Equal(i, len(test.ends)-1)
					is.Equal(a.Replies[0].Result, test.result)
					return
				}
				is.Equal(len(a.Starts), 1)
				s = a.Starts[0]
			}
			is.Fail()
		})
	}
}

// TestFailingWorkers has some workers fail all that they start. Failures on them
// must not use up the attempts of jobs.
func TestFailingWorkers(t *testing.T) {
	is := is.New(t)
	bad := map[worker.ID]bool{"w1": true, "w3": true, "w5": true}
	m := readyMachine("w1", "w2", "w3", "w4", "w5", "w6")
	numbers := map[worker.ID]worker.EndNumber{}
	results := map[dispatch.Result]int{}
	for i := range 60 {
		now := at(10 + 20*i)
		m.Submit(now, submission(work.ID(fmt.Sprintf("j%d", i)), uint64(i), 6))
		for step := 0; step < 10; step++ {
			now = now.Add(time.Millisecond)
			a := m.TakeActions()
			for _, r := range a.Replies {
				results[r.Result]++
			}
			ends := map[worker.ID][]worker.Ended{}
			for _, s := range a.Starts {
				m.Started(now, s, worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(1000 + now.Sub(begin).Milliseconds())})
				how := worker.Done
				if bad[s.Worker] {
					how = worker.Failed
				}
				numbers[s.Worker]++
				ends[s.Worker] = append(ends[s.Worker], worker.Ended{Number: numbers[s.Worker], Task: s.Task.String(), Run: s.Run, Result: how})
			}
			polls := append(a.Polls, m.TakeActions().Polls...)
			for _, l := range polls {
				m.PollAnswered(now, now, l, &worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + now.Sub(begin).Milliseconds()), Ended: ends[l.Worker]}, worker.Accepted)
				delete(ends, l.Worker)
			}
			m.Tick(now)
		}
	}
	is.True(results[dispatch.Completed] >= 57)
	is.True(results[dispatch.Failed] <= 1)
}

// TestOvertakenReport has the answers to two polls arrive in the wrong order. The
// older one must not bring back a run that has ended.
func TestOvertakenReport(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	s := startOne(is, m, at(10))
	m.Started(at(11), s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
	poll := m.TakeActions().Polls[0]
	extra := poll
	extra.Extra = true
	done := worker.Report{Incarnation: 1, Clock: 1070, Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Result: worker.Done}}}
	m.PollAnswered(at(71), at(12), poll, &done, worker.Accepted)
	is.Equal(m.TakeActions().Replies[0].Result, dispatch.Completed)
	older := worker.Report{Incarnation: 1, Clock: 1060, Running: []worker.Running{{Task: "j.0.0.0", Run: 1}}}
	m.PollAnswered(at(72), at(50), extra, &older, worker.Accepted)
	a := m.TakeActions()
	is.Equal(len(a.Polls)+len(a.Stops), 0)
	m.Submit(at(73), submission("k", 2, 2))
	is.Equal(len(m.TakeActions().Starts), 2)
}

// TestSilentHost has a host fall silent. Its jobs must be stopped, and it must be
// told so in case it still listens.
func TestSilentHost(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	startOne(is, m, at(10))
	m.HostLost(at(800), hostA)
	a := m.TakeActions()
	is.Equal(len(a.Stops), 1)
	is.Equal(len(a.Replies), 1)
	is.Equal(a.Replies[0].Result, dispatch.Interrupted)
}

// TestNoWorkerIsLargeEnough checks that a job that no known worker can run is
// refused for good only when all workers have had the time to answer.
func TestNoWorkerIsLargeEnough(t *testing.T) {
	tests := map[string]struct {
		now    time.Time
		result dispatch.Result
	}{
		"right after the takeover": {now: at(10)},
		"later":                    {now: at(2000), result: dispatch.Failed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			s := submission("j", 1, 1)
			s.Job.Steps[0].Size.Cores = 100_000
			m.Submit(test.now, s)
			a := m.TakeActions()
			is.Equal(len(a.Starts), 0)
			if test.result != "" {
				is.Equal(a.Replies[0].Result, test.result)
			} else {
				is.Equal(len(a.Replies), 0)
			}
		})
	}
}

// TestWorkersOfAnOwnerThatHasJustBegun has an owner report its workers before all
// of them have answered. Its successor must know of those that it is about to use.
func TestWorkersOfAnOwnerThatHasJustBegun(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	m.SetWorkers(begin, []worker.Worker{testWorker("w1"), testWorker("w2")})
	polls := m.TakeActions().Polls
	m.PollAnswered(at(1), begin, polls[0], &worker.Report{Incarnation: 1, Clock: 1000}, worker.Accepted)
	is.Equal(len(m.Workers()), 2)
}
