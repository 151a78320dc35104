package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/commit"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/storage"
)

func newTestRetention(t *testing.T) (*retention, *standin.Table) {
	t.Helper()
	table := standin.NewTable(standin.TableConfig{})
	mux := http.NewServeMux()
	table.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	remote := storage.NewRemoteTable(server.Client(), server.URL)
	return &retention{table: remote, batcher: commit.NewBatcher(commit.Config{
		Table: remote, Timeout: time.Second, Window: commit.WindowConfig{Rate: 1000, Burst: 10, MaxWrites: 100, MaxBytes: 1 << 20},
	})}, table
}

// put writes the row of a job.
func (r *retention) put(t *testing.T, key string, row job.Row) {
	t.Helper()
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.batcher.Commit(t.Context(), storage.Write{Puts: []storage.Put{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

func TestRetentionDeletesOldOutcomesInPages(t *testing.T) {
	is := is.New(t)
	r, table := newTestRetention(t)
	now := time.Unix(1_800_000_000, 0)
	const old, young, open = 150, 120, 30
	for i := range old {
		r.put(t, fmt.Sprintf("job/kusweg/old-%03d", i), job.Row{State: job.Complete, Ended: now.Add(-jobRetention)})
	}
	for i := range young {
		r.put(t, fmt.Sprintf("job/kusweg/a-young-%03d", i), job.Row{State: job.Failed, Ended: now.Add(-jobRetention + time.Minute)})
	}
	for i := range open {
		r.put(t, fmt.Sprintf("job/kusweg/open-%03d", i), job.Row{State: job.Started})
	}
	r.put(t, "host/entry-1", job.Row{})
	removed := 0
	for range 2 * (old + young + open) / retentionPageSize {
		once := r.sweep(context.Background(), now)
		is.True(once <= retentionPageSize)
		removed += once
	}
	is.Equal(removed, old)
	is.Equal(table.Statistics().Rows, young+open+1)
	for range 3 {
		is.Equal(r.sweep(context.Background(), now), 0)
	}
}

func TestRetentionKeepsARowThatChanged(t *testing.T) {
	is := is.New(t)
	r, table := newTestRetention(t)
	now := time.Unix(1_800_000_000, 0)
	r.put(t, "job/kusweg/tide", job.Row{State: job.Complete, Ended: now.Add(-2 * jobRetention)})
	rows, _, err := r.table.List(t.Context(), jobKeyPrefix, "", 0)
	is.NoErr(err)
	r.put(t, "job/kusweg/tide", job.Row{State: job.Accepted})
	is.Equal(r.remove(t.Context(), expired(rows, now)), 0)
	is.Equal(table.Statistics().Rows, 1)
}
