package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/report"
	"github.com/catkingap/catkingap/worker"
)

// The causes of losses, see report.LossCause.
const (
	LossCrashed  = report.LossCrashed
	LossSilent   = report.LossSilent
	LossLeft     = report.LossLeft
	LossUnlisted = report.LossUnlisted
	LossRefused  = report.LossRefused
)

// missingTime is for how long a silent worker is expected back at any time.
const missingTime = 10 * time.Second

// MissesWorkers returns true if a worker has fallen silent within missingTime, or if the row of
// one that has restarted was not read yet.
func (m *Machine) MissesWorkers(now time.Time) bool {
	return slices.ContainsFunc(m.ordered, func(n *node) bool {
		return n.isRowBehind() || (!n.silentSince.IsZero() && now.Sub(n.silentSince) < missingTime)
	})
}

// countLost counts a run that ended for another reason than its task.
func (m *Machine) countLost(cause string) {
	index.Increment(&m.actions.LostRuns, cause)
}

// loseRun ends a run as lost.
func (m *Machine) loseRun(now time.Time, r *run, c report.LossCause) {
	m.countLost(string(c))
	r.recordEnd(now, "lost: "+string(c))
	m.removeRun(now, r.node, r, worker.Lost)
}

// loseWorker ends runs of a worker as lost with it. Those in open may have been lost with it
// too.
func (m *Machine) loseWorker(now time.Time, n *node, runs, open []*run, c report.LossCause) {
	if n.Draining {
		c = LossLeft
	}
	m.blame(now, n, c, runs, open)
	if len(runs) == 0 {
		return
	}
	loss := report.WorkerLoss{Worker: n.ID, Incarnation: n.Life, Cause: c}
	if !n.silentSince.IsZero() {
		loss.Silent = now.Sub(n.silentSince)
	}
	for _, r := range runs {
		loss.Tasks = append(loss.Tasks, r.key.task)
	}
	m.actions.WorkerLosses = append(m.actions.WorkerLosses, loss)
	for _, r := range runs {
		m.loseRun(now, r, c)
	}
}
