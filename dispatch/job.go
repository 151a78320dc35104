package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// job is a job that was submitted and is not answered.
type job struct {
	spec work.Job
	host ident.Host
	boot string
	call uint64
	try  Try
	// wanted is when the caller was last known to wait.
	wanted time.Time
	// objective is when the caller expects the answer, deadline when the
	// caller gives up.
	objective, deadline time.Time
	tasks               []*task
	// waiting holds the tasks that may start.
	waiting []*task
	// left is the number of tasks that are not done, stepLeft that of each
	// step.
	left     int
	stepLeft []int
	// begun is true once a start was sent for any task.
	begun     bool
	submitted time.Time
	// ends counts the runs that were done, and ratios adds up how many times
	// their expected time they took.
	ends   int
	ratios float64
	record Record
	// chain is the estimate of the longest chain of tasks, latest when the job
	// must start to meet its objective, and uselessAt when the answer is of no
	// more use to the caller.
	chain             time.Duration
	latest, uselessAt time.Time
	// queued is true while the job is in the queue, in a class. The queue counts
	// its tasks, their cores and the cores of the smallest one. It is fresh until
	// it was tried.
	queued, fresh                        bool
	class                                class
	queuedTasks, queuedCores, leastCores int
	// offsets holds the number of the first task of each step.
	offsets []int
	// again is true if something of the job may have started under an earlier
	// owner.
	again bool
	// stays is true if the job is not moved to another owner.
	stays bool
	// live is false once the job was answered or dropped.
	live bool
	// kept is true for a job that lasts, see Keep.
	kept bool
}

// task is one task of a job.
type task struct {
	job  *job
	name work.Task
	text string
	// run is the run that counts, or nil.
	run *run
	// number is the number of the last run.
	number work.Run
	// attempts counts the failed runs, failures those that count against the
	// job.
	attempts, failures int
	// failedRuns holds the runs of a kept job's task that have failed.
	failedRuns []work.Run
	// failed lists the workers on which the task did not get done.
	failed []worker.ID
	done   bool
}

func (t *task) step() *work.Step { return &t.job.spec.Steps[t.name.Step] }

func (t *task) estimate() time.Duration { return t.step().Estimate }

func newJob(now time.Time, s Submission) *job {
	sent := s.sent(now)
	j := &job{
		spec:      s.Job,
		host:      s.Host,
		boot:      s.Boot,
		call:      s.Call,
		try:       s.Try,
		wanted:    sent,
		objective: sent.Add(s.Job.Objective() - s.Waited),
		deadline:  sent.Add(s.Left),
		again:     s.Again,
		stays:     s.Stays,
		submitted: now,
		record: Record{
			Job: s.Job.ID, Host: s.Host, Call: s.Call, Waited: s.Waited, Objective: s.Job.Objective(),
		},
		live: true,
	}
	j.chain = s.Job.Chain()
	j.latest = j.objective.Add(-j.chain)
	j.uselessAt = j.objective.Add(uselessTime(s.Job.Objective()))
	for i, st := range s.Job.Steps {
		j.offsets = append(j.offsets, j.left)
		j.stepLeft = append(j.stepLeft, st.Count)
		j.left += st.Count
		for k := range st.Count {
			name := work.Task{Job: s.Job.ID, Step: i, Index: k}
			j.tasks = append(j.tasks, &task{job: j, name: name, text: name.String()})
		}
	}
	return j
}

// ready returns true if the steps before step i are done.
func (j *job) ready(i int) bool {
	return !slices.ContainsFunc(j.spec.Steps[i].After, func(a int) bool { return j.stepLeft[a] > 0 })
}

// Submit takes a job. A job that is known already goes on, for the new caller.
func (m *Machine) Submit(now time.Time, s Submission) {
	if m.stopped {
		m.refuse(now, s, Moved, "another host owns the workers", 0)
		return
	}
	if old, ok := m.outcomes.Get(s.Job.ID); ok {
		m.refuse(now, s, old, "", 0)
		return
	}
	if m.overtaken(s) {
		m.refuse(now, s, Interrupted, "it was withdrawn before it came", 0)
		return
	}
	if j := m.jobs[s.Job.ID]; j != nil {
		m.submitAgain(now, j, s)
		return
	}
	j := newJob(now, s)
	known := m.reclaim(now, j)
	if !known {
		if reason, wait := m.unfit(now, j, s.Final); reason != "" {
			result := Refused
			if !s.Final {
				result = Busy
			}
			m.refuse(now, s, result, reason, wait)
			return
		}
		if !now.Before(m.open) && !m.possible(j) {
			m.refuse(now, s, Failed, "no worker is large enough for a task", 0)
			return
		}
	}
	m.jobs[j.spec.ID] = j
	m.await(j)
	m.refill(now, j)
	if j.left == 0 {
		m.finish(now, j, Completed, "")
	}
	m.pump(now)
}

// submitAgain takes a submission of a job that is known.
func (m *Machine) submitAgain(now time.Time, j *job, s Submission) {
	if j.host != s.Host || j.call != s.Call {
		if s.sent(now).Add(m.wantedLease() / 2).Before(j.wanted) {
			// It was on its way for long. Readings of clocks differ by less.
			m.refuse(now, s, Superseded, "the caller has sent the job again", 0)
			return
		}
		m.reply(now, j, Superseded, "the caller has sent the job again")
		j.record.Host, j.record.Call = s.Host, s.Call
	} else if j.boot == s.Boot && s.Try < j.try {
		m.refuse(now, s, Superseded, "a later try has come before", 0)
		return
	}
	delete(m.callers[j.host], j.spec.ID)
	j.host, j.boot, j.call, j.try, j.wanted = s.Host, s.Boot, s.Call, s.Try, s.sent(now)
	j.deadline = j.wanted.Add(s.Left)
	m.await(j)
	m.retry(j)
	m.pump(now)
}

// await notes which host waits for a job.
func (m *Machine) await(j *job) {
	if m.callers[j.host] == nil {
		m.callers[j.host] = map[work.ID]*job{}
	}
	m.callers[j.host][j.spec.ID] = j
}

// reclaim attaches the runs and ends that an earlier owner left of a job. It
// returns true if there are any.
func (m *Machine) reclaim(now time.Time, j *job) bool {
	if len(m.orphans) == 0 && m.orphansDone.Len() == 0 {
		return false
	}
	found := false
	for _, t := range j.tasks {
		if t.done {
			continue
		}
		if _, ok := m.orphansDone.Get(t.text); ok {
			t.done = true
			j.left--
			j.stepLeft[t.name.Step]--
			found = true
			continue
		}
		r := m.orphans[t.text]
		if r == nil {
			continue
		}
		delete(m.orphans, t.text)
		r.sent = now
		m.attach(now, r, t)
		if !r.node.hasOrphans() {
			// Its lease can be extended from now on.
			m.look(now, r.node)
		}
		found = true
	}
	j.begun = found
	return found
}

// refill queues the tasks that may start now.
func (m *Machine) refill(now time.Time, j *job) {
	j.waiting = j.waiting[:0]
	for _, t := range j.tasks {
		if !t.done && t.run == nil && j.ready(t.name.Step) {
			j.waiting = append(j.waiting, t)
		}
	}
	m.enqueue(now, j)
}

// taskEnded takes the end of the run that counts.
func (m *Machine) taskEnded(now time.Time, t *task, n *node, how worker.How) {
	j := t.job
	if !j.live {
		return
	}
	switch how {
	case worker.Done:
		m.taskDone(now, t)
		return
	case worker.Failed:
		t.attempts++
		switch {
		case j.kept:
			// The failure was counted with its note: the number of runs of a kept
			// job's task is bounded, whoever is at fault.
		case !n.suspect() || t.attempts >= j.spec.Attempts+excused:
			t.failures++
		}
		if t.failures >= max(1, j.spec.Attempts) {
			m.finish(now, j, Failed, "a task has failed "+string(n.ID))
			return
		}
	}
	t.failed = append(t.failed, n.ID)
	j.waiting = append(j.waiting, t)
	m.enqueue(now, j)
}

// taskDone takes in that a task has done its work.
func (m *Machine) taskDone(now time.Time, t *task) {
	j := t.job
	t.done = true
	j.left--
	j.stepLeft[t.name.Step]--
	switch {
	case j.left == 0:
		m.finish(now, j, Completed, "")
	case j.stepLeft[t.name.Step] == 0:
		m.refill(now, j)
	}
}

// excused is how many failed runs of a task are at most put down to its
// workers: a task that fails everywhere must not be tried for ever.
const excused = 2

// finish answers a job and stops what still runs of it.
func (m *Machine) finish(now time.Time, j *job, r Result, reason string) {
	if j.kept {
		m.close(now, j, r, reason)
		m.actions.Finishes = append(m.actions.Finishes, Finish{Job: j.spec.ID, Result: r})
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

// giveUp refuses a job that has waited too long.
func (m *Machine) giveUp(now time.Time, j *job) {
	const reason = "it waited too long"
	wait, _ := m.expectedWait(now, j)
	m.close(now, j, Refused, reason)
	m.answer(now, Reply{Host: j.host, Call: j.call, Try: j.try, Job: j.spec.ID, Result: Refused, Reason: reason, RetryAfter: wait})
	m.drop(now, j)
}

// drop forgets a job and stops its runs.
func (m *Machine) drop(now time.Time, j *job) {
	j.live = false
	j.waiting = nil
	m.queue.put(j, j.class)
	delete(m.jobs, j.spec.ID)
	if c := m.callers[j.host]; c[j.spec.ID] == j {
		if delete(c, j.spec.ID); len(c) == 0 {
			delete(m.callers, j.host)
		}
	}
	m.pendingKnown = m.pendingKnown && !j.kept
	for _, t := range j.tasks {
		switch r := t.run; {
		case r == nil:
		case r.state == stopping:
			m.linger(r)
		default:
			m.stop(now, r, "the job has ended")
		}
	}
}

// end answers a job and emits its record.
func (m *Machine) end(now time.Time, j *job, r Result, reason string) {
	m.close(now, j, r, reason)
	m.reply(now, j, r, reason)
}

func (m *Machine) reply(now time.Time, j *job, r Result, reason string) {
	m.answer(now, Reply{Host: j.host, Call: j.call, Try: j.try, Job: j.spec.ID, Result: r, Reason: reason})
}

// refuse answers a submission that was not taken.
func (m *Machine) refuse(now time.Time, s Submission, r Result, reason string, wait time.Duration) {
	m.answer(now, Reply{Host: s.Host, Call: s.Call, Try: s.Try, Job: s.Job.ID, Result: r, Reason: reason, RetryAfter: wait})
}

// answer sends a reply, with the load at the time.
func (m *Machine) answer(now time.Time, r Reply) {
	r.Load = m.Load(now)
	m.actions.Replies = append(m.actions.Replies, r)
}
