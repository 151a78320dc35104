// Package dispatch schedules tasks on the workers that one entry host owns. It
// decides which task starts where and when, what is retried, what is refused, and
// when the runs of a caller that has left are stopped. The package does no input or
// output: the caller passes the present time and carries out the actions.
package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/cold"
	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/ejection"
	"github.com/catkingap/catkingap/estimate"
	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/incarnation"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/keepalive"
	"github.com/catkingap/catkingap/lookahead"
	"github.com/catkingap/catkingap/message"
	"github.com/catkingap/catkingap/patience"
	"github.com/catkingap/catkingap/report"
	"github.com/catkingap/catkingap/room"
	"github.com/catkingap/catkingap/sharing"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// Config configures a Machine.
type Config struct {
	// Token is the fencing token of the ownership.
	Token worker.Token
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// FarFactor is the factor by which a task takes longer on a worker outside the
	// rack of its data.
	FarFactor float64
	// LookAhead is true if workers are reserved for large tasks that wait.
	LookAhead bool
	// Ejection configures when failing workers are ejected.
	Ejection ejection.Config
	// PreviousWorkers holds the workers of the previous owner, as far as they are known.
	PreviousWorkers []worker.Worker
	// PreviousWorkersComplete is true if the previous owner had no workers beside PreviousWorkers.
	PreviousWorkersComplete bool
	// ResendDelay is how long after the end of its connection a caller sends a job
	// again. Zero means that callers never do.
	ResendDelay time.Duration
	// Access tells whether tasks may start when the ownership begins.
	Access evacuation.Access
}

const (
	// pollWait is how long a worker waits for a run to end before it answers a
	// status poll. With a MaxLease of one second it leaves time for two more polls
	// before the lease lapses.
	pollWait = 300 * time.Millisecond
	// pollRetryDelay is the time between a failed poll and the next one.
	pollRetryDelay = 50 * time.Millisecond
	// repeatedPollDelay is the time between two polls of a worker that answers at
	// once because it lists ends that it may not forget yet. It is small against
	// the 60 ms of the shortest tasks.
	repeatedPollDelay = 20 * time.Millisecond
	// maxPollRetryDelay bounds the time between polls of a worker that does not answer.
	maxPollRetryDelay = time.Second
	// acknowledgeDelay is how long ends may wait to be acknowledged by the poll
	// that goes along with a next start. The documentation counts an end as
	// acknowledged 100 ms after it was listed, and requires four of five ends to be
	// acknowledged within seconds.
	acknowledgeDelay = 400 * time.Millisecond
	// orphanGracePeriod is how long a run of an unknown job is kept after a
	// takeover, so that its host can submit the job again. Hosts do so within two
	// contacts. Until then no lease on its worker is extended.
	orphanGracePeriod = 300 * time.Millisecond
	// outcomeRetention is how long the outcome of a job is kept for callers that
	// send it again, which they do within a few seconds.
	outcomeRetention = 5 * time.Second
)

type (
	// Submission is a job that an entry host submits for its caller.
	Submission = message.Submission
	// Reply answers a submission.
	Reply = message.Reply
	// Load tells other hosts how much more work the workers of one owner can take.
	Load = message.Load
	// JobEnd is the end of a stored job.
	JobEnd = report.JobEnd
	// Sequence is the number of a message of a host.
	Sequence = keepalive.Sequence
	// Keepalive tells which calls a host still waits for.
	Keepalive = keepalive.Keepalive
)

// Result tells how a submission ended.
type Result = report.Result

// The results of submissions, see report.Result.
const (
	Busy        = report.Busy
	Unsuited    = report.Unsuited
	Completed   = report.Completed
	Failed      = report.Failed
	Interrupted = report.Interrupted
	Expired     = report.Expired
	Stored      = report.Stored
	Moved       = report.Moved
	Refused     = report.Refused
	Cancelled   = report.Cancelled
	Superseded  = report.Superseded
)

// Actions are what the caller of a Machine must carry out.
type Actions struct {
	Starts  []worker.Start
	Stops   []worker.Stop
	Polls   []worker.Poll
	Replies []Reply
	// WorkerLosses describe workers that were lost with their runs, and LostRuns counts
	// the runs that ended for another reason than their task, by cause.
	WorkerLosses []report.WorkerLoss
	LostRuns     map[string]int
	// Losses holds the losses under the tasks for which they have changed, and GivenUp
	// the jobs that were ended because of such a task.
	Losses  []crash.TaskLosses
	GivenUp []report.GivenUp
	// SuspectStarts is the number of starts of tasks that workers were lost under.
	SuspectStarts int
	// ColdStarts is the number of starts on cold workers.
	ColdStarts int
	// DeferredPolls is the number of polls that had to wait for earlier ones.
	DeferredPolls int
	// HeldStarts is the number of times at which tasks had to wait for the answers to starts.
	HeldStarts int
	// CrowdedWorkers holds the workers that get no more runs until some of theirs have ended and
	// these ends are stored.
	CrowdedWorkers []worker.ID
	// SpeedChanges tell which workers have become slow or are well again.
	SpeedChanges []estimate.SpeedChange
	// Refusals counts the refused jobs by queue, and Shortages tell which pools have become
	// short of capacity or no longer are.
	Refusals  map[work.Queue]int
	Shortages []sharing.Shortage
	// Reservations counts the reservations for large tasks, see lookahead.Plan.
	Reservations map[string]int
	// Records describe submissions that have ended.
	Records []report.Record
	// RunEnds must be stored and then reported to EndStored.
	RunEnds []worker.RunEnd
	// JobEnds must be stored after all earlier RunEnds.
	JobEnds []JobEnd
	// TokenWanted is true if orders need a higher token, see RaiseToken.
	TokenWanted bool
	// Fenced is true if a worker has seen a higher token than this owner has: the ownership
	// has ended.
	Fenced bool
}

// Machine is the scheduling state of the workers that one entry host owns.
type Machine struct {
	config  Config
	actions Actions
	// token is the highest fencing token that orders may carry.
	token   worker.Token
	nodes   map[worker.ID]*node
	ordered []*node
	// generation counts the changes to the list of workers.
	generation uint64
	jobs       map[work.ID]*job
	// jobsByHost holds the jobs submitted by each host.
	jobsByHost map[ident.Host]map[work.ID]*job
	// queue holds the jobs with tasks that may start.
	queue *queue
	// freeIndex finds usable workers, and capacity counts the cores that workers
	// have.
	freeIndex *room.Index[*node]
	capacity  room.Totals[*node]
	// lateRates measures how fast late jobs start, for each pool that has
	// some.
	lateRates map[ident.Pool]*sharing.LateRate
	// began is when the ownership began.
	began time.Time
	// crashes keeps the losses of workers under tasks, and crashingQueues the queues that
	// are known for crashes. reserved is the worker that is kept free for a suspect.
	crashes        *crash.Tracker
	crashingQueues *crash.Queues
	reserved       reservation
	// plan holds the workers that are reserved for large waiting tasks.
	plan *lookahead.Plan[*node, holder]
	// patience recognizes callers that come again.
	patience *patience.Tracker
	// timers holds the workers by the time at which they next need attention.
	// changed holds those that have changed during this event, and capacityGrew is
	// true if one of them can take more than before.
	timers       *index.Timers[*node]
	changed      []*node
	capacityGrew bool
	// openStarts is the number of starts that are not answered, and startsHeld is true if tasks
	// wait for that.
	openStarts int
	startsHeld bool
	// visited counts the workers and jobs that events have examined, and examined the tasks.
	visited, examined int
	// outcomes holds the results of answered jobs for callers that send them again.
	outcomes *index.Recent[work.ID, Result]
	// orphans and orphansDone hold runs and completed runs of unknown jobs, by
	// task.
	orphans     map[string]*run
	orphansDone *index.Recent[string, struct{}]
	// previousRuns holds the runs that earlier submissions of jobs left behind.
	previousRuns map[work.ID]*previousRuns
	// keepalives holds the newest keepalive of each host.
	keepalives keepalive.Board
	detector   *ejection.Detector[worker.ID]
	// takeoverEnd is the time from which no run that an earlier owner started can
	// be running unknown to this one.
	takeoverEnd time.Time
	// lossyUntil is the time until which answers to orders are expected to get
	// lost.
	lossyUntil time.Time
	// meanRunTime is the mean run time of recent tasks, weighted by their cores.
	meanRunTime time.Duration
	// meanCores is the mean number of cores of recent tasks.
	meanCores float64
	// otherWorkers holds the workers of the other data centres.
	otherWorkers map[ident.DataCentre][]worker.Worker
	// listRead is true once the list of workers was read.
	listRead bool
	// storedLoaded is true once the stored jobs of the previous owner are known.
	// earlyEnds holds the ends that workers have listed until then.
	storedLoaded bool
	earlyEnds    []earlyEnd
	// pendingJobs is the number of stored jobs of each queue that have not begun.
	// It is valid only if pendingValid is true.
	pendingJobs  map[work.Queue]int
	pendingValid bool
	// lastEvent is when an event was last handled. ownershipUncertain is true while
	// another host may own the workers. No task of a stored job starts then.
	lastEvent          time.Time
	ownershipUncertain bool
	// access tells whether tasks may start.
	access evacuation.Access
	// cold holds the limits for cold workers.
	cold cold.Board
	// stopped is true once the ownership has ended.
	stopped bool
}

// New returns the Machine of an ownership that was taken at now.
func New(now time.Time, c Config) *Machine {
	m := &Machine{
		config:     c,
		token:      c.Token,
		nodes:      map[worker.ID]*node{},
		jobs:       map[work.ID]*job{},
		jobsByHost: map[ident.Host]map[work.ID]*job{},
		queue:      newQueue(),
		freeIndex:  room.NewIndex[*node](),
		lateRates:  map[ident.Pool]*sharing.LateRate{},
		patience:   patience.NewTracker(c.ResendDelay),
		began:      now, crashes: crash.NewTracker(), crashingQueues: crash.NewQueues(),
		timers:       index.NewTimers[*node](),
		outcomes:     index.NewRecent[work.ID, Result](outcomeRetention),
		orphans:      map[string]*run{},
		orphansDone:  index.NewRecent[string, struct{}](outcomeRetention),
		previousRuns: map[work.ID]*previousRuns{},
		keepalives:   keepalive.Board{},
		detector:     ejection.NewDetector[worker.ID](c.Ejection),
		takeoverEnd:  now.Add(incarnation.LapseTime(c.MaxLease)),
		access:       c.Access,
	}
	m.capacity = room.NewTotals(m.freeIndex)
	m.plan = lookahead.NewPlan[*node, holder](m.markChanged)
	m.SetWorkers(now, nil)
	m.listRead = false
	return m
}

// TakeActions returns the actions that events have produced since the last call.
func (m *Machine) TakeActions() Actions {
	a := m.actions
	a.Losses, a.Reservations = m.crashes.TakeChanges(), m.plan.TakeCounts()
	m.actions = Actions{}
	return a
}

// Started handles the answer to a start.
func (m *Machine) Started(now time.Time, s worker.Start, a worker.Answer) {
	m.startAnswered()
	n := m.answeringNode(s.Order, a.Verdict)
	if n == nil {
		return
	}
	k := runKey{task: s.Task.String(), run: s.Run}
	if a.Verdict == worker.Unanswered {
		n.lateStarts.Note(now, k)
	}
	r := n.runs[k]
	var sent time.Time
	if r != nil {
		sent = r.sent
	}
	m.handleAnswer(now, sent, n, a.Verdict, a.Clock)
	if r == nil || r.state == stopping {
		m.advance(now)
		return
	}
	switch a.Verdict {
	case worker.Accepted:
		m.confirm(now, r)
		if r.incarnation != n.Life {
			m.assumeLongestLease(now, n)
		}
	case worker.Unanswered:
		// It may be running: the next poll tells.
		r.startGivenUp = now
		if !n.silentSince.Equal(now) {
			m.pollAtOnce(now, n)
		}
	default:
		m.handleRefusedStart(now, n, r, a.Verdict)
	}
	m.advance(now)
}

// handleRefusedStart handles a start that the worker provably did not carry out.
func (m *Machine) handleRefusedStart(now time.Time, n *node, r *run, v worker.Verdict) {
	m.detector.Withdrawn(n.ID)
	switch v {
	case worker.Unhealthy:
		m.detector.Failed(now, n.ID)
	case worker.Full, worker.Expired:
		// The worker holds runs that are not known here, or its clock differs from
		// what was expected: a poll tells.
		n.holdUntil = now.Add(pollRetryDelay)
		m.pollAtOnce(now, n)
	case worker.Replaced:
		m.loseRun(now, r, LossRefused)
		m.handleReplaced(now, n)
		return
	case worker.Rejected:
		if r.task != nil && r.task.job.live {
			m.finish(now, r.task.job, Failed, "a worker can not read the task")
		}
	}
	r.recordEnd(now, "start refused: "+string(v))
	m.loseRun(now, r, LossRefused)
}

// Stopped handles the answer to a stop.
func (m *Machine) Stopped(now time.Time, s worker.Stop, a worker.Answer) {
	n := m.answeringNode(s.Order, a.Verdict)
	if n == nil {
		return
	}
	m.handleAnswer(now, time.Time{}, n, a.Verdict, a.Clock)
	if r := n.runs[runKey{task: s.Task, run: s.Run}]; r != nil && r.state == stopping && r.stopAccepted.IsZero() {
		switch a.Verdict {
		case worker.Accepted, worker.Superseded:
			r.stopAccepted = now
			m.pollAtOnce(now, n)
		case worker.Replaced:
			m.handleReplaced(now, n)
		default:
			r.nextStop = now.Add(retryDelay(a.Verdict))
		}
	}
	m.advance(now)
}

// HostLost ends the jobs of an entry host that is not heard from any more: its
// callers will send them through other hosts.
func (m *Machine) HostLost(now time.Time, h ident.Host) {
	for _, j := range sortedJobs(m.jobsByHost[h], func(*job) bool { return true }) {
		m.end(now, j, Interrupted, "the caller's host was silent")
		m.drop(now, j)
	}
	m.advance(now)
}

// Withdraw ends a submission whose caller has left. It returns false if there is no
// such submission.
func (m *Machine) Withdraw(now time.Time, h ident.Host, call uint64, id work.ID) bool {
	j := m.jobs[id]
	known := j != nil && j.host == h && j.call == call
	if known {
		m.withdraw(now, j)
	}
	m.advance(now)
	return known
}

// EndOwnership ends the ownership: all submissions are interrupted, and no more
// orders are given.
func (m *Machine) EndOwnership(now time.Time) {
	for _, j := range sortedJobs(m.jobs, func(*job) bool { return true }) {
		m.end(now, j, Interrupted, "another host owns the workers")
		j.live = false
	}
	m.jobs, m.jobsByHost = map[work.ID]*job{}, map[ident.Host]map[work.ID]*job{}
	m.queue = newQueue()
	m.stopped = true
	m.actions.Starts, m.actions.Stops, m.actions.Polls = nil, nil, nil
}
