package spill

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// MaxAge is the age up to which a report of free capacity counts. Owners are contacted each 0.15
// or 0.3 s. An older report counts as none: the owner is silent, or its answers get lost.
const MaxAge = 500 * time.Millisecond

// View is what a host knows of the free capacity of the owners. Its zero value has no reports.
type View struct {
	reports map[ident.DataCentre]*report
}

// report is the last report of an owner.
type report struct {
	at   time.Time
	free int
	// shared is true once Shares has returned the report.
	shared bool
}

// Report records the number of tasks that can start at once in a data centre, as its owner has
// reported it in an answer to a message that was sent at the given time. Reports that were
// overtaken are ignored.
func (v *View) Report(at time.Time, c ident.DataCentre, free int) {
	if v.reports == nil {
		v.reports = map[ident.DataCentre]*report{}
	}
	if r := v.reports[c]; r == nil || !at.Before(r.at) {
		v.reports[c] = &report{at: at, free: free}
	}
}

// Free returns the number of tasks that can start at once in a data centre, as far as it is
// known. It returns false if its owner has never reported.
func (v *View) Free(now time.Time, c ident.DataCentre) (int, bool) {
	r := v.reports[c]
	if r == nil {
		return 0, false
	}
	return r.freeAt(now), true
}

func (r *report) freeAt(now time.Time) int {
	if now.Sub(r.at) > MaxAge {
		return min(r.free, 0)
	}
	return r.free
}

// Share is the part of a data centre's free capacity that the jobs of one other owner may use.
type Share struct {
	DataCentre ident.DataCentre
	Tasks      int
}

// Shares returns the free capacity that the owner of a data centre may use at each other owner,
// which it shares with the remaining owners. Each report is used once. Owners for which closed
// returns true have none.
func (v *View) Shares(now time.Time, home ident.DataCentre, closed func(ident.DataCentre) bool) []Share {
	var shares []Share
	for c, r := range v.reports {
		if c == home || r.shared || closed(c) {
			continue
		}
		r.shared = true
		if tasks := r.freeAt(now) / max(1, len(v.reports)-1); tasks > 0 {
			shares = append(shares, Share{DataCentre: c, Tasks: tasks})
		}
	}
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return shares
}
