package work

import (
	"maps"
	"slices"
)

// Progress is what is stored about the runs of a stored job. Its zero value is
// that of a job none of whose runs has ended.
type Progress struct {
	// Done holds the numbers of the completed tasks, counted over all steps.
	Done []int `msgpack:"done,omitempty"`
	// Failed holds the failed runs of each task.
	Failed map[int][]Run `msgpack:"failed,omitempty"`
	// Highest is the highest run, of any task, that is known to have ended.
	Highest Run `msgpack:"highest,omitempty"`
}

// Record records how a run of a task has ended. It returns false if that was
// already known.
func (p *Progress) Record(task int, r Run, done bool) bool {
	switch {
	case slices.Contains(p.Done, task), !done && slices.Contains(p.Failed[task], r):
		return false
	case done:
		p.Done = append(p.Done, task)
	default:
		if p.Failed == nil {
			p.Failed = map[int][]Run{}
		}
		p.Failed[task] = append(p.Failed[task], r)
	}
	p.Highest = max(p.Highest, r)
	return true
}

// HasEndedRuns returns true if a run of any task has ended.
func (p *Progress) HasEndedRuns() bool { return len(p.Done)+len(p.Failed) > 0 }

// Clone returns a copy that shares nothing with p.
func (p *Progress) Clone() Progress {
	c := Progress{Done: slices.Clone(p.Done), Failed: maps.Clone(p.Failed), Highest: p.Highest}
	for t, runs := range c.Failed {
		c.Failed[t] = slices.Clone(runs)
	}
	return c
}
