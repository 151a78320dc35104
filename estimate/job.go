package estimate

import (
	"math"
	"slices"
	"time"

	"github.com/catkingap/catkingap/worker"
)

const (
	// jobVariance is the variance of the logarithm by which the estimates of a job are off:
	// by a factor of 0.4. All tasks of a job are off alike.
	jobVariance = 0.16
	// tailShare is the share of jobs that take much longer, and tailMean the logarithm of
	// how much.
	tailShare = 0.03
	tailMean  = 1.95
	// taskVariance is the variance by which the tasks of one job differ, which is 0.15.
	taskVariance = 0.0225
	// slackVariance is added where a worker is compared with others: of the other runs, those
	// that have ended first are the shorter ones.
	slackVariance = 0.03
	// openVariance is the variance of what is known of an estimate while no run on another
	// worker has ended, and openMean how far the run times are beyond what the open ones
	// have taken. openLeast is the least difference from which open runs show anything.
	openVariance = 0.05
	openMean     = 0.1
	openLeast    = 0.2
	// slowMean and slowVariance describe the logarithm of the slowdown of a slow worker:
	// 4 to 8 times.
	slowMean     = 1.7
	slowVariance = 0.12
	// minEvidence and maxEvidence bound what the runs of one job say of a worker: the
	// assumptions above are rough.
	minEvidence, maxEvidence = -3.0, 5.0
	// MaxCompared is how many tasks and workers of one job are compared with each other. It
	// bounds the cost of an event of a job with thousands of tasks.
	MaxCompared = 64
)

// Job is what the runs of one job have shown. It tells an estimate that is wrong from a
// worker that is slow. Its zero value is a job without runs.
type Job struct {
	workers []jobWorker
	// ended is the number of runs that have ended, and ratios the sum of their run times as
	// multiples of the expected ones.
	ended  int
	ratios float64
}

// jobWorker is what the runs of a job on one worker have shown.
type jobWorker struct {
	id     worker.ID
	worker *Worker
	// ended is the number of runs that have ended, and sum the sum of the logarithms of
	// their ratio to what was expected on the worker.
	ended int
	sum   float64
	// open is the largest such logarithm that a run that has not ended is known to exceed, or
	// zero.
	open float64
	// said is the evidence for a slow phase that the worker was given.
	said float64
}

func (x *jobWorker) mean() float64 { return x.sum / float64(x.ended) }

// Run is a run of a task on a worker.
type Run struct {
	Worker worker.ID
	Sent   time.Time
	// Estimate is the expected run time on a worker that runs tasks as estimated.
	Estimate time.Duration
}

// difference returns the logarithm of the ratio of a run time to what is usual on a worker.
func (r *Run) difference(now time.Time, w *Worker) (float64, bool) {
	took := now.Sub(r.Sent)
	if took <= 0 || r.Estimate <= 0 {
		return 0, false
	}
	x := math.Log(float64(took) / float64(r.Estimate))
	return min(max(x, -MaxLog), 2*MaxLog) - w.mean, true
}

// Ended adds the run time of a run that has completed at now.
func (j *Job) Ended(now time.Time, w *Worker, r Run) Change {
	d, ok := r.difference(now, w)
	if !ok {
		return Unchanged
	}
	j.ended++
	j.ratios += math.Exp(d - w.extra)
	x := j.worker(r.Worker)
	x.worker = w
	if r.Sent.Before(w.changed) {
		return Unchanged
	}
	if w.isLearning(now) {
		// A run on a worker of which it is not known how slow it is shows nothing of the job.
		x.ended++
		x.sum += d
	}
	if w.variance() > learningVariance {
		return Unchanged
	}
	known := j.estimateWithout(r.Worker, lowerMedian)
	return w.weigh(now, x.say(known.evidence(d, w.variance())), d)
}

// Learn moves the usual speeds of the workers of a job whose runs have all ended. It is not
// done before: the runs that end first are the shorter ones, in comparison with which the
// workers of the others would count as slower than they are. It calls changed for each worker
// that it moves.
func (j *Job) Learn(now time.Time, changed func(worker.ID)) {
	for i := range j.workers {
		x := &j.workers[i]
		if x.ended == 0 || !x.worker.isLearning(now) {
			continue
		}
		known := j.estimateWithout(x.id, mean)
		if known.tail < 0.5 {
			x.worker.learn(x.mean()-known.means[0], known.variances[0]+taskVariance/float64(x.ended))
			changed(x.id)
		}
	}
}

// Open adds that a run has not completed by now, for comparison with the others.
func (j *Job) Open(now time.Time, w *Worker, r Run) {
	if d, ok := r.difference(now, w); ok && d > openLeast && w.phase == usual {
		x := j.worker(r.Worker)
		x.worker, x.open = w, max(x.open, d)
	}
}

// Overdue adds that a run has not completed by now although it should have. The other open
// runs of the job must have been added.
func (j *Job) Overdue(now time.Time, w *Worker, r Run) Change {
	d, ok := r.difference(now, w)
	if !ok || w.variance() > learningVariance || (w.phase != usual && r.Sent.Before(w.changed)) {
		return Unchanged
	}
	known := j.estimateWithout(r.Worker, lowerMedian)
	return w.weigh(now, j.worker(r.Worker).say(known.overdueEvidence(d, w.variance())), d)
}

// say returns what is new in evidence from the runs of a job on one worker: such runs are
// alike, and must not count several times. Evidence against is not taken back: the odds have
// a lower bound, at which it has had no effect.
func (x *jobWorker) say(evidence float64) float64 {
	news := evidence - x.said
	x.said = max(0, evidence)
	return news
}

func (j *Job) worker(id worker.ID) *jobWorker {
	for i := range j.workers {
		if j.workers[i].id == id {
			return &j.workers[i]
		}
	}
	if len(j.workers) == MaxCompared {
		return &jobWorker{id: id}
	}
	j.workers = append(j.workers, jobWorker{id: id})
	return &j.workers[len(j.workers)-1]
}

// belief is a mixture of two normal distributions of the logarithm by which a job's
// estimate is off: as usual, or in the tail.
type belief struct {
	tail             float64
	means, variances [2]float64
}

// estimateWithout returns what the runs on all workers but one show of the estimate. It
// combines the means of the workers as given.
func (j *Job) estimateWithout(id worker.ID, combine func([]float64) float64) belief {
	b := belief{tail: tailShare, means: [2]float64{0, tailMean}, variances: [2]float64{jobVariance, jobVariance}}
	var means, open []float64
	variance := 0.0
	for i := range j.workers {
		switch x := &j.workers[i]; {
		case x.id == id:
		case x.ended > 0:
			means = append(means, x.mean())
			variance += taskVariance + x.worker.variance()
		case x.open > 0:
			open = append(open, x.open)
		}
	}
	if len(means) == 0 {
		b.addOpen(open)
		return b
	}
	seen := combine(means)
	variance /= float64(len(means) * ((len(means) + 1) / 2))
	usual := (1 - tailShare) * density(seen, 0, jobVariance+variance)
	tail := tailShare * density(seen, tailMean, jobVariance+variance)
	if usual+tail > 0 {
		b.tail = tail / (usual + tail)
	}
	for i := range b.means {
		gain := jobVariance / (jobVariance + variance)
		b.means[i] += gain * (seen - b.means[i])
		b.variances[i] *= 1 - gain
	}
	return b
}

// addOpen adds that the runs on other workers have not ended. They say nothing as long as
// they take no longer than usual.
func (b *belief) addOpen(open []float64) {
	if len(open) == 0 {
		return
	}
	seen := lowerMedian(open)
	usual, tail := (1-tailShare)*survival(seen, 0, jobVariance), tailShare*survival(seen, tailMean, jobVariance)
	if usual+tail > 0 {
		b.tail = tail / (usual + tail)
	}
	b.means[0], b.variances[0] = seen+openMean, openVariance
	b.means[1] = max(tailMean, seen+openMean)
}

// lowerMedian ignores that some workers are slower than is known: in a fault, several become
// slow at once.
func lowerMedian(all []float64) float64 {
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// mean does not favour either side, so that the usual speeds do not drift.
func mean(all []float64) float64 {
	sum := 0.0
	for _, x := range all {
		sum += x
	}
	return sum / float64(len(all))
}

func (b *belief) shares() [2]float64 { return [2]float64{1 - b.tail, b.tail} }

// evidence returns the logarithm of the ratio of the likelihoods of a run time on a slow
// worker and on a usual one.
func (b *belief) evidence(difference, variance float64) float64 {
	return b.compare(difference, variance, density)
}

// overdueEvidence is evidence for a run that has not ended yet.
func (b *belief) overdueEvidence(difference, variance float64) float64 {
	return max(0, b.compare(difference, variance, survival))
}

func (b *belief) compare(x, variance float64, likelihood func(x, mean, variance float64) float64) float64 {
	const least = 1e-9
	var usual, slow float64
	for i, share := range b.shares() {
		v := b.variances[i] + taskVariance + variance + slackVariance
		usual += share * likelihood(x, b.means[i], v)
		slow += share * likelihood(x, b.means[i]+slowMean, v+slowVariance)
	}
	return min(max(math.Log((slow+least)/(usual+least)), minEvidence), maxEvidence)
}

// density returns the density of a normal distribution.
func density(x, mean, variance float64) float64 {
	return math.Exp(-(x-mean)*(x-mean)/(2*variance)) / math.Sqrt(2*math.Pi*variance)
}

// survival returns the probability of a value above x.
func survival(x, mean, variance float64) float64 {
	return math.Erfc((x-mean)/math.Sqrt(2*variance)) / 2
}
