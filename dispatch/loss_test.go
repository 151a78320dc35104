package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/report"
	"github.com/catkingap/catkingap/worker"
)

// TestLostRunsNameTheirCause loses a run in each way in which that can happen.
func TestLostRunsNameTheirCause(t *testing.T) {
	tests := map[string]struct {
		draining bool
		lose     func(m *dispatch.Machine, s worker.Start, poll worker.Poll)
		cause    report.LossCause
		ofWorker bool
	}{
		"another process at its address": {
			lose: func(m *dispatch.Machine, _ worker.Start, poll worker.Poll) {
				m.PollAnswered(at(20), at(12), poll, nil, worker.Replaced)
			},
			cause: dispatch.LossCrashed, ofWorker: true,
		},
		"another incarnation": {
			lose: func(m *dispatch.Machine, _ worker.Start, poll worker.Poll) {
				m.PollAnswered(at(20), at(12), poll, &worker.Report{Incarnation: 2, Clock: 5}, worker.Accepted)
			},
			cause: dispatch.LossCrashed, ofWorker: true,
		},
		"silence": {
			lose: func(m *dispatch.Machine, _ worker.Start, poll worker.Poll) {
				m.PollAnswered(at(20), at(12), poll, nil, worker.Unsent)
				m.Tick(at(1300))
			},
			cause: dispatch.LossSilent, ofWorker: true,
		},
		"left after draining": {
			draining: true,
			lose: func(m *dispatch.Machine, _ worker.Start, poll worker.Poll) {
				m.PollAnswered(at(20), at(12), poll, nil, worker.Replaced)
			},
			cause: dispatch.LossLeft, ofWorker: true,
		},
		"not listed": {
			lose: func(m *dispatch.Machine, _ worker.Start, poll worker.Poll) {
				m.PollAnswered(at(20), at(12), poll, &worker.Report{Incarnation: 1, Clock: 1020}, worker.Accepted)
			},
			cause: dispatch.LossUnlisted,
		},
		"refused": {
			lose: func(m *dispatch.Machine, s worker.Start, _ worker.Poll) {
				m.Started(at(20), s, worker.Answer{Verdict: worker.Full, Clock: 1020})
			},
			cause: dispatch.LossRefused,
		},
		"lapsed": {
			lose: func(m *dispatch.Machine, s worker.Start, poll worker.Poll) {
				m.PollAnswered(at(20), at(12), poll, &worker.Report{
					Incarnation: 1, Clock: 1020, Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: s.Run, Result: worker.Lost, Reason: "lapsed"}},
				}, worker.Accepted)
			},
			cause: "lapsed",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			s := startOne(is, m, at(10))
			if name != "refused" {
				m.Started(at(11), s, worker.Answer{Verdict: worker.Accepted, Clock: 1010})
			}
			poll := worker.Poll{Order: s.Order}
			if test.draining {
				w := testWorker("w1")
				w.Draining = true
				m.SetWorkers(at(11), []worker.Worker{w})
			}
			m.TakeActions()
			test.lose(m, s, poll)
			a := m.TakeActions()
			is.Equal(a.LostRuns, map[string]int{string(test.cause): 1})
			if !test.ofWorker {
				is.Equal(len(a.WorkerLosses), 0)
				return
			}
			is.Equal(len(a.WorkerLosses), 1)
			is.Equal(a.WorkerLosses[0].Cause, test.cause)
			is.Equal(a.WorkerLosses[0].Tasks, []string{"j.0.0.0"})
		})
	}
}
