package resource

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/storage"
)

const writeTime = time.Millisecond

// newPlatform returns a stand-in for the platform and a function that returns
// stores on its table, one for each entry host.
func newPlatform(t *testing.T) (*standin.Platform, func() *Store) {
	t.Helper()
	p := standin.NewPlatform(standin.PlatformConfig{Table: standin.TableConfig{WriteTime: writeTime}})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return p, func() *Store {
		s := NewStore(storage.NewRemoteTable(&http.Client{Timeout: time.Second}, server.URL))
		d, err := s.Load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Apply(time.Now(), s.Snapshot().Rows.Merge(d)); err != nil {
			t.Fatal(err)
		}
		return s
	}
}

func team(weight int, revision ident.Revision) Change {
	spec, _ := json.Marshal(TeamSpec{Weight: weight})
	return Change{Object: Object{Kind: KindTeam, Name: "kusweg", Spec: spec, Revision: revision}}
}

func object(kind Kind, name, spec string) Change {
	return Change{Object: Object{Kind: kind, Name: name, Spec: json.RawMessage(spec)}}
}

func TestLostAnswerIsNoConflict(t *testing.T) {
	is := is.New(t)
	p, newStore := newPlatform(t)
	s := newStore()
	p.Table.Faults.Set(standin.Faults{Mode: standin.LoseAnswer, Count: 1})
	created, err := s.Write(t.Context(), team(1, 0))
	is.NoErr(err)
	p.Table.Faults.Set(standin.Faults{Mode: standin.LoseAnswer, Count: 1})
	_, err = s.Write(t.Context(), team(2, created))
	is.NoErr(err)
	d, err := s.Poll(t.Context())
	is.NoErr(err)
	_, err = s.Apply(time.Now(), s.Snapshot().Rows.Merge(d))
	is.NoErr(err)
	is.Equal(s.Snapshot().Teams["kusweg"].Weight, 2)
}

// TestRepeatedOperation repeats an operation after another writer has overwritten
// it: it gets the revision of its first attempt and changes nothing.
func TestRepeatedOperation(t *testing.T) {
	is := is.New(t)
	_, newStore := newPlatform(t)
	first, second := newStore(), newStore()
	change := team(1, 0)
	change.Operation = "op-1"
	revision, err := first.Write(t.Context(), change)
	is.NoErr(err)
	later, err := second.Write(t.Context(), team(2, revision))
	is.NoErr(err)
	again, err := first.Write(t.Context(), change)
	is.NoErr(err)
	is.Equal(again, revision)
	_, err = first.Write(t.Context(), team(3, revision))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Present, later)
}

// TestRacingIncrements lets operators on several hosts increment one field: no
// increment is lost, even if answers are.
func TestRacingIncrements(t *testing.T) {
	is := is.New(t)
	p, newStore := newPlatform(t)
	_, err := newStore().Write(t.Context(), team(0, 0))
	is.NoErr(err)
	const operators, increments = 4, 25
	var waiting sync.WaitGroup
	stores := make([]*Store, operators)
	for i := range stores {
		stores[i] = newStore()
	}
	for i, s := range stores {
		waiting.Go(func() {
			for done := 0; done < increments; {
				if i == 0 && done%5 == 0 {
					p.Table.Faults.Set(standin.Faults{Mode: standin.LoseAnswer, Count: 1})
				}
				o := s.Snapshot().Objects[KindTeam]["kusweg"]
				_, err := s.Write(context.Background(), team(s.Snapshot().Teams["kusweg"].Weight+1, o.Revision))
				var conflict *ConflictError
				if err != nil && !errors.As(err, &conflict) {
					continue
				}
				if err == nil {
					done++
				}
				_ = s.catchUp(context.Background())
			}
		})
	}
	waiting.Wait()
	p.Table.Faults.Set(standin.Faults{})
	is.Equal(newStore().Snapshot().Teams["kusweg"].Weight, operators*increments)
}

func TestDeleteAndCreateAgain(t *testing.T) {
	is := is.New(t)
	_, newStore := newPlatform(t)
	s, other := newStore(), newStore()
	revision, err := s.Write(t.Context(), team(1, 0))
	is.NoErr(err)
	is.NoErr(other.catchUp(t.Context()))
	deletion := team(0, revision)
	deletion.Delete = true
	deleted, err := s.Write(t.Context(), deletion)
	is.NoErr(err)
	is.True(deleted > revision)
	d, err := other.Poll(t.Context())
	is.NoErr(err)
	is.Equal(d.Revision, deleted)
	_, err = other.Apply(time.Now(), other.Snapshot().Rows.Merge(d))
	is.NoErr(err)
	is.Equal(len(other.Snapshot().Teams), 0)
	_, err = s.Write(t.Context(), team(5, revision))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Present, ident.Revision(0))
	again, err := s.Write(t.Context(), team(4, 0))
	is.NoErr(err)
	is.True(again > deleted)
}

func TestPoolsInUseStay(t *testing.T) {
	is := is.New(t)
	_, newStore := newPlatform(t)
	s, other := newStore(), newStore()
	revision, err := s.Write(t.Context(), object(KindPool, "logs", `{}`))
	is.NoErr(err)
	_, err = other.Write(t.Context(), object(KindService, "logs", `{"pool":"logs"}`))
	is.NoErr(err)
	deletion := object(KindPool, "logs", "")
	deletion.Delete, deletion.Revision = true, revision
	_, err = s.Write(t.Context(), deletion)
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Problems, []Problem{{"name", "service logs uses the pool"}})
}

func TestUnknownRevisionIsRefused(t *testing.T) {
	is := is.New(t)
	_, newStore := newPlatform(t)
	_, err := newStore().Write(t.Context(), team(1, 99))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
}

// TestStaleReads checks that a store that starts while reads are stale loads the
// newest configuration, and that a stale poll returns no rows.
func TestStaleReads(t *testing.T) {
	is := is.New(t)
	p, newStore := newPlatform(t)
	s := newStore()
	revision, err := s.Write(t.Context(), team(1, 0))
	is.NoErr(err)
	p.SetFaults(standin.Faults{Mode: standin.Stale})
	newest, err := s.Write(t.Context(), team(2, revision))
	is.NoErr(err)
	restarted := newStore()
	is.Equal(restarted.Snapshot().Revision, newest)
	is.Equal(restarted.Snapshot().Teams["kusweg"].Weight, 2)
	d, err := restarted.Poll(t.Context())
	is.NoErr(err)
	is.Equal(len(d.Rows), 0)
}

func TestCheckNamesAllProblems(t *testing.T) {
	tests := map[string]struct {
		change Change
		want   []string
	}{
		"good":           {object(KindTeam, "kusweg", `{"weight":2}`), nil},
		"unknown kind":   {object("crew", "kusweg", `{}`), []string{"kind"}},
		"name":           {object(KindTeam, "Kus weg", `{}`), []string{"name"}},
		"not an object":  {object(KindTeam, "kusweg", `[]`), []string{"spec"}},
		"unknown fields": {object(KindTeam, "kusweg", `{"wieght":1,"slots":2}`), []string{"spec.slots", "spec.wieght"}},
		"all at once": {
			object(KindBackendServer, "r-1", `{"pool":7,"address":"nowhere","slots":0,"dataCentre":"coast-a"}`),
			[]string{"spec.pool", "spec.address", "spec.slots"},
		},
		"range": {object(KindService, "logs", `{"pool":"logs","timeoutMs":-1}`), []string{"spec.timeoutMs"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var invalid *InvalidError
			var fields []string
			if errors.As(Check(test.change.Object), &invalid) {
				for _, p := range invalid.Problems {
					fields = append(fields, p.Field)
				}
			}
			is.Equal(strings.Join(fields, " "), strings.Join(test.want, " "))
		})
	}
}

// TestSweep removes a tombstone. A host that has the resource and missed its
// deletion must read all rows, which remove the resource there.
func TestSweep(t *testing.T) {
	is := is.New(t)
	_, newStore := newPlatform(t)
	s, lagging := newStore(), newStore()
	revision, err := s.Write(t.Context(), team(1, 0))
	is.NoErr(err)
	is.NoErr(lagging.catchUp(t.Context()))
	deletion := team(0, revision)
	deletion.Delete = true
	deleted, err := s.Write(t.Context(), deletion)
	is.NoErr(err)
	is.NoErr(s.Sweep(t.Context(), time.Now().Add(tombstoneTime/2)))
	is.Equal(s.Snapshot().Revision, deleted) // too young
	is.NoErr(s.Sweep(t.Context(), time.Now().Add(2*tombstoneTime)))
	is.True(s.Snapshot().Revision > deleted)
	is.Equal(s.Snapshot().Rows.Floor, deleted)
	is.Equal(len(s.Snapshot().Rows.Rows()), 0)
	d, err := lagging.Poll(t.Context())
	is.NoErr(err)
	is.True(!lagging.Snapshot().Rows.Fits(d))
	d, err = lagging.Load(t.Context())
	is.NoErr(err)
	is.Equal(len(lagging.Snapshot().Rows.Merge(d).Rows()), 0)
}
