package sharing

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/work"
)

var origin = time.Unix(1_800_000_000, 0)

// testJob returns a job of one task that takes the given number of core-seconds.
func testJob(q work.Queue, coreSeconds int) *work.Job {
	return &work.Job{Queue: q, Steps: []work.Step{{Count: 1, Size: work.Size{Cores: coreSeconds}, Estimate: time.Second}}}
}

// offerFor offers the given core-seconds of each queue in each second, in ten jobs.
func (s *Shares) offerFor(from time.Time, seconds int, demands map[work.Queue]int) time.Time {
	for i := range 10 * seconds {
		now := from.Add(time.Duration(i) * 100 * time.Millisecond)
		for q, coreSeconds := range demands {
			s.Offer(now, testJob(q, coreSeconds/10))
		}
		s.Tick(now, "pool", 0)
	}
	return from.Add(time.Duration(seconds) * time.Second)
}

// TestBurstHardlyChangesTheUsualDemand has a queue submit three times its usual demand for some
// seconds. A mean over the same time would grow by more than half.
func TestBurstHardlyChangesTheUsualDemand(t *testing.T) {
	for _, seconds := range [...]int{4, 8} {
		t.Run(fmt.Sprint(seconds, " s"), func(t *testing.T) {
			is := is.New(t)
			s := &Shares{}
			now := s.offerFor(origin, 25, map[work.Queue]int{"a": 1000})
			s.offerFor(now, seconds, map[work.Queue]int{"a": 3000})
			is.True(s.queue("a").weight >= 990 && s.queue("a").weight <= 1010)
		})
	}
}

// TestUsualDemandIsLearnedQuickly checks that the shares of two queues are known 3 s after the
// beginning of an ownership, and that a change that lasts is learned within 12 s.
func TestUsualDemandIsLearnedQuickly(t *testing.T) {
	is := is.New(t)
	s := &Shares{}
	now := s.offerFor(origin, 3, map[work.Queue]int{"a": 3000, "b": 1000})
	is.True(s.share(s.queue("a"), 100) > 73 && s.share(s.queue("a"), 100) < 77)
	s.offerFor(now, 12, map[work.Queue]int{"a": 3000, "b": 3000})
	is.True(s.share(s.queue("b"), 100) > 48 && s.share(s.queue("b"), 100) < 52)
}

// TestSparseQueueHasAShare checks that a queue with a job every few seconds, whose median demand is
// zero, keeps a share, and that a queue without jobs is forgotten.
func TestSparseQueueHasAShare(t *testing.T) {
	is := is.New(t)
	s := &Shares{}
	now := origin
	for range 10 {
		s.Offer(now, testJob("sparse", 5000))
		now = s.offerFor(now, 5, map[work.Queue]int{"a": 1000})
	}
	is.True(s.share(s.queue("sparse"), 100) > 20)
	s.offerFor(now, 25, map[work.Queue]int{"a": 1000})
	is.Equal(len(s.queues), 1)
}

// short returns the state of a pool that is short of capacity. Queue a has a usual demand of
// 750 core-seconds per second and b of 250. The mean run time is 100 ms.
func short() (*Shares, time.Time) {
	s := &Shares{}
	now := s.offerFor(origin, 5, map[work.Queue]int{"a": 750, "b": 250})
	for _, q := range [...]work.Queue{"a", "b"} {
		s.Ran(q, 100*time.Millisecond)
		s.Use(q, 500)
		s.Wait(q, 0, now.Add(time.Second), 1000)
	}
	for range 10 {
		now = now.Add(25 * time.Millisecond)
		s.Tick(now, "pool", 0)
	}
	return s, now
}

// TestShortageBeginsAndEndsLate checks that a pool is short only if much work waits for some time:
// a job that waits for the end of the run before it must not change the order.
func TestShortageBeginsAndEndsLate(t *testing.T) {
	tests := map[string]struct {
		waiting  int
		duration time.Duration
		short    bool
	}{
		"much work waits":           {waiting: 1000, duration: 150 * time.Millisecond, short: true},
		"much work waits for 50 ms": {waiting: 1000, duration: 50 * time.Millisecond},
		"little work waits":         {waiting: 200, duration: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Shares{}
			now := s.offerFor(origin, 5, map[work.Queue]int{"a": 1000})
			s.Ran("a", 100*time.Millisecond)
			s.Use("a", 1000)
			s.Wait("a", 0, now, test.waiting)
			for end := now.Add(test.duration); now.Before(end); now = now.Add(25 * time.Millisecond) {
				s.Tick(now, "pool", 0)
			}
			is.Equal(s.IsShort(), test.short)
			s.Wait("a", 0, origin.Add(5*time.Second), -test.waiting)
			is.True(!s.IsShort()) // Nothing waits.
		})
	}
}

// TestQueueOverItsShareComesLast checks which queue is over its share, and the expected wait in it.
func TestQueueOverItsShareComesLast(t *testing.T) {
	is := is.New(t)
	s, now := short()
	is.True(!s.IsOver("a"))
	is.True(s.IsOver("b"))
	// Queue a, below what is guaranteed to it, gets the 500 cores that its own runs free in 100 ms
	// and the 500 of b; b gets those of its own runs. Tasks that must start earlier come before
	// others.
	is.Equal(s.WaitFor("a", 0, now, 1000), 100*time.Millisecond)
	is.Equal(s.WaitFor("b", 0, now, 500), 100*time.Millisecond)
	is.Equal(s.WaitFor("b", 0, now.Add(2*time.Second), 0), overtaking*200*time.Millisecond)
}

// TestCallersComeBackOneAfterTheOther checks that refused callers are spread over the spare
// capacity after the expected end of a shortage, within bounds.
func TestCallersComeBackOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	s, now := short()
	last := time.Duration(0)
	for i := range 100 {
		preview := s.PreviewRetryAfter(now, testJob("a", 50))
		d := s.RetryAfter(now, testJob("a", 50))
		is.Equal(preview, d) // A preview must book nothing.
		if i == 0 {
			is.True(d > 5*time.Second && d <= shortageLength)
		}
		is.True(d >= last && d <= maxRetryAfter)
		last = d
	}
	is.Equal(last, maxRetryAfter)
}

// TestShortageIsReportedOnce has a pool become short again and again. Its begin and its end must be
// reported once, with the largest shares.
func TestShortageIsReportedOnce(t *testing.T) {
	is := is.New(t)
	s, now := short()
	var reports []Shortage
	for i := range 400 {
		if i < 200 && i%20 == 10 {
			s.Wait("a", 0, now, 5000)
		}
		if i < 200 && i%20 == 0 {
			s.queues["a"].backlog, s.queues["b"].backlog, s.waiting = backlog{}, backlog{}, 0
		}
		if i == 200 {
			s.queues["a"].backlog, s.queues["b"].backlog, s.waiting = backlog{}, backlog{}, 0
		}
		now = now.Add(25 * time.Millisecond)
		if x, ok := s.Tick(now, "pool", 0); ok {
			reports = append(reports, x)
		}
	}
	is.Equal(len(reports), 1) // The begin was reported before.
	is.True(reports[0].Ended)
	is.True(reports[0].Took >= 4*time.Second)
	is.Equal(reports[0].Queues[0].Queue, work.Queue("a"))
}

// TestListOrder checks the order of items: groups over their share last, and the fixed order
// within.
func TestListOrder(t *testing.T) {
	is := is.New(t)
	l := NewList(func(x int) string { return map[bool]string{true: "even", false: "odd"}[x%2 == 0] }, cmp.Compare[int])
	for _, x := range [...]int{5, 2, 4, 1, 3} {
		l.Insert(x)
	}
	none := func(string) bool { return false }
	odd := func(g string) bool { return g == "odd" }
	all := func(string) bool { return true }
	is.Equal(l.Items(none), []int{1, 2, 3, 4, 5})
	is.Equal(l.Items(odd), []int{2, 4, 1, 3, 5})
	is.True(!l.HasBefore(2, odd, all))
	is.True(l.HasBefore(1, odd, all))
	is.True(!l.HasBefore(1, odd, odd)) // Only odd items compete.
	l.Remove(2)
	l.Remove(4)
	is.Equal(l.Len(), 3)
	is.Equal(l.Items(none), []int{1, 3, 5})
}

// TestQueueNamesAreBounded checks that callers cannot create labels of counters without end.
func TestQueueNamesAreBounded(t *testing.T) {
	is := is.New(t)
	var n Names
	for i := range 2 * maxNames {
		n.Label(work.Queue(fmt.Sprint(i)))
	}
	is.Equal(n.Label("0"), "0")
	is.Equal(n.Label("new"), OtherQueues)
}
