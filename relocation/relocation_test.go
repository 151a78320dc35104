package relocation_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/relocation"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// workers returns n workers with a label and the given cores each.
func workers(n int, label string, cores int) []worker.Worker {
	found := make([]worker.Worker, n)
	for i := range found {
		found[i] = worker.Worker{Pool: "p", Labels: []string{label}, Capacity: work.Size{Cores: cores}}
	}
	return found
}

// TestChoose checks which data centre continues a job of two steps, the second of which
// needs another kind of worker and comes after the first.
func TestChoose(t *testing.T) {
	draining := workers(4, "a", 8000)
	for i := range draining {
		draining[i].Draining = true
	}
	tests := map[string]struct {
		done    []int
		centres map[ident.DataCentre][]worker.Worker
		want    ident.DataCentre
	}{
		"none":                           {},
		"no workers":                     {centres: map[ident.DataCentre][]worker.Worker{"x": nil}},
		"too small":                      {centres: map[ident.DataCentre][]worker.Worker{"x": workers(9, "a", 100)}},
		"they drain":                     {centres: map[ident.DataCentre][]worker.Worker{"x": draining}},
		"another kind":                   {centres: map[ident.DataCentre][]worker.Worker{"x": workers(1, "b", 8000)}},
		"the kind of the first step":     {centres: map[ident.DataCentre][]worker.Worker{"x": workers(1, "a", 8000)}, want: "x"},
		"the first step is done":         {done: []int{0}, centres: map[ident.DataCentre][]worker.Worker{"x": workers(1, "b", 8000)}, want: "x"},
		"one that can run all steps":     {centres: map[ident.DataCentre][]worker.Worker{"x": workers(90, "a", 8000), "y": append(workers(1, "a", 8000), workers(1, "b", 8000)...)}, want: "y"},
		"the only one that has its kind": {centres: map[ident.DataCentre][]worker.Worker{"x": workers(9, "c", 8000), "y": workers(1, "a", 8000)}, want: "y"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := &work.Job{ID: "j", Pool: "p", Steps: []work.Step{
				{Count: 1, Label: "a", Size: work.Size{Cores: 1000}}, {Count: 1, Label: "b", Size: work.Size{Cores: 1000}, After: []int{0}},
			}}
			got, ok := relocation.Choose(j, test.done, test.centres)
			is.Equal(got, test.want)
			is.Equal(ok, test.want != "")
		})
	}
}

// TestJobsAreSpreadByCapacity checks that the jobs of a lost data centre are shared out by
// the cores of the others, so that none of them gets all.
func TestJobsAreSpreadByCapacity(t *testing.T) {
	is := is.New(t)
	const jobs = 4000
	centres := map[ident.DataCentre][]worker.Worker{"x": workers(3, "a", 8000), "y": workers(1, "a", 8000)}
	counts := map[ident.DataCentre]int{}
	for n := range jobs {
		j := &work.Job{ID: work.ID(fmt.Sprintf("%016x", n)), Pool: "p", Steps: []work.Step{{Count: 1, Size: work.Size{Cores: 1000}}}}
		c, ok := relocation.Choose(j, nil, centres)
		is.True(ok)
		counts[c]++
	}
	is.True(counts["x"] > jobs*70/100 && counts["x"] < jobs*80/100)
	is.Equal(counts["x"]+counts["y"], jobs)
}
