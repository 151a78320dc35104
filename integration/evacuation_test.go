package integration

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/standin"
)

// TestServeEvacuation evacuates a data centre of real hosts under load, with a fault, and ends the
// evacuation. From the bound on no task may start there, jobs must be served elsewhere, and the
// workers must get work again after the end.
func TestServeEvacuation(t *testing.T) {
	const (
		zone = "coast-a"
		// bound leaves time for the change of an owner and for a busy machine. The platform
		// allows 5 s.
		bound = 3 * time.Second
		lasts = 6 * time.Second
		back  = 4 * time.Second
	)
	tests := map[string]struct {
		// begin requests the evacuation, during happens within it, and end withdraws the request.
		begin, during, end func(f *serveFleet)
		// served is the share of jobs submitted in force that must be completed.
		served float64
	}{
		"the owner is killed before it reads the request": {
			begin: func(f *serveFleet) {
				o := f.owner(zone)
				o.signal(syscall.SIGSTOP)
				time.Sleep(20 * time.Millisecond)
				f.store.Evacuate(zone)
				o.signal(syscall.SIGKILL)
				<-o.exited
			},
			served: 0.95,
		},
		"the owner is frozen for a while": {
			begin: func(f *serveFleet) {
				o := f.owner(zone)
				o.signal(syscall.SIGSTOP)
				f.store.Evacuate(zone)
				time.AfterFunc(1500*time.Millisecond, func() { o.signal(syscall.SIGCONT) })
			},
			served: 0.95,
		},
		"the table is away as it ends": {
			end: func(f *serveFleet) {
				f.store.Faults.Set(standin.Faults{Mode: standin.Refuse})
				f.store.EndEvacuation(zone)
				time.Sleep(time.Second)
				f.store.Faults.Set(standin.Faults{})
			},
			served: 0.95,
		},
		"all hosts are restarted": {
			during: func(f *serveFleet) { f.killAll() },
			// Hosts that have just started refuse jobs until they are ready.
			served: 0.6,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newServeFleet(t)
			stop := f.load()
			before := time.Now()
			time.Sleep(time.Second)
			is.True(len(f.startsIn(zone, before, time.Now())) > 0)
			if test.begin == nil {
				f.store.Evacuate(zone)
			} else {
				test.begin(f)
			}
			requested := time.Now()
			time.Sleep(bound)
			if test.during != nil {
				test.during(f)
				f.awaitReady()
			}
			time.Sleep(lasts - bound)
			ended := time.Now()
			if test.end == nil {
				f.store.EndEvacuation(zone)
			} else {
				test.end(f)
			}
			time.Sleep(back)
			stop()
			early := f.startsIn(zone, requested, requested.Add(bound))
			last := time.Duration(0)
			for _, x := range early {
				last = max(last, x.Sub(requested))
			}
			t.Logf("%d starts after the request, the last one after %s", len(early), last)
			is.Equal(len(f.startsIn(zone, requested.Add(bound), ended)), 0)
			is.True(len(f.startsIn(zone, ended, time.Now())) > 0)
			completed, total := 0, 0
			for _, a := range f.answers {
				if a.sent.After(requested.Add(bound)) && a.sent.Before(ended) {
					total++
					if a.status == http.StatusOK {
						completed++
					}
				}
			}
			t.Logf("%d of %d jobs completed during the evacuation", completed, total)
			is.True(float64(completed) >= test.served*float64(total))
			for _, h := range f.running() {
				is.Equal(len(h.logged("evacuation began")), 1)
				is.Equal(len(h.logged("evacuation ended")), 1)
			}
			_, _, doubled := f.recorder.Summary()
			is.Equal(len(doubled), 0)
		})
	}
}
