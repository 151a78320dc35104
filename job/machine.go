package job

import (
	"strconv"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// Event is something that happened to a job. Its types are Written,
// WriteUnsure, ReadBack, ReadFailed, TaskEnded, Expired and CancelRequested.
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

func (Written) event()         {}
func (WriteUnsure) event()     {}
func (ReadBack) event()        {}
func (ReadFailed) event()      {}
func (TaskEnded) event()       {}
func (Expired) event()         {}
func (CancelRequested) event() {}

// Action is something that the caller must do for a job. Its types are Write,
// Read, StartTasks, CancelTasks, Reply and Attach.
type Action interface{ action() }

// Write asks for a conditional write of the job's row.
type Write struct {
	Row Row
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

// StartTasks asks to queue all tasks of the job.
type StartTasks struct{}

// CancelTasks asks to drop all tasks that have not started.
type CancelTasks struct{}

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

func (Write) action()       {}
func (Read) action()        {}
func (StartTasks) action()  {}
func (CancelTasks) action() {}
func (Reply) action()       {}
func (Attach) action()      {}

// Phase is where the machine of a job stands.
type Phase string

// The phases of a job on its entry host.
const (
	// Claiming means that the row's creation is under way.
	Claiming Phase = "claiming"
	// Intending means that the intent to start is being recorded.
	Intending Phase = "intending"
	// Running means that tasks are queued or run.
	Running Phase = "running"
	// Recording means that the outcome is being recorded.
	Recording Phase = "recording"
	// Ended means that the machine has nothing more to do.
	Ended Phase = "ended"
	// Attached means that another holder has the job.
	Attached Phase = "attached"
)

// Config builds a Machine.
type Config struct {
	Self       Holder
	Submission *Submission
	// ReadDelay is the pause between reads that settle a write.
	ReadDelay time.Duration
	// StoreRetry is the time after which a caller may come back when the
	// table can not be reached.
	StoreRetry time.Duration
}

// Machine is the state of one job on one entry host.
type Machine struct {
	config  Config
	phase   Phase
	row     Row
	held    ident.Revision
	writes  int
	answers [][]byte
	missing int
	outcome *Outcome
	// wasSent is true once a write of the present row may have taken effect.
	wasSent bool
}

// NewMachine returns a machine for a checked submission.
func NewMachine(c Config) *Machine {
	s := c.Submission
	return &Machine{
		config:  c,
		phase:   Claiming,
		answers: make([][]byte, len(s.Tasks)),
		missing: len(s.Tasks),
		row: Row{
			Job:      s.Job,
			Digest:   s.Digest(),
			Pool:     s.Pool,
			Holder:   c.Self,
			Epoch:    1,
			State:    Accepted,
			Tasks:    len(s.Tasks),
			Deadline: s.Deadline,
		},
	}
}

// Phase returns where the job stands.
func (m *Machine) Phase() Phase { return m.phase }

// Row returns the row that the machine wrote last or is writing.
func (m *Machine) Row() Row { return m.row }

// Start returns the first actions.
func (m *Machine) Start(_ time.Time) []Action {
	return m.write(0)
}

// Step takes one event and returns the actions that follow from it.
func (m *Machine) Step(now time.Time, e Event) []Action {
	if m.phase == Ended || m.phase == Attached {
		return nil
	}
	switch e := e.(type) {
	case Written:
		return m.written(now, e)
	case WriteUnsure:
		return m.unsure(now, e)
	case ReadBack:
		return m.readBack(now, e)
	case ReadFailed:
		return m.readFailed(now)
	case TaskEnded:
		return m.taskEnded(e)
	case Expired:
		return m.abandon(outcome.New(outcome.Failed, outcome.DeadlinePassed, "the job's deadline passed"))
	case CancelRequested:
		return m.abandon(outcome.New(outcome.Failed, outcome.Cancelled, "the job was cancelled"))
	}
	return nil
}

// write returns the action that writes the present row.
func (m *Machine) write(after time.Duration) []Action {
	m.writes++
	m.row.Operation = m.config.Self.Boot + "-" + strconv.Itoa(m.writes)
	m.wasSent = false
	return []Action{Write{Row: m.row, Condition: m.held, After: after}}
}

func (m *Machine) written(now time.Time, e Written) []Action {
	if !e.Applied {
		return m.lost(now, e.Current, e.CurrentRevision)
	}
	m.held = e.Revision
	return m.advance()
}

// advance moves on after the present row took effect.
func (m *Machine) advance() []Action {
	switch m.phase {
	case Claiming:
		if m.outcome != nil {
			return m.record()
		}
		m.phase = Intending
		m.row.State = Started
		return m.write(0)
	case Intending:
		if m.outcome != nil {
			return m.record()
		}
		m.phase = Running
		return []Action{StartTasks{}}
	case Recording:
		m.phase = Ended
		return []Action{Reply{Outcome: *m.outcome, Recorded: true}}
	}
	return nil
}

// lost handles a write that met another row.
func (m *Machine) lost(now time.Time, current *Row, revision ident.Revision) []Action {
	if current == nil {
		// The row is gone: nobody can start the job, and this host may not
		// create it a second time after it was claimed.
		return m.end(fail(outcome.New(outcome.Unknown, outcome.Internal, "the job's row was deleted")))
	}
	if current.Operation == m.row.Operation {
		m.held = revision
		return m.advance()
	}
	if current.Digest != m.row.Digest {
		return m.end(fail(outcome.New(outcome.NotRun, outcome.Conflict, "key %s was used for another job", m.row.Key)))
	}
	if current.State.Ended() && current.Outcome != nil {
		return m.follow(Reply{Outcome: *current.Outcome, Recorded: true}, Ended)
	}
	_ = now
	return m.follow(Attach{Row: *current}, Attached)
}

// follow gives the job up to the holder of another row.
func (m *Machine) follow(a Action, p Phase) []Action {
	actions := []Action{a}
	if m.phase == Running || m.phase == Recording {
		actions = []Action{CancelTasks{}, a}
	}
	m.phase = p
	return actions
}

func (m *Machine) end(o *Outcome) []Action {
	m.phase = Ended
	return []Action{Reply{Outcome: *o}}
}

// unsure handles a write without an answer.
func (m *Machine) unsure(now time.Time, e WriteUnsure) []Action {
	if !e.NotSent {
		m.wasSent = true
		return []Action{Read{}}
	}
	if m.wasSent {
		return []Action{Read{After: m.config.ReadDelay}}
	}
	switch m.phase {
	case Claiming:
		refusal := outcome.New(outcome.NotRun, outcome.StoreDown, "the platform's table can not be reached")
		return m.end(fail(refusal.After(m.config.StoreRetry)))
	case Intending, Recording:
		return m.write(m.config.ReadDelay)
	}
	_ = now
	return nil
}

// readBack settles a write without an answer.
func (m *Machine) readBack(now time.Time, e ReadBack) []Action {
	if e.Row == nil && m.phase == Claiming {
		// The claim is not there yet, but may still arrive: write it again
		// under the same condition, which only one of the two can meet.
		return []Action{Write{Row: m.row, Condition: m.held, After: m.config.ReadDelay}}
	}
	if e.Revision == m.held {
		return []Action{Write{Row: m.row, Condition: m.held, After: m.config.ReadDelay}}
	}
	return m.lost(now, e.Row, e.Revision)
}

func (m *Machine) readFailed(_ time.Time) []Action {
	return []Action{Read{After: m.config.ReadDelay}}
}

func (m *Machine) taskEnded(e TaskEnded) []Action {
	if m.phase != Running || m.outcome != nil {
		return nil
	}
	if e.Error != nil {
		reason := outcome.New(e.Error.Kind, e.Error.Code, "task %d: %s", e.Index, e.Error.Reason)
		if reason.Kind == outcome.NotRun {
			// The task did not run, but others of the job may have.
			reason.Kind = outcome.Failed
		}
		return m.abandon(reason)
	}
	if m.answers[e.Index] != nil {
		return nil
	}
	m.answers[e.Index] = e.Answer
	m.missing--
	if m.missing > 0 {
		return nil
	}
	answers := make([]Answer, 0, len(m.answers))
	for i, a := range m.answers {
		answers = append(answers, Answer{Index: ident.TaskIndex(i), Answer: a})
	}
	m.outcome = &Outcome{State: Complete, Answers: answers}
	return m.record()
}

// abandon ends the job with e. What has not started never starts.
func (m *Machine) abandon(e *outcome.Error) []Action {
	if m.outcome != nil {
		return nil
	}
	m.outcome = fail(e)
	switch m.phase {
	case Claiming, Intending:
		// The write under way settles first; advance then records the outcome.
		return nil
	}
	return append([]Action{CancelTasks{}}, m.record()...)
}

// record returns the action that records the outcome.
func (m *Machine) record() []Action {
	m.phase = Recording
	m.row.State = m.outcome.State
	m.row.Outcome = m.outcome
	return m.write(0)
}
