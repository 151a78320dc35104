package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkingap/catkingap/route"
)

var config = route.Config{
	RemoteDelay: 2 * remoteDistance,
	BusyPause:   10 * time.Millisecond,
	AskPause:    5 * time.Millisecond,
	WantTime:    200 * time.Millisecond,
	ReturnTime:  250 * time.Millisecond,
	FasterWait:  8 * time.Millisecond,
	Heartbeat:   time.Second,
	PeerTimeout: 3 * time.Second,
}

func TestCandidates(t *testing.T) {
	candidates := []struct {
		name  string
		start func(*world)
	}{
		{"random, one try", func(w *world) { w.startPlain(true, chooseRandom) }},
		{"two choices, local counts", func(w *world) { w.startPlain(false, chooseOfTwo) }},
		{"least finish, local counts", func(w *world) { w.startPlain(false, chooseLeast) }},
		{"share, blind borrowing", func(w *world) { w.startPlain(false, chooseBlind) }},
		{"share only", func(w *world) { w.noLending = true; w.start(config) }},
		{"share and loans", func(w *world) { w.start(config) }},
	}
	for _, name := range []string{"ordinary", "spread"} {
		for _, load := range []float64{0.5, 0.7, 0.9} {
			for _, c := range candidates {
				w := newWorld(1, map[string]speeds{"ordinary": ordinary, "spread": spread}[name])
				w.arrive(load, 0, defaultDuration)
				c.start(w)
				w.deliver()
				w.run(defaultDuration + 30*time.Second)
				f := w.measure()
				fmt.Fprintf(t.Output(), "| %s | %.0f%% | %s | %.3f | %.2f | %.2f | %.2f | %.2f | %.3f | %.2f | %d |\n", name, 100*load, c.name,
					f.p50, f.p99, f.ideal50, f.ideal99, f.best99, f.messages, f.control, f.notDone)
			}
		}
	}
}
