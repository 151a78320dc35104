// Package report defines what an owner reports of its jobs and workers, for the log and the
// metrics.
package report

import (
	"fmt"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// Result tells how a submission ended.
type Result string

// The results of submissions.
const (
	// Busy means that nothing was started and that another owner may be asked.
	Busy Result = "busy"
	// Unsuited means that nothing was started, and that only other data centres have
	// workers for the job.
	Unsuited Result = "unsuited"
	// Completed means that all tasks are done.
	Completed Result = "completed"
	// Failed means that the job cannot be completed.
	Failed Result = "failed"
	// Interrupted means that the job did not end here. Runs of it have ended or
	// will end before the caller sends it again.
	Interrupted Result = "interrupted"
	// Expired means that the caller's deadline passed after part of the job had
	// started.
	Expired Result = "expired"
	// Stored means that the job is stored and that its caller does not wait.
	Stored Result = "kept"
	// Moved means that the host that was asked does not own the workers.
	Moved Result = "moved"
	// Refused means that nothing was or will be started.
	Refused Result = "refused"
	// Cancelled means that a job was cancelled.
	Cancelled Result = "cancelled"
	// Superseded means that the caller has sent the job again through another host.
	Superseded Result = "superseded"
)

// maxRecordedRuns bounds the runs in the record of one job.
const maxRecordedRuns = 64

// Record describes how a submission went, for the log.
type Record struct {
	Job    work.ID
	Host   ident.Host
	Call   uint64
	Result Result
	Reason string
	// Waited is the time from the caller's request to the submission, and Took is
	// the time from the submission to its end.
	Waited, Took time.Duration
	// Objective is the time after its request at which the caller expects the
	// answer.
	Objective time.Duration
	// Waiting is the number of tasks that had not started at the end.
	Waiting int
	Runs    []RunRecord
	// Omitted is the number of runs that are left out of Runs.
	Omitted int
}

// RunRecord describes how one run went.
type RunRecord struct {
	Step, Index int
	Run         work.Run
	Worker      worker.ID
	// Started and Ended are times after the submission. Ended is zero if the run
	// had not ended when the job did.
	Started, Ended time.Duration
	How            string
}

// AddRun adds a run, and returns its number in the record, or zero if the record is full.
func (r *Record) AddRun(x RunRecord) int {
	if len(r.Runs) == maxRecordedRuns {
		r.Omitted++
		return 0
	}
	r.Runs = append(r.Runs, x)
	return len(r.Runs)
}

// EndRun records how the run with the given number ended, or why it is being stopped. The first
// reason is kept.
func (r *Record) EndRun(number int, ended time.Duration, how string) {
	if number == 0 {
		return
	}
	x := &r.Runs[number-1]
	if x.How == "" {
		x.How = how
	}
	x.Ended = ended
}

// Fields returns the fields of the log line: each run with its task, worker and times.
func (r *Record) Fields() map[string]any {
	runs := make([]string, 0, len(r.Runs))
	for _, x := range r.Runs {
		runs = append(runs, fmt.Sprintf("%d.%d#%d %s %d+%d %s", x.Step, x.Index, x.Run, x.Worker,
			x.Started.Milliseconds(), max(0, x.Ended-x.Started).Milliseconds(), x.How))
	}
	return map[string]any{
		"job": string(r.Job), "peer": string(r.Host), "call": r.Call, "result": r.Result, "reason": r.Reason,
		"waitedMs": r.Waited.Milliseconds(), "tookMs": r.Took.Milliseconds(), "objectiveMs": r.Objective.Milliseconds(),
		"waitingTasks": r.Waiting, "runs": runs, "omittedRuns": r.Omitted,
	}
}

// JobEnd is the end of a stored job.
type JobEnd struct {
	Job    work.ID
	Result Result
}

// LossCause tells why a run ended without its worker having reported an end.
type LossCause string

// The causes of losses.
const (
	// LossCrashed means that another process has taken the place of the worker.
	LossCrashed LossCause = "crashed"
	// LossSilent means that the worker answered no order until its lease had lapsed. It
	// may have crashed, or may be paused or cut off.
	LossSilent LossCause = "silent"
	// LossLeft means that the worker was draining and has left.
	LossLeft LossCause = "left"
	// LossUnlisted means that the worker answers and no longer lists the run.
	LossUnlisted LossCause = "unlisted"
	// LossRefused means that the worker refused the start.
	LossRefused LossCause = "refused"
)

// WorkerLoss tells that a worker was lost with all its runs.
type WorkerLoss struct {
	Worker      worker.ID
	Incarnation worker.Incarnation
	Cause       LossCause
	// Tasks holds the tasks that the worker ran.
	Tasks []string
	// Silent is for how long the worker had answered no order.
	Silent time.Duration
}

// Fields returns the fields of the log line.
func (l *WorkerLoss) Fields() map[string]any {
	return map[string]any{
		"worker": string(l.Worker), "incarnation": int64(l.Incarnation), "cause": string(l.Cause), "tasks": l.Tasks,
		"silentMs": l.Silent.Milliseconds(),
	}
}

// GiveUpCause tells why a job was ended because of a task that workers were lost under.
type GiveUpCause string

// The causes for giving up.
const (
	// TaskCrashes means that the task has crashed its workers.
	TaskCrashes GiveUpCause = "crashes"
	// TooLate means that the task may have crashed its worker, and that another run would
	// be of no use to the caller.
	TooLate GiveUpCause = "tooLate"
)

// Reason returns the cause in words.
func (c GiveUpCause) Reason() string {
	if c == TaskCrashes {
		return "workers crash under a task of it"
	}
	return "its worker was lost, and it is too late for another run"
}

// GivenUp tells that a job was ended because of a task that workers were lost under.
type GivenUp struct {
	Job     work.ID
	Task    string
	Workers []worker.ID
	Cause   GiveUpCause
}
