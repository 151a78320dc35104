package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/livecalls"
)

// TestAwakeAfterPause pauses the process. It must not count as awake before the detector
// has noticed the pause, nor right after that.
func TestAwakeAfterPause(t *testing.T) {
	is := is.New(t)
	d := newPauseDetector(time.Now, &log.Logger{Handler: discard.New()})
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	d.tick(at(0))
	is.True(d.IsAwake(at(20)))
	d.tick(at(110))
	is.True(d.IsAwake(at(115))) // the host's processor is throttled
	is.True(!d.IsAwake(at(2000)))
	d.tick(at(2001))
	is.True(!d.IsAwake(at(2002)))
	d.tick(at(2026))
	is.True(!d.IsAwake(at(2030)))
	for ms := 2051; ms < 2110; ms += 25 {
		d.tick(at(ms))
	}
	is.True(d.IsAwake(at(2110)))
}

// TestRequestReadAfterPause resumes a paused process whose socket holds the request of a
// caller that has left. It must not submit the job or report live calls until it has had
// time to notice that.
func TestRequestReadAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := &log.Logger{Handler: discard.New()}
		d := newPauseDetector(time.Now, logger)
		s := &Submitter{pauses: d, contacts: &Contacts{clock: time.Now}, calls: livecalls.NewTracker(), logger: logger}
		time.Sleep(2 * time.Second)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, leave)
		time.AfterFunc(20*time.Millisecond, func() { d.tick(time.Now()) })
		_, known := s.liveCalls("coast-a")
		is.True(!known)
		a := &attempt{deadline: time.Now().Add(time.Minute)}
		is.Equal(s.run(ctx, a).Result, dispatch.Expired)
		is.Equal(a.tries, 0)
	})
}

// TestSignAfterShortPause stops the process for less than a pause. Its live calls must be
// as of the time before, when it knew its callers.
func TestSignAfterShortPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newPauseDetector(time.Now, &log.Logger{Handler: discard.New()})
		s := &Submitter{pauses: d, contacts: &Contacts{clock: time.Now}, calls: livecalls.NewTracker()}
		d.tick(time.Now())
		before := time.Now()
		time.Sleep(minPause - time.Millisecond)
		x, known := s.liveCalls("coast-a")
		is.True(known)
		is.True(x.at.Equal(before))
	})
}
