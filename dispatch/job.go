package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/estimate"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/report"
	"github.com/catkingap/catkingap/room"
	"github.com/catkingap/catkingap/sharing"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// job is a job that was submitted and is not answered yet.
type job struct {
	spec     work.Job
	host     ident.Host
	boot     string
	call     uint64
	sequence Sequence
	// callerSeen is when the caller was last known to wait.
	callerSeen time.Time
	// objective is when the caller expects the answer, and deadline is when it
	// gives up.
	objective, deadline time.Time
	tasks               []*task
	// waiting holds the tasks that may start. The next attempt to start them begins with the one
	// at firstTried.
	waiting    []*task
	firstTried int
	// left is the number of tasks that are not done, and steps tells which steps may start.
	left  int
	steps work.Steps
	// begun is true once a start was sent for any task, and ran once a worker is known to have
	// carried one out.
	begun, ran bool
	submitted  time.Time
	// observed is what the runs of the job have shown of its estimates.
	observed estimate.Job
	record   report.Record
	// chainEstimate is the estimate of the longest chain of tasks, latestStart is
	// when the job must start to meet its objective, and uselessAt is when the
	// answer is of no more use to the caller.
	chainEstimate          time.Duration
	latestStart, uselessAt time.Time
	// queued is true while the job is in the queue, in the class that class names.
	// The queue counts the waiting tasks, their cores and the cores of the smallest
	// one. The job is untried until an attempt was made to start it.
	queued, untried                    bool
	class                              class
	queuedTasks, queuedCores, minCores int
	// backlogCores is the number of cores of the waiting tasks that have not failed before.
	backlogCores int
	// stepOffsets holds the number of the first task of each step.
	stepOffsets []int
	// resubmitted is true if an earlier owner may have started part of the job.
	resubmitted bool
	// pinned is true if the job is not moved to another owner.
	pinned bool
	// live is false once the job was answered or dropped.
	live bool
	// stored is true for a stored job, see AddStored, and leaving if it is about to be moved
	// to another data centre.
	stored, leaving bool
}

// task is one task of a job.
type task struct {
	job  *job
	name work.Task
	id   string
	// run is the current run, or nil.
	run *run
	// lastRun is the number of the last run.
	lastRun work.Run
	// attempts counts the failed runs, and failures counts those that count against
	// the job.
	attempts, failures int
	// failedRuns holds the failed runs of a stored job's task.
	failedRuns []work.Run
	// failedWorkers lists the workers on which the task did not complete.
	failedWorkers []worker.ID
	done          bool
}

func (t *task) step() *work.Step { return &t.job.spec.Steps[t.name.Step] }

// number returns the number of the task, counted over all steps of its job.
func (t *task) number() int { return t.job.stepOffsets[t.name.Step] + t.name.Index }

func (t *task) estimate() time.Duration { return t.step().Estimate }

func newJob(now time.Time, s Submission) *job {
	sent := s.SentAt(now)
	j := &job{
		spec:        s.Job,
		host:        s.Host,
		boot:        s.Boot,
		call:        s.Call,
		sequence:    s.Sequence,
		callerSeen:  sent,
		objective:   sent.Add(s.Job.Objective() - s.Waited),
		deadline:    sent.Add(s.Remaining),
		resubmitted: s.Resubmitted,
		pinned:      s.Pinned,
		submitted:   now,
		record: report.Record{
			Job: s.Job.ID, Host: s.Host, Call: s.Call, Waited: s.Waited, Objective: s.Job.Objective(),
		},
		live: true,
	}
	j.chainEstimate = s.Job.CriticalPath()
	j.latestStart = j.objective.Add(-j.chainEstimate)
	j.uselessAt = j.objective.Add(uselessTime(s.Job.Objective()))
	j.steps = work.NewSteps(&s.Job)
	for i, st := range s.Job.Steps {
		j.stepOffsets = append(j.stepOffsets, j.left)
		j.left += st.Count
		for k := range st.Count {
			name := work.Task{Job: s.Job.ID, Step: i, Index: k}
			j.tasks = append(j.tasks, &task{job: j, name: name, id: name.String()})
		}
	}
	return j
}

// Submit accepts, queues or refuses a job. A job that is known already goes on for
// the new caller.
func (m *Machine) Submit(now time.Time, s Submission) {
	if m.stopped {
		m.refuse(now, s, Moved, "another host owns the workers", 0)
		return
	}
	if old, ok := m.outcomes.Get(s.Job.ID); ok {
		m.refuse(now, s, old, "", 0)
		return
	}
	m.AddLosses(now, s.Losses)
	if m.isOvertaken(s) {
		m.refuse(now, s, Interrupted, "it was withdrawn before it came", 0)
		return
	}
	if j := m.jobs[s.Job.ID]; j != nil {
		m.resubmit(now, j, s)
		return
	}
	m.countEarlierWait(&s)
	j := newJob(now, s)
	if t := m.condemnedTask(now, j); t != nil {
		m.refuse(now, s, Failed, report.TaskCrashes.Reason(), 0)
		return
	}
	known := m.adoptOrphans(now, j)
	if !known && m.mustGoElsewhere(&s) {
		m.refuse(now, s, Unsuited, ReasonEvacuated, 0)
		return
	}
	if !known {
		refusal := Refused
		if !s.Final {
			refusal = Busy
		}
		reason, wait := m.refusalReason(now, j, s.Final, (*sharing.Shares).RetryAfter)
		if s.Final || reason == "" {
			// Other owners count the jobs that they take.
			m.queue.poolShares(j.spec.Pool).Offer(now, &j.spec)
		}
		if reason != "" {
			m.refuse(now, s, refusal, reason, wait)
			return
		}
		if !now.Before(m.takeoverEnd) {
			if s.MayRefer && m.isUnsuited(now, &s.Job) {
				m.refuse(now, s, Unsuited, "only another data centre has workers for a task", 0)
				return
			}
			switch room.SuitabilityFor(&j.spec, len(m.ordered), func(i int) (*worker.Worker, work.Size) { return &m.ordered[i].Worker, m.ordered[i].largest }) {
			case room.Unsuitable:
				m.refuse(now, s, Failed, "no worker is large enough for a task", 0)
				return
			case room.Shrunken:
				m.refuse(now, s, refusal, "no worker has the capacity for a task at present", shrunkenRetryAfter)
				return
			}
		}
	}
	m.jobs[j.spec.ID] = j
	m.addCaller(j)
	m.queueReadyTasks(now, j)
	if j.left == 0 {
		m.finish(now, j, Completed, "")
	}
	m.advance(now)
}

// shrunkenRetryAfter tells a caller when to come back after the capacity of all workers has
// become too small for its job.
const shrunkenRetryAfter = time.Second

// countEarlierWait adds the time for which a caller has waited before its connection broke
// and it came again. It does so only where the answer is of use for a shorter time than
// that: the callers of long jobs differ too much to be told apart.
func (m *Machine) countEarlierWait(s *Submission) {
	left := s.Waited + s.Remaining
	m.patience.Observe(s.Job.Queue, left)
	objective := s.Job.Objective()
	if objective+uselessTime(objective) <= m.config.ResendDelay && m.patience.HasComeAgain(s.Job.Queue, left) {
		s.Waited += m.config.ResendDelay
	}
}

// resubmit handles a submission of a job that is known.
func (m *Machine) resubmit(now time.Time, j *job, s Submission) {
	if j.host != s.Host || j.call != s.Call {
		if s.SentAt(now).Add(m.callerLease() / 2).Before(j.callerSeen) {
			// The submission was delayed on its way. Clock readings differ by less
			// than this.
			m.refuse(now, s, Superseded, "the caller has sent the job again", 0)
			return
		}
		m.reply(now, j, Superseded, "the caller has sent the job again")
		j.record.Host, j.record.Call = s.Host, s.Call
	} else if j.boot == s.Boot && s.Sequence < j.sequence {
		m.refuse(now, s, Superseded, "a later try has come before", 0)
		return
	}
	delete(m.jobsByHost[j.host], j.spec.ID)
	j.host, j.boot, j.call, j.sequence, j.callerSeen = s.Host, s.Boot, s.Call, s.Sequence, s.SentAt(now)
	j.deadline = j.callerSeen.Add(s.Remaining)
	m.addCaller(j)
	m.markUntried(j)
	m.advance(now)
}

// addCaller records which host waits for a job.
func (m *Machine) addCaller(j *job) {
	if m.jobsByHost[j.host] == nil {
		m.jobsByHost[j.host] = map[work.ID]*job{}
	}
	m.jobsByHost[j.host][j.spec.ID] = j
}

// adoptOrphans attaches the runs and ends that an earlier owner left of a job. It
// returns true if there are any.
func (m *Machine) adoptOrphans(now time.Time, j *job) bool {
	if len(m.orphans) == 0 && m.orphansDone.Len() == 0 {
		return false
	}
	found := false
	for _, t := range j.tasks {
		if t.done {
			continue
		}
		if _, ok := m.orphansDone.Get(t.id); ok {
			t.done = true
			j.left--
			j.steps.TaskDone(t.name.Step)
			found = true
			continue
		}
		r := m.orphans[t.id]
		if r == nil {
			continue
		}
		delete(m.orphans, t.id)
		r.sent = now
		m.attach(now, r, t)
		if !r.node.hasOrphans() {
			// The lease of the worker can be extended from now on.
			m.pollAtOnce(now, r.node)
		}
		found = true
	}
	j.begun = found
	return found
}

// queueReadyTasks queues the tasks of a new job that may start now.
func (m *Machine) queueReadyTasks(now time.Time, j *job) {
	for i := range j.spec.Steps {
		if j.steps.IsReady(i) {
			m.addWaiting(j, i)
		}
	}
	m.enqueue(now, j)
}

// addWaiting adds the tasks of a step that may start to those that wait.
func (m *Machine) addWaiting(j *job, step int) {
	first := j.stepOffsets[step]
	for _, t := range j.tasks[first : first+j.spec.Steps[step].Count] {
		m.examined++
		if !t.done && t.run == nil {
			j.waiting = append(j.waiting, t)
		}
	}
}

// handleTaskEnd handles the end of a task's current run.
func (m *Machine) handleTaskEnd(now time.Time, t *task, n *node, result worker.Result) {
	j := t.job
	if !j.live {
		return
	}
	switch result {
	case worker.Done:
		m.completeTask(now, t)
		return
	case worker.Failed:
		t.attempts++
		switch {
		case j.stored:
			// noteEnd has counted the failure: the number of runs of a stored
			// job's task is bounded, whether the worker or the task is at fault.
		case !n.isSuspect() || t.attempts >= j.spec.Attempts+maxExcusedFailures:
			t.failures++
		}
		if t.failures >= max(1, j.spec.Attempts) {
			m.finish(now, j, Failed, "a task has failed "+string(n.ID))
			return
		}
	case worker.Lost:
		if m.tryGiveUp(now, t) {
			return
		}
	}
	t.failedWorkers = append(t.failedWorkers, n.ID)
	j.waiting = append(j.waiting, t)
	m.enqueue(now, j)
}

// completeTask marks a task as done and queues the tasks that waited for it.
func (m *Machine) completeTask(now time.Time, t *task) {
	j := t.job
	t.done = true
	m.crashes.Forget(t.id)
	j.left--
	ready := j.steps.TaskDone(t.name.Step)
	if j.left == 0 {
		m.finish(now, j, Completed, "")
		return
	}
	for _, step := range ready {
		m.addWaiting(j, step)
	}
	if len(ready) > 0 {
		m.enqueue(now, j)
	}
}

// maxExcusedFailures is how many failed runs of a task are at most attributed to
// workers. It keeps a task that fails everywhere from being tried for ever.
const maxExcusedFailures = 2

// finish answers a job and stops the runs that are left.
func (m *Machine) finish(now time.Time, j *job, r Result, reason string) {
	if j.stored {
		m.emitRecord(now, j, r, reason)
		m.actions.JobEnds = append(m.actions.JobEnds, JobEnd{Job: j.spec.ID, Result: r})
		m.drop(now, j)
		return
	}
	m.end(now, j, r, reason)
	m.outcomes.Put(now, j.spec.ID, r)
	m.drop(now, j)
}

// expire ends a job whose caller has given up.
func (m *Machine) expire(now time.Time, j *job) {
	if j.begun {
		m.end(now, j, Expired, "the deadline has passed")
	} else {
		m.end(now, j, Refused, "the deadline has passed")
	}
	m.drop(now, j)
}

// refuseQueued refuses a job that has waited too long.
func (m *Machine) refuseQueued(now time.Time, j *job) {
	const reason = "it waited too long"
	wait, _ := m.expectedWait(now, j)
	if s := m.queue.poolShares(j.spec.Pool); s.IsShort() {
		wait = s.RetryAfter(now, &j.spec)
	}
	m.emitRecord(now, j, Refused, reason)
	m.sendReply(now, Reply{Host: j.host, Call: j.call, Sequence: j.sequence, Job: j.spec.ID, Result: Refused, Reason: reason, RetryAfter: wait})
	m.countRefusal(j.spec.Queue)
	m.drop(now, j)
}

// drop removes a job and stops its runs.
func (m *Machine) drop(now time.Time, j *job) {
	j.live = false
	j.waiting = nil
	m.queue.put(j, j.class)
	delete(m.jobs, j.spec.ID)
	if c := m.jobsByHost[j.host]; c[j.spec.ID] == j {
		if delete(c, j.spec.ID); len(c) == 0 {
			delete(m.jobsByHost, j.host)
		}
	}
	m.pendingValid = m.pendingValid && !j.stored
	for _, t := range j.tasks {
		switch r := t.run; {
		case r == nil:
		case r.state == stopping:
			m.trackPreviousRun(r)
		default:
			m.stop(now, r, "the job has ended")
		}
	}
}

// end answers a job and emits its record.
func (m *Machine) end(now time.Time, j *job, r Result, reason string) {
	m.emitRecord(now, j, r, reason)
	m.reply(now, j, r, reason)
}

func (m *Machine) reply(now time.Time, j *job, r Result, reason string) {
	m.sendReply(now, Reply{Host: j.host, Call: j.call, Sequence: j.sequence, Job: j.spec.ID, Result: r, Reason: reason})
}

func (m *Machine) countRefusal(q work.Queue) { index.Increment(&m.actions.Refusals, q) }

// refuse answers a submission that was not accepted.
func (m *Machine) refuse(now time.Time, s Submission, r Result, reason string, wait time.Duration) {
	if r == Refused {
		m.countRefusal(s.Job.Queue)
	}
	m.sendReply(now, Reply{Host: s.Host, Call: s.Call, Sequence: s.Sequence, Job: s.Job.ID, Result: r, Reason: reason, RetryAfter: wait})
}

// sendReply sends a reply with the current load.
func (m *Machine) sendReply(now time.Time, r Reply) {
	r.Load = m.Load(now)
	m.actions.Replies = append(m.actions.Replies, r)
}
