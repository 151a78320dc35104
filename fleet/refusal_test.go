package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/work"
)

// TestRefusedJobGoesWhereRoomCameFree has a job wait for the workers of one data centre,
// whose owner refuses it, after those of another one have become free.
func TestRefusedJobGoesWhereRoomCameFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		const places = 2 * workersEach
		a, b := w.owner("coast-a"), w.owner("coast-b")
		submit := func(m *member, j work.Job) dispatch.Reply {
			return m.submitter.Submit(m.life, j, time.Now(), time.Now().Add(10*time.Second))
		}
		// The owner learns how long tasks take.
		is.Equal(submit(a, jobOf("first", 1, 100*time.Millisecond)).Result, dispatch.Completed)
		w.fill("coast-a", places)
		w.fill("coast-c", places)
		go submit(b, jobOf("short", places, 400*time.Millisecond))
		time.Sleep(settledTime / 2)
		r := submit(a, jobOf("waits", 2, 100*time.Millisecond))
		is.Equal(r.Result, dispatch.Completed)
	})
}
