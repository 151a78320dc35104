package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// acceptStarts answers the starts among some actions.
func acceptStarts(m *dispatch.Machine, ms int, a dispatch.Actions) []worker.Start {
	for _, x := range a.Starts {
		m.Started(at(ms), x, worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(1000 + ms)})
	}
	return a.Starts
}

// endRuns reports the ends of runs.
func endRuns(m *dispatch.Machine, ms int, starts []worker.Start) {
	byWorker := map[worker.ID][]worker.Ended{}
	for _, s := range starts {
		byWorker[s.Worker] = append(byWorker[s.Worker], worker.Ended{
			Number: worker.EndNumber(len(byWorker[s.Worker]) + 1), Task: s.Task.String(), Run: s.Run, Result: worker.Done,
		})
	}
	for id, ended := range byWorker {
		r := worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + ms), Ended: ended}
		m.PollAnswered(at(ms), at(ms-1), worker.Poll{Order: worker.Order{Worker: id}, Extra: true}, &r, worker.Accepted)
	}
}

// TestEvacuation begins an evacuation while one job runs in part and others wait. Nothing may
// start after that, waiting jobs must go to other owners at once, and a job that has begun must
// neither lose its runs nor hang. Once it ends, the workers must be used at once.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	m.Submit(at(2), longSubmission("begun", 1, 3))
	starts := acceptStarts(m, 3, m.TakeActions())
	is.Equal(len(starts), 2)
	m.Submit(at(4), longSubmission("waiting", 2, 1))
	is.Equal(len(m.TakeActions().Replies), 0)

	m.SetAccess(at(10), evacuation.Evacuated)
	a := m.TakeActions()
	is.Equal(len(a.Starts)+len(a.Stops), 0)
	is.Equal(len(a.Replies), 1)
	is.Equal(a.Replies[0].Job, work.ID("waiting"))
	is.Equal(a.Replies[0].Result, dispatch.Unsuited)
	is.True(a.Replies[0].Load.FreeTasks <= 0)
	is.Equal(len(m.AvailableWorkers(at(10))), 0)

	m.Submit(at(11), longSubmission("new", 3, 1))
	replies := m.TakeActions().Replies
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Result, dispatch.Unsuited)

	endRuns(m, 60, starts)
	m.Tick(at(75))
	a = m.TakeActions()
	is.Equal(len(a.Starts), 0)
	is.Equal(len(a.Replies), 1)
	is.Equal(a.Replies[0].Job, work.ID("begun"))
	is.Equal(a.Replies[0].Result, dispatch.Interrupted)
	is.True(a.Replies[0].Final)

	m.SetAccess(at(80), evacuation.Open)
	m.Submit(at(81), longSubmission("later", 4, 2))
	is.Equal(len(m.TakeActions().Starts), 2)
}

// longSubmission returns a submission whose caller waits for long.
func longSubmission(id work.ID, call uint64, tasks int) dispatch.Submission {
	s := submission(id, call, tasks)
	s.Remaining, s.Job.Target, s.MayRefer = time.Minute, time.Minute, true
	return s
}

// TestEvacuatedJobWhoseTasksAllRun guards against an end of jobs that need no more starts.
func TestEvacuatedJobWhoseTasksAllRun(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	m.Submit(at(2), longSubmission("j", 1, 2))
	starts := acceptStarts(m, 3, m.TakeActions())
	m.SetAccess(at(10), evacuation.Evacuated)
	m.Tick(at(35))
	is.Equal(len(m.TakeActions().Replies), 0)
	endRuns(m, 60, starts)
	replies := m.TakeActions().Replies
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Result, dispatch.Completed)
}

// TestOwnerThatKnowsNoStateStartsNothing guards against starts of a process that has not read
// yet whether its data centre is evacuated. Jobs must wait, and start once it has.
func TestOwnerThatKnowsNoStateStartsNothing(t *testing.T) {
	is := is.New(t)
	m := withWorkers(dispatch.New(begin, dispatch.Config{Token: 7, MaxLease: time.Second, FarFactor: 2, Access: evacuation.Unknown}), "w1")
	m.Submit(at(2), longSubmission("j", 1, 2))
	m.Tick(at(27))
	a := m.TakeActions()
	is.Equal(len(a.Starts)+len(a.Replies), 0)
	m.SetAccess(at(30), evacuation.Open)
	is.Equal(len(m.TakeActions().Starts), 2)
}

// TestResubmittedJobInAnEvacuation submits a job that an earlier owner may have begun. Its runs
// must go on, and it must not be offered to another owner: a task may be done already.
func TestResubmittedJobInAnEvacuation(t *testing.T) {
	tests := map[string]struct {
		running []worker.Running
		result  dispatch.Result
	}{
		"a task is found at work": {running: []worker.Running{{Task: "j.0.0.0", Run: 1}}},
		"no task is found":        {result: dispatch.Interrupted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(testWorker("w1"))
			m.SetAccess(begin, evacuation.Evacuated)
			m.SetWorkers(begin, []worker.Worker{testWorker("w1")})
			polls := m.TakeActions()
			s := longSubmission("j", 1, 1)
			s.Resubmitted = true
			m.Submit(at(1), s)
			m.Tick(at(2))
			is.Equal(len(m.TakeActions().Replies), 0)
			answerPolls(m, at(3), polls, worker.Report{Incarnation: 1, Clock: 1000, Running: test.running})
			m.Tick(at(28))
			a := m.TakeActions()
			is.Equal(len(a.Starts)+len(a.Stops), 0)
			if test.result == "" {
				is.Equal(len(a.Replies), 0)
				return
			}
			is.Equal(len(a.Replies), 1)
			is.Equal(a.Replies[0].Result, test.result)
			is.True(a.Replies[0].Final)
		})
	}
}

// TestStoredJobInAnEvacuation checks that a stored job that has not begun is to be moved, and
// that one that runs stays until its run has ended.
func TestStoredJobInAnEvacuation(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	for i, id := range []work.ID{"a", "b", "c"} {
		m.AddStored(at(1500+i), longSubmission(id, 0, 1).Job, work.Progress{}, false)
	}
	starts := acceptStarts(m, 1510, m.TakeActions())
	is.Equal(len(starts), 2)
	is.Equal(len(m.StrandedJobs(at(1511))), 0)
	m.SetAccess(at(1520), evacuation.Evacuated)
	m.Tick(at(1545))
	a := m.TakeActions()
	is.Equal(len(a.Replies)+len(a.JobEnds)+len(a.Stops), 0)
	stranded := m.StrandedJobs(at(1546))
	is.Equal(len(stranded), 1)
	is.Equal(stranded[0].Job.ID, work.ID("c"))
	j := longSubmission("d", 0, 1).Job
	is.True(!m.CanRun(at(1546), &j))
}
