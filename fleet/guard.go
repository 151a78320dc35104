package fleet

import (
	"context"
	"time"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ownership"
)

const (
	// takeoverTime is how long a new owner waits before it starts tasks that an earlier
	// one may have started, unless all its workers answer. The earlier owner is in doubt
	// ownership.DoubtTime after it was last confirmed, takes up to 0.55 s to notice, and
	// its leases lapse within 1.1 s. It is silent to others for 0.6 s before it is replaced.
	takeoverTime = 3 * time.Second
	// guardInterval is the time between two checks of the ownership, and confirmTimeout
	// bounds an additional heartbeat, which the table stores within a few milliseconds.
	guardInterval  = 250 * time.Millisecond
	confirmTimeout = 300 * time.Millisecond
	// settleInterval is the time between two checks whether all workers have answered a
	// new owner, which takes a few milliseconds.
	settleInterval = 25 * time.Millisecond
)

// guardOwnership lets the machine start stored jobs as long as no other owner can have
// taken them over. Workers do not fence an owner that is cut off together with them.
func (s *jobStore) guardOwnership(ctx context.Context, loaded bool) {
	contacts, tenure := s.owner.owners.contacts, &s.owner.tenure
	// unconfirmed returns for how long neither the table nor all hosts that could take the
	// stored jobs have confirmed the ownership.
	unconfirmed := func(open bool) time.Duration {
		now, age := time.Now(), contacts.clock().Sub(tenure.confirmed())
		if open && age > confirmTime {
			contacts.verify(now)
		}
		return min(age, contacts.silence(now, s.owner.owner.DataCentre, now.Add(-age)))
	}
	taken := contacts.clock()
	var doubtedAt time.Time
	for interval := settleInterval; sleep(ctx, interval); {
		// Without open jobs nothing can run twice, and an owner that is not confirmed stores
		// no new one.
		open := s.openJobs() > 0
		if open && (!doubtedAt.IsZero() || unconfirmed(open) > confirmTime) {
			if err := s.owner.beat(ctx, confirmTimeout); err != nil {
				s.logger.WithError(err).Debug("ownership not confirmed")
			}
		}
		late := unconfirmed(open) > ownership.DoubtTime
		tenure.setUnconfirmed(late)
		switch {
		case ((open && late) || s.owner.inDoubt()) && doubtedAt.IsZero():
			doubtedAt, loaded = contacts.clock(), false
			s.logger.WithField("open", s.openJobs()).Warn("another host may own the workers, stored jobs are held back")
			s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) { m.MarkOwnershipUncertain(now) })
		case !doubtedAt.IsZero() && tenure.confirmed().After(doubtedAt):
			// Others have taken no job since that heartbeat, and those that they took before
			// are known after the next read.
			if err := s.refresh(ctx); err != nil {
				s.logger.WithError(err).Warn("stored jobs not read")
				break
			}
			doubtedAt = time.Time{}
			s.logger.Info("no other host owns the workers, stored jobs resume")
		}
		if !loaded && doubtedAt.IsZero() {
			s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) {
				if loaded = m.IsTakeoverComplete() || now.Sub(taken) >= takeoverTime; loaded {
					m.StoredJobsLoaded(now)
				}
			})
		}
		if interval = guardInterval; !loaded && doubtedAt.IsZero() {
			interval = settleInterval
		}
	}
}

// inDoubt returns true if the owner has to check whether it was replaced.
func (w *Owner) inDoubt() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.machine.IsOwnershipUncertain()
}
