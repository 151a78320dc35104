package ownership

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/worker"
)

const (
	// QuietTime is how long an owner must be silent for its heartbeats to be read.
	QuietTime = time.Second
	// abandonTime is how long an owner must neither write a heartbeat nor give another sign
	// for its data centre to be abandoned. By then it is in doubt, even if another owner that
	// is in doubt itself has confirmed it until DoubtTime, or if it was suspended for 2 s
	// without noticing, and the leases of its workers have lapsed.
	abandonTime = 7 * time.Second
	// abandonRankDelay is how much later each further owner acts.
	abandonRankDelay = 2 * time.Second
	// abandonInterval is the time between two acts for an abandoned data centre: an earlier
	// write of its owner may be carried out late, or workers may return.
	abandonInterval = 10 * time.Second
)

// Watch decides which data centres have lost their owner with all who could replace it.
type Watch struct {
	quiet map[ident.DataCentre]quietOwner
}

// quietOwner is an owner that is silent.
type quietOwner struct {
	token    worker.Token
	revision ident.Revision
	// since is when the heartbeat was first read at this revision, and next when its jobs
	// are next moved.
	since, next time.Time
}

// NewWatch returns a Watch that knows no silent owner.
func NewWatch() *Watch { return &Watch{quiet: map[ident.DataCentre]quietOwner{}} }

// IsQuiet returns true if the heartbeats of an owner have to be read, given its last sign.
func (w *Watch) IsQuiet(now, last time.Time, o Owner) bool {
	if now.Sub(last) < QuietTime {
		delete(w.quiet, o.DataCentre)
		return false
	}
	return true
}

// IsAbandoned returns true if the jobs of a silent owner are to be moved now. Its heartbeat was
// read at a revision between the times sent and now. Parameter rank is the number of owners that
// act before this one.
func (w *Watch) IsAbandoned(sent, now, last time.Time, o Owner, revision ident.Revision, rank int) bool {
	x, known := w.quiet[o.DataCentre]
	if !known || x.revision != revision || x.token != o.Token {
		w.quiet[o.DataCentre] = quietOwner{token: o.Token, revision: revision, since: now}
		return false
	}
	silence := min(sent.Sub(x.since), sent.Sub(last))
	return silence >= abandonTime+time.Duration(rank)*abandonRankDelay && !sent.Before(x.next)
}

// NoteMoved records that the jobs of an abandoned data centre were moved.
func (w *Watch) NoteMoved(now time.Time, c ident.DataCentre) {
	x := w.quiet[c]
	x.next = now.Add(abandonInterval)
	w.quiet[c] = x
}
