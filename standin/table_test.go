package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
)

// newTestTable returns a stand-in table and a client of it.
func newTestTable(t *testing.T, c TableConfig) (*Table, storage.Table) {
	table := NewTable(c)
	mux := http.NewServeMux()
	table.Register(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return table, storage.NewRemoteTable(server.Client(), server.URL)
}

// put returns a write that applies only if the row of key was last written at condition.
func put(key string, condition ident.Revision, value string) storage.Write {
	return storage.Write{
		Conditions: []storage.Condition{{Key: key, Revision: condition}},
		Puts:       []storage.Put{{Key: key, Value: []byte(value)}},
	}
}

func TestCommitAppliesEachWriteOnItsOwn(t *testing.T) {
	is := is.New(t)
	_, table := newTestTable(t, TableConfig{})
	ctx := t.Context()
	first, err := table.Commit(ctx, []storage.Write{put("a", 0, "1")})
	is.NoErr(err)
	is.True(first[0].Applied)

	results, err := table.Commit(ctx, []storage.Write{
		put("a", 0, "lost"),
		put("b", 0, "2"),
		{Conditions: []storage.Condition{{Key: "c"}}, Deletes: []string{"none"}},
	})
	is.NoErr(err)
	is.True(!results[0].Applied)
	is.Equal(results[0].Current, []storage.Row{{Key: "a", Value: []byte("1"), Revision: first[0].Revision}})
	is.True(results[1].Applied)
	is.True(results[1].Revision > first[0].Revision)
	is.True(results[2].Applied)

	rows, _, err := table.List(ctx, "", "a", 1)
	is.NoErr(err)
	is.Equal(len(rows), 1)
	is.Equal(rows[0].Key, "b")
}

func TestCommitRefusesWhatEtcdRefuses(t *testing.T) {
	large := make([]storage.Write, maxOperations+1)
	for i := range large {
		large[i] = put(strconv.Itoa(i), 0, "x")
	}
	tests := map[string][]storage.Write{
		"key written twice":   {put("a", 0, "1"), put("a", 0, "2")},
		"too many operations": large,
	}
	for name, writes := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, table := newTestTable(t, TableConfig{})
			_, err := table.Commit(t.Context(), writes)
			is.True(err != nil)
			row, _, err := table.Get(t.Context(), "a")
			is.NoErr(err)
			is.Equal(row, nil)
		})
	}
}

func TestFaultsOfTheTable(t *testing.T) {
	tests := map[string]struct {
		mode    Mode
		applied bool
		notSent bool
	}{
		"refuse":      {mode: Refuse, notSent: true},
		"lose answer": {mode: LoseAnswer, applied: true},
		"silent":      {mode: Silent},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			standIn, table := newTestTable(t, TableConfig{})
			standIn.Faults.Set(Faults{Mode: test.mode, Count: 1})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := table.Commit(ctx, []storage.Write{put("a", 0, "1")})
			is.True(err != nil)
			_, notSent := err.(*storage.NotSentError)
			is.Equal(notSent, test.notSent)
			row, _, err := table.Get(t.Context(), "a")
			is.NoErr(err)
			is.Equal(row != nil, test.applied)
		})
	}
}

func TestTableCarriesItsRateOnly(t *testing.T) {
	is := is.New(t)
	table := NewTable(TableConfig{WriteTime: 4 * time.Millisecond, WritesPerSecond: 100})
	now := time.Unix(0, 0)
	is.Equal(table.reserve(now), 4*time.Millisecond)
	is.Equal(table.reserve(now), 14*time.Millisecond)
	is.Equal(table.reserve(now.Add(time.Second)), 4*time.Millisecond)
}
