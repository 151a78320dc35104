package estimate

import "time"

const (
	// overdueFactor and overdueMargin bound how much longer than expected a run may
	// take before its worker is asked for its progress: estimates are off by some
	// 40 %, and tasks of one job by some 15 %.
	overdueFactor = 1.6
	overdueMargin = 30 * time.Millisecond
	// lossyFactor and lossyMargin replace them while answers get lost, since the
	// poll that was to report the end may be among the lost ones.
	lossyFactor = 1.2
	lossyMargin = 10 * time.Millisecond
	// defaultRunTimeRatio is how many times its expected time a task is assumed to
	// take as long as no other task of its job has shown how far the estimate is
	// off.
	defaultRunTimeRatio = 2
	// restartGain is how many times sooner than the present run a new one must be
	// done, since the work done so far is lost.
	restartGain = 1.5
)

// CheckAfter returns how long a run with the given expected run time may take before its
// worker is asked for its progress. lossy is true while answers get lost.
func CheckAfter(expected time.Duration, lossy bool) time.Duration {
	if lossy {
		return scaled(expected, lossyFactor) + lossyMargin
	}
	return StragglerLimit(expected)
}

// StragglerLimit returns how long a run with the given expected run time may take before it
// counts as a straggler.
func StragglerLimit(expected time.Duration) time.Duration {
	return scaled(expected, overdueFactor) + overdueMargin
}

// Ratio returns how many times their expected time the tasks of the job take. slowed is true
// for a run on a worker that has become slow: the estimate need not be off then.
func (j *Job) Ratio(slowed bool) float64 {
	if j.ended == 0 {
		if slowed {
			return 1
		}
		return defaultRunTimeRatio
	}
	return max(1, j.MeanRatio())
}

// MeanRatio returns the mean of the run times of the job's ended runs as multiples of the
// expected ones, or 1 if none has ended.
func (j *Job) MeanRatio() float64 {
	if j.ended == 0 {
		return 1
	}
	return j.ratios / float64(j.ended)
}

// IsSooner returns true if a new run that takes rerun is done much sooner than a run that
// has made the given progress, in per cent, within elapsed. If slowed is true, its worker has
// become slow since, and the whole task now takes the expected time there.
func IsSooner(rerun, elapsed time.Duration, percent int, slowed bool, expected time.Duration) bool {
	left := elapsed*100/time.Duration(percent) - elapsed
	if slowed {
		left = max(left, expected*time.Duration(100-percent)/100)
	}
	return float64(left) > restartGain*float64(rerun)
}

// scaled returns d times x.
func scaled(d time.Duration, x float64) time.Duration { return time.Duration(x * float64(d)) }
