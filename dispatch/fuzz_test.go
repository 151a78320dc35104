package dispatch_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// FuzzStoredJob checks that no row of a stored job and of its state makes an owner panic
// that takes the job over and runs it.
func FuzzStoredJob(f *testing.F) {
	encode := func(x any) []byte {
		value, err := msgpack.Marshal(x)
		if err != nil {
			f.Fatal(err)
		}
		return value
	}
	losses := []crash.TaskLosses{{Task: "j.0.0.1", Losses: crash.History{{Life: crash.Life{Worker: "w1", Incarnation: 1}}}}}
	progress := work.Progress{Done: []int{0, 7, -1}, Failed: map[int][]work.Run{1: {1, 2}, 9: {1}}, Highest: 3}
	step := work.Step{Count: 2, Size: work.Size{Cores: 27_000, Memory: 64}, Estimate: 60}
	f.Add(
		encode(work.Job{ID: "j", Pool: pool, Steps: []work.Step{step, {Count: 1, After: []int{0}}}}),
		encode(ledger.Entry{State: ledger.Accepted, Progress: progress, Losses: losses}),
	)
	f.Add(encode(work.Job{ID: "j", Pool: pool, Attempts: -1, Stretch: -1e300, Target: -1, Steps: []work.Step{{Count: 1, PerWorker: 1}}}), encode(ledger.Entry{}))
	f.Add([]byte("\xc1"), []byte("\x80"))
	f.Fuzz(func(_ *testing.T, job, state []byte) {
		j, err := ledger.DecodeJob(job)
		if err != nil || j.Check() != nil {
			return
		}
		e, err := ledger.ReadEntry(storage.Row{Value: state})
		if err != nil {
			return
		}
		m := readyMachine("w1", "w2")
		m.AddLosses(at(2), e.Losses)
		m.AddStored(at(2), j, e.Progress, true)
		for ms := 25; ms < 1500; ms += 25 {
			m.Tick(at(ms))
			a := m.TakeActions()
			for _, s := range a.Starts {
				m.Started(at(ms), s, worker.Answer{Verdict: worker.Accepted, Clock: worker.Clock(1000 + ms)})
			}
			answerPolls(m, at(ms), a, worker.Report{Incarnation: 1, Clock: worker.Clock(1000 + ms)})
		}
	})
}
