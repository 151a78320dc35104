package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

func TestCheck(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		change func(*Submission)
		code   outcome.Code
	}{
		"valid":                {change: func(*Submission) {}},
		"no tasks":             {change: func(s *Submission) { s.Tasks = nil }, code: outcome.Invalid},
		"as many as allowed":   {change: func(s *Submission) { s.Tasks = modelSubmission("x", MaxTasks).Tasks }},
		"too many tasks":       {change: func(s *Submission) { s.Tasks = modelSubmission("x", MaxTasks+1).Tasks }, code: outcome.TooLarge},
		"duplicate index":      {change: func(s *Submission) { s.Tasks[1].Index = 0 }, code: outcome.Invalid},
		"negative index":       {change: func(s *Submission) { s.Tasks[1].Index = -1 }, code: outcome.Invalid},
		"index out of range":   {change: func(s *Submission) { s.Tasks[1].Index = 2 }, code: outcome.Invalid},
		"deadline now":         {change: func(s *Submission) { s.Deadline = now }, code: outcome.DeadlinePassed},
		"deadline past":        {change: func(s *Submission) { s.Deadline = now.Add(-time.Second) }, code: outcome.DeadlinePassed},
		"deadline ahead":       {change: func(s *Submission) { s.Deadline = now.Add(time.Second) }},
		"team with a slash":    {change: func(s *Submission) { s.Team = "a/b" }, code: outcome.Invalid},
		"no key":               {change: func(s *Submission) { s.Key = "" }, code: outcome.Invalid},
		"no pool":              {change: func(s *Submission) { s.Pool = "" }, code: outcome.Invalid},
		"no team":              {change: func(s *Submission) { s.Team = "" }, code: outcome.Invalid},
		"key may have a slash": {change: func(s *Submission) { s.Key = "a/b" }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := modelSubmission("tide", 2)
			tt.change(s)
			e := s.Check(now)
			if tt.code == "" {
				is.Equal(e, nil)
				return
			}
			is.Equal(e.Code, tt.code)
			is.Equal(e.Kind, outcome.NotRun)
			is.Equal(e.RetryAfter, time.Duration(0))
		})
	}
}

func TestFit(t *testing.T) {
	tests := map[string]struct {
		memory []int
		needs  int
		fits   bool
	}{
		"fits the largest":        {memory: []int{100, 200}, needs: 200, fits: true},
		"fits none":               {memory: []int{100, 200}, needs: 201},
		"one server not known":    {memory: []int{100, 0}, needs: 201, fits: true},
		"no servers":              {needs: 201, fits: true},
		"nothing declared":        {memory: []int{100}, fits: true},
		"a single server is full": {memory: []int{100}, needs: 100, fits: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := modelSubmission("tide", 3)
			s.Tasks[2].DeclaredMB = tt.needs
			e := s.CheckMemory(tt.memory)
			is.Equal(e == nil, tt.fits)
			if e != nil {
				is.Equal(e.Kind, outcome.NotRun)
				is.Equal(e.Code, outcome.NoFit)
			}
		})
	}
}

func TestRefuse(t *testing.T) {
	tests := map[string]struct {
		again bool
		code  outcome.Code
		kind  outcome.Kind
	}{
		"first attempt":                     {code: outcome.StoreDown, kind: outcome.NotRun},
		"resubmission":                      {again: true, code: outcome.StoreDown, kind: outcome.Unknown},
		"resubmission past its deadline":    {again: true, code: outcome.DeadlinePassed, kind: outcome.Unknown},
		"resubmission of an invalid job":    {again: true, code: outcome.Invalid, kind: outcome.NotRun},
		"resubmission of another job's key": {again: true, code: outcome.Conflict, kind: outcome.NotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := modelSubmission("tide", 1)
			s.Resubmission = tt.again
			is.Equal(s.Refusal(outcome.New(outcome.NotRun, tt.code, "no")).Kind, tt.kind)
		})
	}
}

func TestExpired(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		row  Row
		want bool
	}{
		"complete, old":       {row: Row{State: Complete, Ended: now.Add(-time.Hour)}, want: true},
		"failed, old":         {row: Row{State: Failed, Ended: now.Add(-time.Hour)}, want: true},
		"complete, young":     {row: Row{State: Complete, Ended: now.Add(-time.Hour + 1)}},
		"ended in the future": {row: Row{State: Complete, Ended: now.Add(time.Hour)}},
		"no time":             {row: Row{State: Complete}},
		"started":             {row: Row{State: Started, Ended: now.Add(-time.Hour)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(tt.row.Expired(now, time.Hour), tt.want)
		})
	}
}

// TestDeadlineIsOneOutcome checks that a job has the same outcome whether its
// deadline or the end of a task that missed the deadline arrives first.
func TestDeadlineIsOneOutcome(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	deadline := start.Add(time.Second)
	tests := map[string]Event{
		"deadline first": DeadlinePassed{},
		"task first":     TaskEnded{Error: outcome.New(outcome.Unknown, outcome.DeadlinePassed, "no answer in time")},
	}
	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := modelSubmission("tide", 2)
			s.Deadline = deadline
			m := NewMachine(Config{Self: Holder{Host: "a", Boot: "1"}, Submission: s, HasCapacity: true})
			m.Start(start)
			for revision := ident.Revision(1); m.Phase() != Running && revision < 5; revision++ {
				m.Step(start, Written{Applied: true, Revision: revision})
			}
			is.Equal(m.Phase(), Running)
			m.Step(deadline, event)
			is.Equal(m.Row().State, Failed)
			is.Equal(m.Row().Outcome.Error.Kind, outcome.Failed)
			is.Equal(m.Row().Outcome.Error.Code, outcome.DeadlinePassed)
		})
	}
}
