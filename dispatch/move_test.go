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

// TestEndOfAMovedJobIsForgottenOnceTheLeaseHasLapsed checks that the end of a run that is not
// stored counts as acknowledged nowhere after its job was moved, while other runs keep the
// worker's lease: the task starts again at its new owner.
func TestEndOfAMovedJobIsForgottenOnceTheLeaseHasLapsed(t *testing.T) {
	is := is.New(t)
	m, starts := storedJobMachine(is, 1)
	other := submission("o", 2, 1)
	other.Remaining = time.Minute
	m.Submit(at(4), other)
	a := m.TakeActions()
	is.Equal(len(a.Starts), 1)
	m.Started(at(5), a.Starts[0], worker.Answer{Verdict: worker.Accepted, Clock: 1005})
	// leaseEnd is the last time on the worker's clock to which a lease was extended.
	leaseEnd := a.Starts[0].Until
	report := func(ms int) *worker.Report {
		r := &worker.Report{
			Incarnation: 1, Clock: worker.Clock(1000 + ms),
			Ended: []worker.Ended{{Number: 1, Task: "j.0.0.0", Run: starts[0].Run, Result: worker.Done}},
		}
		if r.Clock <= leaseEnd {
			r.Running = []worker.Running{{Task: "o.0.0.0", Run: a.Starts[0].Run}}
		}
		return r
	}
	poll := func(ms int) worker.EndNumber {
		m.Tick(at(ms))
		acknowledged := worker.EndNumber(0)
		for _, l := range m.TakeActions().Polls {
			leaseEnd, acknowledged = max(leaseEnd, l.Until), max(acknowledged, l.AcknowledgedEnds)
			m.PollAnswered(at(ms), at(ms-1), l, report(ms), worker.Accepted)
		}
		return acknowledged
	}
	answerPolls(m, at(50), a, *report(50))
	for ms := 100; ms < 1500; ms += 10 {
		is.Equal(poll(ms), worker.EndNumber(0))
	}
	is.True(leaseEnd > 2200)
	m.MoveAway(at(1500), "j", []worker.EndID{firstEnd})
	lastLease, acknowledgedAt := leaseEnd, worker.Clock(0)
	for ms := 1510; ms < 4000 && acknowledgedAt == 0; ms += 10 {
		if poll(ms) == 1 {
			acknowledgedAt = worker.Clock(1000 + ms)
		}
	}
	is.True(acknowledgedAt > lastLease)
	is.Equal(m.TakeActions().JobEnds, nil)
}

// TestStrandedJobs checks when no worker of the data centre can continue a stored job, which
// is then moved: not while it only waits for free capacity, and not while a part of it runs.
func TestStrandedJobs(t *testing.T) {
	own := testWorker("w1")
	tests := map[string]struct {
		change    func(w *worker.Worker)
		label     string
		gone      bool
		running   bool
		uncertain bool
		stranded  bool
	}{
		"a worker that suits":               {},
		"a worker that is busy":             {running: true},
		"no worker of the kind":             {label: "rare", stranded: true},
		"no worker at all":                  {gone: true, stranded: true},
		"the worker drains":                 {change: func(w *worker.Worker) { w.Draining = true }, stranded: true},
		"the capacity has shrunk":           {change: func(w *worker.Worker) { w.Capacity.Cores = 100 }, stranded: true},
		"another owner may have the worker": {label: "rare", uncertain: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			if test.running {
				m.AddStored(at(2), submission("other", 1, 2).Job, work.Progress{}, false)
			}
			w := own
			if test.change != nil {
				test.change(&w)
			}
			workers := []worker.Worker{w}
			if test.gone {
				workers = nil
			}
			m.SetWorkers(at(2000), workers)
			j := submission("j", 2, 1).Job
			j.Steps[0].Label = test.label
			m.AddStored(at(2001), j, work.Progress{}, false)
			if test.uncertain {
				m.MarkOwnershipUncertain(at(2002))
			}
			stranded := m.StrandedJobs(at(2003))
			is.Equal(len(stranded) == 1, test.stranded)
			if test.stranded {
				is.Equal(stranded[0].Job.ID, work.ID("j"))
				m.Leave("j")
				m.SetWorkers(at(2004), []worker.Worker{own})
				is.Equal(len(m.StrandedJobs(at(2005))), 0)
			}
		})
	}
}

// TestMovedJobStaysForAWhile adds a job that another owner has moved here, where its kind of
// worker is missing as well. It must not be moved on at once, or two owners that each take the
// other's silent workers for sound pass it on without end.
func TestMovedJobStaysForAWhile(t *testing.T) {
	is := is.New(t)
	m := readyMachine("w1")
	m.SetWorkers(at(2000), []worker.Worker{testWorker("w1")})
	j := submission("j", 1, 1).Job
	j.Steps[0].Label = "rare"
	m.AddStored(at(2000), j, work.Progress{}, true)
	is.Equal(len(m.StrandedJobs(at(2250))), 0)
	is.Equal(len(m.StrandedJobs(at(5900))), 0)
	is.Equal(len(m.StrandedJobs(at(6100))), 1)
}

// TestLossesOfOtherDataCentres adds a job with a presumed loss of a worker of the data centre
// that it was moved from. What became of that worker is told by its row there.
func TestLossesOfOtherDataCentres(t *testing.T) {
	lost := crash.Life{Worker: "far", Incarnation: 3}
	tests := map[string]struct {
		row  *worker.Worker
		want []crash.Proof
	}{
		"it is listed":                        {row: &worker.Worker{ID: "far", Life: 3}},
		"it is listed as another incarnation": {row: &worker.Worker{ID: "far", Life: 4}, want: []crash.Proof{crash.Crashed}},
		"it is not listed":                    {want: []crash.Proof{crash.Gone}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := readyMachine("w1")
			others := map[ident.DataCentre][]worker.Worker{}
			if test.row != nil {
				others["coast-b"] = []worker.Worker{*test.row}
			}
			m.SetOtherWorkers(others)
			const task = "j.0.0.0"
			m.AddLosses(at(5000), []crash.TaskLosses{{Task: task, Losses: crash.History{{Life: lost, InTime: true}}}})
			m.Tick(at(5025))
			var proofs []crash.Proof
			for _, x := range m.TakeActions().Losses {
				for _, l := range x.Losses {
					proofs = append(proofs, l.Proof)
				}
			}
			is.Equal(proofs, test.want)
		})
	}
}

// TestMovedJobIsDropped checks that nothing of a job that was moved away runs or starts.
func TestMovedJobIsDropped(t *testing.T) {
	is := is.New(t)
	m, _ := storedJobMachine(is, 2)
	m.MoveAway(at(20), "j", nil)
	a := m.TakeActions()
	is.Equal(len(a.Stops), 2)
	is.Equal(a.JobEnds, []dispatch.JobEnd(nil))
	jobs, _ := m.Jobs()
	is.Equal(jobs, 0)
}
