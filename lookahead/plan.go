package lookahead

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/work"
)

const (
	// backfillFactor is how many times its expected time a task may take and still end before
	// a reservation, beside which it starts: estimates are off by some 40 %. If it takes
	// longer, the reserved task waits for the difference.
	backfillFactor = 1.6
	// dueFactor and dueMargin bound how much longer than expected a reservation may wait for
	// the runs before it. Then it is made anew, wherever a task fits first.
	dueFactor = 1.6
	dueMargin = 30 * time.Millisecond
)

// Cause tells how a reservation ended.
type Cause string

// The causes for the end of a reservation.
const (
	// Used means that a task has started on the reserved worker.
	Used Cause = "used"
	// Elsewhere means that the task has started on another worker, or needs none any more.
	Elsewhere Cause = "elsewhere"
	// Unusable means that the worker cannot be used: it is silent, draining, restarted, too
	// small by now, or kept for a suspect.
	Unusable Cause = "unusable"
	// Overdue means that the runs before the task took much longer than expected.
	Overdue Cause = "overdue"
)

// Reservation keeps a worker for a waiting task of its holder.
type Reservation[W, H comparable] struct {
	Worker W
	Holder H
	Size   work.Size
	Opening

	// due is when the reservation is overdue.
	due time.Time
}

// IsOverdue returns true if the runs before the task take much longer than expected.
func (r *Reservation[W, H]) IsOverdue(now time.Time) bool { return now.After(r.due) }

// AllowsBackfill returns true if a task with the given expected run time can start on the worker
// and end before the reservation, also if its estimate is off.
func (r *Reservation[W, H]) AllowsBackfill(now time.Time, runTime time.Duration) bool {
	return !now.Add(time.Duration(backfillFactor * float64(runTime))).After(r.At)
}

// Plan holds the reservations of one owner: at most one for each worker.
type Plan[W, H comparable] struct {
	all []*Reservation[W, H]
	// Made, Backfilled and Ended count reservations, starts beside them, and their ends.
	Made, Backfilled int
	Ended            map[Cause]int
}

// NewPlan returns a plan without reservations.
func NewPlan[W, H comparable]() *Plan[W, H] { return &Plan[W, H]{Ended: map[Cause]int{}} }

// All returns the reservations in the order in which they were made.
func (p *Plan[W, H]) All() []*Reservation[W, H] { return p.all }

// Of returns the reservation of a worker, or nil.
func (p *Plan[W, H]) Of(w W) *Reservation[W, H] {
	for _, r := range p.all {
		if r.Worker == w {
			return r
		}
	}
	return nil
}

// Count returns the number of reservations of a holder.
func (p *Plan[W, H]) Count(h H) int {
	count := 0
	for _, r := range p.all {
		if r.Holder == h {
			count++
		}
	}
	return count
}

// Reserve makes a reservation of a worker that has none.
func (p *Plan[W, H]) Reserve(now time.Time, w W, h H, size work.Size, o Opening) {
	due := o.At.Add(time.Duration((dueFactor-1)*float64(o.At.Sub(now))) + dueMargin)
	p.all = append(p.all, &Reservation[W, H]{Worker: w, Holder: h, Size: size, Opening: o, due: due})
	p.Made++
}

// End ends a reservation.
func (p *Plan[W, H]) End(r *Reservation[W, H], c Cause) {
	p.all = slices.DeleteFunc(p.all, func(x *Reservation[W, H]) bool { return x == r })
	p.Ended[c]++
}
