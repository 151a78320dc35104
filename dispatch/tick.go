package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/work"
)

// Tick does what the time asks for. It must be called in short intervals.
func (m *Machine) Tick(now time.Time) {
	if m.stopped {
		return
	}
	over := func(j *job) bool { return !j.kept && (!now.Before(j.deadline) || m.silent(now, j)) }
	for _, j := range sorted(m.jobs, over) {
		if !now.Before(j.deadline) {
			m.expire(now, j)
			continue
		}
		m.end(now, j, Interrupted, "the caller's host was silent")
		m.drop(now, j)
	}
	for h, s := range m.signs {
		if now.Sub(s.At) > signTime {
			delete(m.signs, h)
		}
	}
	m.outcomes.Expire(now)
	m.orphansDone.Expire(now)
	for id, p := range m.past {
		if len(p.runs) == 0 && now.Sub(p.at) > outcomeTime {
			delete(m.past, id)
		}
	}
	m.settleTouched(now)
	m.queue.sort(func(j *job) class { return m.classOf(now, j) })
	m.queue.all = true
	for _, j := range slices.Clone(m.queue.jobs[useless].Items()) {
		m.refuseUseless(now, j)
	}
	m.shed(now)
	m.pump(now)
}

// Jobs returns the number of jobs that are not answered, and that of their tasks
// that wait.
func (m *Machine) Jobs() (jobs, queued int) { return len(m.jobs), m.queue.tasks }

// Load returns what the workers can take.
func (m *Machine) Load(now time.Time) Load {
	if m.cores == 0 {
		return Load{Room: len(m.ordered), Pending: m.pending(), Loaded: m.loaded}
	}
	m.settleTouched(now)
	return Load{Room: m.stock.tasks - m.queue.tasks, Pending: m.pending(), Loaded: m.loaded}
}

// sorted returns the jobs that are wanted in a fixed order.
func sorted(jobs map[work.ID]*job, wanted func(*job) bool) []*job {
	var found []*job
	for _, j := range jobs {
		if wanted(j) {
			found = append(found, j)
		}
	}
	sortJobs(found)
	return found
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
}
