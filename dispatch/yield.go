package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/spill"
)

// Yield answers Busy to waiting jobs, for as many tasks as can start at other
// owners, and returns the number of those tasks. It picks only jobs that have not
// begun and were not yielded before. This helps when the workers of one data centre
// are full while others have free capacity, because callers are spread unevenly or
// workers were lost.
func (m *Machine) Yield(now time.Time, freeTasks int) int {
	if m.stopped {
		return 0
	}
	yielded := 0
	for c := onTime; c <= late; c++ {
		for _, j := range m.queue.items(c) {
			if yielded == freeTasks {
				return yielded
			}
			if tasks := j.spec.Steps[0].Count; yielded+tasks <= freeTasks && m.mayYield(now, j) {
				yielded += tasks
				m.end(now, j, Busy, "another owner has room")
				m.drop(now, j)
			}
		}
	}
	return yielded
}

// mayYield returns true if any owner can serve a waiting job, and the job gains by
// moving.
func (m *Machine) mayYield(now time.Time, j *job) bool {
	return !j.begun && !j.stored && !j.resubmitted && !j.pinned &&
		now.Sub(j.submitted) >= spill.YieldDelay && !m.canStartAtOnce(now, j)
}
