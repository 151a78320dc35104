package fleet

import "github.com/catkingap/catkingap/dispatch"

// noteLimits counts what the limits on polls of workers hold back.
func (w *Owner) noteLimits(a *dispatch.Actions) {
	w.owners.counters.deferredPolls.Add(int64(a.DeferredPolls))
}
