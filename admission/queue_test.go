package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newQueue(shares map[ident.Team]Share) *Queue[int] {
	q := NewQueue[int](Config{Jitter: func() float64 { return 0.5 }})
	q.SetShares(100_000, shares)
	return q
}

func job(team ident.Team, key string) Flow {
	return Flow{Job: ident.Job{Team: team, Key: ident.JobKey(key)}}
}

func (q *Queue[Item]) pushTasks(team ident.Team, f Flow, n int) {
	for range n {
		var i Item
		q.Push(start, &Entry[Item]{Item: i, Team: team, Flow: f})
	}
}

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		shares map[ident.Team]Share
		push   func(q *Queue[int])
		// starts is the number of the first 100 starts that each flow gets.
		starts map[Flow]int
	}{
		"teams by weight": {
			shares: map[ident.Team]Share{"a": {Weight: 3}, "b": {Weight: 1}},
			push: func(q *Queue[int]) {
				q.pushTasks("a", job("a", "1"), 500)
				q.pushTasks("b", job("b", "1"), 500)
			},
			starts: map[Flow]int{job("a", "1"): 75, job("b", "1"): 25},
		},
		"a small job does not wait for a large one": {
			push: func(q *Queue[int]) {
				q.pushTasks("a", job("a", "large"), 1300)
				q.pushTasks("a", job("a", "small"), 10)
				q.pushTasks("a", Flow{Service: "call"}, 5)
			},
			starts: map[Flow]int{job("a", "large"): 85, job("a", "small"): 10, {Service: "call"}: 5},
		},
		"many jobs give a team no larger share": {
			push: func(q *Queue[int]) {
				for i := range 9 {
					q.pushTasks("a", job("a", fmt.Sprint(i)), 100)
				}
				q.pushTasks("b", job("b", "1"), 100)
			},
			starts: map[Flow]int{job("b", "1"): 50},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue(test.shares)
			test.push(q)
			got := map[Flow]int{}
			for range 100 {
				got[q.Pop(start).Flow]++
			}
			for f, n := range test.starts {
				is.True(got[f] >= n-1 && got[f] <= n+1)
			}
		})
	}
}

func TestLongTasksOfAJobStartFirst(t *testing.T) {
	is := is.New(t)
	q := newQueue(nil)
	for i, d := range []time.Duration{2, 9, 4, 9} {
		q.Push(start, &Entry[int]{Item: i, Team: "a", Flow: job("a", "1"), RunTime: d * time.Second})
	}
	var order []int
	for e := q.Pop(start); e != nil; e = q.Pop(start) {
		order = append(order, e.Item)
	}
	is.Equal(order, []int{1, 3, 2, 0})
}

func TestRequeuedEntryStartsNext(t *testing.T) {
	is := is.New(t)
	q := newQueue(nil)
	q.pushTasks("b", job("b", "1"), 3)
	for i := range 3 {
		q.Push(start, &Entry[int]{Item: i, Team: "a", Flow: job("a", "1")})
	}
	first := q.Pop(start)
	if first.Team != "a" {
		first = q.Pop(start)
	}
	is.True(q.Requeue(first))
	is.Equal(q.Pop(start), first)
}

func TestDroppedFlowNeverStarts(t *testing.T) {
	is := is.New(t)
	q := newQueue(nil)
	q.pushTasks("a", job("a", "1"), 3)
	bound := q.Pop(start)
	is.Equal(q.Drop("a", job("a", "1")), 2)
	is.Equal(q.Len(), 0)
	is.Equal(q.Pop(start), nil)
	is.True(!q.Requeue(bound)) // A refused task of a cancelled job must not come back.
	is.Equal(q.Pop(start), nil)

	q.pushTasks("a", job("a", "2"), 1)
	last := q.Pop(start)
	is.Equal(q.Drop("a", job("a", "2")), 0)
	is.True(!q.Requeue(last))
}

func TestQuotaBoundsStarts(t *testing.T) {
	is := is.New(t)
	q := newQueue(map[ident.Team]Share{"a": {Rate: 10}})
	q.pushTasks("a", job("a", "1"), 1000)
	q.pushTasks("b", job("b", "1"), 1000)
	got := map[ident.Team]int{}
	for ms := range 10_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%10 == 0 {
			got[q.Pop(now).Team]++
		}
	}
	is.True(got["a"] >= 100 && got["a"] <= 10*(10+burstSeconds)) // Ten seconds of the rate and the burst.
	is.Equal(got["a"]+got["b"], 1000)                            // The rest goes to the other team.
}

func TestRefusals(t *testing.T) {
	// queueWithRate returns a queue with a measured rate of 100 starts per second.
	queueWithRate := func(shares map[ident.Team]Share, waiting int) *Queue[int] {
		q := newQueue(shares)
		q.pushTasks("a", job("a", "1"), waiting+1000)
		for i := range 1000 {
			q.Pop(start.Add(time.Duration(i) * 10 * time.Millisecond))
		}
		return q
	}
	now := start.Add(10 * time.Second)
	tests := map[string]struct {
		queue   *Queue[int]
		arrival Arrival
		code    outcome.Code
		after   time.Duration
	}{
		"short queue":   {queueWithRate(nil, 100), Arrival{Team: "a", Entries: 1, MaxWait: 2 * time.Second}, "", 0},
		"long queue":    {queueWithRate(nil, 400), Arrival{Team: "a", Entries: 1, MaxWait: 2 * time.Second}, outcome.QueueFull, 2 * time.Second},
		"another team":  {queueWithRate(nil, 400), Arrival{Team: "b", Entries: 1, MaxWait: 2 * time.Second}, "", 0},
		"full":          {queueWithRate(nil, 98_000), Arrival{Team: "b", Entries: 2001}, outcome.QueueFull, maxRetryAfter},
		"full share":    {queueWithRate(map[ident.Team]Share{"a": {Limit: 500}}, 400), Arrival{Team: "a", Entries: 101}, outcome.QuotaExceeded, 2 * time.Second},
		"deadline":      {queueWithRate(nil, 0), Arrival{Team: "a", Entries: 1300, Deadline: now.Add(5 * time.Second)}, outcome.DeadlinePassed, minRetryAfter},
		"far deadline":  {queueWithRate(nil, 0), Arrival{Team: "a", Entries: 1300, Deadline: now.Add(15 * time.Second)}, "", 0},
		"no rate known": {newQueue(nil), Arrival{Team: "a", Entries: 1300, Deadline: now.Add(time.Second)}, "", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := test.queue.Admit(now, test.arrival)
			if test.code == "" {
				is.Equal(e, nil)
				return
			}
			is.Equal(e.Kind, outcome.NotRun)
			is.Equal(e.Code, test.code)
			is.True(e.RetryAfter > test.after*9/10 && e.RetryAfter < test.after*11/10)
		})
	}
}

func TestOldEntriesExpire(t *testing.T) {
	is := is.New(t)
	q := newQueue(nil)
	for i := range 10 {
		q.Push(start, &Entry[int]{Item: i, Team: "a", Flow: Flow{Service: "call"}, ExpiresAt: start.Add(time.Duration(10-i) * time.Second)})
	}
	is.Equal(q.WakeTime(), start.Add(time.Second))
	expired := q.Expire(start.Add(3 * time.Second))
	is.Equal(len(expired), 3)
	is.Equal(expired[0].Item, 9)
	is.Equal(q.Len(), 7)
	is.Equal(q.ExpiryRefusal("a").Kind, outcome.NotRun)
}

// TestLargeQueue guards against a queue of 100,000 entries that takes too much
// memory. It measures bytes, not time.
func TestLargeQueue(t *testing.T) {
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := newQueue(nil)
	for i := range 100 {
		q.pushTasks("a", job("a", fmt.Sprint(i)), 1000)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	is.True(after.HeapAlloc-before.HeapAlloc < 32<<20) // 100,000 entries.
	for i := range 50 {
		is.Equal(q.Drop("a", job("a", fmt.Sprint(i))), 1000)
	}
	is.Equal(q.Len(), 50_000)
	t.Logf("%d bytes an entry", (after.HeapAlloc-before.HeapAlloc)/100_000)
}

func BenchmarkPushPop(b *testing.B) {
	q := newQueue(nil)
	q.pushTasks("a", job("a", "1"), 100_000)
	for b.Loop() {
		e := q.Pop(start)
		q.Requeue(e)
	}
}

// TestIdleTimeDoesNotLowerTheRate empties the queue without a start, and then fills it again
// after some time. The rate at which work starts must not count the time between.
func TestIdleTimeDoesNotLowerTheRate(t *testing.T) {
	tests := map[string]func(q *Queue[int], last *Entry[int]){
		"expired": func(q *Queue[int], _ *Entry[int]) { q.Expire(start.Add(time.Second)) },
		"dropped": func(q *Queue[int], _ *Entry[int]) { q.Drop("a", Flow{Service: "last"}) },
	}
	for name, empty := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue(nil)
			push := func(now time.Time, f Flow) *Entry[int] {
				e := &Entry[int]{Team: "a", Flow: f}
				if name == "expired" {
					e.ExpiresAt = now.Add(time.Second)
				}
				q.Push(now, e)
				return e
			}
			push(start, Flow{Service: "call"})
			last := push(start, Flow{Service: "last"})
			is.True(q.Pop(start) != nil)
			empty(q, last)
			is.Equal(q.Len(), 0)
			later := start.Add(time.Minute)
			for range 10 {
				push(later, Flow{Service: "call"})
			}
			for n := range 6 {
				is.True(q.Pop(later.Add(time.Duration(n)*100*time.Millisecond)) != nil)
			}
			t.Log(q.drain.rate)
			is.True(q.drain.rate == 0 || q.drain.rate > 5) // Ten a second start.
			is.True(q.Admit(later.Add(time.Second), Arrival{Team: "a", Entries: 1, MaxWait: 5 * time.Second}) == nil)
		})
	}
}

// TestRateOfAStallIsForgotten measures a low rate while the host stands still for some
// seconds. Later callers must not be refused for it: a queue that refuses them has no
// backlog by which it could measure again.
func TestRateOfAStallIsForgotten(t *testing.T) {
	is := is.New(t)
	q := newQueue(nil)
	push := func(now time.Time, n int) {
		for range n {
			q.Push(now, &Entry[int]{Team: "a", Flow: Flow{Service: "call"}})
		}
	}
	push(start, 4)
	q.Pop(start)
	stalled := start.Add(8 * time.Second)
	q.Pop(stalled)
	is.True(q.drain.rate > 0 && q.drain.rate < 1)
	arrival := Arrival{Team: "a", Entries: 1, MaxWait: 5 * time.Second}
	is.True(q.Admit(stalled, arrival) != nil)
	for now := stalled; q.Len() > 0; now = now.Add(50 * time.Millisecond) {
		q.Pop(now)
	}
	refused := 0
	for ms := 0; ms < 10_000; ms += 100 {
		now := stalled.Add(time.Duration(ms) * time.Millisecond)
		push(now, 3)
		if q.Admit(now, arrival) != nil {
			refused++
		}
		for q.Len() > 0 {
			q.Pop(now)
		}
	}
	is.True(refused <= 20) // Two seconds of ten.
}
