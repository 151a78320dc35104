package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
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
