// Package patience recognizes callers that come again after their connection broke, by
// how much less long they still wait than others. It is meant for the second after all
// hosts have lost power or a data centre was cut off: half of the callers then come again,
// and an answer is of no more use to those with short jobs. Served in the order of their
// arrival, they would make all others late too. The package has no side effects.
package patience

import (
	"cmp"
	"time"

	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/work"
)

const (
	// windowLength is the number of recent calls of a queue that are compared.
	windowLength = 64
	// minCalls is the number of calls from which they are.
	minCalls = 8
	// usualQuantile is the quantile of the patience that counts as usual: the median of
	// the other callers if half of all come again.
	usualQuantile = 0.75
	// shorterShare is the share of the resend delay by which the patience of a caller
	// that comes again is below the usual one, with allowance for its spread.
	shorterShare = 0.6
	// minShare is the share of callers with so little patience from which they are taken
	// to come again. With fewer, patience merely differs.
	minShare = 0.25
)

// Tracker compares the patience of the callers of each queue, which is the time for which
// they wait when their call arrives.
type Tracker struct {
	resendDelay time.Duration
	windows     map[work.Queue]*window
}

// NewTracker returns a Tracker for callers that come again resendDelay after their
// connection broke. Zero means that they never do.
func NewTracker(resendDelay time.Duration) *Tracker {
	return &Tracker{resendDelay: resendDelay, windows: map[work.Queue]*window{}}
}

// window holds the patience of the last callers of a queue.
type window struct {
	calls  []call
	next   int
	sorted index.Sorted[call]
	number uint64
}

// call is the patience of one caller. Calls are numbered, so that equal ones differ.
type call struct {
	patience time.Duration
	number   uint64
}

func compareCalls(a, b call) int {
	return cmp.Or(cmp.Compare(a.patience, b.patience), cmp.Compare(a.number, b.number))
}

// Observe records the patience of a caller.
func (t *Tracker) Observe(q work.Queue, patience time.Duration) {
	w := t.windows[q]
	if w == nil {
		w = &window{sorted: index.NewSorted(compareCalls)}
		t.windows[q] = w
	}
	w.number++
	c := call{patience: patience, number: w.number}
	if len(w.calls) < windowLength {
		w.calls = append(w.calls, c)
	} else {
		w.sorted.Remove(w.calls[w.next])
		w.calls[w.next] = c
		w.next = (w.next + 1) % windowLength
	}
	w.sorted.Insert(c)
}

// HasComeAgain returns true if a caller with the given patience seems to have come again.
func (t *Tracker) HasComeAgain(q work.Queue, patience time.Duration) bool {
	w := t.windows[q]
	if w == nil || len(w.calls) < minCalls || t.resendDelay == 0 {
		return false
	}
	calls := w.sorted.Items()
	usual := calls[int(usualQuantile*float64(len(calls)))].patience
	limit := usual - time.Duration(shorterShare*float64(t.resendDelay))
	return patience < limit && float64(w.sorted.CountBefore(call{patience: limit})) >= minShare*float64(len(calls))
}
