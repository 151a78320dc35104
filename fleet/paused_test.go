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
	"github.com/catkingap/catkingap/pause"
)

// TestRequestReadAfterPause resumes a paused process whose socket holds the request of a
// caller that has left. It must not submit the job or report live calls until it has had
// time to notice that.
func TestRequestReadAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := &log.Logger{Handler: discard.New()}
		d := pause.New(time.Now, logger)
		s := &Submitter{pauses: d, contacts: &Contacts{clock: time.Now}, calls: livecalls.NewTracker(), logger: logger}
		time.Sleep(2 * time.Second)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, leave)
		time.AfterFunc(20*time.Millisecond, func() { d.Tick(time.Now()) })
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
		d := pause.New(time.Now, &log.Logger{Handler: discard.New()})
		s := &Submitter{pauses: d, contacts: &Contacts{clock: time.Now}, calls: livecalls.NewTracker()}
		d.Tick(time.Now())
		before := time.Now()
		time.Sleep(pause.MinPause - time.Millisecond)
		x, known := s.liveCalls("coast-a")
		is.True(known)
		is.True(x.at.Equal(before))
	})
}
