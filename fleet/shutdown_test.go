package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
)

// TestCallThatOutlastsTheShutdownIsAnswered has a job run far longer than estimated while
// its host shuts down. Its caller must get an answer before the process ends.
func TestCallThatOutlastsTheShutdownIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		m := w.host("coast-a.host-1")
		j := newJob("long", 1, 8*time.Second)
		j.Steps[0].Estimate = 60 * time.Millisecond
		replies := make(chan dispatch.Reply, 1)
		go func() { replies <- m.submitter.Submit(t.Context(), j, time.Now(), time.Now().Add(time.Minute)) }()
		time.Sleep(200 * time.Millisecond)
		m.shutdown.Run(t.Context())
		synctest.Wait()
		select {
		case r := <-replies:
			is.Equal(r.Result, dispatch.Interrupted)
		default:
			t.Error("the caller has no answer at the end of the shutdown")
		}
		time.Sleep(10 * time.Second)
	})
}
