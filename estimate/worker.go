package estimate

import (
	"math"
	"time"

	"github.com/catkingap/catkingap/worker"
)

const (
	// MaxLog is the largest absolute value of Worker.Log.
	MaxLog = 2.5
	// firstVariance is the variance of the logarithm of a worker's speed before its first
	// run: workers differ by a factor of two to three. settledVariance is the least variance:
	// it keeps old run times from outweighing new ones. With it the weight of a run time is
	// 0.06 while the error of its job's estimate is not known, and 0.2 otherwise.
	firstVariance   = 0.16
	settledVariance = 0.012
	// learningVariance is the variance above which too little is known of a worker to
	// recognise a slow phase.
	learningVariance = 0.04
	// maxStep bounds what one run time changes in the usual speed: of a job whose estimate
	// is off by a factor of 7, nothing more is to be learned.
	maxStep = 0.8

	// idleOdds are the lowest logarithm of the odds that a worker is in a slow phase, and
	// maxOdds the highest. Slow phases are rare: it takes two runs of different jobs, or one
	// run of a job that also ran elsewhere, to reach zero, at which a worker counts as slow.
	// maxOdds is less than what one usual run time takes away.
	idleOdds = -4.0
	maxOdds  = 2.0
	// trialOdds are the odds once a slow phase is not confirmed any more. One slow run makes
	// the worker count as slow again.
	trialOdds = -0.7

	// minSlow is the least logarithm of the slowdown of a worker in a slow phase, and
	// firstSlow the one that is assumed at first: workers become 4 to 8 times slower.
	minSlow   = math.Ln2
	firstSlow = 2 * math.Ln2
	// slowWeight is the weight of a new run time in the slowdown of a slow phase.
	slowWeight = 0.3
	// ConfirmTime is how long a worker counts as slow without a further slow run. It is
	// then tried. Slow phases last some 6 s: a shorter time makes more trials, each of which
	// may make one job late, and a longer one leaves more capacity unused.
	ConfirmTime = 1500 * time.Millisecond
	// TrialTime is how long a worker is used for one task at a time only, and by tasks that
	// could also wait for a worker of half its speed. It is as before after that.
	TrialTime = time.Second
	// fadeTime is the time in which evidence loses two thirds of its weight.
	fadeTime = 2 * time.Second
	// permanentTime is how long a slow phase lasts before it changes the usual speed.
	permanentTime = 10 * time.Second
)

// phase is the state of a worker.
type phase int

const (
	usual phase = iota
	slow
	trial
)

// Change tells how an observation or the time has changed what a worker is believed to be.
type Change string

// The changes of a worker.
const (
	// Unchanged means that the worker is believed to be what it was before.
	Unchanged Change = ""
	// Slowed means that the worker counts as slow from now on.
	Slowed Change = "slowed"
	// Recovered means that the worker counts as usual from now on.
	Recovered Change = "recovered"
)

// SpeedChange tells how a worker has changed, for the log.
type SpeedChange struct {
	Worker worker.ID
	Change Change
	// Factor is how many times slower than usual it is taken to be, and Runs is the number of
	// its runs.
	Factor float64
	Runs   int
}

// Worker is what is known of the speed of one worker. Its zero value is a worker of unknown
// speed, which is taken to run tasks as estimated.
type Worker struct {
	// mean is the logarithm of the usual ratio of run times to their estimates, and
	// certainty the inverse of its variance. Zero stands for an unknown worker.
	mean      float64
	certainty float64
	phase     phase
	// odds is the logarithm of the odds that the worker is in a slow phase.
	odds float64
	// extra is the logarithm of the slowdown beyond the usual speed.
	extra float64
	// began is when the worker became slow, changed when the phase last changed, and until
	// when it ends unless it is confirmed. Runs that began before changed tell nothing of the
	// present phase.
	// weighed is when the odds were last changed.
	began, changed, until, weighed time.Time
}

// Log returns the logarithm of the ratio of run times to their estimates. A larger value
// means a slower worker.
func (w *Worker) Log() float64 { return min(w.mean+w.extra, MaxLog) }

// Usual returns the logarithm of the ratio that holds outside of slow phases.
func (w *Worker) Usual() float64 { return w.mean }

// Scale returns the expected run time of a task with the given estimate.
func (w *Worker) Scale(estimate time.Duration) time.Duration { return Scale(estimate, w.Log()) }

// Factor returns how many times slower than usual the worker is taken to be.
func (w *Worker) Factor() float64 { return math.Exp(w.extra) }

// IsSlow returns true if the worker counts as slow.
func (w *Worker) IsSlow() bool { return w.phase == slow }

// SlowSince returns when the worker came to count as slow, or zero.
func (w *Worker) SlowSince() time.Time {
	if w.phase != slow {
		return time.Time{}
	}
	return w.changed
}

// OnTrial returns true if the worker may have recovered: it gets one task at a time.
func (w *Worker) OnTrial() bool { return w.phase == trial }

// NextChange returns when Advance next changes the worker, or zero.
func (w *Worker) NextChange() time.Time { return w.until }

// Advance ends a phase that was not confirmed for long enough.
func (w *Worker) Advance(now time.Time) Change {
	if w.phase == usual || now.Before(w.until) {
		return Unchanged
	}
	if w.phase == slow {
		w.phase, w.odds, w.extra = trial, trialOdds, minSlow
		w.changed, w.until = now, now.Add(TrialTime)
		return Unchanged
	}
	w.recover(now, trialOdds)
	return Recovered
}

// Scale returns the expected run time of a task with the given estimate on a worker with
// the given logarithm of the ratio of run times to estimates.
func Scale(estimate time.Duration, logRatio float64) time.Duration {
	return time.Duration(math.Exp(logRatio) * float64(estimate))
}

// variance returns the variance of the usual speed.
func (w *Worker) variance() float64 {
	if w.certainty == 0 {
		return firstVariance
	}
	return 1 / w.certainty
}

// isLearning returns true if run times show the usual speed of the worker.
func (w *Worker) isLearning(now time.Time) bool {
	return w.variance() > learningVariance || (w.phase == usual && w.odds < trialOdds) ||
		(w.phase == slow && now.Sub(w.began) > permanentTime)
}

// learn moves the usual speed by a run time that differs by the given logarithm from what
// was expected, with the variance of that difference.
func (w *Worker) learn(difference, variance float64) {
	p := w.variance()
	gain := p / (p + variance)
	w.mean += gain * min(max(difference, -maxStep), maxStep)
	w.mean = min(max(w.mean, -MaxLog), MaxLog)
	w.certainty = 1 / max(settledVariance, p*(1-gain))
}

// weigh adds evidence for a slow phase, given as the logarithm of a ratio of likelihoods.
func (w *Worker) weigh(now time.Time, evidence, difference float64) Change {
	if w.phase == usual {
		w.odds = idleOdds + (w.odds-idleOdds)*math.Exp(-now.Sub(w.weighed).Seconds()/fadeTime.Seconds())
	}
	w.weighed = now
	w.odds = min(max(w.odds+evidence, idleOdds), maxOdds)
	if w.phase == usual && w.odds <= idleOdds {
		return Unchanged
	}
	switch {
	case w.odds >= 0 && w.phase != slow:
		change := Slowed
		if w.phase == trial {
			change = Unchanged
		} else {
			w.began = now
		}
		w.phase, w.extra = slow, max(firstSlow, difference)
		w.odds, w.changed, w.until = maxOdds, now, now.Add(ConfirmTime)
		return change
	case w.odds < 0 && w.phase == slow, w.odds < trialOdds && w.phase == trial:
		w.recover(now, idleOdds)
		return Recovered
	case w.phase == slow && evidence > 0:
		w.extra = max(minSlow, w.extra+slowWeight*(difference-w.extra))
		w.until = now.Add(ConfirmTime)
	}
	return Unchanged
}

func (w *Worker) recover(now time.Time, odds float64) {
	w.phase, w.odds, w.extra = usual, odds, 0
	w.changed, w.until, w.weighed = now, time.Time{}, now
}
