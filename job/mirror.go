package job

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// askMirror returns the actions that end a started job of a lost holder, whose
// outcome its mirror may have.
func (m *Machine) askMirror(now time.Time) []Action {
	if m.row.Mirror == (Holder{}) {
		return m.decide(now, nil)
	}
	return []Action{AskMirror{Row: m.row}, m.scheduleAnswer(now, m.config.SettleTimeout)}
}

// decide records the outcome of a started job of a lost holder: the one that
// its mirror has, or else a failure.
func (m *Machine) decide(now time.Time, o *Outcome) []Action {
	if o == nil {
		o = failedOutcome(outcome.New(outcome.Failed, outcome.HolderLost, "the holder %s was lost while tasks ran", m.row.Holder.Host))
	}
	m.outcome = o
	m.row.Epoch++
	m.row.Holder = m.config.Self
	return m.record(now)
}

// handleMirrorEvent handles the answer of a mirror, or that there was none.
func (m *Machine) handleMirrorEvent(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case MirrorAnswered:
		if m.phase != Deciding {
			return nil
		}
		return m.decide(now, e.Outcome)
	case MirrorKept:
		return m.handleMirrorKept(e)
	}
	if m.phase == Deciding {
		return []Action{AskMirror{Row: m.row, After: m.config.ReadDelay}}
	}
	m.mirroring = false
	return []Action{SetTimer{After: m.config.ReadDelay}}
}

// handleMirrorKept answers the callers once the mirror has the outcome. The
// machine goes on recording it.
func (m *Machine) handleMirrorKept(e MirrorKept) []Action {
	if !e.Kept {
		// A successor decides the job: the outcome is the one that the table
		// will hold.
		m.fenced = true
		return nil
	}
	if m.replied || m.phase != Recording {
		return nil
	}
	m.replied = true
	m.unsettled = false
	return []Action{Reply{Outcome: *m.outcome}}
}

// handleTimer sends an outcome that is not recorded to the mirror, and tells the
// callers that the outcome is not known, as soon as either is due.
func (m *Machine) handleTimer(now time.Time) []Action {
	var actions []Action
	if m.phase == Recording && !m.mirrorAt.IsZero() && !now.Before(m.mirrorAt) && !m.mirroring && !m.fenced && !m.replied {
		m.mirroring = true
		actions = append(actions, KeepMirror{Row: m.row, Condition: m.held})
	}
	if m.phase == Waiting || m.phase == Running || m.replied || m.unsettled || now.Before(m.answerDue) {
		return actions
	}
	m.unsettled = true
	e := outcome.New(outcome.Unknown, outcome.StoreDown, "the job's outcome can not be settled while the platform's table is away")
	return append(actions, AnswerCallers{Error: e.WithRetryAfter(m.config.StoreRetry)})
}

// Refusal returns e as the refusal of this submission. For a resubmission its
// kind is Unknown, since an earlier attempt may have run. A submission that is
// invalid, too large or in conflict was never accepted and keeps its kind.
func (s *Submission) Refusal(e *outcome.Error) *outcome.Error {
	if !s.Resubmission || e.Kind != outcome.NotRun {
		return e
	}
	switch e.Code {
	case outcome.Invalid, outcome.TooLarge, outcome.Conflict:
		return e
	}
	refusal := *e
	refusal.Kind = outcome.Unknown
	return &refusal
}

// Mirror keeps outcomes that other holders have not recorded in the table yet.
type Mirror struct {
	// entries holds nil for an epoch whose outcome was dropped, or for which none is
	// accepted any more.
	entries map[mirrorKey]*Outcome
}

type mirrorKey struct {
	job   ident.Job
	epoch ident.Epoch
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror {
	return &Mirror{entries: map[mirrorKey]*Outcome{}}
}

// Keep stores the outcome of a row. It returns false if a successor has already
// been told that there is none.
func (m *Mirror) Keep(row Row) bool {
	key := mirrorKey{job: row.Job, epoch: row.Epoch}
	if kept, known := m.entries[key]; known {
		return kept != nil
	}
	m.entries[key] = row.Outcome
	return true
}

// FetchOrFence returns the outcome of an epoch of a job. If there is none, it
// returns nil and accepts none for this epoch from then on.
func (m *Mirror) FetchOrFence(j ident.Job, e ident.Epoch) *Outcome {
	key := mirrorKey{job: j, epoch: e}
	kept, known := m.entries[key]
	if !known {
		m.entries[key] = nil
	}
	return kept
}

// Forget drops an outcome that the table holds by now.
func (m *Mirror) Forget(j ident.Job, e ident.Epoch) {
	m.entries[mirrorKey{job: j, epoch: e}] = nil
}

// Len returns the number of outcomes that are kept.
func (m *Mirror) Len() int {
	count := 0
	for _, o := range m.entries {
		if o != nil {
			count++
		}
	}
	return count
}
