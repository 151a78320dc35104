package fleet

import (
	"context"
	"time"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
)

const (
	// doubtTime is how long an owner that no other host answers continues stored jobs
	// without confirmation by the table. It tolerates one or two lost answers.
	doubtTime = 1200 * time.Millisecond
	// takeoverTime is how long a new owner waits before it starts tasks that an earlier
	// one may have started, unless all its workers answer. The earlier owner may have
	// heard another host up to 0.15 s before. It is in doubt after silence and doubtTime,
	// 1.8 s in total, and takes up to 0.55 s to notice. Its leases then lapse within
	// 1.1 s. It is silent to others for 0.6 s before it is replaced.
	takeoverTime = 3 * time.Second
	// guardInterval is the time between two checks of the ownership, and confirmTimeout
	// bounds a query of the table, which answers within a few milliseconds.
	guardInterval  = 250 * time.Millisecond
	confirmTimeout = 300 * time.Millisecond
	// settleInterval is the time between two checks whether all workers have answered a
	// new owner, which takes a few milliseconds.
	settleInterval = 25 * time.Millisecond
)

// guardOwnership lets the machine start stored jobs as long as no other owner can have
// taken them over. Workers do not fence an owner that is cut off together with them.
func (s *jobStore) guardOwnership(ctx context.Context, loaded bool) {
	clock := s.owner.owners.contacts.clock
	// confirmed is when the ownership was last known to be valid, and isolatedAt when
	// no other host answered last.
	taken, confirmed, isolatedAt := clock(), time.Now(), time.Now()
	doubted, interval := false, settleInterval
	for sleep(ctx, interval) {
		now := time.Now()
		view := s.owner.owners.contacts.View()
		// Without open jobs nothing can run twice: the write that accepts the next one
		// confirms the ownership.
		isolated := view.Isolated(now) && s.openJobs() > 0
		if isolated {
			isolatedAt = now
		}
		valid := (isolated || doubted) && s.stillOwns(ctx)
		if valid || !isolated {
			confirmed = now
		}
		switch late := time.Since(confirmed) > doubtTime; {
		case (late || s.owner.inDoubt()) && !doubted:
			doubted, loaded, isolatedAt = true, false, now
			s.logger.Warn("another host may own the workers, stored jobs are held back")
			s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) { m.MarkOwnershipUncertain(now) })
		case doubted && (valid || now.Sub(isolatedAt) > doubtTime):
			doubted = false
			s.logger.Info("no other host owns the workers, stored jobs resume")
		}
		if !loaded && !doubted {
			s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) {
				if loaded = m.IsTakeoverComplete() || now.Sub(taken) >= takeoverTime; loaded {
					m.StoredJobsLoaded(now)
				}
			})
		}
		if interval = guardInterval; !loaded && !doubted {
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

// stillOwns returns true if the table confirms that this owner was not replaced.
func (s *jobStore) stillOwns(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	row, _, err := s.table.Get(call, ownerPrefix+string(s.owner.owner.DataCentre))
	if err != nil {
		s.logger.WithError(err).Debug("ownership not confirmed")
		return false
	}
	mine := row != nil && row.Revision == ident.Revision(s.owner.owner.Token)
	if !mine {
		s.owner.owners.endFenced(s.owner.owner)
	}
	return mine
}
