package dispatch

import (
	"slices"
	"time"
)

// yieldTime is how long a job waits before it is offered to another owner: room that
// comes free within it is nearer than another data centre, which is a few milliseconds
// away and whose load is known to 150.
const yieldTime = 50 * time.Millisecond

// Yield answers Busy to jobs that wait, for as many tasks as other owners have room for,
// and returns the number of those tasks. Nothing of these jobs has begun, and none has
// come back from such an answer. Load: workers of one data centre that are full while
// others have room, since the load of callers is uneven or workers were lost.
func (m *Machine) Yield(now time.Time, room int) int {
	if m.stopped {
		return 0
	}
	yielded := 0
	for c := onTime; c <= late; c++ {
		for _, j := range slices.Clone(m.queue.jobs[c].Items()) {
			if yielded == room {
				return yielded
			}
			if tasks := j.spec.Steps[0].Count; yielded+tasks <= room && m.mayYield(now, j) {
				yielded += tasks
				m.end(now, j, Busy, "another owner has room")
				m.drop(now, j)
			}
		}
	}
	return yielded
}

// mayYield returns true if a waiting job can be served by any owner, and does better to
// leave.
func (m *Machine) mayYield(now time.Time, j *job) bool {
	return !j.begun && !j.kept && !j.again && !j.stays &&
		now.Sub(j.submitted) >= yieldTime && !m.roomAtOnce(now, j)
}
