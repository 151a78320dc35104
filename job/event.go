package job

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// Event is something that happened to a job. Its types are Written,
// WriteUnsure, ReadBack, ReadFailed, Noticed, RoomMade, StartRefused,
// TaskEnded, Expired, CancelRequested, Woken, MirrorKept, MirrorAnswered and
// MirrorUnreachable.
type Event interface{ event() }

// Written tells the result of a Write action.
type Written struct {
	Applied  bool
	Revision ident.Revision
	// Current is the row that stood in the way if the write did not apply.
	Current         *Row
	CurrentRevision ident.Revision
}

// WriteUnsure tells that a Write action ended without an answer. NotSent is
// true if it provably did not take effect.
type WriteUnsure struct {
	NotSent bool
}

// ReadBack tells the result of a Read action. Row is nil if there is none.
type ReadBack struct {
	Row      *Row
	Revision ident.Revision
}

// ReadFailed tells that a Read action got no answer.
type ReadFailed struct{}

// Noticed tells the row that a host found after it may have lost its lease.
type Noticed struct {
	Row      *Row
	Revision ident.Revision
}

// RoomMade tells that the pool of a job that waits has room for its tasks.
type RoomMade struct{}

// StartRefused tells that a StartTasks action queued no task.
type StartRefused struct {
	Error *outcome.Error
}

// TaskEnded tells that a task ended for good, with an answer or an error.
type TaskEnded struct {
	Index  ident.TaskIndex
	Answer []byte
	Error  *outcome.Error
}

// Expired tells that the deadline of the job has passed.
type Expired struct{}

// CancelRequested tells that the client gave the job up.
type CancelRequested struct{}

// Woken tells that the time of a Wake action has come.
type Woken struct{}

// MirrorKept answers a KeepMirror action. Kept is false if the mirror never
// will keep an outcome of this epoch.
type MirrorKept struct {
	Kept bool
}

// MirrorAnswered answers an AskMirror action. Outcome is nil if the mirror has
// none and never will accept one of this epoch, or if its run is gone.
type MirrorAnswered struct {
	Outcome *Outcome
}

// MirrorUnreachable tells that the mirror gave no answer.
type MirrorUnreachable struct{}

func (Written) event()           {}
func (WriteUnsure) event()       {}
func (ReadBack) event()          {}
func (ReadFailed) event()        {}
func (Noticed) event()           {}
func (RoomMade) event()          {}
func (StartRefused) event()      {}
func (TaskEnded) event()         {}
func (Expired) event()           {}
func (CancelRequested) event()   {}
func (Woken) event()             {}
func (MirrorKept) event()        {}
func (MirrorAnswered) event()    {}
func (MirrorUnreachable) event() {}

// Action is something that the caller must do for a job. Its types are Write,
// Read, AwaitRoom, StartTasks, CancelTasks, Tell, Reply, Attach, Wake,
// KeepMirror and AskMirror.
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

// Read asks for the job's row, to settle a write without an answer.
type Read struct {
	// After delays the read.
	After time.Duration
}

// AwaitRoom asks for a RoomMade event once the pool has room.
type AwaitRoom struct{}

// StartTasks asks to queue all tasks of the job.
type StartTasks struct{}

// CancelTasks asks to drop all tasks that have not started.
type CancelTasks struct{}

// Tell answers the callers that wait now, while the job goes on.
type Tell struct {
	Error *outcome.Error
}

// Reply gives the callers the outcome of the job.
type Reply struct {
	Outcome Outcome
	// Recorded is true if the table holds this outcome.
	Recorded bool
}

// Attach asks to wait for the outcome that another holder will record.
type Attach struct {
	Row Row
}

// Wake asks for a Woken event after a time.
type Wake struct {
	After time.Duration
}

// KeepMirror asks the mirror to keep the outcome of Row and to record it under
// Condition.
type KeepMirror struct {
	Row       Row
	Condition ident.Revision
}

// AskMirror asks the mirror of Row for its outcome, or else to accept none of
// this epoch any more.
type AskMirror struct {
	Row Row
	// After delays the question.
	After time.Duration
}

func (Write) action()       {}
func (Read) action()        {}
func (AwaitRoom) action()   {}
func (StartTasks) action()  {}
func (CancelTasks) action() {}
func (Tell) action()        {}
func (Reply) action()       {}
func (Attach) action()      {}
func (Wake) action()        {}
func (KeepMirror) action()  {}
func (AskMirror) action()   {}
