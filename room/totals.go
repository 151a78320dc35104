package room

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
)

// Totals counts the free and used capacity of all workers, and keeps the index of it. It is
// updated incrementally, by the workers that change.
type Totals[T any] struct {
	// Index finds the workers that may get work.
	Index *Index[T]
	// Tasks is the number of tasks of mean size that can start at once.
	Tasks int
	// Unanswered is the number of workers that have not answered yet, and Expected the number
	// of those of them that are not silent.
	Unanswered, Expected int

	pools map[ident.Pool]*PoolCapacity
}

// NewTotals returns the totals of no workers.
func NewTotals[T any](x *Index[T]) Totals[T] {
	return Totals[T]{Index: x, pools: map[ident.Pool]*PoolCapacity{}}
}

// PoolCapacity counts the cores of the listed workers of a pool. FreeCores counts only workers
// that may get work.
type PoolCapacity struct {
	UsedCores, FreeCores int
}

// Pool returns the capacity of a pool.
func (c *Totals[T]) Pool(p ident.Pool) *PoolCapacity { return index.GetOrCreate(c.pools, p) }

// Rate returns the number of cores that are freed per second if all tasks take the mean run
// time.
func (c *PoolCapacity) Rate(meanRun time.Duration) float64 {
	if meanRun <= 0 {
		return 0
	}
	return float64(c.UsedCores+c.FreeCores) / meanRun.Seconds()
}

// Contribution is what one worker adds to the totals and to the index.
type Contribution[T any] struct {
	PoolCapacity

	Pool                        ident.Pool
	Tasks, Unanswered, Expected int
	// Entry is the worker's entry in the index, or nil.
	Entry *Worker[T]
}

// Replace replaces the contribution of a worker. It returns true if the worker can take a task
// that it could not take before.
func (c *Totals[T]) Replace(held *Contribution[T], s Contribution[T]) bool {
	old := *held
	before, after := c.Pool(old.Pool), c.Pool(s.Pool)
	before.UsedCores -= old.UsedCores
	before.FreeCores -= old.FreeCores
	after.UsedCores += s.UsedCores
	after.FreeCores += s.FreeCores
	c.Tasks += s.Tasks - old.Tasks
	c.Unanswered += s.Unanswered - old.Unanswered
	c.Expected += s.Expected - old.Expected
	grew := s.Entry != nil && (old.Entry == nil || hasGrown(old.Entry, s.Entry))
	switch {
	case old.Entry != nil && s.Entry != nil && sameEntry(old.Entry, s.Entry):
		s.Entry = old.Entry
	default:
		if old.Entry != nil {
			c.Index.Remove(old.Entry)
		}
		if s.Entry != nil {
			c.Index.Add(s.Entry)
		}
	}
	*held = s
	return grew
}

// hasGrown returns true if a worker can take a task that it could not take before.
func hasGrown[T any](old, x *Worker[T]) bool {
	return x.Free.Cores > old.Free.Cores || x.Free.Memory > old.Free.Memory || x.Free.Graphics > old.Free.Graphics ||
		x.LogSlowdown < old.LogSlowdown || !slices.Equal(old.Labels, x.Labels)
}

func sameEntry[T any](a, b *Worker[T]) bool {
	return a.Free == b.Free && a.LogSlowdown == b.LogSlowdown && a.Pool == b.Pool && slices.Equal(a.Labels, b.Labels)
}
