package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// resendDelay is how long after the end of its connection a caller sends a job
// again.
const resendDelay = 1300 * time.Millisecond

// resendingMachine returns a Machine whose callers send jobs again and whose workers
// have answered and have no runs.
func resendingMachine(ids ...worker.ID) *dispatch.Machine {
	return withWorkers(dispatch.New(begin, dispatch.Config{
		Token: 7, MaxLease: time.Second, FarFactor: 2, ResendDelay: resendDelay,
		Ejection: ejection.Config{MaxShare: 0.5, Failures: 3, MinProbe: 500 * time.Millisecond, MaxProbe: 5 * time.Second},
	}), ids...)
}

// longJob returns a submission of a job with one task that takes all of a worker
// for two seconds.
func longJob(id work.ID, call uint64, try dispatch.Sequence) dispatch.Submission {
	s := submission(id, call, 1)
	s.Sequence, s.Remaining = try, 20*time.Second
	s.Job.Steps[0].Size.Cores, s.Job.Steps[0].Estimate = 64_000, 2*time.Second
	return s
}

func keepalive(ms int, try dispatch.Sequence, calls ...uint64) dispatch.Keepalive {
	return dispatch.Keepalive{Host: hostA, Boot: "boot", At: at(ms), Sequence: try, Calls: calls}
}

// submitAccepted submits a job and has the start of its task accepted.
func submitAccepted(is *is.I, m *dispatch.Machine, ms int, s dispatch.Submission) worker.Start {
	s.Boot, s.CallerSeen = "boot", at(ms)
	m.Submit(at(ms), s)
	a := m.TakeActions()
	is.Equal(len(a.Starts), 1)
	m.Started(at(ms), a.Starts[0], worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(1000 + ms)})
	return a.Starts[0]
}

// reportDone reports that a worker has completed a task.
func reportDone(m *dispatch.Machine, ms int, s worker.Start) {
	l := worker.Poll{Order: s.Order}
	m.PollAnswered(at(ms), at(ms-1), l, &worker.Report{
		Incarnation: 1, Clock: worker.Clock(1000 + ms), Ended: []worker.Ended{{Number: 1, Task: s.Task.String(), Run: s.Run, Result: worker.Done}},
	}, worker.Accepted)
}

// TestJobThatItsHostDoesNotSign has a host stop waiting for a running job while its
// withdrawal is lost. The next keepalive that does not list the call must stop the
// job.
func TestJobThatItsHostDoesNotSign(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1", "w2")
	submitAccepted(is, m, 10, longJob("gone", 1, 2))
	submitAccepted(is, m, 10, longJob("kept", 3, 4))
	m.KeepaliveReceived(at(100), keepalive(100, 5, 3))
	a := m.TakeActions()
	is.Equal(len(a.Stops), 1)
	is.Equal(a.Stops[0].Task, "gone.0.0.0")
	m.KeepaliveReceived(at(200), keepalive(200, 4))
	is.Equal(len(m.TakeActions().Stops), 0) // An older keepalive tells nothing.
}

// TestWithdrawnJobIsAnswered withdraws a job. It must be answered, so that the
// owner's wait for its reply ends.
func TestWithdrawnJobIsAnswered(t *testing.T) {
	tests := map[string]func(m *dispatch.Machine){
		"by a keepalive":  func(m *dispatch.Machine) { m.KeepaliveReceived(at(100), keepalive(100, 3)) },
		"by a withdrawal": func(m *dispatch.Machine) { m.Withdraw(at(100), hostA, 1, "j") },
	}
	for name, withdraw := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := resendingMachine("w1")
			submitAccepted(is, m, 10, longJob("j", 1, 2))
			withdraw(m)
			replies := m.TakeActions().Replies
			is.Equal(len(replies), 1)
			is.Equal(replies[0].Result, dispatch.Expired)
		})
	}
}

// TestSubmissionAfterItsWithdrawal has a keepalive of a host arrive before the
// submission of a job whose caller has left meanwhile. The job must not start.
func TestSubmissionAfterItsWithdrawal(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	m.KeepaliveReceived(at(20), keepalive(20, 3))
	s := longJob("j", 1, 2)
	s.Boot, s.CallerSeen = "boot", at(10)
	m.Submit(at(21), s)
	a := m.TakeActions()
	is.Equal(len(a.Starts), 0)
	is.Equal(a.Replies[0].Result, dispatch.Interrupted)
	s.Sequence = 4
	m.Submit(at(22), s)
	is.Equal(len(m.TakeActions().Starts), 1) // A later submission counts.
}

// TestQueuedTaskAfterPause has an owner resume after a pause and learn first that a
// worker has free capacity again. A queued task may start only once a keepalive has
// told that its caller still waits.
func TestQueuedTaskAfterPause(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	first := submitAccepted(is, m, 10, longJob("first", 1, 2))
	s := longJob("queued", 3, 4)
	s.Boot, s.CallerSeen, s.Job.Stretch = "boot", at(11), 10
	m.Submit(at(11), s)
	m.KeepaliveReceived(at(150), keepalive(150, 5, 1, 3))
	m.TakeActions()
	reportDone(m, 2150, first)
	is.Equal(len(m.TakeActions().Starts), 0)
	m.KeepaliveReceived(at(2200), keepalive(2199, 6, 3))
	is.Equal(len(m.TakeActions().Starts), 1) // Its caller still waits.
}

// TestSubmissionReadLate has an owner read a submission seconds after it was sent.
// The job must not start.
func TestSubmissionReadLate(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	s := longJob("j", 1, 2)
	s.Boot, s.CallerSeen = "boot", at(10)
	m.Submit(at(2000), s)
	is.Equal(len(m.TakeActions().Starts), 0)
	m.Tick(at(2025))
	a := m.TakeActions()
	is.Equal(len(a.Replies), 1)
	is.Equal(a.Replies[0].Result, dispatch.Interrupted)
}

// TestDeadlineOfSubmissionReadLate has the caller's deadline pass soon after a
// submission that was long on its way. The deadline must count from when the
// submission was sent.
func TestDeadlineOfSubmissionReadLate(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	s := longJob("j", 1, 2)
	s.Boot, s.CallerSeen, s.Remaining = "boot", at(10), 300*time.Millisecond
	m.Submit(at(309), s)
	m.Tick(at(311))
	is.Equal(m.TakeActions().Replies[0].Result, dispatch.Expired)
}

// TestLeaseOutlivesNoCaller has the host of one job fall silent. No lease on its
// worker may reach the time at which the caller sends the job again.
func TestLeaseOutlivesNoCaller(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	s := submission("silent", 1, 1)
	s.Sequence = 2
	s.Job.Steps[0].Estimate = 2 * time.Second
	submitAccepted(is, m, 10, s)
	m.KeepaliveReceived(at(100), keepalive(100, 3, 1))
	extended := 0
	end := func(ms int, until worker.Clock) {
		if until == 0 {
			return
		}
		extended++
		lasts := float64(until-worker.Clock(1000+ms)) / 0.98 // On the slowest clock.
		is.True(float64(ms)+lasts <= 100+1250)
	}
	for ms := 101; ms < 1300; ms += 25 {
		other := submission(work.ID("other"), uint64(ms), 1)
		other.Host, other.CallerSeen = hostB, at(ms)
		m.Submit(at(ms), other)
		m.Tick(at(ms))
		a := m.TakeActions()
		for _, x := range a.Starts {
			end(ms, x.Until)
			m.Started(at(ms), x, worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(1000 + ms)})
		}
		for _, l := range a.Polls {
			end(ms, l.Until)
			m.PollAnswered(at(ms), at(ms), l, nil, worker.Unhealthy)
		}
		m.TakeActions()
	}
	is.True(extended > 0)
}

// TestLeaseOfUnclaimedRuns has a new owner find runs of the previous one. It must
// not extend a lease until the host of each run has claimed it.
func TestLeaseOfUnclaimedRuns(t *testing.T) {
	is := is.New(t)
	m := resendingMachine()
	m.SetWorkers(begin, []worker.Worker{testWorker("w1")})
	running := worker.Report{Incarnation: 1, Clock: 1000, Running: []worker.Running{{Task: "a.0.0.0", Run: 1}, {Task: "b.0.0.0", Run: 1}}}
	answerPolls(m, at(1), m.TakeActions(), running)
	granted := func(ms int) bool {
		m.Tick(at(ms))
		a := m.TakeActions()
		for _, l := range a.Polls {
			if l.Until > 0 {
				return true
			}
			running.Clock = worker.Clock(1000 + ms)
			m.PollAnswered(at(ms), at(ms-1), l, &running, worker.Accepted)
		}
		return false
	}
	is.True(!granted(25))
	s := submission("a", 1, 1)
	s.CallerSeen, s.Resubmitted = at(30), true
	m.Submit(at(30), s)
	is.True(!granted(50)) // No host has claimed b.
	s.Job.ID, s.Call = "b", 2
	m.Submit(at(60), s)
	is.True(granted(75))
}

// TestSilentWorkerWithFoundRuns has a worker fall silent right after a new owner
// has found runs on it. They must count as running until the lease of the previous
// owner has lapsed.
func TestSilentWorkerWithFoundRuns(t *testing.T) {
	m := resendingMachine()
	m.SetWorkers(begin, []worker.Worker{testWorker("w1"), testWorker("w2")})
	for _, l := range m.TakeActions().Polls {
		r := worker.Report{Incarnation: 1, Clock: 1000}
		if l.Worker == "w1" {
			r.Running = []worker.Running{{Task: "a.0.0.0", Run: 1}}
		}
		m.PollAnswered(at(1), begin, l, &r, worker.Accepted)
	}
	for _, l := range m.TakeActions().Polls {
		if l.Worker == "w1" {
			m.PollAnswered(at(2), at(1), l, nil, worker.Unanswered)
		}
	}
	for ms := 10; ms < 1050; ms += 10 {
		s := submission("a", 1, 1)
		s.CallerSeen = at(ms)
		s.Remaining, s.Job.Steps[0].Estimate = 20*time.Second, 2*time.Second
		m.Submit(at(ms), s)
		m.Tick(at(ms))
		for _, x := range m.TakeActions().Starts {
			t.Fatalf("a started again on %s after %d ms", x.Worker, ms)
		}
	}
}

// TestLeaseOnASlowClock has a worker whose clock is as slow as allowed and was last
// read long ago. The lease must end before the caller sends its job again.
func TestLeaseOnASlowClock(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	for ms := 25; ms < 9000; ms += 25 {
		m.Tick(at(ms))
		is.Equal(len(m.TakeActions().Polls), 0)
	}
	s := longJob("j", 1, 2)
	s.Boot, s.CallerSeen = "boot", at(8500)
	m.Submit(at(9000), s)
	a := m.TakeActions()
	is.Equal(len(a.Starts), 1)
	ends := 1 + float64(a.Starts[0].Until-1000)/0.98
	is.True(ends <= 8500+1250)
}

// TestClockOfIdleWorker has a worker stay idle for long. Its clock must be read
// from time to time, so that leases on it need not be cut short.
func TestClockOfIdleWorker(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	polls := 0
	for ms := 25; ms < 60_000; ms += 25 {
		m.Tick(at(ms))
		a := m.TakeActions()
		polls += len(a.Polls)
		answerPolls(m, at(ms), a, worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + ms)})
	}
	is.Equal(polls, 5)
	s := longJob("j", 1, 2)
	s.Boot, s.CallerSeen = "boot", at(60_000)
	m.Submit(at(60_000), s)
	is.Equal(len(m.TakeActions().Starts), 1)
}

// TestStartUnderTheLeaseOfOthers submits a job whose caller was last heard of a
// while ago, while the lease of the worker was extended for the job of another
// caller. The lease of a start must not outlive the first caller.
func TestStartUnderTheLeaseOfOthers(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	other := submission("other", 1, 1)
	other.Host, other.Remaining, other.Job.Steps[0].Estimate = hostB, 20*time.Second, 2*time.Second
	submitAccepted(is, m, 900, other)
	m.Tick(at(990))
	until := worker.Clock(0)
	for _, l := range m.TakeActions().Polls {
		until = max(until, l.Until)
	}
	is.True(until > 0)
	s := submission("late", 1, 1)
	s.Remaining, s.Job.Steps[0].Estimate, s.CallerSeen = 20*time.Second, 2*time.Second, at(350)
	m.Submit(at(1000), s)
	for _, x := range m.TakeActions().Starts {
		until = max(until, x.Until)
		is.True(float64(until-1000)/0.98 <= 350+1250) // With the slowest clock.
	}
}

// TestSignOfAnEarlierProcess has an owner read a keepalive of a host's earlier
// process after a submission of the next one. It must not withdraw the job.
func TestSignOfAnEarlierProcess(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	submitAccepted(is, m, 10, longJob("j", 1, 2))
	m.KeepaliveReceived(at(20), dispatch.Keepalive{Host: hostA, Boot: "before", At: at(5), Sequence: 900})
	is.Equal(len(m.TakeActions().Stops), 0)
}

// TestLeaseOnIdleWorker starts a job on a worker that has been idle for a minute
// and whose clock is slow. An order that arrives late must not be carried out once
// the caller has sent the job again.
func TestLeaseOnIdleWorker(t *testing.T) {
	const idle = 60_000
	is := is.New(t)
	m := resendingMachine("w1")
	for ms := 25; ms < idle; ms += 25 {
		m.Tick(at(ms))
		for _, l := range m.TakeActions().Polls {
			clock := worker.Clock(1000 + float64(ms)*0.98)
			m.PollAnswered(at(ms), at(ms), l, &worker.Report{Incarnation: 1, Clock: clock}, worker.Accepted)
		}
	}
	s := longJob("j", 1, 2)
	s.CallerSeen = at(idle)
	m.Submit(at(idle), s)
	for _, x := range m.TakeActions().Starts {
		lapses := float64(x.Until-1000) / 0.98
		is.True(lapses <= idle+1300)
	}
}

// TestAgainWhileAWorkerIsNotHeard submits a job that an earlier owner may have
// begun to an owner one of whose workers does not answer. The runs on that worker
// must have ended before the job starts.
func TestAgainWhileAWorkerIsNotHeard(t *testing.T) {
	is := is.New(t)
	m := resendingMachine()
	m.SetWorkers(begin, []worker.Worker{testWorker("w1"), testWorker("w2")})
	for _, l := range m.TakeActions().Polls {
		if l.Worker == "w1" {
			m.PollAnswered(at(1), begin, l, &worker.Report{Incarnation: 1, Clock: 1000}, worker.Accepted)
		}
	}
	s := longJob("j", 1, 2)
	s.Resubmitted, s.Job.Stretch = true, 10
	started := -1
	for ms := 2000; ms < 4000 && started < 0; ms += 25 {
		s.Sequence++
		s.CallerSeen = at(ms)
		m.Submit(at(ms), s)
		m.Tick(at(ms))
		if len(m.TakeActions().Starts) > 0 {
			started = ms
		}
	}
	is.True(started >= 3200)
}

// TestNextTryByAnotherHost has a caller send its job again through a host whose
// reading of the owner's clock lags a little. That host must get the answer.
func TestNextTryByAnotherHost(t *testing.T) {
	is := is.New(t)
	m := resendingMachine("w1")
	submitAccepted(is, m, 10, longJob("j", 1, 2))
	m.KeepaliveReceived(at(1300), keepalive(1300, 3, 1))
	s := longJob("j", 7, 8)
	s.Host, s.Boot, s.CallerSeen = hostB, "boot", at(1270)
	m.Submit(at(1310), s)
	replies := m.TakeActions().Replies
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Host, hostA)
}
