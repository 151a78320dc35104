package dispatch

import (
	"math"
	"time"

	"github.com/catkingap/catkingap/room"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

// runState is how far a run is known to be.
type runState int

const (
	// ordered means that the start was sent and is not answered.
	ordered runState = iota
	// atWork means that the worker has accepted the run.
	atWork
	// stopping means that the run is to end.
	stopping
)

// runKey names a run on one worker.
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
	// unanswered is when the start was given up that was left without an answer, or
	// zero.
	unanswered time.Time
	// confirmed is when the worker was known to have the run.
	confirmed time.Time
	// barred is when the worker accepted the stop: from then on the run can not
	// begin.
	barred   time.Time
	nextStop time.Time
	// orphanUntil is when a run of an unknown job is stopped.
	orphanUntil time.Time
	// checkAt is when the worker is asked next how far the run is, because it
	// should have ended.
	checkAt time.Time
	// recorded is the place of the run in the record of its job, from 1, or zero.
	recorded int
}

// node is a worker and what runs there.
type node struct {
	worker.Worker
	listed bool
	// adopted is true once the worker has answered a look of this ownership in
	// its present life.
	adopted bool
	// clock was the worker's clock at clockAt.
	clock   worker.Clock
	clockAt time.Time
	// reported is the worker's clock in its newest report.
	reported worker.Clock
	// lapsed is when all that runs there must have ended if no further order
	// arrives.
	lapsed time.Time
	// seen is the highest end that was handled, noted the highest that the
	// worker was told of.
	seen, noted worker.EndNumber
	// unstored holds the ends that must be stored before the worker may forget
	// them.
	unstored map[worker.EndNumber]struct{}
	// watching is true while a look that waits is open.
	watching bool
	// silent is when the worker began to leave orders without an answer, or
	// zero.
	silent   time.Time
	nextLook time.Time
	pause    time.Duration
	noteAt   time.Time
	// holdUntil is until when no work is started there.
	holdUntil time.Time
	runs      map[runKey]*run
	used      work.Size
	pace      pace
	// touched is true if something has changed in this event, and stale if that is
	// not counted in share, which is what the worker adds to the counts.
	touched, stale bool
	share          share
	// failures counts the failed runs of different jobs in a row.
	failures   int
	lastFailed work.ID
}

// pace is what was learned of how long tasks take on a worker.
type pace struct {
	// log is the mean logarithm of the run time over the estimate.
	log   float64
	known bool
}

const (
	// paceWeight is the weight of a new run time in what is known of a worker:
	// the estimates are off by some 40 %, so about a dozen are needed.
	paceWeight = 0.12
)

func (p *pace) learn(took, estimate time.Duration) {
	if took <= 0 || estimate <= 0 {
		return
	}
	x := min(max(math.Log(float64(took)/float64(estimate)), -room.MaxPace), room.MaxPace)
	if !p.known {
		p.known = true
		// One run time says little: it is drawn towards the estimate.
		x /= 2
		p.log = x
		return
	}
	p.log += paceWeight * (x - p.log)
}

// scale returns the expected run time of a task with an estimate.
func (p pace) scale(estimate time.Duration) time.Duration {
	return scaled(estimate, math.Exp(p.log))
}

// hear takes a sign of life, or its lack. A worker that leaves an order without
// an answer gets no work until it has answered a look.
func (m *Machine) hear(now time.Time, n *node, v worker.Verdict, clock worker.Clock) {
	if v == worker.Unanswered || v == worker.Unsent {
		if !now.Before(m.lossyUntil) {
			// The runs of all workers are asked for sooner from now on.
			for _, x := range m.ordered {
				m.touch(x)
			}
		}
		m.lossyUntil = now.Add(lossyPeriod)
		if n.silent.IsZero() {
			n.silent = now
			m.look(now, n)
		}
		return
	}
	n.silent, n.pause = time.Time{}, 0
	if clock > 0 && v != worker.Replaced {
		if clock+clockGap < n.clock {
			n.forgetEnds()
		}
		n.clock, n.clockAt = clock, now
	}
}

// clockGap is how far the clock of a worker must go back for it to be another
// life's: answers that overtake each other are less than two seconds apart.
const clockGap = worker.Clock(2000)

// forgetEnds drops what is known of a worker's ends, since a new life numbers them
// anew. The next look tells which life it is.
func (n *node) forgetEnds() {
	n.adopted = false
	n.seen, n.noted, n.reported, n.unstored = 0, 0, 0, nil
}

// until returns the worker's clock after d, and notes that its lease may last
// until then.
func (n *node) until(now time.Time, d time.Duration) worker.Clock {
	if n.clock == 0 {
		return 0
	}
	clock := n.clock + worker.Clock((now.Sub(n.clockAt) + d).Milliseconds())
	lapsed := n.clockAt.Add(lapse(time.Duration(clock-n.clock) * time.Millisecond))
	if lapsed.After(n.lapsed) {
		n.lapsed = lapsed
	}
	return clock
}

func (m *Machine) order(n *node) worker.Order {
	return worker.Order{Worker: n.ID, Address: n.Address, Token: m.config.Token}
}

// look asks a worker what it does, beside the look that watches it.
func (m *Machine) look(now time.Time, n *node) {
	m.lookFor(now, n, worker.Look{Extra: true})
}

// lookFor completes and sends a look.
func (m *Machine) lookFor(now time.Time, n *node, l worker.Look) {
	l.Order, l.Seen = m.order(n), n.forgettable()
	if len(n.runs) > 0 && n.silent.IsZero() {
		// A worker whose answers get lost must not keep its runs for ever.
		if lease := m.leash(now, n, nil); lease > 0 {
			l.Until = n.until(now, lease)
		}
	}
	n.noteAt = time.Time{}
	m.touch(n)
	m.actions.Looks = append(m.actions.Looks, l)
}

// Looked tells the answer to a look that was sent at sent. The report is nil
// unless the verdict is Accepted.
func (m *Machine) Looked(now, sent time.Time, l worker.Look, report *worker.Report, v worker.Verdict) {
	n := m.nodes[l.Worker]
	if n == nil || m.stopped {
		return
	}
	m.touch(n)
	if !l.Extra {
		n.watching = false
	}
	if report == nil {
		m.hear(now, n, v, 0)
		if v == worker.Replaced {
			m.replaced(now, n)
		}
		if l.Extra {
			m.pump(now)
			return
		}
		n.pause = min(max(2*n.pause, lookPause), maxLookPause)
		n.nextLook = now.Add(n.pause)
		if len(n.runs) > 0 {
			// The leases of the runs must not lapse for a few lost looks.
			n.nextLook = now.Add(retryPause(v))
		}
		if v == worker.Replaced {
			n.nextLook = now.Add(maxLookPause)
		}
		m.pump(now)
		return
	}
	if report.Life < n.Life {
		m.pump(now)
		return
	}
	if report.Life > n.Life {
		m.reborn(now, n)
		n.Life = report.Life
		m.generation++
	}
	m.hear(now, n, worker.Accepted, report.Clock)
	n.noted = max(n.noted, min(l.Seen, n.seen))
	if !m.takeEnds(now, n, report.Ended) && n.forgettable() < n.seen && !l.Extra {
		// The worker lists ends that are not stored yet again, without a wait for
		// a new one.
		n.nextLook = now.Add(repeatPause)
	}
	if report.Clock >= n.reported {
		// An older report that was overtaken tells of runs that have ended.
		n.reported = report.Clock
		m.takeRunning(now, sent, n, report)
	}
	n.adopted = true
	m.pump(now)
}

// takeEnds takes in the ends that a worker lists. It returns true if any is new.
func (m *Machine) takeEnds(now time.Time, n *node, ends []worker.Ended) bool {
	isNew := false
	for _, e := range ends {
		if e.Number <= n.seen {
			continue
		}
		isNew = true
		m.noteEnd(n, e)
		n.seen = e.Number
		if n.noteAt.IsZero() {
			n.noteAt = now.Add(forgetPause)
		}
		r := n.runs[runKey{task: e.Task, run: e.Run}]
		if e.How == worker.Done && (r == nil || r.task == nil) {
			m.foundDone(now, e.Task)
		}
		if r != nil {
			m.gone(now, n, r, e.How)
		}
		if t := m.find(e.Task); t != nil && t.job.kept {
			m.settleKept(now, t.job)
		}
	}
	return isNew
}

// listedEnds is the most ends that a worker lists at a time: there may be more.
const listedEnds = 500

func (m *Machine) takeRunning(now, sent time.Time, n *node, report *worker.Report) {
	there := make(map[runKey]bool, len(report.Running))
	for _, x := range report.Running {
		k := runKey{task: x.Task, run: x.Run}
		there[k] = true
		r := n.runs[k]
		if r == nil {
			m.adopt(now, n, k)
			continue
		}
		if r.state == ordered {
			r.state, r.confirmed = atWork, now
		}
		if r.state == atWork && r.task != nil {
			m.judgeProgress(now, n, r, x.Percent)
		}
	}
	for _, r := range n.sortedRuns() {
		if there[r.key] {
			continue
		}
		if len(report.Ended) >= listedEnds && r.task != nil && r.task.job.kept && r.task.job.live {
			// It may have been done, and its end not be listed yet.
			continue
		}
		if r.state == ordered && !r.unanswered.IsZero() && !r.unanswered.After(sent) {
			// The start may be carried out yet.
			m.judge.Withdrawn(n.ID)
			m.stop(now, r, "no answer to the start")
			continue
		}
		known := r.state == atWork && r.confirmed.Before(sent)
		barred := r.state == stopping && !r.barred.IsZero() && r.barred.Before(sent)
		if known || barred {
			m.gone(now, n, r, worker.Lost)
		}
	}
}

// stop ends a run. Its task may start elsewhere once the run is known to have
// ended.
func (m *Machine) stop(now time.Time, r *run, reason string) {
	r.noteEnd(now, reason)
	r.state, r.barred = stopping, time.Time{}
	if m.orphans[r.key.task] == r {
		delete(m.orphans, r.key.task)
	}
	r.nextStop = now.Add(stopTimeout)
	m.touch(r.node)
	m.linger(r)
	m.actions.Stops = append(m.actions.Stops, worker.Stop{Order: m.order(r.node), Task: r.key.task, Run: r.key.run})
}

// stopTimeout is when a stop is sent again if nothing was heard of it. The
// sender gives up earlier.
const stopTimeout = time.Second

// gone removes a run that has ended on its worker.
func (m *Machine) gone(now time.Time, n *node, r *run, how worker.How) {
	delete(n.runs, r.key)
	if m.orphans[r.key.task] == r {
		delete(m.orphans, r.key.task)
	}
	n.used = n.used.Minus(r.size)
	m.touch(n)
	m.settle(now, r)
	t := r.task
	if t == nil {
		return
	}
	r.noteEnd(now, string(how))
	if how == worker.Done {
		if expected := m.expected(n, t); expected > 0 {
			t.job.ends++
			t.job.ratios += float64(now.Sub(r.sent)) / float64(expected)
		}
		n.pace.learn(now.Sub(r.sent), t.estimate())
		m.learnRun(now.Sub(r.sent), r.size.Cores)
	}
	m.judgeEnd(now, n, t, how)
	if t.run == r {
		t.run = nil
		m.taskEnded(now, t, n, how)
	}
}

// runWeight is the weight of a task of mean size in the mean run time.
const runWeight = 0.02

// learnRun takes a run time into the mean.
func (m *Machine) learnRun(took time.Duration, cores int) {
	if m.meanRun == 0 || m.cores == 0 {
		m.meanRun = took
		return
	}
	m.meanRun += time.Duration(min(1, runWeight*float64(cores)/m.cores) * float64(took-m.meanRun))
}

// suspect returns true if the last two runs of different jobs on a worker have
// failed: the fault is then the worker's.
func (n *node) suspect() bool { return n.failures > 1 }

// judgeEnd records what an end says about the worker.
func (m *Machine) judgeEnd(now time.Time, n *node, t *task, how worker.How) {
	switch {
	case how == worker.Done:
		n.failures, n.lastFailed = 0, ""
	case how == worker.Failed && n.lastFailed != t.job.spec.ID:
		n.failures++
		n.lastFailed = t.job.spec.ID
	}
	switch {
	case how == worker.Done:
		m.judge.Answered(n.ID)
	case how == worker.Failed && t.failures == 0:
		m.judge.Failed(now, n.ID)
	default:
		// A task that has failed elsewhere too says nothing about the worker.
		m.judge.Withdrawn(n.ID)
	}
}

// retryPause returns how long to wait before an order is sent again: one that
// got no answer has waited already.
func retryPause(v worker.Verdict) time.Duration {
	if v == worker.Unanswered {
		return 0
	}
	return lookPause
}

// replaced ends all that ran on a worker at whose address another one lives.
func (m *Machine) replaced(now time.Time, n *node) {
	m.lose(now, n)
	n.adopted = false
	n.nextLook = now.Add(maxLookPause)
}

// reborn ends all that ran in an earlier life of a worker.
func (m *Machine) reborn(now time.Time, n *node) {
	m.lose(now, n)
	n.forgetEnds()
	n.watching, n.clock = false, 0
	n.lapsed, n.noteAt = time.Time{}, time.Time{}
	n.pace = pace{}
	m.touch(n)
}

// lose ends all runs of a worker.
func (m *Machine) lose(now time.Time, n *node) {
	for _, r := range n.sortedRuns() {
		m.gone(now, n, r, worker.Lost)
	}
}

// loseLapsed ends the runs of a silent worker whose lease must have lapsed. Those
// of kept jobs may have been done before: as long as the worker is listed, its
// word is waited for.
func (m *Machine) loseLapsed(now time.Time, n *node) {
	for _, r := range n.sortedRuns() {
		if r.task == nil || !r.task.job.kept || !r.task.job.live || !n.listed {
			m.gone(now, n, r, worker.Lost)
		} else if r.state == ordered {
			r.state, r.confirmed = atWork, r.sent
		}
	}
}

// sortedRuns returns the runs in a fixed order.
func (n *node) sortedRuns() []*run {
	runs := make([]*run, 0, len(n.runs))
	for _, r := range n.runs {
		runs = append(runs, r)
	}
	sortRuns(runs)
	return runs
}

func (m *Machine) tickNode(now time.Time, n *node) {
	if !n.silent.IsZero() && len(n.runs) > 0 && now.After(n.lapsed) {
		m.loseLapsed(now, n)
		n.adopted = false
	}
	check := false
	for _, r := range n.sortedRuns() {
		switch {
		case r.state == stopping && r.barred.IsZero() && !now.Before(r.nextStop):
			m.stop(now, r, "")
		case r.task == nil && r.state != stopping && now.After(r.orphanUntil):
			m.stop(now, r, "")
		case r.state == atWork && r.task != nil && m.overdue(now, n, r):
			r.checkAt = now.Add(checkPause)
			check = true
		}
	}
	if check {
		m.look(now, n)
	}
}
