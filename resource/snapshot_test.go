package resource

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/rollout"
)

// BenchmarkChange applies a change of one row to a configuration of 890 backend
// servers and 150 teams.
func BenchmarkChange(b *testing.B) {
	const servers, teams = 890, 150
	var d rollout.Delta
	add := func(kind Kind, name string, spec any) {
		data, _ := json.Marshal(spec)
		value, _ := json.Marshal(row{Kind: kind, Name: name, Spec: data})
		d.Revision++
		d.Rows = append(d.Rows, rollout.Row{Key: Key(kind, name), Value: value, Revision: d.Revision})
	}
	add(KindPool, "logs", PoolSpec{})
	for i := range servers {
		add(KindBackendServer, fmt.Sprintf("runner-%d", i), BackendServerSpec{Pool: "logs", Address: "127.0.0.1:80", DataCentre: "coast-a", Slots: 8})
	}
	for i := range teams {
		add(KindTeam, fmt.Sprintf("team-%d", i), TeamSpec{Weight: i})
	}
	s := NewStore(nil)
	if _, err := s.Apply(time.Now(), s.Snapshot().Rows.Merge(d)); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		after := s.Snapshot().Revision
		changed := d.Rows[len(d.Rows)-1]
		changed.Revision = after + 1
		next := rollout.Delta{After: after, Revision: after + 1, Rows: []rollout.Row{changed}}
		if _, err := s.Apply(time.Now(), s.Snapshot().Rows.Merge(next)); err != nil {
			b.Fatal(err)
		}
	}
	if got := s.Snapshot(); len(got.Servers[ident.Pool("logs")]) != servers || len(got.Teams) != teams {
		b.Fatal("rows were lost")
	}
}
