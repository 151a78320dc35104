package spill_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/spill"
)

// TestPick picks the owner for a job of two tasks.
func TestPick(t *testing.T) {
	owner := func(c ident.DataCentre, free int) spill.Owner {
		return spill.Owner{DataCentre: c, Free: free, Home: c == "home"}
	}
	tried := func(o spill.Owner) spill.Owner {
		o.Tried = true
		return o
	}
	tests := map[string]struct {
		owners  []spill.Owner
		refused bool
		picked  ident.DataCentre
		final   bool
		none    bool
	}{
		"home has room":                         {owners: []spill.Owner{owner("a", 90), owner("home", 2)}, picked: "home"},
		"home may have got room":                {owners: []spill.Owner{owner("a", 90), owner("home", -5)}, picked: "home"},
		"home is full":                          {owners: []spill.Owner{owner("a", 2), tried(owner("home", 0)), owner("b", 9)}, picked: "b"},
		"home is full, and the others, a bit":   {owners: []spill.Owner{owner("a", 1), tried(owner("home", 0)), owner("b", -9)}, picked: "home", final: true},
		"home is full, with many more waiting":  {owners: []spill.Owner{owner("a", -1), tried(owner("home", -20))}, picked: "a", final: true},
		"all were tried":                        {owners: []spill.Owner{tried(owner("a", 9)), tried(owner("home", 5))}, picked: "home", final: true},
		"refused, there is room elsewhere":      {owners: []spill.Owner{owner("a", 2), tried(owner("home", -5))}, refused: true, picked: "a"},
		"refused, there is room nowhere":        {owners: []spill.Owner{owner("a", 1), owner("home", -5)}, refused: true, none: true},
		"refused, the one with room has too":    {owners: []spill.Owner{tried(owner("a", 8)), owner("home", -5)}, refused: true, none: true},
		"no owner":                              {none: true},
		"no owner at home, and no room":         {owners: []spill.Owner{owner("a", -4), owner("b", -3)}, picked: "b", final: true},
		"no owner at home, and room in several": {owners: []spill.Owner{owner("a", 4), owner("b", 3)}, picked: "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o, final, ok := spill.Pick(test.owners, 2, test.refused)
			is.Equal(ok, !test.none)
			if ok {
				is.Equal(o.DataCentre, test.picked)
				is.Equal(final, test.final)
			}
		})
	}
}

// TestView checks what a host takes the free capacity of an owner to be.
func TestView(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		do     func(v *spill.View)
		free   int
		shares []spill.Share
	}{
		"reported":             {do: func(v *spill.View) { v.Report(at(0), "a", 9) }, free: 9, shares: []spill.Share{{DataCentre: "a", Tasks: 9}}},
		"too old":              {do: func(v *spill.View) { v.Report(at(-900), "a", 9) }},
		"too old, with a wait": {do: func(v *spill.View) { v.Report(at(-900), "a", -9) }, free: -9},
		"reported anew":        {do: func(v *spill.View) { v.Report(at(0), "a", 9); v.Report(at(1), "a", 7) }, free: 7, shares: []spill.Share{{DataCentre: "a", Tasks: 7}}},
		"overtaken":            {do: func(v *spill.View) { v.Report(at(1), "a", 9); v.Report(at(0), "a", 7) }, free: 9, shares: []spill.Share{{DataCentre: "a", Tasks: 9}}},
		"shared with others": {
			do:   func(v *spill.View) { v.Report(at(0), "a", 9); v.Report(at(0), "b", 5); v.Report(at(0), "home", 0) },
			free: 9, shares: []spill.Share{{DataCentre: "a", Tasks: 4}, {DataCentre: "b", Tasks: 2}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var v spill.View
			_, known := v.Free(at(0), "a")
			is.True(!known)
			test.do(&v)
			free, known := v.Free(at(2), "a")
			is.True(known)
			is.Equal(free, test.free)
			is.Equal(v.Shares(at(2), "home", open), test.shares)
			is.Equal(len(v.Shares(at(2), "home", open)), 0) // Each report is used once.
		})
	}
}

func open(ident.DataCentre) bool { return false }
