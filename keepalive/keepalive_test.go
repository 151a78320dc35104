package keepalive_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/keepalive"
)

// TestBoard has keepalives overtake each other and submissions.
func TestBoard(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	x := keepalive.Keepalive{Host: "h", Boot: "b", At: begin, Sequence: 5, Calls: []uint64{2, 4}}
	tests := map[string]struct {
		boot      string
		sequence  keepalive.Sequence
		call      uint64
		after     time.Duration
		overtaken bool
	}{
		"sent before, and not listed":        {boot: "b", sequence: 4, call: 3, overtaken: true},
		"sent before, and listed":            {boot: "b", sequence: 4, call: 4},
		"sent later":                         {boot: "b", sequence: 6, call: 3},
		"of another process":                 {boot: "c", sequence: 4, call: 3},
		"sent before, when nothing is known": {boot: "b", sequence: 4, call: 3, after: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := keepalive.Board{}
			is.True(b.Put(x))
			older := x
			older.Sequence, older.Calls = 4, []uint64{2, 3, 4}
			is.True(!b.Put(older))
			b.Expire(begin.Add(test.after))
			is.Equal(b.HasOvertaken("h", test.boot, test.sequence, test.call), test.overtaken)
		})
	}
}
