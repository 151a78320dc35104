package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
)

// TestCancelOfAJobWhoseCallerWaits cancels such a job through each host (UNASKED: the cancelling was
// acknowledged, and the later steps of the job started).
func TestCancelOfAJobWhoseCallerWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		for n, other := range w.allHosts() {
			j := storedJob(n, 2000, 3)
			m, now := w.hosts[0], time.Now()
			reply := make(chan dispatch.Reply, 1)
			go func() { reply <- m.submitter.Submit(m.ctx, j, now, now.Add(20*time.Second)) }()
			time.Sleep(500 * time.Millisecond)
			is.Equal(w.recorder.Running(), 3)
			known, err := other.submitter.Cancel(other.ctx, j.ID)
			is.NoErr(err)
			is.True(known)
			is.Equal((<-reply).Result, dispatch.Cancelled)
			time.Sleep(300 * time.Millisecond)
			is.Equal(w.recorder.Running(), 0)
			// Its caller sends it again.
			is.Equal(m.submitter.Submit(m.ctx, j, time.Now(), time.Now().Add(2*time.Second)).Result, dispatch.Cancelled)
			is.Equal(w.recorder.Running(), 0)
		}
	})
}
