package cmd

import (
	"testing"

	"github.com/matryer/is"
)

// TestCollector collects garbage early only on a host at rest.
func TestCollector(t *testing.T) {
	is := is.New(t)
	var c collector
	for _, step := range []struct {
		messages int64
		percent  int
		changed  bool
	}{{0, restPercent, true}, {0, restPercent, false}, {5, workPercent, true}, {9, workPercent, false}, {9, restPercent, true}} {
		percent, changed := c.next(step.messages)
		is.Equal(percent, step.percent)
		is.Equal(changed, step.changed)
	}
}
