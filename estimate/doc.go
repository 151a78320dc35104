// Package estimate learns how fast workers run tasks, against the estimates of jobs. It
// tells a worker that has become slow from a job whose estimate is wrong: the first slows
// down the tasks of all jobs on one worker, the second all tasks of one job on all workers.
// The package has no side effects: the caller passes the present time.
package estimate
