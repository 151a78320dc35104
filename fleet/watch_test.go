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
)

// TestAwakeAfterPause has a process stand still: it does not count as awake before
// the watch has noticed, nor right after.
func TestAwakeAfterPause(t *testing.T) {
	is := is.New(t)
	w := newWatch(time.Now, &log.Logger{Handler: discard.New()})
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	w.turn(at(0))
	is.True(w.Awake(at(20)))
	w.turn(at(110))
	is.True(w.Awake(at(115))) // the processor of the host is metered
	is.True(!w.Awake(at(2000)))
	w.turn(at(2001))
	is.True(!w.Awake(at(2002)))
	w.turn(at(2026))
	is.True(!w.Awake(at(2030)))
	for ms := 2051; ms < 2110; ms += 25 {
		w.turn(at(ms))
	}
	is.True(w.Awake(at(2110)))
}

// TestRequestReadAfterPause has a process wake with the request of a caller that
// has left in its socket: it hands nothing in and signs nothing until it has had
// the time to notice.
func TestRequestReadAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := &log.Logger{Handler: discard.New()}
		w := newWatch(time.Now, logger)
		s := &Submitter{watch: w, contacts: &Contacts{clock: time.Now}, wants: newWants(), logger: logger}
		time.Sleep(2 * time.Second)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, leave)
		time.AfterFunc(20*time.Millisecond, func() { w.turn(time.Now()) })
		_, known := s.wanted("coast-a")
		is.True(!known)
		a := &attempt{deadline: time.Now().Add(time.Minute)}
		is.Equal(s.run(ctx, a).Result, dispatch.Expired)
		is.Equal(a.tries, 0)
	})
}

// TestSignAfterShortPause has a process stand still for less than what counts as a
// pause: it signs for the time before, when it knew its callers.
func TestSignAfterShortPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWatch(time.Now, &log.Logger{Handler: discard.New()})
		s := &Submitter{watch: w, contacts: &Contacts{clock: time.Now}, wants: newWants()}
		w.turn(time.Now())
		before := time.Now()
		time.Sleep(turnLate - time.Millisecond)
		x, known := s.wanted("coast-a")
		is.True(known)
		is.True(x.at.Equal(before))
	})
}
