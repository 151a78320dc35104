package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// restartedWorker is a worker that has restarted while it was idle and was sent the start of
// a task of job j before its owner knew of that.
type restartedWorker struct {
	m     *dispatch.Machine
	start worker.Start
}

// accept answers the start, in the new incarnation.
func (x *restartedWorker) accept(ms int) {
	x.m.Started(at(ms), x.start, worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(ms)})
}

// report answers a poll that was sent at sentMs, in the new incarnation.
func (x *restartedWorker) report(ms, sentMs int, running bool, ended ...worker.Ended) {
	r := &worker.Report{Incarnation: 2, Clock: worker.Clock(ms), Ended: ended}
	if running {
		r.Running = []worker.Running{{Task: "j.0.0.0", Run: x.start.Run, Percent: 10}}
	}
	x.m.PollAnswered(at(ms), at(sentMs), worker.Poll{Order: x.start.Order}, r, worker.Accepted)
}

func (x *restartedWorker) end(result worker.Result) worker.Ended {
	return worker.Ended{Number: 1, Task: "j.0.0.0", Run: x.start.Run, Result: result, Reason: string(result)}
}

// writeRow has the worker write its row in the new incarnation.
func (x *restartedWorker) writeRow(ms int) {
	rows := []worker.Worker{testWorker("w1"), testWorker("w2")}
	for i := range rows {
		if rows[i].ID == x.start.Worker {
			rows[i].Life = 2
		}
	}
	x.m.SetWorkers(at(ms), rows)
}

// stop carries out the stops among some actions.
func (x *restartedWorker) stop(ms int, a dispatch.Actions) {
	for _, s := range a.Stops {
		x.m.Stopped(at(ms), s, worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(ms)})
	}
}

// TestStartsUnderWayToARestartedWorkerRunOnce finds the new incarnation of a worker while a
// start that was sent to it has an unknown outcome (TWICE: the task also ran elsewhere).
func TestStartsUnderWayToARestartedWorkerRunOnce(t *testing.T) {
	tests := map[string]struct {
		play func(x *restartedWorker)
		// starts is the number of further starts of the task, and lost the number of
		// workers that count as lost.
		starts, lost int
		replied      bool
	}{
		"listed, with its answer under way": {play: func(x *restartedWorker) {
			x.report(13, 12, true)
			x.accept(14)
		}},
		"listed and answered": {play: func(x *restartedWorker) {
			x.accept(12)
			x.report(14, 13, true)
		}},
		"carried out after the report": {play: func(x *restartedWorker) {
			x.report(13, 11, false)
			x.accept(14)
			x.report(16, 15, true)
		}},
		"answered before the report that does not list it": {play: func(x *restartedWorker) {
			x.accept(13)
			x.report(14, 12, false)
			x.report(16, 15, true)
		}},
		"done before the report": {play: func(x *restartedWorker) {
			x.accept(13)
			x.report(72, 71, false, x.end(worker.Done))
		}, replied: true},
		"failed before the report": {play: func(x *restartedWorker) {
			x.accept(13)
			x.report(30, 29, false, x.end(worker.Failed))
		}, starts: 1},
		"refused after the report": {play: func(x *restartedWorker) {
			x.report(13, 11, false)
			x.m.Started(at(14), x.start, worker.Answer{Verdict: worker.Unhealthy, Clock: 14})
		}, starts: 1},
		"carried out late, after its answer was given up": {play: func(x *restartedWorker) {
			x.report(13, 11, false)
			x.m.Started(at(511), x.start, worker.Answer{Verdict: worker.Unanswered})
			x.report(520, 512, true)
		}},
		"never carried out": {play: func(x *restartedWorker) {
			x.report(13, 11, false)
			x.m.Started(at(511), x.start, worker.Answer{Verdict: worker.Unanswered})
			x.report(514, 512, false)
			a := x.m.TakeActions()
			if len(a.Starts) > 0 {
				panic("the task starts elsewhere before the worker would refuse the start")
			}
			x.stop(516, a)
			x.report(520, 518, false)
		}, starts: 1, lost: 1},
		"carried out by the earlier incarnation": {play: func(x *restartedWorker) {
			x.accept(12)
			x.report(16, 14, false)
		}, starts: 1, lost: 1},
		"carried out by the earlier incarnation, with its answer late": {play: func(x *restartedWorker) {
			x.report(13, 11, false)
			x.accept(14)
			x.report(17, 15, false)
		}, starts: 1, lost: 1},
		"silent once it has the start": {play: func(x *restartedWorker) {
			x.report(13, 11, false)
			x.accept(14)
			x.m.PollAnswered(at(500), at(15), worker.Poll{Order: x.start.Order}, nil, worker.Unanswered)
			for ms := 525; ms <= 1050; ms += 25 {
				x.m.Tick(at(ms))
			}
		}},
		"silent for longer than a lease": {play: func(x *restartedWorker) {
			x.report(13, 11, false)
			x.accept(14)
			x.m.PollAnswered(at(500), at(15), worker.Poll{Order: x.start.Order}, nil, worker.Unanswered)
			x.m.Tick(at(1200))
		}, starts: 1, lost: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1", "w2")
			x := &restartedWorker{m: m, start: startOne(is, m, at(10))}
			test.play(x)
			a := m.TakeActions()
			is.Equal(len(a.Starts), test.starts)
			is.Equal(len(a.WorkerLosses), test.lost)
			is.Equal(len(a.Replies) > 0, test.replied)
		})
	}
}

// TestRestartOfAnIdleWorkerIsNoCrashOfItsNextTask crashes a worker under a task that was started
// there after an idle restart (LOST: the job was shown as failed after one crash under it).
func TestRestartOfAnIdleWorkerIsNoCrashOfItsNextTask(t *testing.T) {
	tests := map[string]func(x *restartedWorker){
		"listed by the first report": func(x *restartedWorker) {
			x.accept(12)
			x.report(14, 13, true)
		},
		"answered after the first report": func(x *restartedWorker) {
			x.report(13, 11, false)
			x.accept(14)
			x.report(16, 15, true)
		},
		"answered before the first report, which does not list it": func(x *restartedWorker) {
			x.accept(13)
			x.report(14, 12, false)
			x.report(16, 15, true)
		},
		"lapsed while the worker was silent": func(x *restartedWorker) {
			x.m.Started(at(70), x.start, worker.Answer{Verdict: worker.Unanswered})
			x.m.PollAnswered(at(190), at(70), worker.Poll{Order: x.start.Order}, nil, worker.Unanswered)
			for ms := 200; ms <= 1300; ms += 25 {
				x.m.Tick(at(ms))
			}
			x.report(1310, 1305, false, x.end(worker.Lost))
			x.writeRow(1320)
			x.m.Tick(at(1325))
		},
	}
	for name, play := range tests {
		for kind, submit := range map[string]func(m *dispatch.Machine, s dispatch.Submission){
			"caller waits": func(m *dispatch.Machine, s dispatch.Submission) { m.Submit(at(10), s) },
			"stored":       func(m *dispatch.Machine, s dispatch.Submission) { m.AddStored(at(10), s.Job, work.Progress{}, false) },
		} {
			t.Run(kind+", "+name, func(t *testing.T) {
				is := is.New(t)
				m := readyMachine("w1", "w2")
				s := submission("j", 1, 1)
				s.Remaining, s.Job.Target = time.Minute, 20*time.Second
				submit(m, s)
				a := m.TakeActions()
				is.Equal(len(a.Starts), 1)
				x := &restartedWorker{m: m, start: a.Starts[0]}
				play(x)
				a = m.TakeActions()
				for _, l := range a.Losses {
					is.Equal(len(l.Losses), 0) // No worker has crashed under the task yet.
				}
				if len(a.Starts) > 0 {
					x.start = a.Starts[0]
				}
				m.Started(at(1330), x.start, worker.Answer{Verdict: worker.Accepted, Clock: 1330})
				m.PollAnswered(at(1400), at(1390), worker.Poll{Order: x.start.Order}, &worker.Report{Incarnation: 3, Clock: 20}, worker.Accepted)
				a = m.TakeActions()
				is.Equal(len(a.JobEnds)+len(a.Replies), 0)
				is.Equal(len(a.Starts), 1)
			})
		}
	}
}

// TestStartThatALaterIncarnationMayHaveIsHeld leaves a start to a restarted worker without an
// answer for longer than a lease (TWICE: on the clock of the new incarnation it is not too late).
func TestStartThatALaterIncarnationMayHaveIsHeld(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1", "w2")
	s := submission("j", 1, 1)
	s.Remaining, s.Job.Target = 10*time.Second, 5*time.Second
	m.Submit(at(10), s)
	x := &restartedWorker{m: m, start: m.TakeActions().Starts[0]}
	m.Started(at(70), x.start, worker.Answer{Verdict: worker.Unanswered})
	row, other := testWorker("w1"), testWorker("w2")
	if x.start.Worker == other.ID {
		row, other = other, row
	}
	row.Life = 2
	m.SetWorkers(at(300), []worker.Worker{row, other})
	for ms := 325; ms < 1400; ms += 25 {
		m.Tick(at(ms))
		a := m.TakeActions()
		is.Equal(len(a.Starts), 0)
		for _, l := range a.Polls {
			if l.Worker == row.ID {
				m.PollAnswered(at(ms+1), at(ms), l, nil, worker.Unanswered)
			}
		}
	}
	is.Equal(len(m.TakeActions().Starts), 0)
	x.report(1410, 1405, true)
	a := m.TakeActions()
	is.Equal(len(a.Starts), 0)
	x.report(1460, 1455, false, x.end(worker.Done))
	a = m.TakeActions()
	is.Equal(len(a.Starts), 0)
	is.Equal(len(a.Replies), 1)
	is.Equal(a.Replies[0].Result, dispatch.Completed)
}

// TestEndsOfANewIncarnationAreNotForgotten has a worker restart after its ends were acknowledged
// (TWICE: a poll that acknowledged them again made the new incarnation forget its own).
func TestEndsOfANewIncarnationAreNotForgotten(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	x := &restartedWorker{m: m, start: startOne(is, m, at(10))}
	m.Started(at(11), x.start, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
	var acknowledged []worker.EndNumber
	end := x.end(worker.Done)
	for ms := 60; ms < 25_000; ms += 20 {
		m.Tick(at(ms))
		for _, l := range m.TakeActions().Polls {
			if l.AcknowledgedEnds > 0 {
				acknowledged = append(acknowledged, l.AcknowledgedEnds)
			}
			r := &worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + ms)}
			if len(acknowledged) == 0 {
				r.Ended = []worker.Ended{end}
			}
			m.PollAnswered(at(ms+1), at(ms), l, r, worker.Accepted)
		}
	}
	is.Equal(acknowledged, []worker.EndNumber{1})
}

// TestLateStartOfAnEarlierIncarnationIsRefused restarts a worker after a start to it was given up
// and stopped (TWICE: the new incarnation does not know of the stop, and may get the start late).
func TestLateStartOfAnEarlierIncarnationIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		restart, stops int
	}{
		"soon":          {restart: 1000, stops: 1},
		"after minutes": {restart: 120_000},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1", "w2")
			x := &restartedWorker{m: m, start: startOne(is, m, at(10))}
			m.Started(at(70), x.start, worker.Answer{Verdict: worker.Unanswered})
			report := &worker.Report{Incarnation: 1, Clock: 1075}
			m.PollAnswered(at(75), at(71), worker.Poll{Order: x.start.Order}, report, worker.Accepted)
			for _, s := range m.TakeActions().Stops {
				m.Stopped(at(77), s, worker.Answer{Verdict: worker.Accepted, Clock: 1077})
			}
			m.PollAnswered(at(80), at(78), worker.Poll{Order: x.start.Order}, report, worker.Accepted)
			m.TakeActions()
			x.report(test.restart, test.restart-1, false)
			var stopped []string
			for _, s := range m.TakeActions().Stops {
				stopped = append(stopped, s.Task)
			}
			is.Equal(len(stopped), test.stops)
			if test.stops > 0 {
				is.Equal(stopped[0], "j.0.0.0")
			}
		})
	}
}

// TestRestartOfAYoungWorkerIsNoticed answers a start in a new incarnation of a worker whose
// earlier one lived for a second (TWICE: the owner went on with acknowledgements of earlier ends).
func TestRestartOfAYoungWorkerIsNoticed(t *testing.T) {
	for name, test := range map[string]struct {
		clock   worker.Clock
		noticed bool
	}{
		"same incarnation":                  {clock: 1505},
		"same incarnation, its clock slow":  {clock: 1495},
		"new incarnation":                   {clock: 60, noticed: true},
		"new incarnation, after a moment":   {clock: 480, noticed: true},
		"the answer does not tell the time": {clock: 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1") // Its clock shows 1000 at 1 ms.
			s := startOne(is, m, at(500))
			m.Started(at(505), s, worker.Answer{Verdict: worker.Accepted, Clock: test.clock})
			m.TakeActions()
			m.Submit(at(506), submission("next", 2, 1))
			is.Equal(len(m.TakeActions().Starts) == 0, test.noticed)
		})
	}
}

// TestRestartedWorkerOfAnotherKind restarts a worker under its id (ROUTE: it got a task for the
// kind that it had been, until its owner read its next row).
func TestRestartedWorkerOfAnotherKind(t *testing.T) {
	large := testWorker("w1").Capacity
	tests := map[string]struct {
		change func(w *worker.Worker)
		starts int
	}{
		"same kind":     {change: func(*worker.Worker) {}, starts: 1},
		"other label":   {change: func(w *worker.Worker) { w.Labels = []string{"a"} }},
		"other pool":    {change: func(w *worker.Worker) { w.Pool = "other" }},
		"less capacity": {change: func(w *worker.Worker) { w.Capacity.Cores = 1000 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine()
			m.StoredJobsLoaded(begin)
			w := testWorker("w1")
			w.Labels, w.Capacity = []string{"b"}, large
			m.SetWorkers(begin, []worker.Worker{w})
			answerPolls(m, at(1), m.TakeActions(), worker.Report{Incarnation: 1, Clock: 1000})
			job := submission("j", 1, 1).Job
			job.Steps[0].Label = "b"
			m.AddStored(at(10), job, work.Progress{}, false)
			s := m.TakeActions().Starts[0]
			m.Started(at(11), s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
			poll := worker.Poll{Order: s.Order}
			m.PollAnswered(at(300), at(290), poll, &worker.Report{Incarnation: 2, Clock: 20}, worker.Accepted)
			m.Tick(at(325))
			is.Equal(len(m.TakeActions().Starts), 0)
			is.True(m.MissesWorkers(at(325)))
			w.Life = 2
			test.change(&w)
			m.SetWorkers(at(400), []worker.Worker{w})
			m.Tick(at(425))
			is.Equal(len(m.TakeActions().Starts), test.starts)
			is.True(!m.MissesWorkers(at(425)))
		})
	}
}

// TestRefusedStartMarksNoQueue has a worker refuse the connection for the start of a task that has
// been lost with another one before. The task never began there, so its queue must not count as
// one that crashes workers: the task could then not start beside another one.
func TestRefusedStartMarksNoQueue(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1", "w2", "w3")
	submit := func(ms int, id work.ID, call uint64) worker.Start {
		s := submission(id, call, 1)
		s.Remaining, s.Job.Target = time.Minute, 20*time.Second
		m.Submit(at(ms), s)
		a := m.TakeActions()
		is.Equal(len(a.Starts), 1)
		return a.Starts[0]
	}
	first := submit(10, "j", 1)
	m.Started(at(11), first, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
	m.PollAnswered(at(20), at(15), worker.Poll{Order: first.Order}, &worker.Report{Incarnation: 2, Clock: 3}, worker.Accepted)
	second := m.TakeActions().Starts[0]
	other := submit(21, "k", 2)
	is.True(other.Worker != first.Worker && other.Worker != second.Worker)
	m.Started(at(22), other, worker.Answer{Verdict: worker.Accepted, Clock: 1022})
	m.Started(at(22), second, worker.Answer{Verdict: worker.Refusing})
	a := m.TakeActions()
	is.Equal(len(a.Starts), 1)
	is.Equal(a.Starts[0].Worker, other.Worker)
}
