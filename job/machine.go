package job

import (
	"strconv"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// Phase is the state of a Machine.
type Phase string

// The phases of a job on its entry host.
const (
	// Claiming means that the row is being created or adopted.
	Claiming Phase = "claiming"
	// Waiting means that the job is accepted and its pool has no free capacity.
	Waiting Phase = "waiting"
	// Intending means that the intent to start is being recorded.
	Intending Phase = "intending"
	// Running means that tasks are queued or run.
	Running Phase = "running"
	// Deciding means that the mirror of a lost holder is being asked.
	Deciding Phase = "deciding"
	// Recording means that the outcome is being recorded.
	Recording Phase = "recording"
	// Ended means that the machine has nothing more to do.
	Ended Phase = "ended"
	// Attached means that another holder runs the job.
	Attached Phase = "attached"
)

// Config builds a Machine.
type Config struct {
	Self Holder
	// OperationPrefix is the prefix of the names of the machine's writes. No two
	// machines of any hosts share it.
	OperationPrefix string
	// Submission is nil for a job that is adopted without its tasks.
	Submission *Submission
	// Mirror is the incarnation that keeps the outcome while the table can not be
	// reached.
	Mirror Holder
	// HasCapacity is true if the pool has free capacity. The claim then records the
	// intent to start as well.
	HasCapacity bool
	// Payload and PayloadObject are where an accepted row keeps its tasks.
	Payload       []Task
	PayloadObject string
	// ReadDelay is the pause between attempts to settle a write.
	ReadDelay time.Duration
	// MirrorAfter is the time after which an outcome that is not recorded goes
	// to the mirror.
	MirrorAfter time.Duration
	// SettleTimeout is the time after which callers are told that the outcome
	// is not known, while a write can not be settled.
	SettleTimeout time.Duration
	// StoreRetry is the time after which a caller may retry when the table can
	// not be reached.
	StoreRetry time.Duration
}

// Machine is the state of one job on one entry host.
type Machine struct {
	config Config
	phase  Phase
	row    Row
	// held is the revision at which the row was last written or read.
	held ident.Revision
	// previous is the holder whose index row the next write replaces.
	previous Holder
	writes   int
	answers  [][]byte
	missing  int
	outcome  *Outcome
	adopted  bool
	// intentRecorded is true once the table holds the intent of this holder.
	intentRecorded bool
	// mayBeApplied is true once a write of the present row may have taken effect.
	mayBeApplied bool
	// answerDue is when callers are told that a write is not settled.
	answerDue time.Time
	unsettled bool
	// mirrorAt is when the outcome goes to the mirror, and mirroring is true
	// while it is being sent.
	mirrorAt  time.Time
	mirroring bool
	// fenced is true once the mirror refuses outcomes of this epoch.
	fenced  bool
	replied bool
}

// NewMachine returns a machine for a checked submission.
func NewMachine(c Config) *Machine {
	s := c.Submission
	m := newMachine(c, Row{
		Job:      s.Job,
		Digest:   s.Digest(),
		Pool:     s.Pool,
		Epoch:    1,
		Tasks:    len(s.Tasks),
		Deadline: s.Deadline,
	})
	m.prepareClaim()
	return m
}

// Adopt returns a machine that takes over the row of a lost holder, read at
// revision held.
func Adopt(c Config, row Row, held ident.Revision) *Machine {
	m := newMachine(c, row)
	m.held = held
	m.adopted = true
	m.previous = row.Holder
	if row.State != Accepted {
		m.phase = Deciding
		return m
	}
	m.row.Epoch++
	m.prepareClaim()
	return m
}

// NewRecorder returns a machine of a mirror, which records the outcome of row
// under the condition that the holder gave.
func NewRecorder(c Config, row Row, held ident.Revision) *Machine {
	m := newMachine(c, row)
	m.held = held
	m.adopted = true
	m.outcome = row.Outcome
	m.phase = Recording
	m.replied = true
	return m
}

func newMachine(c Config, row Row) *Machine {
	m := &Machine{config: c, phase: Claiming, row: row}
	if s := c.Submission; s != nil {
		m.answers = make([][]byte, len(s.Tasks))
		m.missing = len(s.Tasks)
	}
	return m
}

// prepareClaim changes the row so that it names this holder.
func (m *Machine) prepareClaim() {
	m.row.Holder, m.row.Mirror = m.config.Self, m.config.Mirror
	m.row.State = Accepted
	m.row.Payload, m.row.PayloadObject = m.config.Payload, m.config.PayloadObject
	if m.config.HasCapacity {
		m.markStarted()
	}
}

// markStarted changes the row so that it records the intent to start.
func (m *Machine) markStarted() {
	m.row.State = Started
	m.row.Payload, m.row.PayloadObject = nil, ""
}

// Phase returns the state of the machine.
func (m *Machine) Phase() Phase { return m.phase }

// Row returns the row that the machine last wrote or is writing.
func (m *Machine) Row() Row { return m.row }

// Unsettled returns true from an AnswerCallers action until the write is settled.
func (m *Machine) Unsettled() bool { return m.unsettled }

// Start returns the first actions.
func (m *Machine) Start(now time.Time) []Action {
	switch {
	case m.phase == Recording:
		return m.write(0)
	case m.phase == Deciding:
		return m.askMirror(now)
	case m.config.Submission == nil:
		m.outcome = failedOutcome(outcome.New(outcome.NotRun, outcome.HolderLost, "the holder was lost before it stored the tasks"))
		return m.record(now)
	}
	return append(m.write(0), m.scheduleAnswer(now, m.config.SettleTimeout))
}

// Step takes one event and returns the actions that follow from it.
func (m *Machine) Step(now time.Time, e Event) []Action {
	if m.phase == Ended || m.phase == Attached {
		return nil
	}
	switch e := e.(type) {
	case Written:
		return m.handleWritten(now, e)
	case WriteUncertain:
		return m.handleUncertainWrite(e)
	case ReadBack:
		return m.handleReadBack(now, e)
	case ReadFailed:
		return []Action{Read{After: m.config.ReadDelay}}
	case RowObserved:
		return m.handleRowObserved(now, e)
	case CapacityFree:
		return m.handleCapacity(now)
	case StartRefused:
		return m.handleStartRefused(now, e)
	case TaskEnded:
		return m.handleTaskEnded(now, e)
	case DeadlinePassed:
		return m.expire(now)
	case CancelRequested:
		return m.abandon(now, outcome.New(m.abandonKind(), outcome.Cancelled, "the job was cancelled"))
	case TimerFired:
		return m.handleTimer(now)
	case MirrorKept, MirrorAnswered, MirrorUnreachable:
		return m.handleMirrorEvent(now, e)
	}
	return nil
}

// scheduleAnswer sets the time at which callers are told that a write is not
// settled, and returns the timer.
func (m *Machine) scheduleAnswer(now time.Time, d time.Duration) Action {
	m.answerDue = now.Add(d)
	return SetTimer{After: d}
}

// write returns the action that writes the present row.
func (m *Machine) write(after time.Duration) []Action {
	m.writes++
	m.row.Operation = m.config.OperationPrefix + "-" + strconv.Itoa(m.writes)
	m.mayBeApplied = false
	return m.repeatWrite(after)
}

// repeatWrite returns the action that writes the present row again under the
// same operation and condition. Only one of the writes can take effect.
func (m *Machine) repeatWrite(after time.Duration) []Action {
	return []Action{Write{Row: m.row, Previous: m.previous, Condition: m.held, After: after}}
}

func (m *Machine) handleWritten(now time.Time, e Written) []Action {
	if !e.Applied {
		return m.handleConflict(e.Current, e.CurrentRevision, now)
	}
	return m.applied(now, e.Revision)
}

// applied handles that the present row was written at revision r.
func (m *Machine) applied(now time.Time, r ident.Revision) []Action {
	m.held = r
	m.previous = Holder{}
	m.unsettled = false
	switch m.phase {
	case Claiming, Intending:
		m.intentRecorded = m.row.State == Started
		if m.outcome != nil {
			return m.record(now)
		}
		if m.intentRecorded {
			m.phase = Running
			return []Action{StartTasks{}}
		}
		m.phase = Waiting
		return []Action{AwaitCapacity{}}
	case Recording:
		m.phase = Ended
		return []Action{Reply{Outcome: *m.outcome, Recorded: true}}
	}
	return nil
}

func (m *Machine) handleCapacity(now time.Time) []Action {
	if m.phase != Waiting {
		return nil
	}
	m.phase = Intending
	m.markStarted()
	return append(m.write(0), m.scheduleAnswer(now, m.config.SettleTimeout))
}

// handleConflict handles that the table holds another row than expected.
func (m *Machine) handleConflict(current *Row, revision ident.Revision, now time.Time) []Action {
	switch {
	case current == nil:
		// Only rows of ended jobs are ever deleted.
		return m.finish(outcome.New(outcome.Unknown, outcome.Internal, "the job's row was deleted"))
	case current.Operation == m.row.Operation:
		return m.applied(now, revision)
	case current.Digest != m.row.Digest:
		return m.finish(outcome.New(outcome.NotRun, outcome.Conflict, "key %s was used for another job", m.row.Key))
	case current.State.Ended() && current.Outcome != nil:
		return m.yield(Reply{Outcome: *current.Outcome, Recorded: true}, Ended)
	}
	return m.yield(Attach{Row: *current}, Attached)
}

// yield gives the job up in favour of the holder of another row.
func (m *Machine) yield(a Action, p Phase) []Action {
	m.phase = p
	m.unsettled = false
	return []Action{CancelTasks{}, a}
}

func (m *Machine) finish(e *outcome.Error) []Action {
	m.phase = Ended
	m.unsettled = false
	return []Action{Reply{Outcome: *failedOutcome(e)}}
}

// handleUncertainWrite handles a write without an answer.
func (m *Machine) handleUncertainWrite(e WriteUncertain) []Action {
	if !e.NotSent {
		m.mayBeApplied = true
		return []Action{Read{}}
	}
	if m.mayBeApplied {
		return []Action{Read{After: m.config.ReadDelay}}
	}
	if m.phase == Claiming && !m.adopted {
		refusal := outcome.New(outcome.NotRun, outcome.StoreDown, "the platform's table can not be reached")
		return m.finish(m.config.Submission.Refusal(refusal.WithRetryAfter(m.config.StoreRetry)))
	}
	return m.repeatWrite(m.config.ReadDelay)
}

// handleReadBack settles a write without an answer. A read that returns nothing
// newer than what this holder wrote may be stale or too early: the write is then
// repeated, and its condition decides.
func (m *Machine) handleReadBack(now time.Time, e ReadBack) []Action {
	if e.Row != nil && e.Row.Operation == m.row.Operation {
		return m.applied(now, e.Revision)
	}
	if e.Row != nil && e.Revision > m.held {
		return m.handleConflict(e.Row, e.Revision, now)
	}
	return m.repeatWrite(m.config.ReadDelay)
}

// handleRowObserved gives the job up if another holder has taken it over. A
// pending write detects that by its condition.
func (m *Machine) handleRowObserved(now time.Time, e RowObserved) []Action {
	if m.phase != Waiting && m.phase != Running {
		return nil
	}
	if e.Row == nil || e.Revision <= m.held {
		return nil
	}
	return m.handleConflict(e.Row, e.Revision, now)
}

func (m *Machine) handleStartRefused(now time.Time, e StartRefused) []Action {
	if m.phase != Running {
		return nil
	}
	reason := *e.Error
	reason.Kind = outcome.NotRun
	return m.abandon(now, &reason)
}

// expire ends the job because its deadline has passed.
func (m *Machine) expire(now time.Time) []Action {
	return m.abandon(now, outcome.New(m.abandonKind(), outcome.DeadlinePassed, "the job's deadline passed"))
}

func (m *Machine) handleTaskEnded(now time.Time, e TaskEnded) []Action {
	if m.phase != Running || m.outcome != nil {
		return nil
	}
	if deadline := m.row.Deadline; e.Error != nil && !deadline.IsZero() && !now.Before(deadline) {
		// The deadline ends the job and its tasks at the same time. The outcome
		// must not depend on which event arrives first.
		return m.expire(now)
	}
	if e.Error != nil {
		reason := outcome.New(e.Error.Kind, e.Error.Code, "task %d: %s", e.Index, e.Error.Reason)
		if reason.Kind == outcome.NotRun {
			// The task did not run, but others of the job may have.
			reason.Kind = outcome.Failed
		}
		return m.abandon(now, reason)
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
	return m.record(now)
}

// abandonKind returns the kind of outcome of a job that is given up.
func (m *Machine) abandonKind() outcome.Kind {
	if m.phase == Running {
		return outcome.Failed
	}
	return outcome.NotRun
}

// abandon ends the job with e. Tasks that have not started never start.
func (m *Machine) abandon(now time.Time, e *outcome.Error) []Action {
	if m.outcome != nil || m.phase == Deciding {
		return nil
	}
	m.outcome = failedOutcome(e)
	switch m.phase {
	case Claiming, Intending:
		// The pending write is settled before the outcome is recorded.
		return []Action{m.scheduleAnswer(now, m.config.MirrorAfter)}
	case Running:
		return append([]Action{CancelTasks{}}, m.record(now)...)
	}
	return m.record(now)
}

// record returns the actions that record the outcome.
func (m *Machine) record(now time.Time) []Action {
	m.phase = Recording
	m.row.State = m.outcome.State
	m.row.Outcome = m.outcome
	m.row.Ended = now
	m.row.Payload, m.row.PayloadObject = nil, ""
	actions := append(m.write(0), m.scheduleAnswer(now, m.config.SettleTimeout))
	if m.row.Mirror == (Holder{}) || !m.intentRecorded {
		// A successor asks the mirror only for started rows.
		return actions
	}
	m.mirrorAt = now.Add(m.config.MirrorAfter)
	return append(actions, SetTimer{After: m.config.MirrorAfter})
}
