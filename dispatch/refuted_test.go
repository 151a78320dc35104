package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// TestSoundJobFromAnotherDataCentreIsNotGivenUp submits a job to a second owner, together with the
// loss of a worker of the first one that lists the run after that (LOST: the job was shown as
// failed after one crash under its task).
func TestSoundJobFromAnotherDataCentreIsNotGivenUp(t *testing.T) {
	const task = "j.0.0.0"
	for name, test := range map[string]struct {
		refuted bool
		failed  bool
	}{
		"the first loss is a crash":   {failed: true},
		"the first loss is disproved": {refuted: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// The first owner has a confirmed run on its worker when that falls silent.
			first := readyMachine("elsewhere")
			s := submission("j", 1, 1)
			s.Remaining, s.Job.Target = time.Minute, 20*time.Second
			first.Submit(at(10), s)
			lost := first.TakeActions().Starts[0]
			first.Started(at(12), lost, worker.Answer{Verdict: worker.Accepted, Clock: 12})
			first.PollAnswered(at(130), at(13), worker.Poll{Order: lost.Order}, nil, worker.Refusing)
			for ms := 150; ms <= 2000; ms += 25 {
				first.Tick(at(ms))
			}
			board := crash.NewBoard()
			board.PutOwn(at(2000), first.TakeActions().Losses)
			is.Equal(len(board.OfJob("j")), 1)

			// Its host submits the job elsewhere. The row of the worker names the next incarnation.
			second := readyMachine("w1", "w2", "w3")
			w := testWorker("elsewhere")
			w.Life = 2
			second.SetOtherWorkers(map[ident.DataCentre][]worker.Worker{"coast-b": {w}})
			s.Losses = board.OfJob("j")
			second.Submit(at(5001), s)
			second.Tick(at(5025))
			start := second.TakeActions().Starts[0]
			second.Started(at(5026), start, worker.Answer{Verdict: worker.Accepted, Clock: 6026})

			if test.refuted {
				first.PollAnswered(at(5030), at(5029), worker.Poll{Order: lost.Order}, &worker.Report{
					Incarnation: 2, Clock: 5030, Running: []worker.Running{{Task: task, Run: lost.Run, Percent: 50}},
				}, worker.Accepted)
				board.PutOwn(at(5030), first.TakeActions().Losses)
			}
			second.ReviewLosses(at(5050), func(id work.ID) []crash.TaskLosses { return board.OfJob(id) })
			second.Tick(at(5050))

			// One worker crashes under the task.
			second.PollAnswered(at(5100), at(5090), worker.Poll{Order: start.Order}, &worker.Report{Incarnation: 2, Clock: 20}, worker.Accepted)
			second.Tick(at(5125))
			a := second.TakeActions()
			if test.failed {
				is.Equal(len(a.Replies), 1)
				is.Equal(a.Replies[0].Result, dispatch.Failed)
				return
			}
			is.Equal(len(a.Replies), 0)
			is.Equal(len(a.Starts), 1)
		})
	}
}
