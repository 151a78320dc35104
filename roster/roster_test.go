package roster_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/cold"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/roster"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/worker"
)

const (
	coastA = ident.DataCentre("coast-a")
	coastB = ident.DataCentre("coast-b")
)

func decode(r storage.Row) (worker.Worker, error) {
	var w worker.Worker
	err := json.Unmarshal(r.Value, &w)
	return w, err
}

// row returns the row of a worker.
func row(t *testing.T, revision ident.Revision, w worker.Worker) storage.Row {
	value, err := json.Marshal(w)
	is.New(t).NoErr(err)
	return storage.Row{Key: string(w.ID), Value: value, Revision: revision}
}

// told returns what a row tells of a worker that stays cold for some seconds.
func told(s int) cold.Told {
	return cold.Told{Known: true, Remaining: time.Duration(s) * time.Second}
}

// TestUpdate checks which changes of a worker's row change the list of its data centre.
func TestUpdate(t *testing.T) {
	w := worker.Worker{ID: "w1", Life: 1, Address: "a:1", Pool: "pool", DataCentre: coastA, Labels: []string{"rack-1"}, Cold: told(5)}
	with := func(change func(x *worker.Worker)) *worker.Worker {
		x := w
		change(&x)
		return &x
	}
	tests := map[string]struct {
		// next is the worker's next row, or nil if the row is removed.
		next *worker.Worker
		// after is the time from the first row to the next one.
		after   time.Duration
		changed bool
		listed  bool
	}{
		"the same again":                   {next: &w, listed: true},
		"it drains":                        {next: with(func(x *worker.Worker) { x.Draining = true }), changed: true, listed: true},
		"its time as a cold worker passes": {next: with(func(x *worker.Worker) { x.Cold = told(4) }), listed: true},
		"it is warm":                       {next: with(func(x *worker.Worker) { x.Cold = told(0) }), changed: true, listed: true},
		"another incarnation":              {next: with(func(x *worker.Worker) { x.Life = 2 }), changed: true, listed: true},
		"other labels":                     {next: with(func(x *worker.Worker) { x.Labels = []string{"rack-2"} }), changed: true, listed: true},
		"another data centre":              {next: with(func(x *worker.Worker) { x.DataCentre = coastB }), changed: true},
		"its row is removed":               {listed: true},
		"its row stays away":               {after: 3 * time.Second, changed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			l := roster.NewList(roster.Config{DataCentre: coastA, Decode: decode})
			changed, _ := l.Update(now, map[string]storage.Row{"w1": row(t, 1, w)})
			is.True(changed)
			rows := map[string]storage.Row{}
			if test.next != nil {
				rows["w1"] = row(t, 2, *test.next)
			}
			changed, _ = l.Update(now, rows)
			if test.after > 0 {
				changed, _ = l.Update(now.Add(test.after), rows)
			}
			is.Equal(changed, test.changed)
			is.Equal(len(l.Workers()) == 1, test.listed)
			if test.next != nil && test.listed {
				is.Equal(l.Workers()[0], *test.next)
			}
		})
	}
}

// TestUnreadableRow checks that a worker whose row cannot be read is not used, and that the
// row is returned once.
func TestUnreadableRow(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	l := roster.NewList(roster.Config{DataCentre: coastA, Decode: decode})
	l.Update(now, map[string]storage.Row{"w1": row(t, 1, worker.Worker{ID: "w1", DataCentre: coastA})})
	broken := map[string]storage.Row{"w1": {Key: "w1", Value: []byte("{"), Revision: 2}}
	changed, unreadable := l.Update(now, broken)
	is.True(changed)
	is.Equal(len(unreadable), 1)
	is.Equal(unreadable[0].Key, "w1")
	changed, unreadable = l.Update(now, broken)
	is.True(!changed)
	is.Equal(len(unreadable), 0)
	is.Equal(len(l.Workers()), 0)
}

// TestOthers checks that the workers of other data centres are known, and that each change of
// them is counted.
func TestOthers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	w := worker.Worker{ID: "w1", DataCentre: coastB, Labels: []string{"rack-1"}}
	l := roster.NewList(roster.Config{DataCentre: coastA, Decode: decode})
	count := uint64(0)
	update := func(after time.Duration, rows map[string]storage.Row, changed bool) {
		is.Helper()
		own, _ := l.Update(now.Add(after), rows)
		is.True(!own)
		is.Equal(l.OtherChanges() > count, changed)
		count = l.OtherChanges()
	}
	update(0, map[string]storage.Row{"w1": row(t, 1, w)}, true)
	is.Equal(l.Others(), map[ident.DataCentre][]worker.Worker{coastB: {w}})
	update(0, map[string]storage.Row{"w1": row(t, 2, w)}, false)
	w.Draining = true
	update(0, map[string]storage.Row{"w1": row(t, 3, w)}, true)
	is.True(l.Others()[coastB][0].Draining)
	update(time.Second, nil, false)
	update(4*time.Second, nil, true)
	is.Equal(len(l.Others()), 0)
}
