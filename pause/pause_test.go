package pause_test

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/pause"
)

// TestAwakeAfterPause pauses the process. It must not count as awake before the detector
// has noticed the pause, nor right after that.
func TestAwakeAfterPause(t *testing.T) {
	is := is.New(t)
	d := pause.New(time.Now, &log.Logger{Handler: discard.New()})
	begin := time.Now()
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	d.Tick(at(0))
	is.True(d.IsAwake(at(20)))
	d.Tick(at(110))
	is.True(d.IsAwake(at(115))) // the host's processor is throttled
	is.True(!d.IsAwake(at(2000)))
	d.Tick(at(2001))
	is.True(!d.IsAwake(at(2002)))
	d.Tick(at(2026))
	is.True(!d.IsAwake(at(2030)))
	for ms := 2051; ms < 2110; ms += 25 {
		d.Tick(at(ms))
	}
	is.True(d.IsAwake(at(2110)))
}
