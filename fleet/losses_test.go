package fleet

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/worker"
)

// TestOrdersToAWorkerThatIsGoneAreLoggedRarely counts the log lines of a worker that
// refuses connections for a while, twice.
func TestOrdersToAWorkerThatIsGoneAreLoggedRarely(t *testing.T) {
	is := is.New(t)
	var f orderFailures
	for range 2 {
		lines := 0
		for range 1000 {
			if isLogged(f.note("w1", worker.Unsent)) {
				lines++
			}
		}
		is.Equal(lines, 10)
		is.True(isLogged(f.note("w2", worker.Unsent)))
		f.note("w1", worker.Accepted)
		f.note("w2", worker.Accepted)
	}
}
