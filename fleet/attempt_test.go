package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ownership"
)

// TestStartedBefore checks that a job counts as started before an ownership only if
// another ownership may have started it.
func TestStartedBefore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	first, second := ownership.Owner{DataCentre: "coast-a", Token: 5}, ownership.Owner{DataCentre: "coast-a", Token: 9}
	a := &attempt{}
	is.True(!a.startedBefore(first))
	a.bind(now, first)
	is.True(!a.startedBefore(first))
	is.True(a.startedBefore(second))
	a.bind(now, second)
	is.True(a.startedBefore(second))
}

// TestTimesOfASubmission checks that the times of a submission, which are relative to a time
// before it was made, yield the arrival and the deadline of the caller.
func TestTimesOfASubmission(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a := &attempt{arrived: now.Add(-100 * time.Millisecond), deadline: now.Add(time.Second)}
	const before = 20 * time.Millisecond
	waited, left := a.times(now, before)
	is.Equal(now.Add(-before).Add(-waited), a.arrived)
	is.Equal(now.Add(-before).Add(left), a.deadline)
}
