package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestHostStartsInACut restarts a host while its data centre is cut off. When the network
// cut ends, the host must not claim workers whose owner is still alive.
func TestHostStartsInACut(t *testing.T) {
	const cutTime = 9 * time.Second
	for name, started := range map[string]time.Duration{
		"as it begins":                 200 * time.Millisecond,
		"five seconds before it ends":  4 * time.Second,
		"four seconds before it ends":  5 * time.Second,
		"3.4 s before it ends":         5600 * time.Millisecond,
		"three seconds before it ends": 6 * time.Second,
		"two seconds before it ends":   7 * time.Second,
		"as it ends":                   8800 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				m := w.hosts[len(w.hosts)-1]
				time.AfterFunc(started, func() {
					w.kill(m)
					w.addHost(m.zone, m.name)
				})
				w.cut(cutTime, func(from, to string) bool { return (zoneOf(from) == m.zone) != (zoneOf(to) == m.zone) })
				time.Sleep(10 * time.Second)
				is.Equal(len(w.ownerChanges()), 0)
			})
		})
	}
}
