package crash_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// TestDisprovedLossIsDroppedElsewhere passes the loss of a worker on to another owner, before the
// next incarnation of the worker disproves it (LOST: it went on counting there).
func TestDisprovedLossIsDroppedElsewhere(t *testing.T) {
	l := crash.Life{Worker: "a", Incarnation: 1}
	tests := map[string]struct {
		play   func(first, second *crash.Tracker, b *crash.Board)
		losses []worker.ID
	}{
		"not disproved": {
			play:   func(_, second *crash.Tracker, b *crash.Board) { second.Review(begin, b.OfJob) },
			losses: []worker.ID{"a"},
		},
		"disproved": {
			play: func(first, second *crash.Tracker, b *crash.Board) {
				first.Refute(begin, "j.0.0.0", 1, crash.Life{Worker: "a", Incarnation: 2})
				b.Put(begin, first.TakeChanges())
				second.Review(begin, b.OfJob)
			},
		},
		"disproved, beside a loss of the other owner": {
			play: func(first, second *crash.Tracker, b *crash.Board) {
				second.Add(begin, crash.TaskLosses{Task: "j.0.0.0", Losses: crash.History{loss("b", crash.Crashed, true)}})
				first.Refute(begin, "j.0.0.0", 1, crash.Life{Worker: "a", Incarnation: 2})
				b.Put(begin, first.TakeChanges())
				second.Review(begin, b.OfJob)
			},
			losses: []worker.ID{"b"},
		},
		"older news of the other owner come after that": {
			play: func(first, second *crash.Tracker, b *crash.Board) {
				older := second.TakeChanges()
				first.Refute(begin, "j.0.0.0", 1, crash.Life{Worker: "a", Incarnation: 2})
				b.Put(begin, first.TakeChanges())
				b.Put(begin, older)
				second.Review(begin, b.OfJob)
				second.Add(begin, older[0])
			},
		},
		"of another run": {
			play: func(first, second *crash.Tracker, b *crash.Board) {
				first.Refute(begin, "j.0.0.0", 2, crash.Life{Worker: "a", Incarnation: 2})
				b.Put(begin, first.TakeChanges())
				second.Review(begin, b.OfJob)
			},
			losses: []worker.ID{"a"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second, b := crash.NewTracker(), crash.NewTracker(), crash.NewBoard()
			first.Add(begin, crash.TaskLosses{Task: "j.0.0.0", Losses: crash.History{{Life: l, Proof: crash.Crashed, Run: 1, InTime: true}}})
			b.Put(begin, first.TakeChanges())
			for _, x := range b.OfJob(work.ID("j")) {
				second.Add(begin, x)
			}
			test.play(first, second, b)
			is.Equal(append([]worker.ID(nil), second.Losses("j.0.0.0").Workers()...), test.losses)
		})
	}
}
