package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/cold"
	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/estimate"
	"github.com/catkingap/catkingap/incarnation"
	"github.com/catkingap/catkingap/polling"
	"github.com/catkingap/catkingap/room"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// runState is the known state of a run.
type runState int

const (
	// startSent means that the start was sent and is not answered.
	startSent runState = iota
	// running means that the worker has accepted the run.
	running
	// stopping means that the run is to be stopped.
	stopping
)

// runKey identifies a run on one worker.
type runKey struct {
	task string
	run  work.Run
}

// run is one run of a task on a worker.
type run struct {
	key  runKey
	node *node
	// task is nil for a run of a job that is not known here.
	task  *task
	size  work.Size
	state runState
	sent  time.Time
	// incarnation is that of the worker when the start was sent, or when it last listed the
	// run. If the worker has a later one, it is not known which of them got the start.
	incarnation worker.Incarnation
	// earlierLoss is the loss that is recorded if an earlier incarnation got the start.
	earlierLoss *crash.Loss
	// startGivenUp is when the owner stopped waiting for the answer to the start,
	// or zero.
	startGivenUp time.Time
	// confirmedAt is when the worker was known to have the run. It is only presumed to have it
	// if presumed is true: its lease has lapsed without an answer to the start.
	confirmedAt time.Time
	presumed    bool
	// stopAccepted is when the worker accepted the stop. From then on the run
	// cannot begin.
	stopAccepted time.Time
	nextStop     time.Time
	// orphanUntil is when a run of an unknown job is stopped.
	orphanUntil time.Time
	// nextCheck is when the worker is next asked for the progress of the run,
	// because it should have ended.
	nextCheck time.Time
	// expected is the run time that was expected at the start, or zero.
	expected time.Duration
	// suspect is true for the run of a suspect, beside which no other suspect is started,
	// and exclusive for one beside which nothing is.
	suspect, exclusive bool
	// recordIndex is the position of the run in the record of its job, counted from
	// 1, or zero.
	recordIndex int
	// percent is the progress that the worker reported last, at percentAt.
	percent   int
	percentAt time.Time
}

// node is a worker and its runs.
type node struct {
	worker.Worker
	listed bool
	// largest is the largest capacity that the worker has had.
	largest work.Size
	// answered is true once the worker has answered a poll of this owner in its
	// present incarnation.
	answered bool
	// rowLife and rowAddress are the incarnation and the address in the worker's row. Other
	// writers may have written it.
	rowLife    worker.Incarnation
	rowAddress string
	// askedAt is when a row named a later incarnation than the worker: answers to polls that
	// were sent before do not count.
	askedAt time.Time
	// known is true once a report has told the incarnation.
	known bool
	// refusing is true if the address has refused a connection within refusalTime of
	// silentSince.
	refusing bool
	// replaced is true while another worker uses the address.
	replaced bool
	// token is the fencing token of the orders to the worker.
	token incarnation.Token
	clock incarnation.Clock
	// reportClock is the worker's clock in its newest report.
	reportClock worker.Clock
	// leaseEnd is when all runs of the worker must have ended if no further order
	// arrives.
	leaseEnd time.Time
	// seen is the highest end that was handled, and acknowledged is the highest
	// that the worker was told it may forget.
	// The worker has forgotten all ends up to forgotten.
	seen, acknowledged, forgotten worker.EndNumber
	// unstored holds the ends that must be stored before the worker may forget
	// them.
	unstored map[worker.EndNumber]struct{}
	// lapsingEnds holds the ends that the worker may forget once its lease has lapsed. Until
	// then its lease is not extended.
	lapsingEnds []worker.EndNumber
	// lapseChecked is when the runs of the silent worker were last checked for lapsed leases.
	lapseChecked time.Time
	// pollOpen is true while a waiting poll is open, and pace spaces all polls.
	pollOpen bool
	pace     polling.Pace
	// silentSince is when the worker began to leave orders unanswered, or zero.
	silentSince   time.Time
	nextPoll      time.Time
	pollDelay     time.Duration
	acknowledgeAt time.Time
	// holdUntil is the time until which no work is started on the worker.
	holdUntil time.Time
	runs      map[runKey]*run
	// lateStarts holds the starts that got no answer.
	lateStarts incarnation.Late[runKey]
	used       work.Size
	slowdown   estimate.Worker
	cold       cold.Worker
	// changed is true if the worker has changed during this event. stale is true if
	// that is not yet reflected in contribution, which is what the worker adds to
	// the counts.
	changed, stale bool
	// crowded is true while the worker gets no run because it has too many of them.
	crowded      bool
	contribution room.Contribution[*node]
	// failures counts the consecutive failed runs of different jobs.
	failures      int
	lastFailedJob work.ID
}

// free returns the capacity that no run uses.
func (n *node) free() work.Size { return n.Capacity.Minus(n.used) }

func (m *Machine) order(n *node) worker.Order {
	return worker.Order{Worker: n.ID, Address: n.Address, Token: n.token.Next(m.token)}
}

// pollAtOnce polls a worker in addition to the regular poll. If too many such polls are open, or
// the worker has listed much in its last answer, the poll is sent later.
func (m *Machine) pollAtOnce(now time.Time, n *node) {
	n.pace.WantExtra()
	if !m.sendExtraPoll(now, n) {
		m.actions.DeferredPolls++
		m.markChanged(n)
	}
}

// sendExtraPoll sends the extra poll that is wanted, if any. It returns false if there is none or
// it has to wait.
func (m *Machine) sendExtraPoll(now time.Time, n *node) bool {
	if !n.pace.TakeExtra(now) {
		return false
	}
	m.sendPoll(now, n, worker.Poll{Extra: true})
	return true
}

// sendPoll completes and sends a poll.
func (m *Machine) sendPoll(now time.Time, n *node, l worker.Poll) {
	l.Order = m.order(n)
	if highest := n.highestForgettable(); highest > n.acknowledged && n.answered && n.silentSince.IsZero() {
		// Each end is acknowledged once, and to a worker that answers: an incarnation that the
		// owner does not know would forget its own ends.
		l.AcknowledgedEnds = highest
	}
	if len(n.runs) > 0 && n.silentSince.IsZero() && len(n.lapsingEnds) == 0 {
		// The lease is not extended for a worker whose answers get lost, or its
		// runs would never end.
		if lease := m.maxLease(now, n, nil); lease > 0 {
			l.Until = n.extendLease(now, lease)
		}
	}
	n.acknowledgeAt = time.Time{}
	n.pace.Sent(now)
	m.markChanged(n)
	m.actions.Polls = append(m.actions.Polls, l)
}

// PollAnswered handles the answer to a poll that was sent at the time sent. The
// report is nil unless the verdict is Accepted.
func (m *Machine) PollAnswered(now, sent time.Time, l worker.Poll, report *worker.Report, v worker.Verdict) {
	n := m.answeringNode(l.Order, v)
	if n == nil {
		return
	}
	if l.Extra {
		n.pace.ExtraEnded()
	} else {
		n.pollOpen = false
	}
	if report == nil {
		m.handleAnswer(now, time.Time{}, n, v, 0)
		if v == worker.Replaced {
			m.handleReplaced(now, n)
		}
		if v == worker.Fenced {
			// An order with a higher token has overtaken it.
			m.pollAtOnce(now, n)
		}
		if l.Extra {
			m.advance(now)
			return
		}
		n.pollDelay = min(max(2*n.pollDelay, pollRetryDelay), maxPollRetryDelay)
		if !n.lateStarts.IsEmpty(now) {
			// The next incarnation must see a poll before a start that is meant for this one.
			n.pollDelay = pollRetryDelay
		}
		n.nextPoll = now.Add(n.pollDelay)
		if len(n.runs) > 0 {
			// A few lost polls must not let the leases of the runs lapse.
			n.nextPoll = now.Add(retryDelay(v))
		}
		if v == worker.Replaced {
			n.nextPoll = now.Add(maxPollRetryDelay)
		}
		m.advance(now)
		return
	}
	if n.known && (report.Incarnation < n.Life || (report.Incarnation < n.rowLife && sent.Before(n.askedAt))) {
		m.advance(now)
		return
	}
	if report.Incarnation != n.Life {
		m.handleNewIncarnation(now, sent, n, report)
	}
	n.known = true
	n.pace.Listed(len(report.Running) + len(report.Ended))
	m.refuteLosses(now, n, report)
	m.handleAnswer(now, time.Time{}, n, worker.Accepted, report.Clock)
	n.acknowledged = max(n.acknowledged, min(l.AcknowledgedEnds, n.seen))
	n.noteForgotten(report.Ended)
	if !m.handleEnds(now, n, report.Ended) && n.highestForgettable() < n.seen && !l.Extra {
		// The worker repeats ends that are not stored yet, without waiting for a
		// new one.
		n.nextPoll = now.Add(repeatedPollDelay)
	}
	if report.Clock >= n.reportClock {
		// An older report that was overtaken may list runs that have ended since.
		n.reportClock = report.Clock
		m.handleRunning(now, sent, n, report)
	}
	n.answered, n.replaced = true, false
	m.advance(now)
}

// handleEnds handles the ends that a worker lists. It returns true if any is new.
func (m *Machine) handleEnds(now time.Time, n *node, ends []worker.Ended) bool {
	isNew := false
	for _, e := range ends {
		if e.Number <= n.seen {
			continue
		}
		isNew = true
		m.noteEnd(n, e)
		n.seen = e.Number
		if n.acknowledgeAt.IsZero() {
			n.acknowledgeAt = now.Add(n.acknowledgeDelay())
		}
		r := n.runs[runKey{task: e.Task, run: e.Run}]
		if e.Result == worker.Done && (r == nil || r.task == nil) {
			m.handleFoundDone(now, e.Task)
		}
		if r != nil {
			if e.Result == worker.Lost {
				m.countLost(e.Reason)
				r.recordEnd(now, e.Reason)
			}
			m.removeRun(now, n, r, e.Result)
		}
		if t := m.findTask(e.Task); t != nil && t.job.stored {
			m.finishStored(now, t.job)
		}
	}
	return isNew
}

// maxListedEnds is the number of ends that a worker lists at most in one report. If
// a report has that many, there may be more.
const maxListedEnds = 500

func (m *Machine) handleRunning(now, sent time.Time, n *node, report *worker.Report) {
	listed := make(map[runKey]bool, len(report.Running))
	for _, x := range report.Running {
		k := runKey{task: x.Task, run: x.Run}
		listed[k] = true
		r := n.runs[k]
		if r == nil {
			m.adopt(now, n, k)
			continue
		}
		r.presumed, r.incarnation, r.earlierLoss = false, n.Life, nil
		m.confirm(now, r)
		r.percent, r.percentAt = x.Percent, now
		if r.state == running && r.task != nil {
			m.checkProgress(now, n, r, x.Percent)
		}
	}
	for _, r := range n.sortedRuns() {
		if listed[r.key] {
			continue
		}
		if len(report.Ended) >= maxListedEnds && r.task != nil && r.task.job.stored && r.task.job.live {
			// The run may be done, with its end not listed yet.
			continue
		}
		if r.state == startSent && !r.startGivenUp.IsZero() && !r.startGivenUp.After(sent) {
			// The start may still be carried out.
			m.detector.Withdrawn(n.ID)
			m.stop(now, r, "no answer to the start")
			continue
		}
		known := r.state == running && r.confirmedAt.Before(sent)
		stopped := r.state == stopping && !r.stopAccepted.IsZero() && r.stopAccepted.Before(sent)
		if known || stopped {
			m.loseUnlistedRun(now, r)
		}
	}
}

// stop stops a run. Its task may start elsewhere once the run is known to have
// ended.
func (m *Machine) stop(now time.Time, r *run, reason string) {
	r.recordEnd(now, reason)
	r.state, r.stopAccepted = stopping, time.Time{}
	if m.orphans[r.key.task] == r {
		delete(m.orphans, r.key.task)
	}
	r.nextStop = now.Add(stopTimeout)
	m.markChanged(r.node)
	m.trackPreviousRun(r)
	m.actions.Stops = append(m.actions.Stops, worker.Stop{Order: m.order(r.node), Task: r.key.task, Run: r.key.run})
}

// stopTimeout is the time after which a stop is sent again if it was not answered.
// The sender gives up earlier.
const stopTimeout = time.Second

// removeRun removes a run that has ended on its worker.
func (m *Machine) removeRun(now time.Time, n *node, r *run, result worker.Result) {
	delete(n.runs, r.key)
	if m.orphans[r.key.task] == r {
		delete(m.orphans, r.key.task)
	}
	n.used = n.used.Minus(r.size)
	m.markChanged(n)
	m.removePreviousRun(now, r)
	t := r.task
	if t == nil {
		return
	}
	m.queue.countUsed(t.job, -r.size.Cores)
	r.recordEnd(now, string(result))
	if result != worker.Lost {
		m.markRan(t.job)
	}
	if result == worker.Done {
		m.queue.poolShares(t.job.spec.Pool).Ran(t.job.spec.Queue, now.Sub(r.sent))
		m.learnEnd(now, r)
	}
	m.recordHealth(now, n, t, result)
	if t.run == r {
		t.run = nil
		m.handleTaskEnd(now, t, n, result)
	}
}

// isSuspect returns true if the last two runs of different jobs on a worker have
// failed. The worker is then taken to be at fault.
func (n *node) isSuspect() bool { return n.failures > 1 }

// recordHealth records what the end of a run says about the health of its worker.
func (m *Machine) recordHealth(now time.Time, n *node, t *task, result worker.Result) {
	switch {
	case result == worker.Done:
		n.failures, n.lastFailedJob = 0, ""
	case result == worker.Failed && n.lastFailedJob != t.job.spec.ID:
		n.failures++
		n.lastFailedJob = t.job.spec.ID
	}
	switch {
	case result == worker.Done:
		m.detector.Answered(n.ID)
	case result == worker.Failed && t.failures == 0:
		m.detector.Failed(now, n.ID)
	default:
		// A task that has failed elsewhere too says nothing about this worker.
		m.detector.Withdrawn(n.ID)
	}
}

// retryDelay returns how long to wait before an order is sent again. An order that
// got no answer has waited already.
func retryDelay(v worker.Verdict) time.Duration {
	if v == worker.Unanswered {
		return 0
	}
	return pollRetryDelay
}

// handleReplaced ends all runs of a worker at whose address another one answers.
func (m *Machine) handleReplaced(now time.Time, n *node) {
	m.loseWorker(now, n, n.sortedRuns(), nil, LossCrashed)
	n.answered, n.replaced, n.Address = false, true, n.rowAddress
	n.nextPoll = now.Add(maxPollRetryDelay)
}

// loseLapsedRuns ends the runs of a silent worker whose lease must have lapsed.
// Runs of stored jobs may have been done before that: as long as the worker is
// listed, they wait for its report. So do starts that a later incarnation may have got: on its
// clock they are not too late yet.
func (m *Machine) loseLapsedRuns(now time.Time, n *node) {
	var lost []*run
	for _, r := range n.sortedRuns() {
		switch {
		case r.state == startSent && n.listed && r.incarnation < max(n.Life, n.rowLife):
		case r.task == nil || !r.task.job.stored || !r.task.job.live || !n.listed:
			lost = append(lost, r)
		case r.state == startSent:
			r.state, r.confirmedAt, r.presumed = running, r.sent, true
		}
	}
	m.loseWorker(now, n, lost, nil, LossSilent)
}

// sortedRuns returns the runs in a fixed order.
func (n *node) sortedRuns() []*run {
	runs := make([]*run, 0, len(n.runs))
	for _, r := range n.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareRunKeys(a.key, b.key) })
	return runs
}

func (m *Machine) tickNode(now time.Time, n *node) {
	m.forgetLapsedEnds(now, n)
	m.noteSpeed(now, n, n.slowdown.Advance(now))
	if !n.silentSince.IsZero() && len(n.runs) > 0 && now.After(n.leaseEnd) {
		n.lapseChecked = now
		m.loseLapsedRuns(now, n)
		n.answered = false
	}
	check := false
	for _, r := range n.sortedRuns() {
		switch {
		case r.state == stopping && r.stopAccepted.IsZero() && !now.Before(r.nextStop):
			m.stop(now, r, "")
		case r.task == nil && r.state != stopping && now.After(r.orphanUntil):
			m.stop(now, r, "")
		case r.state == running && r.task != nil && m.isOverdue(now, n, r):
			r.nextCheck = now.Add(checkInterval)
			m.learnOverdue(now, r.task.job)
			check = true
		}
	}
	if check {
		m.pollAtOnce(now, n)
	}
}
