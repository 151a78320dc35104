package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
)

const (
	// lostFrom and lostTo are the seconds between which all hosts are without power.
	lostFrom, lostTo = 5, 6.5
	// resendDelay is how long after a failed try a caller sends its job again.
	resendDelay = 1300 * time.Millisecond
	// keepaliveInterval is the time between two keepalives of a host.
	keepaliveInterval = 150 * time.Millisecond
)

// loseAllHosts has all hosts lose power for a while. Callers that were not answered come
// again, with what is left of their patience.
func (l *loadSim) loseAllHosts() {
	l.config.ResendDelay = resendDelay
	l.m = New(l.now, l.config)
	l.m.StoredJobsLoaded(l.now)
	l.deliver(func() { l.m.SetWorkers(l.now, l.list) })
	l.retry = func(s Submission) (Submission, time.Duration, bool) {
		second := l.now.Sub(origin).Seconds()
		if second < lostFrom || second >= lostTo {
			return s, 0, false
		}
		s.Remaining -= resendDelay
		return s, resendDelay, s.Remaining > 0
	}
	l.after(lostFrom*time.Second, func() {
		for _, id := range slices.Sorted(maps.Keys(l.open)) {
			s := l.open[id]
			s.Remaining -= resendDelay + l.now.Sub(l.jobs[id].submitted)
			if s.Remaining > 0 {
				l.after(resendDelay, func() { l.offer(s) })
			}
		}
		clear(l.open)
		for _, w := range l.workers {
			clear(w.runs)
			w.ended, w.poll = nil, nil
		}
	})
	l.after(time.Duration(lostTo*float64(time.Second)), func() {
		l.m = New(l.now, l.config)
		l.m.StoredJobsLoaded(l.now)
		l.deliver(func() { l.m.SetWorkers(l.now, l.list) })
	})
	l.sendKeepalives()
}

// sendKeepalives has all hosts tell the owner regularly which calls still wait.
func (l *loadSim) sendKeepalives() {
	calls := map[ident.Host][]uint64{}
	for _, s := range l.open {
		calls[s.Host] = append(calls[s.Host], s.Call)
	}
	for _, h := range l.hosts() {
		slices.Sort(calls[h])
		k := Keepalive{Host: h, Boot: "b", At: l.now, Sequence: l.sequence, Calls: calls[h]}
		l.deliver(func() { l.m.KeepaliveReceived(l.now, k) })
	}
	l.after(keepaliveInterval, l.sendKeepalives)
}

// TestCallersThatComeAgain has all hosts lose power. In the two seconds after their return
// most of the new callers must be answered in time, although as many others come again.
func TestCallersThatComeAgain(t *testing.T) {
	const inTimeShare = 0.75
	is := is.New(t)
	p := simulateBurstWith(1, (*loadSim).loseAllHosts)
	f := p.outcomes("", lostTo, lostTo+2)
	before, after := p.outcomes("", lostFrom-3, lostFrom-1), p.outcomes("", lostTo+3, loadSeconds-2)
	t.Logf("after the return %+v, before %+v, later %+v", f, before, after)
	is.True(before.inTime > before.jobs*95/100)
	is.True(float64(f.inTime) >= inTimeShare*float64(f.jobs))
	is.True(after.inTime > after.jobs*95/100)
}
