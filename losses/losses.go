// Package losses finds out why callers of a fleet were not served in time, from what
// its hosts have logged about each job. It has no side effects.
package losses

import (
	"slices"
	"strings"
	"time"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
)

// Cause is the main reason why a call was not served in time.
type Cause string

// The causes.
const (
	// NoOwner means that the call waited for an owner, or for one that had lost it.
	NoOwner Cause = "waited for an owner"
	// Queued means that the call waited for capacity.
	Queued Cause = "queued"
	// RunLost means that a run of it was lost or failed and its task started again.
	RunLost Cause = "run lost or failed"
	// RanLong means that its runs took longer than their estimates allow for.
	RanLong Cause = "ran longer than estimated"
	// RefusedAtOnce means that an owner refused the job within refusedAtOnce.
	RefusedAtOnce Cause = "refused at once"
	// RefusedLater means that the job was refused after it had waited.
	RefusedLater Cause = "refused after waiting"
	// Failed means that the job has failed.
	Failed Cause = "job failed"
	// Interrupted means that the owner of a job that had begun was lost.
	Interrupted Cause = "lost with its owner"
	// CallerLeft means that the connection to the caller has ended.
	CallerLeft Cause = "connection to the caller ended"
	// DeadlinePassed means that the caller has given up.
	DeadlinePassed Cause = "deadline passed"
)

// refusedAtOnce is the time within which a refusal counts as made at once.
const refusedAtOnce = 30 * time.Millisecond

// Call is one call of a caller as a host has logged it.
type Call struct {
	Job      work.ID
	Ended    time.Time
	Took     time.Duration
	Result   dispatch.Result
	Reason   string
	Dispatch *Dispatch
}

// Dispatch is what an owner has logged about the job of a call.
type Dispatch struct {
	// Waited is the time from the call to the submission to this owner.
	Waited, Objective time.Duration
	Runs              []Run
}

// Run is one run of a task. Started is the time from the submission to its start.
type Run struct {
	Started, Took time.Duration
	Done          bool
}

// Cause returns why a call was not served in time, and false if it was.
func (c *Call) Cause() (Cause, bool) {
	switch c.Result {
	case dispatch.Completed:
		if c.Dispatch == nil || c.Took <= c.Dispatch.Objective {
			return "", false
		}
		return c.Dispatch.delay(), true
	case dispatch.Refused:
		if c.Took <= refusedAtOnce {
			return RefusedAtOnce, true
		}
		return RefusedLater, true
	case dispatch.Interrupted:
		return Interrupted, true
	case dispatch.Expired:
		if strings.Contains(c.Reason, "deadline") {
			return DeadlinePassed, true
		}
		return CallerLeft, true
	}
	return Failed, true
}

// usualShare is the share of the objective that the longest run of a job usually takes.
const usualShare = 0.5

// delay returns what delayed a job most.
func (d *Dispatch) delay() Cause {
	var queued, longest time.Duration
	for _, r := range d.Runs {
		if !r.Done {
			return RunLost
		}
		queued, longest = max(queued, r.Started), max(longest, r.Took)
	}
	excess := longest - time.Duration(usualShare*float64(d.Objective))
	switch max(d.Waited, queued, excess) {
	case d.Waited:
		return NoOwner
	case queued:
		return Queued
	}
	return RanLong
}

// Window counts the calls that arrived in one window of time.
type Window struct {
	From  time.Time
	Calls int
	Lost  map[Cause]int
}

// ByWindow counts calls by windows of length d, in the order of time.
func ByWindow(calls []Call, d time.Duration) []Window {
	byStart := map[time.Time]*Window{}
	for i := range calls {
		from := calls[i].Ended.Add(-calls[i].Took).Truncate(d)
		w := byStart[from]
		if w == nil {
			w = &Window{From: from, Lost: map[Cause]int{}}
			byStart[from] = w
		}
		w.Calls++
		if c, lost := calls[i].Cause(); lost {
			w.Lost[c]++
		}
	}
	windows := make([]Window, 0, len(byStart))
	for _, w := range byStart {
		windows = append(windows, *w)
	}
	slices.SortFunc(windows, func(a, b Window) int { return a.From.Compare(b.From) })
	return windows
}
