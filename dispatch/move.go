package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/relocation"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// unreachableTime is how long a worker must be silent for stored jobs not to wait for it.
// Workers that crash are back after some seconds, and a job that is moved away loses what
// its tasks have near them.
const unreachableTime = 4 * time.Second

// AvailableWorkers returns the workers that may get work now or soon: they are listed, do
// not drain, and have not been silent for long.
func (m *Machine) AvailableWorkers(now time.Time) []worker.Worker {
	var workers []worker.Worker
	for _, n := range m.ordered {
		if m.access != evacuation.Evacuated && n.isAvailable(now) {
			workers = append(workers, n.Worker)
		}
	}
	return workers
}

func (n *node) isAvailable(now time.Time) bool {
	return n.listed && !n.Draining && (n.silentSince.IsZero() || now.Sub(n.silentSince) < unreachableTime)
}

// hasWorkersFor returns true if each of the given steps of a job has an available worker that
// suits it. An evacuated data centre has none.
func (m *Machine) hasWorkersFor(now time.Time, j *work.Job, steps []int) bool {
	return m.access != evacuation.Evacuated && !slices.ContainsFunc(steps, func(i int) bool {
		return !slices.ContainsFunc(m.ordered, func(n *node) bool {
			return n.isAvailable(now) && relocation.SuitsStep(j, i, &n.Worker)
		})
	})
}

// StrandedJob is a stored job that no worker of its data centre can continue.
type StrandedJob struct {
	Job work.Job
	// Done holds the numbers of the tasks that are done.
	Done []int
}

// StrandedJobs returns the stored jobs of which nothing runs, and of which a task that may
// start has no available worker that suits it. Jobs that only wait for free capacity are not
// among them.
func (m *Machine) StrandedJobs(now time.Time) []StrandedJob {
	if m.stopped || !m.listRead || !m.storedLoaded || m.ownershipUncertain || now.Before(m.takeoverEnd) {
		return nil
	}
	var found []StrandedJob
	for _, j := range m.jobs {
		if m.mayLeave(now, j) && !m.hasWorkersFor(now, &j.spec, j.waitingSteps()) {
			found = append(found, StrandedJob{Job: j.spec, Done: j.doneTasks()})
		}
	}
	slices.SortFunc(found, func(a, b StrandedJob) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	return found
}

// mayLeave returns true if nothing of a stored job runs here, and tasks of it wait. A job that
// another owner has passed on stays for a while: both may know the other's workers by rows of
// workers that do not answer.
func (m *Machine) mayLeave(now time.Time, j *job) bool {
	return j.stored && !j.leaving && len(j.waiting) > 0 && (!j.resubmitted || now.Sub(j.submitted) >= unreachableTime) &&
		!m.hasPreviousRuns(j.spec.ID) && !slices.ContainsFunc(j.tasks, func(t *task) bool { return t.run != nil })
}

// CanRun returns true if workers are available for the steps with which a job begins, or if
// the workers are not known yet.
func (m *Machine) CanRun(now time.Time, j *work.Job) bool {
	ready, _ := j.OpenSteps(nil)
	return !m.listRead || m.hasWorkersFor(now, j, ready)
}

// SetOtherWorkers replaces the known workers of the other data centres.
func (m *Machine) SetOtherWorkers(workers map[ident.DataCentre][]worker.Worker) {
	m.otherWorkers = workers
}

// OtherWorkers returns the known workers of the other data centres.
func (m *Machine) OtherWorkers() map[ident.DataCentre][]worker.Worker { return m.otherWorkers }

// otherWorker returns the worker of another data centre with the given id.
func (m *Machine) otherWorker(id worker.ID) (worker.Worker, bool) {
	for _, workers := range m.otherWorkers {
		if i := slices.IndexFunc(workers, func(w worker.Worker) bool { return w.ID == id }); i >= 0 {
			return workers[i], true
		}
	}
	return worker.Worker{}, false
}

// isUnsuited returns true if no worker is available for a step of a job, and another data centre
// has workers for all of them.
func (m *Machine) isUnsuited(now time.Time, j *work.Job) bool {
	_, all := j.OpenSteps(nil)
	if !m.listRead || m.hasWorkersFor(now, j, all) {
		return false
	}
	for _, workers := range m.otherWorkers {
		if relocation.Suits(j, all, workers) {
			return true
		}
	}
	return false
}

// waitingSteps returns the steps that have tasks which may start.
func (j *job) waitingSteps() []int {
	var steps []int
	for _, t := range j.waiting {
		if !slices.Contains(steps, t.name.Step) {
			steps = append(steps, t.name.Step)
		}
	}
	return steps
}

// doneTasks returns the numbers of the tasks that are done.
func (j *job) doneTasks() []int {
	var done []int
	for number, t := range j.tasks {
		if t.done {
			done = append(done, number)
		}
	}
	return done
}

// Leave keeps the tasks of a stored job from starting, because the job is about to be moved.
func (m *Machine) Leave(id work.ID) {
	if j := m.jobs[id]; j != nil && j.stored {
		j.leaving = true
	}
}

// MoveAway drops a stored job that another owner continues. The given ends of its runs are
// not stored: its tasks may run again elsewhere, so each worker may forget them only after
// its lease has lapsed.
func (m *Machine) MoveAway(now time.Time, id work.ID, unstored []worker.EndID) {
	if m.stopped {
		return
	}
	if j := m.jobs[id]; j != nil && j.stored {
		m.emitRecord(now, j, Moved, "another data centre continues the job")
		m.drop(now, j)
	}
	for _, e := range unstored {
		if n := m.nodes[e.Worker]; n != nil && n.Life == e.Incarnation {
			n.lapsingEnds = append(n.lapsingEnds, e.Number)
			m.markChanged(n)
		}
	}
	m.advance(now)
}

// forgetLapsedEnds lets a worker forget the ends of jobs that were moved away, once its
// lease has lapsed.
func (m *Machine) forgetLapsedEnds(now time.Time, n *node) {
	if len(n.lapsingEnds) == 0 || !now.After(n.leaseEnd) {
		return
	}
	for _, number := range n.lapsingEnds {
		delete(n.unstored, number)
	}
	n.lapsingEnds = nil
	n.scheduleAcknowledgement(now)
	m.markChanged(n)
}
