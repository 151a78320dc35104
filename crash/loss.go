package crash

import (
	"time"

	"github.com/catkingap/catkingap/worker"
)

// LossCause tells why a run ended without its worker having reported an end.
type LossCause string

// The causes of losses.
const (
	// LossCrashed means that another process has taken the place of the worker.
	LossCrashed LossCause = "crashed"
	// LossSilent means that the worker answered no order until its lease had lapsed. It
	// may have crashed, or may be paused or cut off.
	LossSilent LossCause = "silent"
	// LossLeft means that the worker was draining and has left.
	LossLeft LossCause = "left"
	// LossUnlisted means that the worker answers and no longer lists the run.
	LossUnlisted LossCause = "unlisted"
	// LossRefused means that the worker refused the start.
	LossRefused LossCause = "refused"
)

// WorkerLoss tells that a worker was lost with all its runs.
type WorkerLoss struct {
	Worker      worker.ID
	Incarnation worker.Incarnation
	Cause       LossCause
	// Tasks holds the tasks that the worker ran.
	Tasks []string
	// Silent is for how long the worker had answered no order.
	Silent time.Duration
}
