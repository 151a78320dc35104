package lookahead

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/work"
)

const (
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
	// Unneeded means that no task waits for the worker any more: its job has ended, or it has
	// started elsewhere.
	Unneeded Cause = "unneeded"
	// Unusable means that the worker cannot be used: it is silent, draining, restarted, too
	// small by now, or kept for a suspect.
	Unusable Cause = "unusable"
	// Overdue means that the runs before the task took much longer than expected.
	Overdue Cause = "overdue"
)

const (
	// made counts reservations, and beside the starts of other tasks on reserved workers.
	made   = "made"
	beside = "beside"
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

// Plan holds the reservations of one owner: at most one for each worker.
type Plan[W, H comparable] struct {
	all     []*Reservation[W, H]
	changed func(W)
	counts  map[string]int
}

// NewPlan returns a plan without reservations. It calls changed for each worker of which a
// reservation begins or ends.
func NewPlan[W, H comparable](changed func(W)) *Plan[W, H] { return &Plan[W, H]{changed: changed} }

// All returns the reservations in the order in which they were made. The result stays as it is
// when some of them end.
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
	p.all = append(slices.Clip(p.all), &Reservation[W, H]{Worker: w, Holder: h, Size: size, Opening: o, due: due})
	p.count(made)
	p.changed(w)
}

func (p *Plan[W, H]) end(r *Reservation[W, H], c Cause) {
	p.all = slices.DeleteFunc(slices.Clone(p.all), func(x *Reservation[W, H]) bool { return x == r })
	p.count(string(c))
	p.changed(r.Worker)
}

// EndOverdue ends the reservations whose worker did not get free when it should have.
func (p *Plan[W, H]) EndOverdue(now time.Time) {
	for _, r := range p.all {
		if now.After(r.due) {
			p.end(r, Overdue)
		}
	}
}

// EndVoid ends the reservations of holders that have fewer tasks waiting than reservations, and
// those of workers that cannot be used.
func (p *Plan[W, H]) EndVoid(waiting func(H) int, usable func(*Reservation[W, H]) bool) {
	for _, r := range p.all {
		switch {
		case waiting(r.Holder) < p.Count(r.Holder):
			p.end(r, Unneeded)
		case !usable(r):
			p.end(r, Unusable)
		}
	}
}

// Started updates the plan for the start of a task of a holder on a worker.
func (p *Plan[W, H]) Started(w W, h H) {
	switch r := p.Of(w); {
	case r == nil:
	case r.Holder == h:
		p.end(r, Used)
	default:
		p.count(beside)
	}
}

func (p *Plan[W, H]) count(name string) { index.Increment(&p.counts, name) }

// TakeCounts returns what has happened since the last call: the reservations that were made, the
// starts beside them, and their ends by cause.
func (p *Plan[W, H]) TakeCounts() map[string]int {
	counts := p.counts
	p.counts = nil
	return counts
}
