package ejection

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const second = time.Second

func newJudge(servers int) *Judge[int] {
	j := NewJudge[int](Config{MaxShare: 0.3, Failures: 3, MinProbe: second, MaxProbe: 8 * second})
	names := make([]int, servers)
	for i := range names {
		names[i] = i
	}
	j.SetServers(names)
	return j
}

func (j *Judge[Name]) fail(n Name, times int) Change {
	last := None
	for range times {
		last = j.Failed(start, n)
	}
	return last
}

func TestFailingServerIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	j := newJudge(10)
	is.Equal(j.fail(0, 2), None)
	is.Equal(j.fail(0, 1), Ejected)
	is.True(!j.Allowed(start.Add(second-1), 0, true))
	is.True(j.Allowed(start.Add(second), 0, true))
	is.True(!j.Allowed(start.Add(second), 0, false)) // A task of a job is not used for an early trial.
	is.True(j.Allowed(start.Add(10*second), 0, false))
	j.Started(start, 0)
	is.True(!j.Allowed(start.Add(second), 0, true)) // One trial at a time.
	is.Equal(j.Failed(start.Add(second), 0), None)
	is.True(!j.Allowed(start.Add(3*second-1), 0, true)) // The next trial is later.
	is.True(j.Allowed(start.Add(3*second), 0, true))
	j.Started(start, 0)
	is.Equal(j.Answered(0), Returned)
	is.True(j.Allowed(start.Add(3*second), 0, false))
	is.Equal(j.Limit(start, 0), 1) // Starts slowly.
	j.Answered(0)
	is.Equal(j.Limit(start, 0), 1) // Nothing has started since.
	j.Started(start, 0)
	is.Equal(j.Limit(start, 0), 3)
	is.Equal(j.Limit(start.Add(3*warmTime), 0), 10)
}

func TestSomeFailuresDoNotEject(t *testing.T) {
	is := is.New(t)
	j := newJudge(10)
	for range 100 {
		is.Equal(j.fail(0, 2), None)
		j.Answered(0)
	}
	is.Equal(len(j.List()), 0)
}

func TestShareOfEjectedServersIsBounded(t *testing.T) {
	is := is.New(t)
	j := newJudge(10)
	for n := range 10 {
		j.fail(n, 10)
	}
	is.Equal(len(j.List()), 3)
}

func TestServersThatFailLikeAllStay(t *testing.T) {
	is := is.New(t)
	j := newJudge(100)
	for range 20 {
		for n := range 90 {
			j.Failed(start, n+10)
			j.Answered(n + 10)
		}
	}
	for range 300 {
		for n := range 90 {
			j.Failed(start, n+10)
		}
	}
	j.fail(0, 3)
	is.Equal(len(j.List()), 0) // The tasks are bad, not the servers.
}

func TestHintOfAPeerEjectsSooner(t *testing.T) {
	is := is.New(t)
	j := newJudge(10)
	j.Hint(start, 4)
	is.Equal(j.fail(4, 1), Ejected)
	j.Hint(start.Add(-2*hintTime), 5)
	is.Equal(j.fail(5, 1), None)
}
