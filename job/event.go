package job

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// Event is something that happened to a job. Its types are Written,
// WriteUncertain, ReadBack, ReadFailed, RowObserved, CapacityFree, StartRefused,
// TaskEnded, DeadlinePassed, CancelRequested, TimerFired, MirrorKept,
// MirrorAnswered and MirrorUnreachable.
type Event interface{ event() }

// Written reports the result of a Write action.
type Written struct {
	Applied  bool
	Revision ident.Revision
	// Current is the row that the table holds if the write did not apply.
	Current         *Row
	CurrentRevision ident.Revision
}

// WriteUncertain reports that a Write action ended without an answer. NotSent
// is true if the write provably did not take effect.
type WriteUncertain struct {
	NotSent bool
}

// ReadBack reports the result of a Read action. Row is nil if there is none.
type ReadBack struct {
	Row      *Row
	Revision ident.Revision
}

// ReadFailed reports that a Read action got no answer.
type ReadFailed struct{}

// RowObserved reports the row that a host read after it may have lost its lease.
type RowObserved struct {
	Row      *Row
	Revision ident.Revision
}

// CapacityFree reports that the pool of a waiting job has free capacity for its tasks.
type CapacityFree struct{}

// StartRefused reports that a StartTasks action queued no task.
type StartRefused struct {
	Error *outcome.Error
}

// TaskEnded reports the final end of a task, with an answer or an error.
type TaskEnded struct {
	Index  ident.TaskIndex
	Answer []byte
	Error  *outcome.Error
}

// DeadlinePassed reports that the deadline of the job has passed.
type DeadlinePassed struct{}

// CancelRequested reports that the client cancelled the job.
type CancelRequested struct{}

// TimerFired reports that the time of a SetTimer action has passed.
type TimerFired struct{}

// MirrorKept answers a KeepMirror action. Kept is false if the mirror will never
// keep an outcome of this epoch.
type MirrorKept struct {
	Kept bool
}

// MirrorAnswered answers an AskMirror action. Outcome is nil if the mirror has
// none and will never accept one of this epoch, or if its incarnation is gone.
type MirrorAnswered struct {
	Outcome *Outcome
}

// MirrorUnreachable reports that the mirror gave no answer.
type MirrorUnreachable struct{}

func (Written) event()           {}
func (WriteUncertain) event()    {}
func (ReadBack) event()          {}
func (ReadFailed) event()        {}
func (RowObserved) event()       {}
func (CapacityFree) event()      {}
func (StartRefused) event()      {}
func (TaskEnded) event()         {}
func (DeadlinePassed) event()    {}
func (CancelRequested) event()   {}
func (TimerFired) event()        {}
func (MirrorKept) event()        {}
func (MirrorAnswered) event()    {}
func (MirrorUnreachable) event() {}

// Action is something that the caller must do for a job. Its types are Write,
// Read, AwaitCapacity, StartTasks, CancelTasks, AnswerCallers, Reply, Attach,
// SetTimer, KeepMirror and AskMirror.
type Action interface{ action() }

// Write asks for a conditional write of the job's row.
type Write struct {
	Row Row
	// Previous is the holder whose index row the write replaces.
	Previous Holder
	// Condition is the revision that the row must have.
	Condition ident.Revision
	// After delays the write.
	After time.Duration
}

// Read asks for the job's row, to learn whether a write without an answer took
// effect.
type Read struct {
	// After delays the read.
	After time.Duration
}

// AwaitCapacity asks for a CapacityFree event once the pool has free capacity.
type AwaitCapacity struct{}

// StartTasks asks to queue all tasks of the job.
type StartTasks struct{}

// CancelTasks asks to drop all tasks that have not started.
type CancelTasks struct{}

// AnswerCallers answers the callers that are waiting now with an error, while the
// job continues.
type AnswerCallers struct {
	Error *outcome.Error
}

// Reply gives the callers the outcome of the job.
type Reply struct {
	Outcome Outcome
	// Recorded is true if the table holds this outcome.
	Recorded bool
}

// Attach asks to wait for the outcome that the holder of Row will record.
type Attach struct {
	Row Row
}

// SetTimer asks for a TimerFired event after a time.
type SetTimer struct {
	After time.Duration
}

// KeepMirror asks the mirror to keep the outcome of Row and to record it under
// Condition.
type KeepMirror struct {
	Row       Row
	Condition ident.Revision
}

// AskMirror asks the mirror of Row for the outcome. A mirror that has none must
// accept none of this epoch afterwards.
type AskMirror struct {
	Row Row
	// After delays the request.
	After time.Duration
}

func (Write) action()         {}
func (Read) action()          {}
func (AwaitCapacity) action() {}
func (StartTasks) action()    {}
func (CancelTasks) action()   {}
func (AnswerCallers) action() {}
func (Reply) action()         {}
func (Attach) action()        {}
func (SetTimer) action()      {}
func (KeepMirror) action()    {}
func (AskMirror) action()     {}
