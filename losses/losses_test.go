package losses_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/losses"
)

const ms = time.Millisecond

func TestCause(t *testing.T) {
	ran := func(started, took time.Duration, done bool) losses.Run {
		return losses.Run{Started: started, Took: took, Done: done}
	}
	job := func(waited time.Duration, runs ...losses.Run) *losses.Dispatch {
		return &losses.Dispatch{Waited: waited, Objective: 156 * ms, Runs: runs}
	}
	tests := map[string]struct {
		call  losses.Call
		cause losses.Cause
	}{
		"in time":                 {call: losses.Call{Result: dispatch.Completed, Took: 100 * ms, Dispatch: job(0, ran(0, 90*ms, true))}},
		"no line of its owner":    {call: losses.Call{Result: dispatch.Completed, Took: time.Second}},
		"no owner for a while":    {call: losses.Call{Result: dispatch.Completed, Took: 300 * ms, Dispatch: job(200*ms, ran(0, 90*ms, true))}, cause: losses.NoOwner},
		"a task waited":           {call: losses.Call{Result: dispatch.Completed, Took: 200 * ms, Dispatch: job(0, ran(0, 60*ms, true), ran(110*ms, 80*ms, true))}, cause: losses.Queued},
		"a run was lost":          {call: losses.Call{Result: dispatch.Completed, Took: 200 * ms, Dispatch: job(0, ran(0, 60*ms, false), ran(110*ms, 80*ms, true))}, cause: losses.RunLost},
		"a slow run":              {call: losses.Call{Result: dispatch.Completed, Took: 200 * ms, Dispatch: job(0, ran(0, 60*ms, true), ran(0, 190*ms, true))}, cause: losses.RanLong},
		"refused":                 {call: losses.Call{Result: dispatch.Refused, Took: 3 * ms}, cause: losses.RefusedAtOnce},
		"refused after a while":   {call: losses.Call{Result: dispatch.Refused, Took: 300 * ms}, cause: losses.RefusedLater},
		"its owner was lost":      {call: losses.Call{Result: dispatch.Interrupted}, cause: losses.Interrupted},
		"its caller has left":     {call: losses.Call{Result: dispatch.Expired, Reason: "the caller has left"}, cause: losses.CallerLeft},
		"its caller has given up": {call: losses.Call{Result: dispatch.Expired, Reason: "the deadline has passed"}, cause: losses.DeadlinePassed},
		"a task has failed":       {call: losses.Call{Result: dispatch.Failed}, cause: losses.Failed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cause, lost := test.call.Cause()
			is.Equal(cause, test.cause)
			is.Equal(lost, test.cause != "")
		})
	}
}

func TestByWindow(t *testing.T) {
	is := is.New(t)
	zero := time.Unix(1_800_000_000, 0)
	calls := []losses.Call{
		{Ended: zero.Add(4500 * ms), Took: time.Second, Result: dispatch.Refused},
		{Ended: zero.Add(2500 * ms), Took: time.Second, Result: dispatch.Failed},
		{Ended: zero.Add(time.Second), Result: dispatch.Completed},
	}
	windows := losses.ByWindow(calls, 2*time.Second)
	is.Equal(len(windows), 2)
	is.Equal(windows[0], losses.Window{From: zero, Calls: 2, Lost: map[losses.Cause]int{losses.Failed: 1}})
	is.Equal(windows[1], losses.Window{From: zero.Add(2 * time.Second), Calls: 1, Lost: map[losses.Cause]int{losses.RefusedLater: 1}})
}
