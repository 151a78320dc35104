package evacuation_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
)

const (
	coastA = ident.DataCentre("coast-a")
	coastB = ident.DataCentre("coast-b")
)

var begin = time.Unix(1_800_000_000, 0)

// TestMerge guards against a state that returns to an older one, or that is lost to a host
// that knows nothing.
func TestMerge(t *testing.T) {
	tests := map[string]struct {
		own, other, merged evacuation.State
	}{
		"nothing is known":                {},
		"the other one knows nothing":     {own: evacuation.NewState(3, coastA), merged: evacuation.NewState(3, coastA)},
		"only the other one knows":        {other: evacuation.NewState(3, coastA), merged: evacuation.NewState(3, coastA)},
		"the table has no rows":           {other: evacuation.NewState(0), merged: evacuation.NewState(0)},
		"a request is new":                {own: evacuation.NewState(3), other: evacuation.NewState(4, coastA), merged: evacuation.NewState(4, coastA)},
		"a request is withdrawn":          {own: evacuation.NewState(4, coastA), other: evacuation.NewState(5), merged: evacuation.NewState(5)},
		"a withdrawal has not come there": {own: evacuation.NewState(5), other: evacuation.NewState(4, coastA), merged: evacuation.NewState(5)},
		"pages of one read differ": {
			own: evacuation.NewState(4, coastA), other: evacuation.NewState(4, coastB), merged: evacuation.NewState(4, coastB, coastA),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.own.Merge(test.other), test.merged)
		})
	}
}

// TestAccess guards against starts in an evacuated data centre, and of a process that does not
// know yet whether there is one.
func TestAccess(t *testing.T) {
	is := is.New(t)
	is.Equal(evacuation.State{}.Access(coastA), evacuation.Unknown)
	is.Equal(evacuation.NewState(0).Access(coastA), evacuation.Open)
	is.Equal(evacuation.NewState(7, coastA).Access(coastA), evacuation.Evacuated)
	is.Equal(evacuation.NewState(7, coastA).Access(coastB), evacuation.Open)
}

// contact lets one host contact another one.
func contact(now time.Time, from, to *evacuation.Tracker) (told int) {
	asked := from.Request(now)
	if asked != nil {
		to.Observe(now, *asked)
		told++
	}
	if answer := to.Answer(asked); answer != nil {
		from.Observe(now, *answer)
		told++
	}
	return told
}

// TestContactsSpreadTheNewestState has one of four hosts read the table while the others are
// cut off from it. Each sequence of contacts that connects all hosts must bring the newest
// state to all of them, and hosts that agree on no evacuation must exchange nothing.
func TestContactsSpreadTheNewestState(t *testing.T) {
	states := []evacuation.State{
		evacuation.NewState(1), evacuation.NewState(4, coastA), evacuation.NewState(6, coastA, coastB), evacuation.NewState(9),
	}
	for seed := range uint64(200) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		hosts := make([]evacuation.Tracker, 4)
		now := begin
		for _, s := range states {
			reader := &hosts[random.IntN(len(hosts))]
			reader.Observe(now, s)
			for range 60 {
				now = now.Add(10 * time.Millisecond)
				from, to := random.IntN(len(hosts)), random.IntN(len(hosts))
				if from != to {
					contact(now, &hosts[from], &hosts[to])
				}
			}
			for i := range hosts {
				is.Equal(hosts[i].State(), s) // one that nobody contacted is the fault
			}
		}
		now = now.Add(time.Minute)
		for i := range hosts {
			is.Equal(contact(now, &hosts[i], &hosts[(i+1)%len(hosts)]), 0)
		}
	}
}

// TestEndOfAnEvacuationIsTold guards against a host that never hears of an end because it is
// contacted but contacts nobody who knows of it.
func TestEndOfAnEvacuationIsTold(t *testing.T) {
	is := is.New(t)
	var ended, evacuated evacuation.Tracker
	ended.Observe(begin, evacuation.NewState(5))
	evacuated.Observe(begin, evacuation.NewState(4, coastA))
	is.Equal(contact(begin, &ended, &evacuated), 1)
	is.Equal(contact(begin, &ended, &evacuated), 2)
	is.Equal(evacuated.State(), evacuation.NewState(5))
}

// TestChangeIsReportedOnce guards against log lines that repeat with each answer of the table.
func TestChangeIsReportedOnce(t *testing.T) {
	is := is.New(t)
	var x evacuation.Tracker
	c := x.Observe(begin, evacuation.NewState(1))
	is.Equal(c, evacuation.Change{Learned: true})
	c = x.Observe(begin, evacuation.NewState(2, coastA))
	is.Equal(c.Began, []ident.DataCentre{coastA})
	c = x.Observe(begin, evacuation.NewState(3, coastA, coastB))
	is.Equal(c.Began, []ident.DataCentre{coastB})
	c = x.Observe(begin, evacuation.NewState(4, coastA, coastB))
	is.True(c.IsEmpty())
	c = x.Observe(begin, evacuation.NewState(5, coastB))
	is.Equal(c.Ended, []ident.DataCentre{coastA})
}

// TestFate guards against a second run of a task that is done or at work, and against jobs
// that hang until their deadline.
func TestFate(t *testing.T) {
	tests := map[string]struct {
		job  evacuation.Job
		fate evacuation.Fate
	}{
		"it waits":                              {job: evacuation.Job{Waiting: true}, fate: evacuation.Return},
		"all its tasks run":                     {job: evacuation.Job{Begun: true, Running: true}},
		"some of its tasks run":                 {job: evacuation.Job{Begun: true, Waiting: true, Running: true}},
		"an earlier submission of it runs":      {job: evacuation.Job{Waiting: true, Running: true}},
		"its tasks have run, and others wait":   {job: evacuation.Job{Begun: true, Waiting: true}, fate: evacuation.Interrupt},
		"an earlier owner may have its runs":    {job: evacuation.Job{Waiting: true, Resubmitted: true, Unsettled: true}},
		"the runs of an earlier owner are over": {job: evacuation.Job{Waiting: true, Resubmitted: true}, fate: evacuation.Interrupt},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.job.Fate(), test.fate)
		})
	}
}

// TestStateIsSorted guards against states of one revision that differ by the order of rows.
func TestStateIsSorted(t *testing.T) {
	is := is.New(t)
	s := evacuation.NewState(1, coastB, coastA, coastB)
	is.True(slices.IsSorted(s.Evacuated))
	is.Equal(len(s.Evacuated), 2)
}
