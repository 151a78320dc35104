package job

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// askMirror returns the actions that decide a started job of a lost holder.
func (m *Machine) askMirror(now time.Time) []Action {
	if m.row.Mirror == (Holder{}) {
		return m.decide(now, nil)
	}
	return []Action{AskMirror{Row: m.row}, m.bound(now, m.config.SettleTimeout)}
}

// decide records the outcome of a started job of a lost holder: the one that
// its mirror has, or else that it failed.
func (m *Machine) decide(now time.Time, o *Outcome) []Action {
	if o == nil {
		o = fail(outcome.New(outcome.Failed, outcome.HolderLost, "the holder %s was lost while tasks ran", m.row.Holder.Host))
	}
	m.outcome = o
	m.row.Epoch++
	m.row.Holder = m.config.Self
	return m.record(now)
}

func (m *Machine) mirrorEvent(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case MirrorAnswered:
		if m.phase != Deciding {
			return nil
		}
		return m.decide(now, e.Outcome)
	case MirrorKept:
		return m.mirrorKept(e)
	}
	if m.phase == Deciding {
		return []Action{AskMirror{Row: m.row, After: m.config.ReadDelay}}
	}
	m.mirroring = false
	return []Action{Wake{After: m.config.ReadDelay}}
}

// mirrorKept answers the callers once the mirror has the outcome. The machine
// goes on recording it.
func (m *Machine) mirrorKept(e MirrorKept) []Action {
	if !e.Kept {
		// A successor decides: the outcome is what the table will hold.
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

// woken does what is due.
func (m *Machine) woken(now time.Time) []Action {
	var actions []Action
	if m.phase == Recording && !m.mirrorAt.IsZero() && !now.Before(m.mirrorAt) && !m.mirroring && !m.fenced && !m.replied {
		m.mirroring = true
		actions = append(actions, KeepMirror{Row: m.row, Condition: m.held})
	}
	if m.phase == Waiting || m.phase == Running || m.replied || m.unsettled || now.Before(m.answerBy) {
		return actions
	}
	m.unsettled = true
	e := outcome.New(outcome.Unknown, outcome.StoreDown, "the job's outcome can not be settled while the platform's table is away")
	return append(actions, Tell{Error: e.After(m.config.StoreRetry)})
}

// Refuse returns e as this submission may say it: a refusal of a resubmission
// proves nothing about the earlier attempts.
func (s *Submission) Refuse(e *outcome.Error) *outcome.Error {
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

// Mirror keeps outcomes of other holders that the table does not hold yet.
type Mirror struct {
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

// Keep keeps the outcome of a row. It returns false if a successor was told
// before that there is none.
func (m *Mirror) Keep(row Row) bool {
	key := mirrorKey{job: row.Job, epoch: row.Epoch}
	if kept, known := m.entries[key]; known {
		return kept != nil
	}
	m.entries[key] = row.Outcome
	return true
}

// Ask returns the outcome that is kept for an epoch of a job. If there is none
// it returns nil and accepts none for this epoch from then on.
func (m *Mirror) Ask(j ident.Job, e ident.Epoch) *Outcome {
	key := mirrorKey{job: j, epoch: e}
	kept, known := m.entries[key]
	if !known {
		m.entries[key] = nil
	}
	return kept
}

// Forget drops an outcome that the table holds.
func (m *Mirror) Forget(j ident.Job, e ident.Epoch) {
	m.entries[mirrorKey{job: j, epoch: e}] = nil
}

// Kept returns the number of outcomes that are kept.
func (m *Mirror) Kept() int {
	count := 0
	for _, o := range m.entries {
		if o != nil {
			count++
		}
	}
	return count
}
