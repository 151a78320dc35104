// Package spill decides in which data centre a job starts when the workers of its host's own
// one are busy, and keeps a host's view of the free capacity of the owners of the data centres.
// The package has no side effects: the caller passes the present time.
package spill

import (
	"time"

	"github.com/catkingap/catkingap/ident"
)

const (
	// YieldDelay is how long a job waits before it is offered to another owner.
	// Capacity that is freed within this time is nearer than another data centre, which
	// is a few milliseconds away and whose load is known with a delay of up to 150 ms.
	YieldDelay = 50 * time.Millisecond
	// homeSpill is how many more waiting tasks than another data centre the host's own one
	// may have before a job that no owner can start at once goes to the other one.
	homeSpill = 6
)

// Owner is an owner to which a job may be submitted.
type Owner struct {
	DataCentre ident.DataCentre
	// Free is the known number of tasks that can start there at once. It is negative if more
	// wait.
	Free int
	// Home is true for the owner of the host's own data centre.
	Home bool
	// Tried is true if the owner could not start the job at once.
	Tried bool
}

// Pick returns the owner that gets a job with the given number of tasks next. That is the one of
// the host's own data centre as long as it was not tried, because traffic between data centres
// is expensive, then the one with the most free capacity. Parameter refused tells that an owner
// has refused the job, which then goes only to owners that can start it at once. If final is
// true, the owner must take or refuse the job: none is known to be able to start it at once. The
// last result is false if there is no owner.
func Pick(owners []Owner, tasks int, refused bool) (picked Owner, final, ok bool) {
	var best, fallback Owner
	for _, o := range owners {
		if refused && o.Free < tasks {
			continue
		}
		if fallback.DataCentre == "" || o.score() > fallback.score() {
			fallback = o
		}
		if o.Tried || (!o.Home && o.Free < tasks) {
			continue
		}
		if best.DataCentre == "" || o.Home || (!best.Home && o.Free > best.Free) {
			best = o
		}
	}
	if best.DataCentre != "" {
		return best, false, true
	}
	return fallback, true, fallback.DataCentre != "" && !refused
}

// score compares owners none of which can start a job at once.
func (o Owner) score() int {
	if o.Home {
		return o.Free + homeSpill
	}
	return o.Free
}
