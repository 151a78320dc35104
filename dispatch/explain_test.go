package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/explain"
	"github.com/catkingap/catkingap/sharing"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// explained returns what a machine says about a job with a task of the given size, and checks
// that asking has started nothing.
func (s *saturated) explained(is *is.I, step work.Step, objective time.Duration) *explain.Placement {
	is.Helper()
	s.m.TakeActions()
	p := s.m.Explain(s.now, Submission{
		Remaining: time.Second, Final: true,
		Job: work.Job{ID: "explain", Pool: "pool-0", Attempts: 1, Stretch: 1, Target: objective, Steps: []work.Step{step}},
	})
	a := s.m.TakeActions()
	is.Equal(len(a.Starts)+len(a.Polls)+len(a.Replies), 0)
	is.True(s.m.jobs["explain"] == nil)
	return p
}

// TestExplainTellsWhatRulesWorkersOut checks that the reasons are those by which a job would
// not start.
func TestExplainTellsWhatRulesWorkersOut(t *testing.T) {
	small := work.Step{Count: 1, Size: work.Size{Cores: 4_000, Memory: 1}, Estimate: 100 * time.Millisecond}
	large := work.Step{Count: 1, Size: work.Size{Cores: 40_000, Memory: 1}, Estimate: 100 * time.Millisecond}
	huge := work.Step{Count: 1, Size: work.Size{Cores: 70_000, Memory: 1}, Estimate: 100 * time.Millisecond}
	labelled := small
	labelled.Label = "none"
	tests := map[string]struct {
		prepare   func(s *saturated, n *node)
		step      work.Step
		objective time.Duration
		reason    string
	}{
		"it can start":      {step: small, objective: time.Second},
		"no free capacity":  {step: large, objective: time.Second, reason: "not enough free capacity"},
		"no such capacity":  {step: huge, objective: time.Second, reason: "too small"},
		"without the label": {step: labelled, objective: time.Second, reason: "another pool, or without the label"},
		"draining": {
			prepare: func(s *saturated, n *node) { s.setWorkers(n.ID, func(w *worker.Worker) { w.Draining = true }) },
			step:    small, objective: time.Second, reason: "draining",
		},
		"evacuated": {
			prepare: func(s *saturated, _ *node) { s.m.SetAccess(s.now, evacuation.Evacuated) },
			step:    small, objective: time.Second, reason: ReasonEvacuated,
		},
		"evacuation not known": {
			prepare: func(s *saturated, _ *node) { s.m.SetAccess(s.now, evacuation.Unknown) },
			step:    small, objective: time.Second, reason: "it is not known yet whether the data centre is evacuated",
		},
		"silent": {
			prepare: func(s *saturated, n *node) {
				s.m.PollAnswered(s.now, s.now, worker.Poll{Order: worker.Order{Worker: n.ID}}, nil, worker.Unanswered)
			},
			step: small, objective: time.Second, reason: "silent",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSaturated(1, 0)
			n := s.m.ordered[0]
			if test.prepare != nil {
				test.prepare(s, n)
			}
			p := s.explained(is, test.step, test.objective)
			is.Equal(p.Workers[0].RuledOut, test.reason)
			is.Equal(p.Worker != "", test.reason == "")
			is.Equal(p.Refusal == ReasonEvacuated, test.reason == ReasonEvacuated)
			is.Equal(p.Workers[0].FreeCores, n.free().Cores)
		})
	}
}

// TestExplainTellsReservationAndRefusal checks that a reserved worker is shown with its job, and
// that a job which would be refused is answered with the reason and Retry-After.
func TestExplainTellsReservationAndRefusal(t *testing.T) {
	is := is.New(t)
	s, n := reservedMachine(t)
	small := work.Step{Count: 1, Size: work.Size{Cores: 7_000, Memory: 1}, Estimate: 100 * time.Millisecond}
	for _, x := range s.explained(is, small, time.Second).Workers {
		is.Equal(x.ReservedFor == "large", x.ID == n.ID)
		is.Equal(x.RuledOut == "reserved", x.ID == n.ID)
	}
	s = newSaturated(1, 200)
	s.m.queue.poolShares("pool-0").Ran("", 100*time.Millisecond)
	p := s.explained(is, work.Step{Count: 1, Size: work.Size{Cores: 40_000, Memory: 1}, Estimate: time.Millisecond}, time.Hour)
	is.Equal(p.Refusal, "")
	is.Equal(p.Worker, worker.ID(""))
	wanted, wait := s.m.refusalReason(s.now, newJob(s.now, Submission{Remaining: time.Millisecond, Final: true, Job: work.Job{
		ID: "explain", Pool: "pool-0", Stretch: 1, Target: time.Millisecond, Steps: []work.Step{{Count: 1, Size: work.Size{Cores: 40_000}, Estimate: time.Millisecond}},
	}}), true, (*sharing.Shares).PreviewRetryAfter)
	is.True(wanted != "")
	p = s.m.Explain(s.now, Submission{Remaining: time.Millisecond, Final: true, Job: work.Job{
		ID: "explain", Pool: "pool-0", Stretch: 1, Target: time.Millisecond, Steps: []work.Step{{Count: 1, Size: work.Size{Cores: 40_000}, Estimate: time.Millisecond}},
	}})
	is.Equal(p.Refusal, wanted)
	is.Equal(p.RetryAfterMs, explain.Ms(wait))
}
