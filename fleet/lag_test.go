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
	"github.com/catkingap/catkingap/livecalls"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/pause"
	"github.com/catkingap/catkingap/throttle"
	"github.com/catkingap/catkingap/work"
)

// TestJobForAnOwnerThatIsBehind submits jobs while the only owner lags by a second. Most
// must be refused at once without a message to the owner, and none once it has caught up.
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
			self: c.self, pauses: pause.New(time.Now, logger), contacts: c, calls: livecalls.NewTracker(), logger: logger,
			directory: &Directory{owners: map[ident.DataCentre]ownership.Owner{centre: o}},
		}
		held := func() bool {
			a := &attempt{job: work.Job{Steps: make([]work.Step, 1)}, deadline: now.Add(time.Minute), admitted: map[ident.DataCentre]bool{}}
			if s.isAdmitted(a, centre) {
				return false
			}
			s.pauses.Tick(time.Now())
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
		c.SetLoad(centre, dispatch.Load{Lag: time.Second})
		is.True(count() > 80)
		for range 20 {
			time.Sleep(60 * time.Millisecond)
			c.SetLoad(centre, dispatch.Load{})
		}
		is.Equal(count(), 0)
	})
}

// TestStartedJobOfAnOwnerThatIsBehind checks that a job that may have begun waits for its
// owner, even if it was withheld from another owner that lags.
func TestStartedJobOfAnOwnerThatIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		now := time.Now()
		logger := &log.Logger{Handler: discard.New()}
		s := &Submitter{
			pauses: pause.New(time.Now, logger), calls: livecalls.NewTracker(), logger: logger, directory: &Directory{},
			contacts: &Contacts{clock: time.Now},
		}
		s.ownerSeen.Store(now.UnixNano())
		s.pauses.Tick(now)
		a := &attempt{bound: "coast-a", ownerlessSince: now, admitted: map[ident.DataCentre]bool{"coast-b": false}, deadline: now.Add(200 * time.Millisecond)}
		r := s.run(t.Context(), a)
		is.Equal(r.Result, dispatch.Interrupted)
		is.Equal(r.Reason, "the deadline has passed")
	})
}
