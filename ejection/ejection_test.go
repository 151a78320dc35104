package ejection

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

const second = time.Second

func newDetector(servers int) *Detector[int] {
	d := NewDetector[int](Config{MaxShare: 0.3, Failures: 3, MinProbe: second, MaxProbe: 8 * second})
	names := make([]int, servers)
	for i := range names {
		names[i] = i
	}
	d.SetServers(names)
	return d
}

func (d *Detector[Name]) fail(n Name, times int) Change {
	last := None
	for range times {
		last = d.Failed(start, n)
	}
	return last
}

func TestFailingServerIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	d := newDetector(10)
	is.Equal(d.fail(0, 2), None)
	is.Equal(d.fail(0, 1), Ejected)
	is.True(!d.Allowed(start.Add(second-1), 0, true))
	is.True(d.Allowed(start.Add(second), 0, true))
	is.True(!d.Allowed(start.Add(second), 0, false)) // Work that is not retryable is not used for an early probe.
	is.True(d.Allowed(start.Add(10*second), 0, false))
	d.Started(start, 0)
	is.True(!d.Allowed(start.Add(second), 0, true)) // One probe at a time.
	is.Equal(d.Failed(start.Add(second), 0), None)
	is.True(!d.Allowed(start.Add(3*second-1), 0, true)) // The probe interval has doubled.
	is.True(d.Allowed(start.Add(3*second), 0, true))
	d.Started(start, 0)
	is.Equal(d.Answered(0), Returned)
	is.True(d.Allowed(start.Add(3*second), 0, false))
	is.Equal(d.Limit(start, 0), 1) // Slow start.
	d.Answered(0)
	is.Equal(d.Limit(start, 0), 1) // Nothing has started since.
	d.Started(start, 0)
	is.Equal(d.Limit(start, 0), 3)
	is.Equal(d.Limit(start.Add(3*slowStartDoubling), 0), 10)
}

func TestSomeFailuresDoNotEject(t *testing.T) {
	is := is.New(t)
	d := newDetector(10)
	for range 100 {
		is.Equal(d.fail(0, 2), None)
		d.Answered(0)
	}
	is.Equal(len(d.EjectedServers()), 0)
}

func TestShareOfEjectedServersIsBounded(t *testing.T) {
	is := is.New(t)
	d := newDetector(10)
	for n := range 10 {
		d.fail(n, 10)
	}
	is.Equal(len(d.EjectedServers()), 3)
}

func TestServersThatFailLikeAllStay(t *testing.T) {
	is := is.New(t)
	d := newDetector(100)
	for range 20 {
		for n := range 90 {
			d.Failed(start, n+10)
			d.Answered(n + 10)
		}
	}
	for range 300 {
		for n := range 90 {
			d.Failed(start, n+10)
		}
	}
	d.fail(0, 3)
	is.Equal(len(d.EjectedServers()), 0) // The tasks fail on all servers.
}

func TestHintOfAPeerEjectsSooner(t *testing.T) {
	is := is.New(t)
	d := newDetector(10)
	d.RecordHint(start, 4)
	is.Equal(d.fail(4, 1), Ejected)
	d.RecordHint(start.Add(-2*hintValidity), 5)
	is.Equal(d.fail(5, 1), None)
}
