package room

import (
	"math"
	"time"
)

// learningRate is the weight of a new run time in the slowdown of a worker: task
// estimates are off by some 40 %, so about a dozen run times are needed.
const learningRate = 0.12

// Slowdown is the learned ratio of run times to their estimates on a worker. A larger
// value means a slower worker. Its zero value is the ratio 1.
type Slowdown struct {
	// logRatio is the mean logarithm of the run time over the estimate.
	logRatio float64
	known    bool
}

// Log returns the logarithm of the ratio.
func (s Slowdown) Log() float64 { return s.logRatio }

// Learn adds the run time of a task with the given estimate.
func (s *Slowdown) Learn(took, estimate time.Duration) {
	if took <= 0 || estimate <= 0 {
		return
	}
	x := min(max(math.Log(float64(took)/float64(estimate)), -MaxLogSlowdown), MaxLogSlowdown)
	if !s.known {
		// A single run time is weak evidence, so it is pulled towards the estimate.
		s.known, s.logRatio = true, x/2
		return
	}
	s.logRatio += learningRate * (x - s.logRatio)
}

// Scale returns the expected run time of a task with the given estimate.
func (s Slowdown) Scale(estimate time.Duration) time.Duration { return Scale(estimate, s.logRatio) }

// Scale returns the expected run time of a task with the given estimate on a worker with
// the given logarithm of its slowdown.
func Scale(estimate time.Duration, logSlowdown float64) time.Duration {
	return time.Duration(math.Exp(logSlowdown) * float64(estimate))
}
