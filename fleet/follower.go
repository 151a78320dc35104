package fleet

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/storage"
)

// follower keeps a view up to date, and logs when it is lost and regained.
type follower struct {
	view   *storage.View
	logger log.Interface
	// spacing is the time between a change and the next question, so that many
	// changes within it cost one answer.
	spacing time.Duration
	// name says in the log what is lost and regained.
	name string
	lost bool
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
		pause(ctx, f.spacing)
	}
	if f.lost {
		pause(ctx, storePause)
	}
}

// next waits up to wait for a change, and takes it in. It returns true if the
// rows may have changed.
func (f *follower) next(ctx context.Context, wait time.Duration) bool {
	call, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	changed, err := f.view.Next(call, wait)
	if err != nil {
		if !f.lost && ctx.Err() == nil {
			f.logger.WithError(err).Warn("lost " + f.name)
		}
		f.lost = true
		return false
	}
	if f.lost {
		f.lost = false
		f.logger.WithField("revision", int64(f.view.Revision())).Info("regained " + f.name)
	}
	return changed
}
