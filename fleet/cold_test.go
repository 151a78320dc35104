package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestColdWorkersGetTheirRate starts the workers of a data centre anew, under load. While they are
// cold none may get more starts than it sustains, also if their owner dies; once they are warm they
// must get more.
func TestColdWorkersGetTheirRate(t *testing.T) {
	const (
		zone      = "coast-a"
		perSecond = 2
		slack     = 5
		coldTime  = 5 * time.Second
	)
	tests := map[string]struct {
		// told is true if the rows of the workers tell the time left.
		told  bool
		fault func(w *world)
	}{
		"their rows tell the time left": {told: true, fault: func(*world) {}},
		"their start tells it":          {fault: func(*world) {}},
		"their owner dies": {told: true, fault: func(w *world) {
			time.Sleep(2 * time.Second)
			w.kill(w.owner(zone))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				service := map[string]any{"Name": "pool", "ColdPerS": perSecond}
				if !test.told {
					service["ColdStartS"] = coldTime.Seconds()
				}
				w.store.Put("op", "config", map[string]any{
					"Version": 2, "Services": []any{service},
					"Routes": []any{map[string]any{
						"Name": queueName, "Host": "a.example", "Prefix": "/q/", "Service": "pool", "MaxAttempts": 3, "Stretch": 1.6, "TargetLatencyMs": 60,
					}},
				})
				begin := time.Now()
				go func() {
					for left := coldTime; test.told && left >= 0; left -= 500 * time.Millisecond {
						for i := range workersPerZone {
							name := workerName(zone, i)
							w.store.Put("servers", name, w.workers[name].ColdEntry("pool", name+":1", zone, left))
						}
						time.Sleep(500 * time.Millisecond)
					}
				}()
				go test.fault(w)
				w.load(60, 2*coldTime)
				starts := map[string][]time.Time{}
				for _, runs := range w.recorder.Runs() {
					for _, r := range runs {
						if zoneOf(r.Worker) == zone {
							starts[r.Worker] = append(starts[r.Worker], r.Began)
						}
					}
				}
				is.Equal(len(starts), workersPerZone)
				cold, warm := 0, 0
				for _, all := range starts {
					count := 0
					for _, x := range all {
						if x.Sub(begin) < coldTime {
							count++
						} else {
							warm++
						}
					}
					is.True(count < perSecond*int(coldTime.Seconds())+slack)
					cold += count
				}
				is.True(cold > workersPerZone*perSecond)
				is.True(warm > 2*cold)
			})
		})
	}
}
