package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/timeline"
)

// BenchmarkStatusRefresh updates the conditions of 890 backend servers, as a host
// does periodically.
func BenchmarkStatusRefresh(b *testing.B) {
	const servers = 890
	names := make([]string, servers)
	for i := range names {
		names[i] = fmt.Sprintf("runner-%d", i)
	}
	store := testStore(b, names...)
	now := time.Now()
	d := newDispatcher(settings.Default(), testIdentity(), &fakeSender{}, timeline.NewRing("entry-1", now, 100), newMetrics())
	d.Configure(store.Snapshot(), newDirectory())
	statuses := newStatuses(testIdentity(), store, &Rollout{}, d, newDirectory())
	b.ReportAllocs()
	for b.Loop() {
		statuses.refresh(now)
	}
}
