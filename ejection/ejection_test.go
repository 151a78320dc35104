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
	is.True(!j.Allowed(start.Add(second), 0, false)) // Work that is not retryable is not used for an early probe.
	is.True(j.Allowed(start.Add(10*second), 0, false))
	j.Started(start, 0)
	is.True(!j.Allowed(start.Add(second), 0, true)) // One probe at a time.
	is.Equal(j.Failed(start.Add(second), 0), None)
	is.True(!j.Allowed(start.Add(3*second-1), 0, true)) // The probe interval has doubled.
	is.True(j.Allowed(start.Add(3*second), 0, true))
	j.Started(start, 0)
	is.Equal(j.Answered(0), Returned)
	is.True(j.Allowed(start.Add(3*second), 0, false))
	is.Equal(j.Limit(start, 0), 1) // Slow start.
	j.Answered(0)
	is.Equal(j.Limit(start, 0), 1) // Nothing has started since.
	j.Started(start, 0)
	is.Equal(j.Limit(start, 0), 3)
	is.Equal(j.Limit(start.Add(3*slowStartDoubling), 0), 10)
}

func TestSomeFailuresDoNotEject(t *testing.T) {
	is := is.New(t)
	j := newJudge(10)
	for range 100 {
		is.Equal(j.fail(0, 2), None)
		j.Answered(0)
	}
	is.Equal(len(j.EjectedServers()), 0)
}

func TestShareOfEjectedServersIsBounded(t *testing.T) {
	is := is.New(t)
	j := newJudge(10)
	for n := range 10 {
		j.fail(n, 10)
	}
	is.Equal(len(j.EjectedServers()), 3)
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
	is.Equal(len(j.EjectedServers()), 0) // The tasks fail on all servers.
}

func TestHintOfAPeerEjectsSooner(t *testing.T) {
	is := is.New(t)
	j := newJudge(10)
	j.RecordHint(start, 4)
	is.Equal(j.fail(4, 1), Ejected)
	j.RecordHint(start.Add(-2*hintValidity), 5)
	is.Equal(j.fail(5, 1), None)
}
