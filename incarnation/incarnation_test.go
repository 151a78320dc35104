package incarnation_test

import (
	"cmp"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/incarnation"
	"github.com/catkingap/catkingap/worker"
)

var begin = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// TestToken checks that a token is replaced only where that is asked for, by a higher one, once.
func TestToken(t *testing.T) {
	is := is.New(t)
	var x incarnation.Token
	is.Equal(x.Next(7), worker.Token(7))
	is.Equal(x.Next(8), worker.Token(7)) // The worker has not restarted.
	is.True(!x.IsReplaced(7))
	x.Replace()
	is.Equal(x.Next(7), worker.Token(7)) // There is no higher one yet.
	is.Equal(x.Next(9), worker.Token(9))
	is.Equal(x.Next(10), worker.Token(9))
	is.True(x.IsReplaced(7))
	is.True(!x.IsReplaced(9))
}

// TestLateOrdersAreForgotten checks for how long an order counts that got no answer.
func TestLateOrdersAreForgotten(t *testing.T) {
	is := is.New(t)
	var x incarnation.Late[int]
	is.True(x.IsEmpty(begin))
	x.Note(begin, 2)
	x.Note(at(5000), 1)
	is.Equal(x.Sorted(at(9000), cmp.Compare), []int{1, 2})
	is.Equal(x.Sorted(at(12_000), cmp.Compare), []int{1})
	is.True(!x.IsEmpty(at(12_000)))
	is.True(x.IsEmpty(at(16_000)))
}

// TestClock checks which readings belong to a later incarnation, and when leases have lapsed.
func TestClock(t *testing.T) {
	x := incarnation.Clock{Reading: 5000, At: begin}
	tests := map[string]struct {
		sent      int
		reading   worker.Clock
		restarted bool
	}{
		"as expected":             {sent: 1000, reading: 6001},
		"slow clock":              {sent: 1000, reading: 5985},
		"gone back":               {sent: 1000, reading: 20, restarted: true},
		"overtaken by an answer":  {sent: -500, reading: 4600},
		"long before that answer": {sent: -500, reading: 2900, restarted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(x.HasRestarted(at(test.sent), test.reading), test.restarted)
		})
	}
	is := is.New(t)
	end := x.After(at(20), time.Second)
	is.Equal(end, worker.Clock(6020))
	is.True(x.LapseAt(end).After(at(1020 + 60)))
	is.True(x.LapseAt(end).Before(at(1020 + 90)))
}
