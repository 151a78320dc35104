// Package message defines the messages by which hosts submit jobs to the owners of workers, and
// owners answer them.
package message

import (
	"time"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/keepalive"
	"github.com/catkingap/catkingap/report"
	"github.com/catkingap/catkingap/work"
)

// Submission is a job that an entry host submits for its caller.
type Submission struct {
	Job work.Job `msgpack:"job"`
	// Host is the entry host that holds the caller's connection, and Call is the
	// host's number of the caller's request.
	Host ident.Host `msgpack:"host"`
	Call uint64     `msgpack:"call"`
	// Boot identifies the process of the host. It changes with each restart.
	Boot string `msgpack:"boot"`
	// Sequence orders the submission relative to the keepalives of its host.
	Sequence keepalive.Sequence `msgpack:"try"`
	// Sent is when the submission was sent, on the clock of the owner's process.
	Sent time.Duration `msgpack:"sent"`
	// CallerSeen is Sent as a time of the owner. Zero means now.
	CallerSeen time.Time `msgpack:"-"`
	// Waited is the time since the caller's request arrived.
	Waited time.Duration `msgpack:"waited"`
	// Remaining is the time until the caller gives up.
	Remaining time.Duration `msgpack:"left"`
	// Resubmitted is true if an earlier owner of the same workers may have started
	// part of the job.
	Resubmitted bool `msgpack:"again,omitempty"`
	// Final is true if no other owner has free capacity. The job is then queued if
	// it cannot start at once.
	Final bool `msgpack:"final"`
	// Pinned is true if an owner has already yielded the job. It is not moved again.
	Pinned bool `msgpack:"stays,omitempty"`
	// MayRefer is true if the host submits an unsuited job to another owner.
	MayRefer bool `msgpack:"mayRefer,omitempty"`
	// Losses holds the losses of workers under tasks of the job that are known to the host.
	Losses []crash.TaskLosses `msgpack:"losses,omitempty"`
}

// SentAt returns when a submission was sent, which is never after now.
func (s Submission) SentAt(now time.Time) time.Time {
	if s.CallerSeen.IsZero() || s.CallerSeen.After(now) {
		return now
	}
	return s.CallerSeen
}

// Reply answers a submission.
type Reply struct {
	Host     ident.Host         `msgpack:"host"`
	Call     uint64             `msgpack:"call"`
	Sequence keepalive.Sequence `msgpack:"try"`
	Job      work.ID            `msgpack:"job"`
	Result   report.Result      `msgpack:"result"`
	// Reason is a short explanation.
	Reason string `msgpack:"reason,omitempty"`
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration `msgpack:"retryAfter,omitempty"`
	// DataCentre is another data centre that has workers for a job, or empty.
	DataCentre ident.DataCentre `msgpack:"dataCentre,omitempty"`
	// Final is true for an interrupted job that no owner continues.
	Final bool `msgpack:"final,omitempty"`
	// Load is the owner's load at the time of the reply.
	Load Load `msgpack:"load"`
}

// Load tells other hosts how much more work the workers of one owner can take.
type Load struct {
	// FreeTasks is the number of tasks of mean size that can start at once. It is
	// negative if more tasks wait than can start.
	FreeTasks int `msgpack:"room"`
	// Pending is the number of stored jobs of each queue that have not begun.
	Pending map[work.Queue]int `msgpack:"pending,omitempty"`
	// StoredJobsLoaded is true if the owner knows the stored jobs of the previous
	// owner.
	StoredJobsLoaded bool `msgpack:"loaded,omitempty"`
	// Lag is by how much the owner is late because its processor does not keep up.
	Lag time.Duration `msgpack:"delay,omitempty"`
	// Unconfirmed is true if the owner does not know whether it was replaced.
	Unconfirmed bool `msgpack:"unconfirmed,omitempty"`
	// Memory is what the owner has left for large jobs.
	Memory intake.FreeMemory `msgpack:"memory,omitempty"`
}
