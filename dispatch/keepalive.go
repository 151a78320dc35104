package dispatch

import (
	"time"

	"github.com/catkingap/catkingap/incarnation"
)

const (
	// resendMargin is the time between the end of all runs of a job and the moment
	// at which its caller sends the job again. It covers the time for the host to
	// notice that the caller has left, and for the worker to end the runs, which
	// takes up to 50 ms.
	resendMargin = 100 * time.Millisecond
	// callerTimeout is the time since the last confirmation that a caller waits
	// after which its job is stopped. It ends before the caller sends the job again.
	// A silent link is replaced within 0.85 s of the last keepalive.
	callerTimeout = 900 * time.Millisecond
	// minLease is the shortest lease for a start: a poll and its repetition fit
	// into it.
	minLease = 300 * time.Millisecond
	// maxClockAge is how old the reading of a worker's clock may get. A clock that
	// is 2 % slow then shortens a lease by 0.2 s.
	maxClockAge = 10 * time.Second
)

// KeepaliveReceived handles a keepalive of a host. Jobs that the host submitted
// earlier for calls not listed in it are withdrawn. Keepalives may overtake each
// other.
func (m *Machine) KeepaliveReceived(now time.Time, s Keepalive) {
	if m.stopped || !m.keepalives.Put(s) {
		return
	}
	at := s.At
	if at.After(now) {
		at = now
	}
	var withdrawn []*job
	for _, j := range m.jobsByHost[s.Host] {
		switch {
		case j.boot != s.Boot || j.sequence > s.Sequence:
		case !s.Includes(j.call):
			withdrawn = append(withdrawn, j)
		default:
			j.callerSeen = latest(j.callerSeen, at)
			m.markUntried(j)
		}
	}
	sortJobs(withdrawn)
	for _, j := range withdrawn {
		m.withdraw(now, j)
	}
	m.advance(now)
}

// withdraw ends a job whose caller has left.
func (m *Machine) withdraw(now time.Time, j *job) {
	m.end(now, j, Expired, "the caller has left")
	m.drop(now, j)
}

// isOvertaken returns true if a later keepalive of the host does not list the
// submission's call.
func (m *Machine) isOvertaken(s Submission) bool {
	return m.keepalives.HasOvertaken(s.Host, s.Boot, s.Sequence, s.Call)
}

// isCallerSilent returns true if the last confirmation that the caller of a job
// waits is too old.
func (m *Machine) isCallerSilent(now time.Time, j *job) bool {
	return m.config.ResendDelay > 0 && now.Sub(j.callerSeen) > min(callerTimeout, m.callerLease()*3/4)
}

// callerLease returns for how long the tasks of a caller may run after the last
// confirmation that it waits, in whatever order messages arrive.
func (m *Machine) callerLease() time.Duration { return max(0, m.config.ResendDelay-resendMargin) }

// maxLease returns how far the lease of a worker may be extended for its runs and
// for the job start, which may be nil. The lease never outlives the time at which
// one of the callers sends its job again. A run of an unknown job allows no
// extension.
func (m *Machine) maxLease(now time.Time, n *node, start *job) time.Duration {
	lease := m.config.MaxLease
	if m.config.ResendDelay == 0 {
		return lease
	}
	bound := func(j *job) {
		if j != nil && !j.stored {
			// The worker's clock may have run slow since it was read.
			remaining := j.callerSeen.Add(m.callerLease() - incarnation.LapseMargin).Sub(n.clock.At)
			lease = min(lease, scaled(remaining, 1-incarnation.Drift)-now.Sub(n.clock.At))
		}
	}
	bound(start)
	for _, r := range n.runs {
		switch {
		case r.state == stopping && !r.stopAccepted.IsZero():
			// The worker has accepted the stop.
		case r.task == nil:
			return 0
		default:
			bound(r.task.job)
		}
	}
	return max(0, lease)
}

// leaseOutlives returns true if the present lease of a worker may outlive the time
// at which the caller of a job sends it again.
func (m *Machine) leaseOutlives(n *node, j *job) bool {
	return m.config.ResendDelay > 0 && !j.stored && n.leaseEnd.After(j.callerSeen.Add(m.callerLease()))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
