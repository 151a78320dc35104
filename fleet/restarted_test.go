package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/platform"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// TestRestartedWorkerRefusesEarlierStarts restarts a worker under its id and address, while its
// owner reads the table. The new incarnation must refuse a start that was meant for the earlier
// one and comes late (TWICE: it was carried out), and its owner must not take its own higher
// token for that of another owner.
func TestRestartedWorkerRefusesEarlierStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		name := workerName("coast-a", 0)
		var token worker.Token
		for _, r := range w.store.History() {
			if r.Key == "owner.coast-a" {
				token = worker.Token(r.Ver)
			}
		}
		is.NoErr(w.workerServers[name].Close())
		w.workers[name].PowerOff()
		w.addWorker("coast-a", name)
		time.Sleep(3 * time.Second)
		workers := platform.NewWorkers(platform.WorkersConfig{Dial: network.NewSeverable(w.network.Site("late")).DialContext})
		answer := workers.Start(t.Context(), worker.Start{
			Order: worker.Order{Worker: worker.ID(name), Address: name + ":1", Token: token},
			Task:  work.Task{Job: "1000mslate"}, Run: 1, Until: 60_000,
		})
		is.Equal(answer.Verdict, worker.Fenced)
		is.Equal(len(w.ownerChanges()), 0)
	})
}
