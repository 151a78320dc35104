package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/worker"
)

// TestLoadBeforeTheFirstStart checks what an owner that has started nothing yet tells of
// its free capacity: one task for each listed worker, less the tasks that wait.
func TestLoadBeforeTheFirstStart(t *testing.T) {
	tests := map[string]struct {
		listed  []worker.Worker
		waiting int
		want    int
	}{
		"nothing waits":                    {listed: []worker.Worker{testWorker("w1"), testWorker("w2"), testWorker("w3")}, want: 3},
		"tasks wait":                       {listed: []worker.Worker{testWorker("w1"), testWorker("w2"), testWorker("w3")}, waiting: 5, want: -2},
		"workers of the owner before left": {listed: []worker.Worker{testWorker("w1")}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(testWorker("w1"), testWorker("w2"))
			m.SetWorkers(begin, test.listed)
			if test.waiting > 0 {
				m.Submit(at(1), submission("waits", 1, test.waiting))
			}
			is.Equal(m.Load(at(2)).FreeTasks, test.want)
		})
	}
}
