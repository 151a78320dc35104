package livecalls_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/livecalls"
)

// TestCallList checks that a list of calls is the same after encoding and decoding, and
// that its encoding is small.
func TestCallList(t *testing.T) {
	many := livecalls.List{1 << 40}
	for i := range 169 {
		many = append(many, many[i]+2)
	}
	tests := map[string]struct {
		calls livecalls.List
		most  int
	}{
		"many": {calls: many, most: 200},
		"none": {most: 1},
		"one":  {calls: livecalls.List{7}, most: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := msgpack.Marshal(tt.calls)
			is.NoErr(err)
			is.True(len(data) <= tt.most)
			var read livecalls.List
			is.NoErr(msgpack.Unmarshal(data, &read))
			is.Equal(read, tt.calls)
		})
	}
}
