package fleet

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/storage"
)

// follower keeps a view up to date, and logs when the connection to it is lost and
// regained.
type follower struct {
	view   *storage.View
	logger log.Interface
	// spacing is the time between a change and the next read, so that all changes within
	// it are read at once.
	spacing time.Duration
	// name describes the view in the log.
	name string
	lost bool
	// read is called after each answer, also one without changes. Nil means none.
	read func()
}

// run calls changed after each change until ctx ends.
func (f *follower) run(ctx context.Context, changed func()) {
	for ctx.Err() == nil {
		f.step(ctx, changed)
	}
}

// step waits for one change, and calls changed after it.
func (f *follower) step(ctx context.Context, changed func()) {
	if f.next(ctx, feedWait) {
		changed()
		sleep(ctx, f.spacing)
	}
	if f.lost {
		sleep(ctx, storeRetryPause)
	}
}

// next waits up to wait for a change and applies it to the view. It returns true if the
// rows may have changed, also if a later read of them has failed.
func (f *follower) next(ctx context.Context, wait time.Duration) bool {
	call, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	changed, err := f.view.Next(call, wait)
	if err != nil {
		if !f.lost && ctx.Err() == nil {
			f.logger.WithError(err).Warn("lost " + f.name)
		}
		f.lost = true
		return changed
	}
	if f.lost {
		f.lost = false
		f.logger.WithField("revision", int64(f.view.Revision())).Info("regained " + f.name)
	}
	if f.read != nil {
		f.read()
	}
	return changed
}
