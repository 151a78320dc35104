package fleet

import (
	"github.com/apex/log"

	"github.com/catkingap/catkingap/decoding"
	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/metrics"
)

// newJobBudget returns the memory for the jobs at the ownerships of a host.
func newJobBudget(s Settings, set *metrics.Set) intake.JobBudget {
	b := intake.NewJobBudget(s.Memory)
	set.Func("jobBytes", func() any { return b.Used() })
	return b
}

// newCallGate returns the gate for long calls of other hosts.
func newCallGate(s Settings, set *metrics.Set, l log.Interface) *decoding.Gate {
	g := decoding.NewGate(s.Memory)
	g.Publish(set, "peerCallsWaited", l)
	return g
}

// maxLimitLines is how many lines an owner logs in a second about work that a limit holds back.
const maxLimitLines = 1

// noteLimits counts and logs what the limits on orders and runs of workers hold back.
func (w *Owner) noteLimits(a *dispatch.Actions) {
	w.owners.counters.deferredPolls.Add(int64(a.DeferredPolls))
	w.owners.counters.heldStarts.Add(int64(a.HeldStarts))
	w.owners.counters.crowdedWorkers.Add(int64(len(a.CrowdedWorkers)))
	if a.HeldStarts > 0 && w.limitLines.Allow() {
		w.logger.WithField("total", w.owners.counters.heldStarts.Value()).Warn("tasks wait for the answers to starts")
	}
	if len(a.CrowdedWorkers) > 0 && w.limitLines.Allow() {
		w.logger.WithFields(log.Fields{
			"worker": string(a.CrowdedWorkers[0]), "others": len(a.CrowdedWorkers) - 1, "total": w.owners.counters.crowdedWorkers.Value(),
		}).Warn("worker has too many runs and ends that are not acknowledged")
	}
}

// The reasons why jobs are refused for which the owners have no memory.
const (
	reasonWithoutMemory = "the owner has no memory for this job now"
	reasonNoMemory      = "no owner has memory for this job now"
)

// noteWithoutMemory counts and logs a job that is refused for want of memory.
func (w *Owner) noteWithoutMemory() {
	w.owners.counters.jobsWithoutMemory.Add(1)
	if w.limitLines.Allow() {
		w.logger.WithFields(log.Fields{
			"bytes": int64(w.owners.memory.Used()), "total": w.owners.counters.jobsWithoutMemory.Value(),
		}).Warn("jobs refused for want of memory")
	}
}
