package dispatch

import (
	"slices"
	"time"

	"github.com/catkingap/catkingap/ident"
)

// Try orders what a host sends: each submission and each sign has a higher one
// than all before.
type Try uint64

// Sign tells which of its calls a host still waits for at one owner.
type Sign struct {
	Host ident.Host
	// Boot is the process of the host.
	Boot string
	// At is when it was so, as the Machine counts the time.
	At  time.Time
	Try Try
	// Calls is in ascending order.
	Calls []uint64
}

// wants returns true if the sign names a call.
func (s Sign) wants(call uint64) bool {
	_, found := slices.BinarySearch(s.Calls, call)
	return found
}

const (
	// resendMargin is how long before its caller sends a job again all of it has
	// ended: for the host to notice that the caller has left, and for the worker
	// to end the runs, which takes up to 50 ms.
	resendMargin = 100 * time.Millisecond
	// silentTime is the age of the last word that a caller waits at which its job is
	// stopped, before the caller sends it again: a link that goes silent is replaced
	// within 0.85 s of the last sign.
	silentTime = 900 * time.Millisecond
	// minLease is the shortest lease for a start: a look and its repetition fit
	// into it.
	minLease = 300 * time.Millisecond
	// clockTime is how old the reading of a worker's clock may be: a clock that is
	// 2 % slow then shortens a lease by 0.2 s.
	clockTime = 10 * time.Second
	// signTime is how long a sign is kept for submissions that it has overtaken,
	// which links that went silent may deliver some seconds later.
	signTime = 30 * time.Second
)

// sent returns when a submission was sent, which is never after now.
func (s Submission) sent(now time.Time) time.Time {
	if s.Wanted.IsZero() || s.Wanted.After(now) {
		return now
	}
	return s.Wanted
}

// Signed takes in which calls a host still waits for. Jobs of the others that it
// had submitted before are withdrawn. Signs may overtake each other.
func (m *Machine) Signed(now time.Time, s Sign) {
	if m.stopped {
		return
	}
	if old, ok := m.signs[s.Host]; ok && old.Boot == s.Boot && old.Try >= s.Try {
		return
	}
	m.signs[s.Host] = s
	at := s.At
	if at.After(now) {
		at = now
	}
	var left []*job
	for _, j := range m.callers[s.Host] {
		switch {
		case j.boot != s.Boot || j.try > s.Try:
		case !s.wants(j.call):
			left = append(left, j)
		default:
			j.wanted = latest(j.wanted, at)
			m.retry(j)
		}
	}
	sortJobs(left)
	for _, j := range left {
		m.withdraw(now, j)
	}
	m.pump(now)
}

// withdraw ends a job whose caller has left.
func (m *Machine) withdraw(now time.Time, j *job) {
	m.end(now, j, Expired, "the caller has left")
	m.drop(now, j)
}

// overtaken returns true if a later sign of the host does not name the
// submission's call.
func (m *Machine) overtaken(s Submission) bool {
	g, ok := m.signs[s.Host]
	return ok && g.Boot == s.Boot && g.Try > s.Try && !g.wants(s.Call)
}

// silent returns true if nothing was heard of the caller of a job for too long.
func (m *Machine) silent(now time.Time, j *job) bool {
	return m.config.Resend > 0 && now.Sub(j.wanted) > min(silentTime, m.wantedLease()*3/4)
}

// wantedLease is how long after the last word that a caller waits its tasks may
// run, however far what happens on the way is out of order.
func (m *Machine) wantedLease() time.Duration { return max(0, m.config.Resend-resendMargin) }

// leash returns how far the lease of a worker may be extended for what runs there
// and for a job that is to start, or nil. It never outlives the time at which one
// of the callers sends its job again. A run of an unknown job allows nothing.
func (m *Machine) leash(now time.Time, n *node, start *job) time.Duration {
	lease := m.config.MaxLease
	if m.config.Resend == 0 {
		return lease
	}
	bound := func(j *job) {
		if j != nil && !j.kept {
			// The worker's clock may have run slow since it was read.
			left := j.wanted.Add(m.wantedLease() - lapseMargin).Sub(n.clockAt)
			lease = min(lease, scaled(left, 1-clockDrift)-now.Sub(n.clockAt))
		}
	}
	bound(start)
	for _, r := range n.runs {
		switch {
		case r.state == stopping && !r.barred.IsZero():
			// The worker has accepted the stop.
		case r.task == nil:
			return 0
		default:
			bound(r.task.job)
		}
	}
	return max(0, lease)
}

// outlived returns true if the lease that a worker has already may outlive the time
// at which the caller of a job sends it again.
func (m *Machine) outlived(n *node, j *job) bool {
	return m.config.Resend > 0 && !j.kept && n.lapsed.After(j.wanted.Add(m.wantedLease()))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
