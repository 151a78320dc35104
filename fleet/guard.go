package fleet

import (
	"context"
	"time"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
)

const (
	// doubtTime is how long an owner to whom no other host answers goes on with
	// kept jobs without a word of the table. A lost answer or two do not end it.
	doubtTime = 1200 * time.Millisecond
	// takeoverTime is how long a new owner waits before it starts what an earlier
	// one may have started, unless all its workers answer. The earlier one may
	// have been heard last 0.15 s before, is in doubt after silence and doubtTime,
	// 1.8 s in all, and takes up to 0.55 s to find that; then its leases lapse
	// within 1.1 s. It is silent to others for 0.6 s before its place is taken.
	takeoverTime = 3 * time.Second
	// guardInterval is the time between two looks at that, and confirmTimeout
	// bounds the question to the table, which answers within some milliseconds.
	guardInterval  = 250 * time.Millisecond
	confirmTimeout = 300 * time.Millisecond
	// settleInterval is the time between two looks whether all workers have
	// answered a new owner, which takes some milliseconds.
	settleInterval = 25 * time.Millisecond
)

// guard lets the machine start kept jobs as long as no other owner can have taken
// them. An owner that is cut off with some of its workers is not fenced by them.
func (k *keeper) guard(ctx context.Context, loaded bool) {
	clock := k.owner.owners.contacts.clock
	// proved is when the ownership was last known to stand, and alone when no
	// other host answered last.
	taken, proved, alone := clock(), time.Now(), time.Now()
	doubted, interval := false, settleInterval
	for pause(ctx, interval) {
		now := time.Now()
		view := k.owner.owners.contacts.View()
		// Without open jobs nothing can run twice: the next one is accepted by a
		// write that proves the ownership.
		isolated := view.Isolated(now) && k.open() > 0
		if isolated {
			alone = now
		}
		owns := (isolated || doubted) && k.owns(ctx)
		if owns || !isolated {
			proved = now
		}
		switch late := time.Since(proved) > doubtTime; {
		case (late || k.owner.doubts()) && !doubted:
			doubted, loaded, alone = true, false, now
			k.logger.Warn("another host may own the workers, kept jobs wait")
			k.owner.step(eventKeep, func(now time.Time, m *dispatch.Machine) { m.Doubt(now) })
		case doubted && (owns || now.Sub(alone) > doubtTime):
			doubted = false
			k.logger.Info("no other host owns the workers, kept jobs go on")
		}
		if !loaded && !doubted {
			k.owner.step(eventKeep, func(now time.Time, m *dispatch.Machine) {
				if loaded = m.Settled() || now.Sub(taken) >= takeoverTime; loaded {
					m.Loaded(now)
				}
			})
		}
		if interval = guardInterval; !loaded && !doubted {
			interval = settleInterval
		}
	}
}

// doubts returns true if the owner has to make sure that it was not replaced.
func (w *Owner) doubts() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.machine.Doubted()
}

// owns returns true if the table says that this owner has not been replaced.
func (k *keeper) owns(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	row, _, err := k.table.Get(call, ownerPrefix+string(k.owner.owner.DataCentre))
	if err != nil {
		k.logger.WithError(err).Debug("ownership not confirmed")
		return false
	}
	mine := row != nil && row.Revision == ident.Revision(k.owner.owner.Token)
	if !mine {
		k.owner.owners.fenced(k.owner.owner)
	}
	return mine
}
