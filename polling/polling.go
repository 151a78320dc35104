// Package polling decides when a worker may be polled and how many runs it may have, by how
// much it lists in its answers. The decisions depend only on their arguments and on the state
// of this package.
package polling

import "time"

const (
	// MaxRows is the number of runs and of ends that are not acknowledged from which no
	// further run is started on a worker. Workers list 500 ends at a time: the end of a run
	// beyond them would not be seen.
	MaxRows = 500
	// CrowdedRows is the number of rows from which ends are acknowledged without delay.
	CrowdedRows = MaxRows / 2
	// maxExtra is the number of extra polls of one worker that may be open. Some of them may
	// get no answer.
	maxExtra = 4
	// freeRows is the number of rows in an answer up to which polls are not spaced. A worker
	// of 64 cores with a task on each lists as many.
	freeRows = 64
	// rowTime is the time between two polls for each further row, about ten times what it
	// takes to decode and handle one.
	rowTime = 100 * time.Microsecond
	// maxSpacing bounds the time between two polls, so that ten of them fit into a lease of
	// one second.
	maxSpacing = 100 * time.Millisecond
)

// Pace spaces the polls of one worker, by the size of its answers: a worker with hundreds of
// runs has one of them end at any moment, and each poll lists all of them again. Its zero value
// is that of a worker that was not polled yet.
type Pace struct {
	sent time.Time
	rows int
	// extra is the number of open extra polls. wanted is true if one is to be sent as soon as
	// that is possible.
	extra  int
	wanted bool
}

// Sent records that a poll was sent.
func (p *Pace) Sent(now time.Time) { p.sent = now }

// Listed records the number of rows in an answer.
func (p *Pace) Listed(rows int) { p.rows = rows }

// Next returns the earliest time for the next poll.
func (p *Pace) Next() time.Time { return p.sent.Add(spacing(p.rows)) }

func spacing(rows int) time.Duration {
	return min(time.Duration(max(0, rows-freeRows))*rowTime, maxSpacing)
}

// WantExtra asks for an extra poll.
func (p *Pace) WantExtra() { p.wanted = true }

// NextExtra returns the earliest time for an extra poll. It returns false if none is wanted, or
// if it has to wait for the answer to another one.
func (p *Pace) NextExtra() (time.Time, bool) { return p.Next(), p.wanted && p.extra < maxExtra }

// TakeExtra returns true if an extra poll is to be sent now, and counts it as open. Wishes from
// before it are met by it.
func (p *Pace) TakeExtra(now time.Time) bool {
	if at, ok := p.NextExtra(); !ok || now.Before(at) {
		return false
	}
	p.extra++
	p.wanted = false
	return true
}

// ExtraEnded records that an extra poll has ended, with or without an answer.
func (p *Pace) ExtraEnded() { p.extra = max(0, p.extra-1) }
