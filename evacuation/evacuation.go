// Package evacuation decides what follows from the operator's requests to evacuate data
// centres: what a host knows of them, what hosts tell each other, whether tasks may start in
// a data centre, and what becomes of the jobs there. It has no side effects.
package evacuation

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// State is what a host knows of the evacuated data centres. The zero State knows nothing.
type State struct {
	// Known is true once the state was read from the table or received from another host.
	Known bool `msgpack:"known"`
	// Revision is the revision of the table as of which the state holds.
	Revision ident.Revision `msgpack:"revision"`
	// Evacuated holds the evacuated data centres in ascending order.
	Evacuated []ident.DataCentre `msgpack:"evacuated,omitempty"`
}

// NewState returns the state that holds as of a revision.
func NewState(revision ident.Revision, evacuated ...ident.DataCentre) State {
	evacuated = slices.Sorted(slices.Values(evacuated))
	return State{Known: true, Revision: revision, Evacuated: slices.Compact(evacuated)}
}

// Merge returns the newer one of two states. Two states of one revision differ if a request
// was written between the pages of a read: their union holds until the next read.
func (s State) Merge(x State) State {
	switch {
	case !x.Known || (s.Known && s.Revision > x.Revision):
		return s
	case !s.Known || x.Revision > s.Revision:
		return x
	}
	return NewState(s.Revision, slices.Concat(s.Evacuated, x.Evacuated)...)
}

// Access tells whether tasks may start on the workers of a data centre.
type Access int

const (
	// Open means that tasks may start.
	Open Access = iota
	// Unknown means that nothing may start and that jobs wait, because the host does not
	// know yet whether the data centre is evacuated.
	Unknown
	// Evacuated means that nothing may start, and that jobs go elsewhere.
	Evacuated
)

// Access returns whether tasks may start in a data centre.
func (s State) Access(c ident.DataCentre) Access {
	switch {
	case !s.Known:
		return Unknown
	case slices.Contains(s.Evacuated, c):
		return Evacuated
	}
	return Open
}

// tellTime is for how long a host tells its state after it has heard from a host that has not
// heard of the end of an evacuation. It covers several contacts with each owner.
const tellTime = 2 * time.Second

// Tracker keeps the state of a host, and decides when other hosts are told.
type Tracker struct {
	state     State
	tellUntil time.Time
}

// Change is what has changed in the view of a host.
type Change struct {
	// Learned is true if the host knew nothing before.
	Learned bool
	// Began and Ended hold the data centres of which an evacuation began and ended.
	Began, Ended []ident.DataCentre
}

// IsEmpty returns true if nothing has changed.
func (c *Change) IsEmpty() bool { return !c.Learned && len(c.Began) == 0 && len(c.Ended) == 0 }

// State returns what the host knows.
func (t *Tracker) State() State { return t.state }

// Observe records a state that was read from the table or received from another host.
func (t *Tracker) Observe(now time.Time, s State) Change {
	old := t.state
	if s.Known && s.Revision < old.Revision && !slices.Equal(s.Evacuated, old.Evacuated) {
		t.tellUntil = now.Add(tellTime)
	}
	t.state = old.Merge(s)
	return Change{
		Learned: t.state.Known && !old.Known,
		Began:   without(t.state.Evacuated, old.Evacuated), Ended: without(old.Evacuated, t.state.Evacuated),
	}
}

// without returns the data centres of a that are not in b.
func without(a, b []ident.DataCentre) []ident.DataCentre {
	var left []ident.DataCentre
	for _, c := range a {
		if !slices.Contains(b, c) {
			left = append(left, c)
		}
	}
	return left
}

// Request returns the state that a contact with another host carries, or nil if it carries
// none: hosts of a fleet without evacuations exchange nothing.
func (t *Tracker) Request(now time.Time) *State {
	if t.state.Known && len(t.state.Evacuated) == 0 && !now.Before(t.tellUntil) {
		return nil
	}
	return &State{Known: t.state.Known, Revision: t.state.Revision, Evacuated: t.state.Evacuated}
}

// Answer returns the state that the answer to a contact carries, or nil. The state that the
// contact carried, or nil, must have been observed.
func (t *Tracker) Answer(asked *State) *State {
	if asked == nil && len(t.state.Evacuated) == 0 {
		return nil
	}
	return &State{Known: t.state.Known, Revision: t.state.Revision, Evacuated: t.state.Evacuated}
}

// Job describes a job whose caller waits, at the owner of an evacuated data centre.
type Job struct {
	// Waiting is true if a task waits, and Running if a run of the job, or of an earlier
	// submission of it, may be at work.
	Waiting, Running bool
	// Begun is true if a start of a task was sent.
	Begun bool
	// Resubmitted is true if an earlier owner may have begun the job, and Unsettled if its
	// runs may not have been found yet.
	Resubmitted, Unsettled bool
}

// Fate is what becomes of a job at the owner of an evacuated data centre.
type Fate int

const (
	// Stay means that the job stays: nothing of it waits, or something of it still runs.
	Stay Fate = iota
	// Return means that the job goes back to its host, which submits it to another owner.
	Return
	// Interrupt means that the job ends. Tasks of it may be done, which must not run again,
	// and the others cannot start.
	Interrupt
)

// Fate returns what becomes of a job.
func (j Job) Fate() Fate {
	switch {
	case !j.Waiting || j.Running || j.Unsettled:
		return Stay
	case j.Begun || j.Resubmitted:
		return Interrupt
	}
	return Return
}
