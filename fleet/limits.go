package fleet

import (
	"github.com/apex/log"

	"github.com/catkingap/catkingap/dispatch"
)

// maxLimitLines is how many lines an owner logs in a second about work that a limit holds back.
const maxLimitLines = 1

// noteLimits counts and logs what the limits on polls and runs of workers hold back.
func (w *Owner) noteLimits(a *dispatch.Actions) {
	w.owners.counters.deferredPolls.Add(int64(a.DeferredPolls))
	w.owners.counters.crowdedWorkers.Add(int64(len(a.CrowdedWorkers)))
	if len(a.CrowdedWorkers) > 0 && w.limitLines.Allow() {
		w.logger.WithFields(log.Fields{
			"worker": string(a.CrowdedWorkers[0]), "others": len(a.CrowdedWorkers) - 1, "total": w.owners.counters.crowdedWorkers.Value(),
		}).Warn("worker has too many runs and ends that are not acknowledged")
	}
}
