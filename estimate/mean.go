package estimate

import "time"

const (
	// coresWeight is the weight of a new task in the mean number of cores.
	coresWeight = 0.05
	// runTimeWeight is the weight of a task of mean size in the mean run time.
	runTimeWeight = 0.02
)

// MeanCores returns the mean number of cores of recent tasks after one more has started. Zero
// stands for no task.
func MeanCores(mean float64, cores int) float64 {
	if mean == 0 {
		return float64(cores)
	}
	return mean + coresWeight*(float64(cores)-mean)
}

// MeanRunTime returns the mean run time of recent tasks, weighted by their cores, after one
// more has ended. Zero stands for no task.
func MeanRunTime(mean, took time.Duration, cores int, meanCores float64) time.Duration {
	if mean == 0 || meanCores == 0 {
		return took
	}
	return mean + scaled(took-mean, min(1, runTimeWeight*float64(cores)/meanCores))
}
