package fleet

import (
	"math/bits"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// noteLosses counts and logs the workers and runs that an event has lost, the jobs that it
// has refused, and the pools that have become short of capacity.
func (w *Owner) noteLosses(a *dispatch.Actions) {
	metrics.AddAll(w.owners.counters.runsLost, a.LostRuns)
	metrics.AddAll(w.owners.counters.reservations, a.Reservations)
	for q, n := range a.Refusals {
		w.owners.counters.refusals.Add(w.owners.counters.queueNames.Label(q), int64(n))
	}
	for _, x := range a.Shortages {
		if !x.Ended {
			w.owners.counters.shortages.Add(1)
		}
		w.logger.WithFields(log.Fields(x.Fields())).Info(x.Message())
	}
	for _, l := range a.WorkerLosses {
		w.owners.counters.workersLost.Add(string(l.Cause), 1)
		w.logger.WithFields(log.Fields(l.Fields())).Warn("worker lost with its runs")
	}
	w.owners.counters.suspectStarts.Add(int64(a.SuspectStarts))
	w.owners.counters.coldStarts.Add(int64(a.ColdStarts))
	for _, g := range a.GivenUp {
		w.owners.counters.tasksGivenUp.Add(string(g.Cause), 1)
		w.logger.WithFields(log.Fields{
			"job": string(g.Job), "task": g.Task, "workers": g.Workers, "cause": string(g.Cause),
		}).Warn("task given up")
	}
	if len(a.Losses) > 0 {
		w.owners.contacts.tellLosses(time.Now(), a.Losses)
	}
}

// maxSpeedLines is how many changes of the speeds of workers an owner logs in a second. In a
// fault many workers become slow at once. The others are only counted.
const maxSpeedLines = 10

// noteSpeeds counts and logs which workers have become slow and which have recovered.
func (w *Owner) noteSpeeds(a *dispatch.Actions) {
	for _, c := range a.SpeedChanges {
		w.owners.counters.workerSpeeds.Add(string(c.Change), 1)
		if w.speedLines.Allow() {
			w.logger.WithFields(log.Fields{"worker": string(c.Worker), "factor": c.Factor, "runs": c.Runs}).Info("worker has " + string(c.Change))
		}
	}
}

// orderFailures counts the orders that each worker has not accepted in a row.
type orderFailures struct {
	mutex  sync.Mutex
	counts map[worker.ID]uint
}

// note counts the answer to one order. It returns the number of orders that the worker has
// not accepted since the last one that it has.
func (f *orderFailures) note(id worker.ID, v worker.Verdict) uint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if v == worker.Accepted {
		delete(f.counts, id)
		return 0
	}
	if f.counts == nil {
		f.counts = map[worker.ID]uint{}
	}
	f.counts[id]++
	return f.counts[id]
}

// isLogged returns true for the failures in a row that are logged: the first one, and each
// time that their number has doubled.
func isLogged(failures uint) bool { return bits.OnesCount(failures) == 1 }

// recordAnswer counts and logs the answer to an order.
func (w *Owner) recordAnswer(order string, v worker.Verdict, o worker.Order, task string, run work.Run) {
	w.owners.counters.orders.Add(order+"."+string(v), 1)
	failures := w.failures.note(o.Worker, v)
	if v == worker.Accepted || w.ctx.Err() != nil {
		return
	}
	if isLogged(failures) {
		w.logger.WithFields(log.Fields{
			"order": order, "verdict": string(v), "worker": string(o.Worker), "task": task, "run": int(run), "failures": failures,
		}).Warn("order not accepted")
	}
}
