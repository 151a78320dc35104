package room

import (
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// Suitability tells whether there are workers that suit all tasks of a job.
type Suitability int

// The suitabilities.
const (
	// Unsuitable means that a task has no worker that ever had the capacity for it.
	Unsuitable Suitability = iota
	// Shrunken means that a task has a worker whose capacity has become too small for it.
	Shrunken
	// Suitable means that each task has a worker, or that no workers are known yet.
	Suitable
)

// SuitabilityFor returns whether there are workers that suit all tasks of a job, among a number
// of them of which at returns each and the largest capacity that it has had.
func SuitabilityFor(j *work.Job, workers int, at func(int) (*worker.Worker, work.Size)) Suitability {
	lowest := Suitable
	if workers == 0 {
		return lowest
	}
	for _, s := range j.Steps {
		best := Unsuitable
		for i := 0; i < workers && best < Suitable; i++ {
			w, largest := at(i)
			switch {
			case !w.IsOfKind(j.Pool, s.Label):
			case s.Size.Fits(w.Capacity):
				best = Suitable
			case s.Size.Fits(largest):
				best = Shrunken
			}
		}
		if s.Count > 0 {
			lowest = min(lowest, best)
		}
	}
	return lowest
}
