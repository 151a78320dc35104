package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/rollout"
)

// WatchType is the type of a watch event.
type WatchType string

// The types of watch events.
const (
	WatchPut    WatchType = "put"
	WatchDelete WatchType = "delete"
	// WatchStatus reports that the conditions of a resource changed.
	WatchStatus WatchType = "status"
	// WatchBookmark reports that all changes up to its revision were sent.
	WatchBookmark WatchType = "bookmark"
)

// WatchEvent is one line of a watch. An interrupted watch resumes from the
// revision of the last event.
type WatchEvent struct {
	Type     WatchType        `json:"type"`
	Revision ident.Revision   `json:"revision"`
	Object   *resource.Object `json:"object,omitempty"`
}

// resourceWatch is one open watch.
type resourceWatch struct {
	api            *API
	kind           resource.Kind
	context        *gin.Context
	sent           ident.Revision
	sentConditions map[string][]resource.Condition
	encoder        *json.Encoder
}

// watchResources sends the changes after a revision as JSON lines.
func (a *API) watchResources(c *gin.Context, kind resource.Kind) {
	revision, err := strconv.ParseInt(c.Query("revision"), 10, 64)
	if err != nil || revision < 1 {
		refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "revision %q is not the revision of a list", c.Query("revision")))
		return
	}
	w := &resourceWatch{api: a, kind: kind, context: c, sent: ident.Revision(revision), encoder: json.NewEncoder(c.Writer)}
	if floor := a.store.Snapshot().Rows.Floor; w.sent < floor {
		refuse(c, goneError(w.sent, floor))
		return
	}
	c.Header("Content-Type", "application/jsonl")
	c.Status(http.StatusOK)
	w.run()
}

func goneError(revision, floor ident.Revision) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.Gone, "what was deleted after revision %d is known only from %d on: list again", revision, floor)
}

// run sends events until the caller disconnects or the host shuts down.
func (w *resourceWatch) run() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for !w.api.shutdown.unready.Load() {
		changed := w.api.statuses.rollout.Changed()
		if !w.catchUp() || !w.sendStatuses() {
			return
		}
		w.context.Writer.Flush()
		select {
		case <-w.context.Request.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// catchUp sends the changes up to the current snapshot.
func (w *resourceWatch) catchUp() bool {
	snapshot := w.api.store.Snapshot()
	if snapshot.Revision <= w.sent {
		return true
	}
	if floor := snapshot.Rows.Floor; w.sent < floor {
		_ = w.encoder.Encode(ErrorAnswer{Error: goneError(w.sent, floor)})
		return false
	}
	for _, r := range snapshot.Rows.Since(w.sent).Rows {
		if !w.sendRow(r) {
			return false
		}
	}
	w.sent = snapshot.Revision
	return w.send(WatchEvent{Type: WatchBookmark, Revision: w.sent})
}

func (w *resourceWatch) sendRow(r rollout.Row) bool {
	o, err := resource.DecodeObject(r)
	if err != nil || o.Kind != w.kind {
		return true
	}
	if r.Deleted {
		return w.send(WatchEvent{Type: WatchDelete, Revision: r.Revision, Object: &o})
	}
	o = w.api.statuses.withStatus(time.Now(), o)
	return w.send(WatchEvent{Type: WatchPut, Revision: r.Revision, Object: &o})
}

// sendStatuses sends the resources whose conditions changed since the last
// call.
func (w *resourceWatch) sendStatuses() bool {
	now := time.Now()
	next := map[string][]resource.Condition{}
	for name, o := range w.api.store.Snapshot().Objects[w.kind] {
		o = w.api.statuses.withStatus(now, o)
		next[name] = o.Status.Conditions
		if before, ok := w.sentConditions[name]; ok && conditionsDiffer(before, next[name]) {
			if !w.send(WatchEvent{Type: WatchStatus, Revision: w.sent, Object: &o}) {
				return false
			}
		}
	}
	w.sentConditions = next
	return true
}

func conditionsDiffer(a, b []resource.Condition) bool {
	for i := range min(len(a), len(b)) {
		if a[i].Status != b[i].Status || a[i].Reason != b[i].Reason {
			return true
		}
	}
	return len(a) != len(b)
}

func (w *resourceWatch) send(e WatchEvent) bool {
	return w.encoder.Encode(e) == nil
}
