package job

import (
	"strconv"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// Phase is where the machine of a job stands.
type Phase string

// The phases of a job on its entry host.
const (
	// Claiming means that the row's creation or adoption is under way.
	Claiming Phase = "claiming"
	// Waiting means that the job is accepted and its pool has no room.
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
	// Attached means that another holder has the job.
	Attached Phase = "attached"
)

// Config builds a Machine.
type Config struct {
	Self Holder
	// Operations starts the names of the machine's writes. It differs for each
	// machine of all hosts.
	Operations string
	// Submission is nil for a job that is adopted without its tasks.
	Submission *Submission
	// Mirror is the run that keeps the outcome while the table is away.
	Mirror Holder
	// Ready is true if the pool has room: the claim then records the intent to
	// start too.
	Ready bool
	// Payload and PayloadObject are where an accepted row keeps its tasks.
	Payload       []Task
	PayloadObject string
	// ReadDelay is the pause between tries to settle a write.
	ReadDelay time.Duration
	// MirrorAfter is the time after which an outcome that is not recorded goes
	// to the mirror.
	MirrorAfter time.Duration
	// SettleTimeout is the time after which callers are told that the outcome
	// is not known, while a write can not be settled.
	SettleTimeout time.Duration
	// StoreRetry is the time after which a caller may come back when the
	// table can not be reached.
	StoreRetry time.Duration
}

// Machine is the state of one job on one entry host.
type Machine struct {
	config   Config
	phase    Phase
	row      Row
	held     ident.Revision
	previous Holder
	writes   int
	answers  [][]byte
	missing  int
	outcome  *Outcome
	adopted  bool
	// intended is true once the table holds the intent of this holder.
	intended bool
	// wasSent is true once a write of the present row may have taken effect.
	wasSent bool
	// answerBy is when callers are told that a write is not settled.
	answerBy  time.Time
	unsettled bool
	// mirrorAt is when the outcome goes to the mirror.
	mirrorAt  time.Time
	mirroring bool
	fenced    bool
	replied   bool
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
	m.claim()
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
	m.claim()
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

// claim prepares the row for this holder.
func (m *Machine) claim() {
	m.row.Holder, m.row.Mirror = m.config.Self, m.config.Mirror
	m.row.State = Accepted
	m.row.Payload, m.row.PayloadObject = m.config.Payload, m.config.PayloadObject
	if m.config.Ready {
		m.intend()
	}
}

// intend changes the row so that it records the intent to start.
func (m *Machine) intend() {
	m.row.State = Started
	m.row.Payload, m.row.PayloadObject = nil, ""
}

// Phase returns where the job stands.
func (m *Machine) Phase() Phase { return m.phase }

// Row returns the row that the machine wrote last or is writing.
func (m *Machine) Row() Row { return m.row }

// Unsettled returns true from a Tell action on until the write is settled.
func (m *Machine) Unsettled() bool { return m.unsettled }

// Start returns the first actions.
func (m *Machine) Start(now time.Time) []Action {
	switch {
	case m.phase == Recording:
		return m.write(0)
	case m.phase == Deciding:
		return m.askMirror(now)
	case m.config.Submission == nil:
		m.outcome = fail(outcome.New(outcome.NotRun, outcome.HolderLost, "the holder was lost before it stored the tasks"))
		return m.record(now)
	}
	return append(m.write(0), m.bound(now, m.config.SettleTimeout))
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
		return m.unsure(e)
	case ReadBack:
		return m.readBack(now, e)
	case ReadFailed:
		return []Action{Read{After: m.config.ReadDelay}}
	case Noticed:
		return m.noticed(now, e)
	case RoomMade:
		return m.roomMade(now)
	case StartRefused:
		return m.startRefused(now, e)
	case TaskEnded:
		return m.taskEnded(now, e)
	case Expired:
		return m.expire(now)
	case CancelRequested:
		return m.abandon(now, outcome.New(m.abandonKind(), outcome.Cancelled, "the job was cancelled"))
	case Woken:
		return m.woken(now)
	case MirrorKept, MirrorAnswered, MirrorUnreachable:
		return m.mirrorEvent(now, e)
	}
	return nil
}

// bound sets the time by which callers are told, and returns the timer.
func (m *Machine) bound(now time.Time, d time.Duration) Action {
	m.answerBy = now.Add(d)
	return Wake{After: d}
}

// write returns the action that writes the present row.
func (m *Machine) write(after time.Duration) []Action {
	m.writes++
	m.row.Operation = m.config.Operations + "-" + strconv.Itoa(m.writes)
	m.wasSent = false
	return m.rewrite(after)
}

// rewrite returns the action that writes the present row under the same
// operation and condition once more; only one of the writes can take effect.
func (m *Machine) rewrite(after time.Duration) []Action {
	return []Action{Write{Row: m.row, Previous: m.previous, Condition: m.held, After: after}}
}

func (m *Machine) written(now time.Time, e Written) []Action {
	if !e.Applied {
		return m.lost(e.Current, e.CurrentRevision, now)
	}
	return m.applied(now, e.Revision)
}

// applied moves on after the present row took effect at a revision.
func (m *Machine) applied(now time.Time, r ident.Revision) []Action {
	m.held = r
	m.previous = Holder{}
	m.unsettled = false
	switch m.phase {
	case Claiming, Intending:
		m.intended = m.row.State == Started
		if m.outcome != nil {
			return m.record(now)
		}
		if m.intended {
			m.phase = Running
			return []Action{StartTasks{}}
		}
		m.phase = Waiting
		return []Action{AwaitRoom{}}
	case Recording:
		m.phase = Ended
		return []Action{Reply{Outcome: *m.outcome, Recorded: true}}
	}
	return nil
}

func (m *Machine) roomMade(now time.Time) []Action {
	if m.phase != Waiting {
		return nil
	}
	m.phase = Intending
	m.intend()
	return append(m.write(0), m.bound(now, m.config.SettleTimeout))
}

// lost handles a write that met another row.
func (m *Machine) lost(current *Row, revision ident.Revision, now time.Time) []Action {
	switch {
	case current == nil:
		// Only rows of ended jobs are ever deleted.
		return m.end(outcome.New(outcome.Unknown, outcome.Internal, "the job's row was deleted"))
	case current.Operation == m.row.Operation:
		return m.applied(now, revision)
	case current.Digest != m.row.Digest:
		return m.end(outcome.New(outcome.NotRun, outcome.Conflict, "key %s was used for another job", m.row.Key))
	case current.State.Ended() && current.Outcome != nil:
		return m.follow(Reply{Outcome: *current.Outcome, Recorded: true}, Ended)
	}
	return m.follow(Attach{Row: *current}, Attached)
}

// follow gives the job up to the holder of another row.
func (m *Machine) follow(a Action, p Phase) []Action {
	m.phase = p
	m.unsettled = false
	return []Action{CancelTasks{}, a}
}

func (m *Machine) end(e *outcome.Error) []Action {
	m.phase = Ended
	m.unsettled = false
	return []Action{Reply{Outcome: *fail(e)}}
}

// unsure handles a write without an answer.
func (m *Machine) unsure(e WriteUnsure) []Action {
	if !e.NotSent {
		m.wasSent = true
		return []Action{Read{}}
	}
	if m.wasSent {
		return []Action{Read{After: m.config.ReadDelay}}
	}
	if m.phase == Claiming && !m.adopted {
		refusal := outcome.New(outcome.NotRun, outcome.StoreDown, "the platform's table can not be reached")
		return m.end(m.config.Submission.Refuse(refusal.After(m.config.StoreRetry)))
	}
	return m.rewrite(m.config.ReadDelay)
}

// readBack settles a write without an answer. A read that shows nothing newer
// than what this holder wrote may be stale or too early: the write is then
// repeated, and its condition decides.
func (m *Machine) readBack(now time.Time, e ReadBack) []Action {
	if e.Row != nil && e.Row.Operation == m.row.Operation {
		return m.applied(now, e.Revision)
	}
	if e.Row != nil && e.Revision > m.held {
		return m.lost(e.Row, e.Revision, now)
	}
	return m.rewrite(m.config.ReadDelay)
}

// noticed gives the job up if another holder has taken it over. A write under
// way finds that out by itself.
func (m *Machine) noticed(now time.Time, e Noticed) []Action {
	if m.phase != Waiting && m.phase != Running {
		return nil
	}
	if e.Row == nil || e.Revision <= m.held {
		return nil
	}
	return m.lost(e.Row, e.Revision, now)
}

func (m *Machine) startRefused(now time.Time, e StartRefused) []Action {
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

func (m *Machine) taskEnded(now time.Time, e TaskEnded) []Action {
	if m.phase != Running || m.outcome != nil {
		return nil
	}
	if deadline := m.row.Deadline; e.Error != nil && !deadline.IsZero() && !now.Before(deadline) {
		// The deadline ends the job and its tasks at once: which is heard of
		// first must not change the outcome.
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

// abandonKind returns what is known of the tasks of a job that is given up.
func (m *Machine) abandonKind() outcome.Kind {
	if m.phase == Running {
		return outcome.Failed
	}
	return outcome.NotRun
}

// abandon ends the job with e. What has not started never starts.
func (m *Machine) abandon(now time.Time, e *outcome.Error) []Action {
	if m.outcome != nil || m.phase == Deciding {
		return nil
	}
	m.outcome = fail(e)
	switch m.phase {
	case Claiming, Intending:
		// The write under way settles first and the outcome is recorded then.
		return []Action{m.bound(now, m.config.MirrorAfter)}
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
	actions := append(m.write(0), m.bound(now, m.config.SettleTimeout))
	if m.row.Mirror == (Holder{}) || !m.intended {
		// A successor asks the mirror of started rows only.
		return actions
	}
	m.mirrorAt = now.Add(m.config.MirrorAfter)
	return append(actions, Wake{After: m.config.MirrorAfter})
}
