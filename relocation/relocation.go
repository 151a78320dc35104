// Package relocation decides which data centre continues a stored job that its own one
// cannot run. It has no side effects.
package relocation

import (
	"hash/fnv"
	"math"
	"slices"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// Choose returns the data centre that continues a job, of those whose workers are given.
// Workers that drain do not count. Data centres that have workers for all steps that are
// left come first. Among equals, jobs are spread by the cores of the workers that suit
// them, so that all deciders that see the same workers choose alike. Choose returns false
// if no data centre has workers for the steps that may start.
func Choose(j *work.Job, done []int, centres map[ident.DataCentre][]worker.Worker) (ident.DataCentre, bool) {
	ready, left := j.OpenSteps(done)
	var best ident.DataCentre
	bestComplete, bestScore := false, math.Inf(-1)
	for c, workers := range centres {
		if !Suits(j, ready, workers) {
			continue
		}
		complete := Suits(j, left, workers)
		score := score(j.ID, c, suitableCores(j, ready, workers))
		better := complete && !bestComplete
		if better || (complete == bestComplete && (score > bestScore || (score == bestScore && c < best))) {
			best, bestComplete, bestScore = c, complete, score
		}
	}
	return best, best != ""
}

// Suits returns true if each of the given steps of a job has a worker that suits it.
func Suits(j *work.Job, steps []int, workers []worker.Worker) bool {
	return !slices.ContainsFunc(steps, func(i int) bool {
		return !slices.ContainsFunc(workers, func(w worker.Worker) bool { return SuitsStep(j, i, &w) })
	})
}

// SuitsStep returns true if a worker is of the kind that a step needs, has the capacity, and
// does not drain.
func SuitsStep(j *work.Job, step int, w *worker.Worker) bool {
	return !w.Draining && w.IsOfKind(j.Pool, j.Steps[step].Label) && j.Steps[step].Size.Fits(w.Capacity)
}

// suitableCores returns the cores of the workers that suit any of the given steps.
func suitableCores(j *work.Job, steps []int, workers []worker.Worker) int {
	cores := 0
	for _, w := range workers {
		if slices.ContainsFunc(steps, func(i int) bool { return SuitsStep(j, i, &w) }) {
			cores += max(1, w.Capacity.Cores)
		}
	}
	return cores
}

// score returns the rank of a data centre for a job, by rendezvous hashing: the share of
// the jobs for which a data centre has the highest score is that of its weight.
func score(id work.ID, c ident.DataCentre, weight int) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(id) + "/" + string(c)))
	const buckets = 1 << 53
	uniform := (float64(mix(h.Sum64())>>11) + 0.5) / buckets
	return math.Log(uniform) / float64(weight)
}

// mix spreads the bits of a hash, whose high ones hardly depend on the last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
