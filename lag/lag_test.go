package lag

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReadingOfAnswers checks that the read delay grows only if the owner lacks processor
// time, not if some workers are slow, if the workers are far away or if the owner was
// paused once.
func TestReadingOfAnswers(t *testing.T) {
	const quick, slow = 2 * time.Millisecond, 80 * time.Millisecond
	tests := map[string]struct {
		before      time.Duration
		quick, slow int
		readDelay   time.Duration
	}{
		"no answers":                   {before: quick},
		"a few slow ones":              {before: quick, slow: minAnswers - 1},
		"all are quick":                {before: quick, quick: 20},
		"half of the workers are slow": {before: quick, quick: 10, slow: 10},
		"all are slow":                 {before: quick, slow: 20, readDelay: slow - quick},
		"all are far":                  {before: slow, slow: 20},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var m Meter
			for range minAnswers {
				m.NoteAnswer(test.before)
			}
			m.Tick(0)
			for range test.quick {
				m.NoteAnswer(quick)
			}
			for range test.slow {
				m.NoteAnswer(slow)
			}
			m.Tick(time.Second) // The process was paused.
			is.Equal(m.ReadDelay(), test.readDelay)
			for range 100 {
				m.Tick(0)
			}
			is.Equal(m.ReadDelay(), time.Duration(0))
		})
	}
}
