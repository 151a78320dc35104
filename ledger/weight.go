package ledger

import (
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/work"
)

// entryWeight is above the memory of an entry beside its job.
const entryWeight = 640

// WeightOf returns an upper bound of the memory that a stored job takes until it has ended.
func WeightOf(j *work.Job) intake.Bytes { return entryWeight + j.Weight() }

// Weight returns an upper bound of the memory that all jobs take. Of an ended one only the state
// is kept.
func (s *Store) Weight() intake.Bytes {
	total := intake.Bytes(len(s.entries)) * entryWeight
	for _, e := range s.entries {
		total += e.weight
	}
	return total
}

// forgetJob drops what is not needed of a job whose end is stored.
func (e *entry) forgetJob() {
	e.job, e.weight, e.value, e.row.Progress, e.row.Losses = work.Job{}, 0, nil, work.Progress{}, nil
}
