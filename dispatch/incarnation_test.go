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
