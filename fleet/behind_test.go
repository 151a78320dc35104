package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/throttle"
	"github.com/catkingap/catkingap/work"
)

// TestJobForAnOwnerThatIsBehind has callers send jobs while the only owner is a second
// late: most are refused as not run at once, without a message to the owner, and none
// once it has caught up.
func TestJobForAnOwnerThatIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const centre = ident.DataCentre("coast-a")
		o := ownership.Owner{DataCentre: centre, Host: "owner", Boot: "b", Address: "coast-a:1"}
		now := time.Now()
		logger := &log.Logger{Handler: discard.New()}
		c := &Contacts{
			clock: time.Now, self: ownership.Host{Name: "self", DataCentre: centre},
			loads: map[ident.DataCentre]dispatch.Load{}, gates: map[ident.DataCentre]*throttle.Gate{},
			contacts: map[ident.Host]ownership.Contact{"owner": {Boot: "b", Heard: now.Add(time.Minute)}},
		}
		s := &Submitter{
			self: c.self, watch: newWatch(time.Now, logger), contacts: c, wants: newWants(), logger: logger,
			directory: &Directory{owners: map[ident.DataCentre]ownership.Owner{centre: o}},
		}
		held := func() bool {
			a := &attempt{job: work.Job{Steps: make([]work.Step, 1)}, deadline: now.Add(time.Minute), gates: map[ident.DataCentre]bool{}}
			if s.passes(a, centre) {
				return false
			}
			s.watch.turn(time.Now())
			began := time.Now()
			r := s.run(t.Context(), a)
			is.Equal(time.Since(began), time.Duration(0))
			is.Equal(r.Result, dispatch.Refused)
			is.True(r.RetryAfter > 0)
			is.Equal(a.tries, 0)
			return true
		}
		count := func() int {
			n := 0
			for range 100 {
				if held() {
					n++
				}
			}
			return n
		}
		is.Equal(count(), 0)
		c.SetLoad(centre, dispatch.Load{Delay: time.Second})
		is.True(count() > 80)
		for range 20 {
			time.Sleep(60 * time.Millisecond)
			c.SetLoad(centre, dispatch.Load{})
		}
		is.Equal(count(), 0)
	})
}

// TestStartedJobOfAnOwnerThatIsBehind has a job that may have begun wait for its owner,
// also if it was not handed to another one that is behind.
func TestStartedJobOfAnOwnerThatIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Now()
		logger := &log.Logger{Handler: discard.New()}
		s := &Submitter{
			watch: newWatch(time.Now, logger), wants: newWants(), logger: logger, directory: &Directory{},
			contacts: &Contacts{clock: time.Now},
		}
		s.owned.Store(now.UnixNano())
		s.watch.turn(now)
		a := &attempt{bound: "coast-a", boundAt: now, gates: map[ident.DataCentre]bool{"coast-b": false}, deadline: now.Add(200 * time.Millisecond)}
		r := s.run(t.Context(), a)
		is.Equal(r.Result, dispatch.Interrupted)
		is.Equal(r.Reason, "the deadline has passed")
	})
}

// TestReadingOfAnswers tells an owner that lacks processor time from one with some slow
// workers, from one that is far from its workers, and from one that was paused once.
func TestReadingOfAnswers(t *testing.T) {
	const quick, slow = 2 * time.Millisecond, 80 * time.Millisecond
	tests := map[string]struct {
		before      time.Duration
		quick, slow int
		reading     time.Duration
	}{
		"no answers":                   {before: quick},
		"a few slow ones":              {before: quick, slow: leastAnswers - 1},
		"all are quick":                {before: quick, quick: 20},
		"half of the workers are slow": {before: quick, quick: 10, slow: 10},
		"all are slow":                 {before: quick, slow: 20, reading: slow - quick},
		"all are far":                  {before: slow, slow: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l lag
			for range leastAnswers {
				l.answered(test.before)
			}
			l.tick(time.Now(), 0)
			for range test.quick {
				l.answered(quick)
			}
			for range test.slow {
				l.answered(slow)
			}
			l.tick(time.Now(), time.Second) // It was paused.
			is.Equal(time.Duration(l.reading.Load()), test.reading)
			for range 100 {
				l.tick(time.Now(), 0)
			}
			is.Equal(l.reading.Load(), int64(0))
		})
	}
}
