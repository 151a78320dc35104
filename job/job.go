// Package job decides how a job proceeds from its submission to its one outcome.
// It has no side effects: a machine takes events and the present time and returns
// actions, which the caller executes.
package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 1300

// Task is one task of a submission.
type Task struct {
	Index   ident.TaskIndex `json:"index" msgpack:"index"`
	Payload json.RawMessage `json:"payload" msgpack:"payload"`
	// DeclaredMB and DeclaredMS are the client's estimates of the task's
	// memory in megabytes and of its run time in milliseconds.
	DeclaredMB int `json:"declaredMb,omitempty" msgpack:"declaredMb,omitempty"`
	DeclaredMS int `json:"declaredMs,omitempty" msgpack:"declaredMs,omitempty"`
}

// Submission is a job as a client submits it.
type Submission struct {
	ident.Job
	Pool     ident.Pool `json:"pool" msgpack:"pool"`
	Deadline time.Time  `json:"deadline,omitzero" msgpack:"deadline"`
	Tasks    []Task     `json:"tasks" msgpack:"tasks"`
	// Resubmission is true if the client has sent this job before, so that an
	// earlier attempt may have run.
	Resubmission bool `json:"resubmission,omitempty" msgpack:"resubmission,omitempty"`
}

// Check returns why the submission can not be accepted, or nil.
func (s *Submission) Check(now time.Time) *outcome.Error {
	switch {
	case s.Team == "" || s.Key == "" || s.Pool == "":
		return outcome.New(outcome.NotRun, outcome.Invalid, "team, key and pool must be set")
	case strings.Contains(string(s.Team), "/"):
		return outcome.New(outcome.NotRun, outcome.Invalid, "team %q contains a slash", s.Team)
	case len(s.Tasks) == 0:
		return outcome.New(outcome.NotRun, outcome.Invalid, "a job needs at least one task")
	case len(s.Tasks) > MaxTasks:
		return outcome.New(outcome.NotRun, outcome.TooLarge, "%d tasks are more than the limit of %d", len(s.Tasks), MaxTasks)
	case !s.Deadline.IsZero() && !s.Deadline.After(now):
		return outcome.New(outcome.NotRun, outcome.DeadlinePassed, "the deadline %s has passed", s.Deadline.Format(time.RFC3339Nano))
	}
	seen := make([]bool, len(s.Tasks))
	for _, t := range s.Tasks {
		if t.Index < 0 || int(t.Index) >= len(s.Tasks) {
			return outcome.New(outcome.NotRun, outcome.Invalid, "task index %d is out of range 0 to %d", t.Index, len(s.Tasks)-1)
		}
		if seen[t.Index] {
			return outcome.New(outcome.NotRun, outcome.Invalid, "task index %d is used twice", t.Index)
		}
		seen[t.Index] = true
	}
	return nil
}

// CheckMemory returns an error that names a task which declares more memory than
// each server of the pool has, or nil. The argument holds the megabytes of each
// server. Zero means that the memory of a server is not known; no task is then
// refused.
func (s *Submission) CheckMemory(memory []int) *outcome.Error {
	largest := 0
	for _, m := range memory {
		if m == 0 {
			return nil
		}
		largest = max(largest, m)
	}
	if largest == 0 {
		return nil
	}
	for _, t := range s.Tasks {
		if t.DeclaredMB > largest {
			return outcome.New(outcome.NotRun, outcome.NoFit, "task %d needs %d MB and the largest server has %d MB", t.Index, t.DeclaredMB, largest)
		}
	}
	return nil
}

// Digest returns a digest of the pool and the tasks. Submissions of one key
// with different digests are different jobs.
func (s *Submission) Digest() string {
	hash := sha256.New()
	write := func(part string) {
		hash.Write([]byte(strconv.Itoa(len(part))))
		hash.Write([]byte{':'})
		hash.Write([]byte(part))
	}
	write(string(s.Pool))
	for _, t := range s.Tasks {
		write(strconv.Itoa(int(t.Index)))
		write(string(t.Payload))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// State is the state of a job in the table.
type State string

// The states of a job.
const (
	// Accepted means that a holder has claimed the job and started nothing.
	Accepted State = "accepted"
	// Started means that the intent to start all tasks is recorded.
	Started State = "started"
	// Complete means that each task has an answer.
	Complete State = "complete"
	// Failed means that the job ended without all answers.
	Failed State = "failed"
)

// Ended returns true for final states.
func (s State) Ended() bool {
	return s == Complete || s == Failed
}

// Holder identifies one incarnation of an entry host.
type Holder struct {
	Host ident.Host `json:"host" msgpack:"host"`
	// Boot differs each time that the process starts.
	Boot string `json:"boot" msgpack:"boot"`
}

// Answer is the answer of one task.
type Answer struct {
	Index  ident.TaskIndex `json:"index" msgpack:"index"`
	Answer json.RawMessage `json:"answer" msgpack:"answer"`
}

// Outcome is how a job ended: with the answers of all tasks or with an error.
type Outcome struct {
	State   State          `json:"state" msgpack:"state"`
	Error   *outcome.Error `json:"error,omitempty" msgpack:"error,omitempty"`
	Answers []Answer       `json:"answers,omitempty" msgpack:"answers,omitempty"`
	// Object names the object that holds the answers if they are too large
	// for the row.
	Object string `json:"object,omitempty" msgpack:"object,omitempty"`
}

// Row is a job as the table keeps it.
type Row struct {
	ident.Job
	Digest string     `json:"digest"`
	Pool   ident.Pool `json:"pool"`
	Holder Holder     `json:"holder"`
	// Mirror is the incarnation that keeps the outcome while the table can not be
	// written. It is zero if the job has none.
	Mirror Holder      `json:"mirror,omitzero"`
	Epoch  ident.Epoch `json:"epoch"`
	State  State       `json:"state"`
	Tasks  int         `json:"tasks"`
	// Operation identifies the write that made this version of the row.
	Operation string    `json:"operation"`
	Deadline  time.Time `json:"deadline,omitzero"`
	// Payload holds the tasks of an accepted job if they are small, and
	// PayloadObject names the object that holds them otherwise.
	Payload       []Task   `json:"payload,omitempty"`
	PayloadObject string   `json:"payloadObject,omitempty"`
	Outcome       *Outcome `json:"outcome,omitempty"`
	// Ended is when the holder determined the outcome, by its own clock.
	Ended time.Time `json:"ended,omitzero"`
}

// Expired returns true if the job ended at least retention ago, so that its
// row may be deleted. A later submission of its key is a new job.
func (r *Row) Expired(now time.Time, retention time.Duration) bool {
	return r.State.Ended() && !r.Ended.IsZero() && now.Sub(r.Ended) >= retention
}

// Submission returns the submission of an accepted row with its tasks.
func (r *Row) Submission(tasks []Task) *Submission {
	return &Submission{Job: r.Job, Pool: r.Pool, Deadline: r.Deadline, Tasks: tasks}
}

// failedOutcome returns the outcome of a job that ends with e.
func failedOutcome(e *outcome.Error) *Outcome {
	return &Outcome{State: Failed, Error: e}
}
