package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// firstEnd is the first end of the worker w1.
var firstEnd = worker.EndID{Worker: "w1", Incarnation: 1, Number: 1}

// storedJobMachine returns a Machine with a stored job that runs on w1.
func storedJobMachine(is *is.I, tasks int) (*dispatch.Machine, []worker.Start) {
	m := readyMachine("w1")
	m.AddStored(at(2), submission("j", 1, tasks).Job, work.Progress{}, false)
	starts := m.TakeActions().Starts
	is.Equal(len(starts), tasks)
	for _, s := range starts {
		m.Started(at(3), s, worker.Answer{Verdict: worker.Accepted, Clock: 1003})
	}
	return m, starts
}

// highestAcknowledged returns the highest end that polls let the worker forget
// between two times.
func highestAcknowledged(m *dispatch.Machine, from, until int, r worker.Report) worker.EndNumber {
	highest := worker.EndNumber(0)
	for ms := from; ms < until; ms += 10 {
		m.Tick(at(ms))
		for _, l := range m.TakeActions().Polls {
			highest = max(highest, l.AcknowledgedEnds)
			report := r
			m.PollAnswered(at(ms), at(ms-1), l, &report, worker.Accepted)
		}
	}
	return highest
}

// TestEndIsForgottenOnceStored checks that a worker may forget the end of a stored
// job's run only after the end was stored.
func TestEndIsForgottenOnceStored(t *testing.T) {
	is := is.New(t)
	m, starts := storedJobMachine(is, 1)
	done := worker.Report{Incarnation: 1, Clock: 1100, Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: starts[0].Run, Result: worker.Done}}}
	answerPolls(m, at(100), m.TakeActions(), done)
	a := m.TakeActions()
	is.Equal(a.RunEnds, []worker.RunEnd{{Job: "j", Run: starts[0].Run, Done: true, End: firstEnd}})
	is.Equal(a.JobEnds, []dispatch.JobEnd{{Job: "j", Result: dispatch.Completed}})
	answerPolls(m, at(101), a, done)
	is.Equal(highestAcknowledged(m, 110, 2000, done), worker.EndNumber(0))
	m.EndStored(at(2000), firstEnd)
	is.Equal(highestAcknowledged(m, 2000, 3000, done), worker.EndNumber(1))
}

// TestKeptJobHasNoCaller checks that neither a silent host nor the passing of time
// ends a stored job.
func TestKeptJobHasNoCaller(t *testing.T) {
	is := is.New(t)
	m, _ := storedJobMachine(is, 1)
	m.HostLost(at(10), "")
	m.HostLost(at(10), hostA)
	running := worker.Report{Incarnation: 1, Clock: 1100, Running: []worker.Running{{Task: "j.0.0.0", Run: 1}}}
	for ms := 20; ms < 20_000; ms += 20 {
		m.Tick(at(ms))
		a := m.TakeActions()
		is.Equal(len(a.Stops), 0)
		is.Equal(len(a.JobEnds), 0)
		report := running
		report.Clock = worker.Clock(1000 + ms)
		answerPolls(m, at(ms), a, report)
	}
}

// TestFailedRunsAreCounted checks after how many failed runs a stored job fails,
// counting those that an earlier owner has stored and those that workers list
// again.
func TestFailedRunsAreCounted(t *testing.T) {
	listed := []worker.Ended{{Number: 4, Task: "j.0.0.0", Run: 2, Result: worker.Failed}}
	tests := map[string]struct {
		progress work.Progress
		ended    []worker.Ended
		failed   bool
	}{
		"none":                       {},
		"one stored":                 {progress: work.Progress{Failed: map[int][]work.Run{0: {1}}}},
		"one listed":                 {ended: listed},
		"one stored and another one": {progress: work.Progress{Failed: map[int][]work.Run{0: {1}}}, ended: listed, failed: true},
		"one stored and listed":      {progress: work.Progress{Failed: map[int][]work.Run{0: {2}}}, ended: listed},
		"two stored":                 {progress: work.Progress{Failed: map[int][]work.Run{0: {1, 2}}}, failed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine()
			m.SetWorkers(begin, []worker.Worker{testWorker("w1")})
			answerPolls(m, at(1), m.TakeActions(), worker.Report{Incarnation: 1, Clock: 1000, Ended: test.ended})
			m.AddStored(at(2), submission("j", 1, 1).Job, test.progress, true)
			m.StoredJobsLoaded(at(2))
			for ms := 10; ms < 2000; ms += 10 {
				m.Tick(at(ms))
				a := m.TakeActions()
				if test.failed {
					is.Equal(len(a.Starts), 0)
				}
				for _, s := range a.Starts {
					is.True(s.Run > 2) // The run is higher than those of the earlier owner.
				}
				if len(a.JobEnds) > 0 {
					is.True(test.failed)
					is.Equal(a.JobEnds[0].Result, dispatch.Failed)
					return
				}
			}
			is.True(!test.failed)
		})
	}
}

// TestEndsBeforeTheJobsAreKnown has workers list ends to a new owner that has not
// read the stored jobs yet. The ends must not be forgotten, and a task that is done
// must not start again.
func TestEndsBeforeTheJobsAreKnown(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	m.SetWorkers(begin, []worker.Worker{testWorker("w1")})
	done := worker.Report{Incarnation: 1, Clock: 1000, Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Result: worker.Done}}}
	answerPolls(m, at(1), m.TakeActions(), done)
	// This is longer than the ends of unknown jobs are otherwise remembered.
	is.Equal(highestAcknowledged(m, 10, 8000, done), worker.EndNumber(0))
	m.AddStored(at(8000), submission("j", 1, 2).Job, work.Progress{}, true)
	m.StoredJobsLoaded(at(8000))
	a := m.TakeActions()
	is.Equal(len(a.RunEnds), 1)
	is.Equal(len(a.Starts), 1)
	is.Equal(a.Starts[0].Task.Index, 1)
	m.EndStored(at(8001), firstEnd)
	is.Equal(highestAcknowledged(m, 8010, 9000, done), worker.EndNumber(1))
}

// TestCancelStopsRuns cancels a stored job while it runs.
func TestCancelStopsRuns(t *testing.T) {
	is := is.New(t)
	m, starts := storedJobMachine(is, 2)
	m.Cancel(at(50), "j")
	a := m.TakeActions()
	is.Equal(len(a.Stops), len(starts))
	is.Equal(len(a.JobEnds), 0)
	is.Equal(m.Load(at(50)).Pending, nil)
}

// TestPending checks the number of stored jobs that have not begun.
func TestPending(t *testing.T) {
	is := is.New(t)
	m, _ := storedJobMachine(is, 2)
	for _, id := range []work.ID{"k", "l"} {
		j := submission(id, 1, 1).Job
		j.Queue = "q"
		m.AddStored(at(10), j, work.Progress{}, false)
	}
	is.Equal(m.Load(at(11)).Pending, map[work.Queue]int{"q": 2})
}

// TestSilentWorkerOfAKeptJob has a worker fall silent for longer than its lease. A
// task of a stored job must not start elsewhere as long as the worker is listed,
// since it may have been done in time. The next report of the worker decides.
func TestSilentWorkerOfAKeptJob(t *testing.T) {
	done := []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Result: worker.Done}}
	tests := map[string]struct {
		// back is the report of the worker when it answers again. If unlisted is
		// true, it is removed from the list instead.
		back     worker.Report
		unlisted bool
		starts   int
	}{
		"it was done":  {back: worker.Report{Incarnation: 1, Clock: 4000, Ended: done}},
		"it lapsed":    {back: worker.Report{Incarnation: 1, Clock: 4000}, starts: 1},
		"it went away": {unlisted: true, starts: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1", "w2")
			m.AddStored(at(2), submission("j", 1, 1).Job, work.Progress{}, false)
			s := m.TakeActions().Starts[0]
			is.Equal(s.Worker, worker.ID("w1"))
			m.Started(at(3), s, worker.Answer{Verdict: worker.Accepted, Clock: 1003})
			starts := 0
			for ms := 10; ms < 6000; ms += 10 {
				if ms == 3000 && test.unlisted {
					m.SetWorkers(at(ms), []worker.Worker{testWorker("w2")})
				}
				m.Tick(at(ms))
				a := m.TakeActions()
				if ms < 3000 {
					is.Equal(len(a.Starts), 0)
				}
				starts += len(a.Starts)
				for _, l := range a.Polls {
					switch {
					case l.Worker == "w2":
						m.PollAnswered(at(ms), at(ms-1), l, &worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + ms)}, worker.Accepted)
					case ms < 3000 || test.unlisted:
						m.PollAnswered(at(ms), at(ms-1), l, nil, worker.Unanswered)
					default:
						report := test.back
						report.Clock = worker.Clock(1000 + ms)
						m.PollAnswered(at(ms), at(ms-1), l, &report, worker.Accepted)
					}
				}
			}
			is.Equal(starts, test.starts)
		})
	}
}

// TestOrphanStoppedBeforeTheJobsAreKnown has a new owner stop a run whose job it
// has not read yet, but which was done before it was stopped. Its end must not be
// forgotten either.
func TestOrphanStoppedBeforeTheJobsAreKnown(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	m.SetWorkers(begin, []worker.Worker{testWorker("w1")})
	running := []worker.Running{{Task: "j.0.0.0", Run: 1}}
	answerPolls(m, at(1), m.TakeActions(), worker.Report{Incarnation: 1, Clock: 1000, Running: running})
	stopped := false
	for ms := 10; ms < 1000; ms += 10 {
		m.Tick(at(ms))
		a := m.TakeActions()
		stopped = stopped || len(a.Stops) > 0
		answerPolls(m, at(ms), a, worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + ms), Running: running})
	}
	is.True(stopped)
	done := []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Result: worker.Done}}
	is.Equal(highestAcknowledged(m, 1000, 4000, worker.Report{Incarnation: 1, Clock: 2100, Ended: done}), worker.EndNumber(0))
	m.AddStored(at(4000), submission("j", 1, 1).Job, work.Progress{}, true)
	m.StoredJobsLoaded(at(4000))
	a := m.TakeActions()
	is.Equal(len(a.RunEnds), 1)
	is.Equal(len(a.Starts), 0)
}

// TestProgressOfAnotherJob adds a job with progress of tasks that it does not have.
// That progress must be ignored.
func TestProgressOfAnotherJob(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	m.AddStored(at(2), submission("j", 1, 1).Job, work.Progress{Done: []int{7, -1}, Failed: map[int][]work.Run{9: {1}}}, true)
	is.Equal(len(m.TakeActions().JobEnds), 0)
}

// TestEndAfterTheJobFailed has a task be done just after another one has failed for
// good. The worker may not forget the end before it is stored.
func TestEndAfterTheJobFailed(t *testing.T) {
	is := is.New(t)
	m, starts := storedJobMachine(is, 2)
	actions := m.TakeActions()
	ends := []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: starts[0].Run, Result: worker.Failed}}
	answerPolls(m, at(10), actions, worker.Report{Incarnation: 1, Clock: 1010, Ended: ends, Running: []worker.Running{{Task: "j.0.0.1", Run: 1}}})
	actions = m.TakeActions()
	is.Equal(len(actions.Starts), 1) // The second attempt.
	m.Started(at(11), actions.Starts[0], worker.Answer{Verdict: worker.Accepted, Clock: 1011})
	ends = append(ends, worker.Ended{Number: 2, Task: "j.0.0.0", Run: 2, Result: worker.Failed})
	answerPolls(m, at(40), actions, worker.Report{Incarnation: 1, Clock: 1040, Ended: ends, Running: []worker.Running{{Task: "j.0.0.1", Run: 1}}})
	actions = m.TakeActions()
	is.Equal(actions.JobEnds, []dispatch.JobEnd{{Job: "j", Result: dispatch.Failed}})
	m.EndStored(at(41), firstEnd)
	m.EndStored(at(41), worker.EndID{Worker: "w1", Incarnation: 1, Number: 2})
	ends = append(ends, worker.Ended{Number: 3, Task: "j.0.0.1", Run: 1, Result: worker.Done})
	third := worker.EndID{Worker: "w1", Incarnation: 1, Number: 3}
	report := worker.Report{Incarnation: 1, Clock: 1050, Ended: ends}
	answerPolls(m, at(50), actions, report)
	is.Equal(m.TakeActions().RunEnds, []worker.RunEnd{{Job: "j", Task: 1, Run: 1, Done: true, End: third}})
	is.Equal(highestAcknowledged(m, 60, 2000, report), worker.EndNumber(2))
	m.EndStored(at(2000), third)
	is.Equal(highestAcknowledged(m, 2000, 3000, report), worker.EndNumber(3))
}

// TestDoubt has an owner be unsure whether another one has taken its workers. The
// runs of stored jobs must be stopped, and none may start until the owner is sure
// again.
func TestDoubt(t *testing.T) {
	is := is.New(t)
	m, starts := storedJobMachine(is, 1)
	actions := m.TakeActions()
	m.AddStored(at(10), submission("k", 1, 1).Job, work.Progress{}, false)
	is.Equal(len(m.TakeActions().Starts), 1)
	m.MarkOwnershipUncertain(at(20))
	a := m.TakeActions()
	is.Equal(len(a.Stops), 2)
	for _, s := range a.Stops {
		m.Stopped(at(21), s, worker.Answer{Verdict: worker.Accepted, Clock: 1021})
	}
	m.AddStored(at(30), submission("l", 1, 1).Job, work.Progress{}, false)
	stopped := worker.Report{Incarnation: 1, Clock: 1040, Ended: []worker.Ended{
		{Number: 1, Task: "j.0.0.0", Run: starts[0].Run, Result: worker.Lost}, {Number: 2, Task: "k.0.0.0", Run: 1, Result: worker.Lost},
	}}
	answerPolls(m, at(40), actions, stopped)
	for ms := 50; ms < 3000; ms += 50 {
		m.Tick(at(ms))
		a = m.TakeActions()
		is.Equal(len(a.Starts), 0)
		answerPolls(m, at(ms), a, worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + ms)})
	}
	is.True(!m.Load(at(3000)).StoredJobsLoaded)
	m.StoredJobsLoaded(at(3000))
	a = m.TakeActions()
	is.Equal(len(a.Starts), 2) // The worker has capacity for two.
	for _, s := range a.Starts {
		is.True(s.Task.Job == "l" || s.Run == 2)
	}
}

// TestEndBeyondTheListedOnes has a worker list only its first 500 ends, since none
// may be forgotten while the table is unavailable. A run of a stored job that is in
// neither list may be done, so its task must not start again.
func TestEndBeyondTheListedOnes(t *testing.T) {
	is := is.New(t)
	m, starts := storedJobMachine(is, 1)
	actions := m.TakeActions()
	report := worker.Report{Incarnation: 1, Clock: 1100}
	for i := range 500 {
		report.Ended = append(report.Ended, worker.Ended{Number: worker.EndNumber(i + 1), Task: "k.0.0.0", Run: 1, Result: worker.Lost})
	}
	answerPolls(m, at(100), actions, report)
	for ms := 110; ms < 1000; ms += 10 {
		m.Tick(at(ms))
		a := m.TakeActions()
		is.Equal(len(a.Starts), 0)
		report.Clock = worker.Clock(1000 + ms)
		answerPolls(m, at(ms), a, report)
	}
	last := worker.Ended{Number: 501, Task: "j.0.0.0", Run: starts[0].Run, Result: worker.Done}
	m.Tick(at(1000))
	a := m.TakeActions()
	answerPolls(m, at(1000), a, worker.Report{Incarnation: 1, Clock: 2000, Ended: []worker.Ended{last}})
	is.Equal(m.TakeActions().JobEnds, []dispatch.JobEnd{{Job: "j", Result: dispatch.Completed}})
}

// TestPausedOwnerStartsNoKeptJob has an owner resume after a pause of seconds, with
// an end in its socket that frees capacity. Another owner may have taken over and
// started the jobs that wait here, so nothing may start before this one has
// verified its ownership.
func TestPausedOwnerStartsNoKeptJob(t *testing.T) {
	is := is.New(t)
	m, starts := storedJobMachine(is, 2)
	actions := m.TakeActions()
	m.AddStored(at(10), submission("k", 1, 1).Job, work.Progress{}, false)
	is.Equal(len(m.TakeActions().Starts), 0) // There is no free capacity.
	report := worker.Report{Incarnation: 1, Clock: 1100}
	for i, s := range starts {
		report.Ended = append(report.Ended, worker.Ended{Number: worker.EndNumber(i + 1), Task: s.Task.String(), Run: s.Run, Result: worker.Done})
	}
	answerPolls(m, at(5000), actions, report)
	is.Equal(len(m.TakeActions().Starts), 0)
}

// TestEndTakenForOneOfAnEarlierLife has a worker restart unnoticed under the same
// name and complete a task of a stored job while polls are lost. The next poll must
// not let it forget that end as one of its earlier incarnation, or the task would
// run again.
func TestEndTakenForOneOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	var ended []worker.Ended
	for i := range 3 {
		ended = append(ended, worker.Ended{Number: worker.EndNumber(i + 1), Task: "i.0.0.0", Run: work.Run(i + 1), Result: worker.Lost})
	}
	m.AddStored(at(2), submission("i", 1, 1).Job, work.Progress{}, false)
	m.Cancel(at(3), "i")
	is.Equal(highestAcknowledged(m, 10, 2000, worker.Report{Incarnation: 1, Clock: 9000, Ended: ended}), worker.EndNumber(3))
	// The second incarnation begins. Its clock and the numbers of its ends start
	// anew.
	m.AddStored(at(3000), submission("j", 1, 1).Job, work.Progress{}, false)
	s := m.TakeActions().Starts[0]
	m.Started(at(3001), s, worker.Answer{Verdict: worker.Accepted, Clock: 40})
	ended = []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: s.Run, Result: worker.Done}}
	finishes := 0
	for ms := 3002; ms < 6000; ms += 10 {
		m.Tick(at(ms))
		a := m.TakeActions()
		is.Equal(len(a.Starts), 0)
		finishes += len(a.JobEnds)
		for _, l := range a.Polls {
			if ms < 3100 {
				m.PollAnswered(at(ms), at(ms-1), l, nil, worker.Unanswered)
				continue
			}
			if l.AcknowledgedEnds > 0 {
				ended = nil
			}
			m.PollAnswered(at(ms), at(ms-1), l, &worker.Report{Incarnation: 2, Clock: worker.Clock(ms - 2960), Ended: ended}, worker.Accepted)
		}
	}
	is.Equal(finishes, 1)
}

// TestOwnersNumberRunsApart has two owners in a row start a task of a stored job of which no end
// is stored. Their runs must have different numbers, or the failures of both count once.
func TestOwnersNumberRunsApart(t *testing.T) {
	is := is.New(t)
	numbers := map[work.Run]bool{}
	for token := worker.Token(7); token < 10; token++ {
		m := withWorkers(dispatch.New(begin, dispatch.Config{Token: token, MaxLease: time.Second, FarFactor: 2}), "w1")
		m.AddStored(at(2000), submission("j", 1, 1).Job, work.Progress{}, token > 7)
		starts := m.TakeActions().Starts
		is.Equal(len(starts), 1)
		is.True(!numbers[starts[0].Run])
		numbers[starts[0].Run] = true
	}
}

// TestRefusedStartsLeaveAJobPending refuses the starts of an accepted job (MIXED: it was no longer
// counted as pending, though none of its tasks had begun).
func TestRefusedStartsLeaveAJobPending(t *testing.T) {
	answered := func(v worker.Verdict) func(m *dispatch.Machine, s worker.Start) {
		return func(m *dispatch.Machine, s worker.Start) {
			m.Started(at(12), s, worker.Answer{Verdict: v, Clock: 1012})
		}
	}
	reported := func(r worker.Report) func(m *dispatch.Machine, s worker.Start) {
		return func(m *dispatch.Machine, s worker.Start) {
			r.Incarnation, r.Clock = 1, 1013
			m.PollAnswered(at(13), at(12), worker.Poll{Order: s.Order}, &r, worker.Accepted)
		}
	}
	tests := map[string]struct {
		play    func(m *dispatch.Machine, s worker.Start)
		pending int
	}{
		"no answer yet": {play: func(*dispatch.Machine, worker.Start) {}, pending: 1},
		"no room":       {play: answered(worker.Full), pending: 1},
		"unhealthy":     {play: answered(worker.Unhealthy), pending: 1},
		"no answer":     {play: answered(worker.Unanswered), pending: 1},
		"accepted":      {play: answered(worker.Accepted)},
		"at work":       {play: reported(worker.Report{Running: []worker.Running{{Task: "j.0.0.0", Run: 1, Percent: 1}}})},
		"failed":        {play: reported(worker.Report{Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: 1, Result: worker.Failed}}})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			j := submission("j", 1, 1).Job
			j.Queue = "logs"
			m.AddStored(at(10), j, work.Progress{}, false)
			is.Equal(m.Load(at(10)).Pending["logs"], 1)
			test.play(m, m.TakeActions().Starts[0])
			is.Equal(m.Load(at(20)).Pending["logs"], test.pending)
		})
	}
}
