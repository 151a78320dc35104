package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/worker"
)

// TestRowWithAnIncarnationOfTheFutureIsOvercome has another writer replace the row of a
// worker by one with a later start. The worker must get work again, from its answers or
// from its next row, and a late answer of an earlier process must not be taken for its own.
func TestRowWithAnIncarnationOfTheFutureIsOvercome(t *testing.T) {
	const future = worker.Incarnation(4_000_000_000_000)
	answer := func(m *dispatch.Machine, ms int, incarnation worker.Incarnation) {
		answerPolls(m, at(ms), m.TakeActions(), worker.Report{Incarnation: incarnation, Clock: worker.Clock(1000 + ms)})
	}
	tests := map[string]struct {
		play   func(m *dispatch.Machine)
		starts int
	}{
		"the worker answers": {play: func(m *dispatch.Machine) { answer(m, 700, 1) }, starts: 1},
		"the worker writes its row again": {play: func(m *dispatch.Machine) {
			m.SetWorkers(at(700), []worker.Worker{testWorker("w1")})
			answer(m, 701, 1)
		}, starts: 1},
		"an earlier process has answered a poll sent before": {play: func(m *dispatch.Machine) {
			for _, l := range m.TakeActions().Polls {
				m.PollAnswered(at(700), at(100), l, &worker.Report{Incarnation: 1, Clock: 1100}, worker.Accepted)
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			w := testWorker("w1")
			w.Life = future
			m.SetWorkers(at(500), []worker.Worker{w})
			test.play(m)
			m.TakeActions()
			m.Submit(at(710), submission("j", 1, 1))
			is.Equal(len(m.TakeActions().Starts), test.starts)
		})
	}
}

// TestRowWithAnotherAddressEndsNoRun has another writer replace the address in the row of a
// worker that runs a task. Orders must go on to the worker as long as it can be reached, and
// its task must not start elsewhere meanwhile.
func TestRowWithAnotherAddressEndsNoRun(t *testing.T) {
	for name, life := range map[string]worker.Incarnation{"same incarnation": 1, "later incarnation": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1", "w2")
			s := startOne(is, m, at(10))
			m.Started(at(11), s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
			open := m.TakeActions().Polls
			moved := testWorker(s.Worker)
			moved.Address, moved.Life = "elsewhere:1", life
			other := testWorker("w2")
			if s.Worker == other.ID {
				other = testWorker("w1")
			}
			m.SetWorkers(at(20), []worker.Worker{moved, other})
			a := m.TakeActions()
			is.Equal(len(a.Starts), 0)
			is.Equal(len(a.WorkerLosses), 0)
			for _, l := range append(open, a.Polls...) {
				is.Equal(l.Address, s.Address)
				m.PollAnswered(at(30), at(25), l, &worker.Report{
					Incarnation: 1, Clock: 1030, Running: []worker.Running{{Task: "j.0.0.0", Run: s.Run, Percent: 20}},
				}, worker.Accepted)
			}
			a = m.TakeActions()
			is.Equal(len(a.Starts), 0)
			is.True(len(a.Polls) > 0)
			// The worker cannot be reached any more: it may have moved.
			m.PollAnswered(at(50), at(40), a.Polls[0], nil, worker.Unsent)
			a = m.TakeActions()
			is.Equal(len(a.Starts), 0)
			is.True(len(a.Polls) > 0)
			is.Equal(a.Polls[0].Address, "elsewhere:1")
			m.PollAnswered(at(60), at(55), a.Polls[0], &worker.Report{Incarnation: 2, Clock: 60}, worker.Accepted)
			a = m.TakeActions()
			is.Equal(len(a.WorkerLosses), 1)
			is.Equal(len(a.Starts), 1)
		})
	}
}

// TestWorkerThatReturnsAtAnotherAddress has another worker take the address of one that then
// returns elsewhere. It must be asked there, whichever the owner learns first.
func TestWorkerThatReturnsAtAnotherAddress(t *testing.T) {
	moved := testWorker("w1")
	moved.Address, moved.Life = "elsewhere:1", 2
	replaced := func(m *dispatch.Machine, ms int) {
		m.PollAnswered(at(ms), at(ms-5), worker.Poll{Order: worker.Order{Worker: "w1", Address: "w1:1"}}, nil, worker.Replaced)
	}
	tests := map[string]func(m *dispatch.Machine){
		"first replaced": func(m *dispatch.Machine) {
			replaced(m, 20)
			m.SetWorkers(at(30), []worker.Worker{moved})
		},
		"first listed": func(m *dispatch.Machine) {
			m.SetWorkers(at(20), []worker.Worker{moved})
			replaced(m, 30)
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			play(m)
			asked := false
			for ms := 40; ms < 1500; ms += 20 {
				m.Tick(at(ms))
				for _, l := range m.TakeActions().Polls {
					if l.Address == "elsewhere:1" {
						asked = true
						m.PollAnswered(at(ms+1), at(ms), l, &worker.Report{Incarnation: 2, Clock: 50}, worker.Accepted)
					} else {
						m.PollAnswered(at(ms+1), at(ms), l, nil, worker.Replaced)
					}
				}
			}
			is.True(asked)
			startOne(is, m, at(1500))
		})
	}
}
