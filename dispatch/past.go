package dispatch

import (
	"strings"
	"time"

	"github.com/catkingap/catkingap/work"
)

// past is what an earlier submission of a job left behind. Nothing of the job
// starts while one of its runs may still be at work, and its next runs have
// higher numbers.
type past struct {
	runs    map[*run]struct{}
	highest work.Run
	at      time.Time
}

// jobOf returns the job of a run.
func (r *run) jobOf() work.ID {
	if r.task != nil {
		return r.task.job.spec.ID
	}
	return jobOf(r.key.task)
}

// jobOf returns the job of a task's name.
func jobOf(name string) work.ID {
	id, _, _ := strings.Cut(name, ".")
	return work.ID(id)
}

// linger notes that a run is being stopped whose job is not known any more.
func (m *Machine) linger(r *run) {
	if r.task != nil && r.task.job.live {
		return
	}
	id := r.jobOf()
	p := m.past[id]
	if p == nil {
		p = &past{runs: map[*run]struct{}{}}
		m.past[id] = p
	}
	p.runs[r] = struct{}{}
	p.highest = max(p.highest, r.key.run)
}

// settle notes that a run has ended.
func (m *Machine) settle(now time.Time, r *run) {
	if p := m.past[r.jobOf()]; p != nil {
		delete(p.runs, r)
		p.highest = max(p.highest, r.key.run)
		p.at = now
		if j := m.jobs[r.jobOf()]; j != nil && len(p.runs) == 0 {
			m.retry(j)
		}
	}
}

// lingers returns true if a run of an earlier submission may be at work.
func (m *Machine) lingers(id work.ID) bool {
	p := m.past[id]
	return p != nil && len(p.runs) > 0
}

// highest returns the highest run that an earlier submission had of any task.
func (m *Machine) highest(t *task) work.Run {
	if p := m.past[t.job.spec.ID]; p != nil {
		return p.highest
	}
	return 0
}
