// Package lookahead reserves workers for waiting tasks that do not fit anywhere yet. A
// reservation rests on the expected ends of the runs of a worker. Until then, other tasks get
// there only what the waiting one will leave. The package has no side effects.
package lookahead

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/work"
)

const (
	// overdueShare is the share of its run time so far that an overdue run is expected to go
	// on: estimates are off by some 40 %, so a run that is overdue seldom ends at once.
	overdueShare = 0.25
	// minPercent is the progress from which it predicts the end of a run better than the
	// estimate.
	minPercent = 10
	// largeFactor is how many times the mean number of cores a task must need to get a
	// reservation. Smaller ones find gaps without one.
	largeFactor = 1.1
	// passedOverTime is longer than one tick, in which all waiting jobs are tried.
	passedOverTime = 30 * time.Millisecond
	// certaintyFactor is how many times its expected time a task may take and still meet the
	// objective of its caller, if a worker is reserved for it: estimates are off by some 40 %.
	certaintyFactor = 1.6
	// maxReservations bounds the reservations of an owner at a time, and
	// workersPerReservation bounds them by the number of its workers, so that most workers
	// stay free for other tasks.
	maxReservations, workersPerReservation = 8, 8
)

// MaxExamined bounds the workers that are examined for all waiting tasks at a time. This takes
// some 0.5 ms of the 25 ms between ticks.
const MaxExamined = 8000

// MaxReservations returns how many reservations an owner with some workers may have at a time.
func MaxReservations(workers int) int {
	return min(maxReservations, max(1, workers/workersPerReservation))
}

// IsLarge returns true if a task needs clearly more cores than the mean.
func IsLarge(cores int, mean float64) bool { return float64(cores) > largeFactor*mean }

// IsPassedOver returns true if a job has waited since a time although enough cores are free for
// one of its tasks: it needs memory, graphics, a label or a faster worker.
func IsPassedOver(now, since time.Time) bool { return now.Sub(since) > passedOverTime }

// Run is what is known about a run.
type Run struct {
	Sent time.Time
	// RunTime is the expected run time.
	RunTime time.Duration
	// Percent is the progress that the worker reported at PercentAt.
	Percent   int
	PercentAt time.Time
}

// ExpectedEnd returns when a run is expected to end.
func (r Run) ExpectedEnd(now time.Time) time.Time {
	end := r.Sent.Add(r.RunTime)
	if r.Percent >= minPercent {
		end = r.Sent.Add(100 * r.PercentAt.Sub(r.Sent) / time.Duration(r.Percent))
	}
	switch {
	case r.RunTime == 0:
		return now
	case end.Before(now):
		return now.Add(time.Duration(overdueShare * float64(now.Sub(r.Sent))))
	}
	return end
}

// End is the expected end of a run.
type End struct {
	At   time.Time
	Size work.Size
}

// SortEnds sorts ends by their time.
func SortEnds(all []End) { slices.SortFunc(all, func(a, b End) int { return a.At.Compare(b.At) }) }

// Opening is the time from which a task fits on a worker.
type Opening struct {
	At time.Time
	// Spare is what the task will leave of what is free now.
	Spare work.Size
}

// FirstOpening returns the first opening for a task of the given size on a worker with the given
// free capacity and the given ends in their order. It returns false if the task does not fit on
// the idle worker.
func FirstOpening(now time.Time, free, size work.Size, ends []End) (Opening, bool) {
	at, later := now, free
	for _, e := range ends {
		if size.Fits(later) {
			break
		}
		at, later = e.At, later.Plus(e.Size)
	}
	return Opening{At: at, Spare: smaller(free, later.Minus(size))}, size.Fits(later)
}

// smaller returns the smaller of two sizes in each dimension, and at least zero.
func smaller(a, b work.Size) work.Size {
	return work.Size{
		Cores: max(0, min(a.Cores, b.Cores)), Memory: max(0, min(a.Memory, b.Memory)), Graphics: max(0, min(a.Graphics, b.Graphics)),
	}
}

// Certainly returns a run time that a task seldom exceeds, given the expected one.
func Certainly(runTime time.Duration) time.Duration {
	return time.Duration(certaintyFactor * float64(runTime))
}
