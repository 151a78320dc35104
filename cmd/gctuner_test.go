package cmd

import (
	"testing"

	"github.com/matryer/is"
)

// TestCollector checks that garbage is collected early only on an idle host.
func TestCollector(t *testing.T) {
	is := is.New(t)
	var c gcTuner
	for _, step := range []struct {
		messages int64
		percent  int
		changed  bool
	}{{0, idleGCPercent, true}, {0, idleGCPercent, false}, {5, busyGCPercent, true}, {9, busyGCPercent, false}, {9, idleGCPercent, true}} {
		percent, changed := c.update(step.messages)
		is.Equal(percent, step.percent)
		is.Equal(changed, step.changed)
	}
}
