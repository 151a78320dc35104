package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/worker"
)

// TestIsAbandoned reads the heartbeat of an owner each second, and checks at which seconds its
// jobs are to be moved.
func TestIsAbandoned(t *testing.T) {
	const seconds = 20
	tests := map[string]struct {
		// sign returns true at the seconds at which the owner gives a sign, revision and token
		// what its rows have, and unread the seconds at which the table does not answer.
		sign     func(second int) bool
		revision func(second int) ident.Revision
		token    func(second int) worker.Token
		unread   func(second int) bool
		rank     int
		moves    []int
	}{
		"it is silent":                  {moves: []int{8, 18}},
		"another owner acts first":      {rank: 1, moves: []int{10, 20}},
		"it writes heartbeats":          {revision: func(s int) ident.Revision { return ident.Revision(s) }},
		"it writes one late":            {revision: func(s int) ident.Revision { return ident.Revision(s / 5) }},
		"it contacts this host":         {sign: func(s int) bool { return s%3 == 0 }},
		"it gives a sign once":          {sign: func(s int) bool { return s == 6 }, moves: []int{14}},
		"it is replaced":                {token: func(s int) worker.Token { return worker.Token(1 + s/6) }},
		"the table does not answer":     {unread: func(int) bool { return true }},
		"the table answers from second": {unread: func(s int) bool { return s < 12 }, moves: []int{19}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			begin := time.Unix(1_800_000_000, 0)
			w := ownership.NewWatch()
			last := begin.Add(-time.Minute)
			o := ownership.Owner{DataCentre: "coast-a", Host: "a-1", Token: 1}
			var moves []int
			for s := 1; s <= seconds; s++ {
				now := begin.Add(time.Duration(s) * time.Second)
				if test.sign != nil && test.sign(s) {
					last = now
				}
				if test.token != nil {
					o.Token = test.token(s)
				}
				revision := ident.Revision(1)
				if test.revision != nil {
					revision = test.revision(s)
				}
				if !w.IsQuiet(now, last, o) || (test.unread != nil && test.unread(s)) {
					continue
				}
				if w.IsAbandoned(now, now, last, o, revision, test.rank) {
					moves = append(moves, s)
					w.NoteMoved(now, o.DataCentre)
				}
			}
			is.Equal(moves, test.moves)
		})
	}
}
