package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/work"
)

// Tick handles timeouts. It must be called at short intervals.
func (m *Machine) Tick(now time.Time) {
	if m.stopped {
		return
	}
	abandoned := func(j *job) bool { return !j.stored && (!now.Before(j.deadline) || m.isCallerSilent(now, j)) }
	for _, j := range sortedJobs(m.jobs, abandoned) {
		if !now.Before(j.deadline) {
			m.expire(now, j)
			continue
		}
		m.end(now, j, Interrupted, "the caller's host was silent")
		m.drop(now, j)
	}
	m.keepalives.Expire(now)
	m.outcomes.Expire(now)
	m.orphansDone.Expire(now)
	for id, p := range m.previousRuns {
		if len(p.runs) == 0 && now.Sub(p.lastEnd) > outcomeRetention {
			delete(m.previousRuns, id)
		}
	}
	m.resolveLosses(now)
	m.crashes.Expire(now, func(task string) bool { return m.jobs[work.JobOfTask(task)] != nil })
	m.followReservation(now)
	m.refreshChanged(now)
	for p, s := range m.queue.shares {
		if x, ok := s.Tick(now, p, m.capacity.Pool(p).FreeCores); ok {
			m.actions.Shortages = append(m.actions.Shortages, x)
		}
	}
	m.queue.reclassify(func(j *job) class { return m.classOf(now, j) })
	m.queue.tryAll = true
	for _, j := range m.queue.items(useless) {
		m.refuseUseless(now, j)
	}
	m.shed(now)
	m.releaseEvacuated(now)
	m.advance(now)
}

// Jobs returns the number of jobs that are not answered and the number of their
// tasks that wait.
func (m *Machine) Jobs() (jobs, queued int) { return len(m.jobs), m.queue.tasks }

// Load returns the present load of the workers.
func (m *Machine) Load(now time.Time) Load {
	m.refreshChanged(now)
	free := m.capacity.Tasks
	if m.meanCores == 0 {
		// The size of tasks is not known yet: each worker is taken to have capacity for
		// one.
		for _, n := range m.ordered {
			if n.listed && m.access == evacuation.Open {
				free++
			}
		}
	}
	return Load{FreeTasks: free - m.queue.tasks, Pending: m.pendingCounts(), StoredJobsLoaded: m.storedLoaded}
}

// sortedJobs returns the jobs for which match returns true, in a fixed order.
func sortedJobs(jobs map[work.ID]*job, match func(*job) bool) []*job {
	var found []*job
	for _, j := range jobs {
		if match(j) {
			found = append(found, j)
		}
	}
	sortJobs(found)
	return found
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
}
