package fleet

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/roster"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/worker"
)

const (
	// rosterInterval is the time between two reads of the list of workers. A worker that
	// drains must get no more tasks 2 s after it has announced this.
	rosterInterval = 500 * time.Millisecond
	// missingInterval replaces it while workers are missing, which may be back at any time.
	missingInterval = 100 * time.Millisecond
	// reachTries is how many workers of a data centre are tried before it counts as
	// unreachable.
	reachTries   = 2
	reachTimeout = 300 * time.Millisecond
)

// Roster reads the list of workers.
type Roster struct {
	table   storage.Table
	feed    storage.Feed
	decoder Decoder
	logger  log.Interface
}

func newRoster(t storage.Table, f storage.Feed, d Decoder, l log.Interface) *Roster {
	return &Roster{table: t, feed: f, decoder: d, logger: l}
}

// rosterUser uses the list of workers.
type rosterUser interface {
	// missesWorkers returns true while workers are missing: the list is then read more often.
	missesWorkers() bool
	// setWorkers replaces the workers of the data centre, and setOtherWorkers those of the
	// other ones.
	setWorkers([]worker.Worker)
	setOtherWorkers(map[ident.DataCentre][]worker.Worker)
}

// follow tells a user the workers of its data centre and of the others whenever they change.
func (r *Roster) follow(ctx context.Context, centre ident.DataCentre, u rosterUser) {
	group, _, _ := r.decoder.Groups()
	f := &follower{view: storage.NewView(r.table, r.feed, group), logger: r.logger, name: "the list of workers"}
	list := r.newList(centre)
	read, others := false, list.OtherChanges()
	for ctx.Err() == nil {
		// Absent workers expire with time, even without a change of the rows.
		f.next(ctx, 0)
		if !f.lost && (r.update(list, f.view) || !read) {
			// The first list counts even if it is empty.
			read = true
			u.setWorkers(list.Workers())
		}
		if n := list.OtherChanges(); n != others {
			others = n
			u.setOtherWorkers(list.Others())
		}
		interval := rosterInterval
		if u.missesWorkers() {
			interval = missingInterval
		}
		sleep(ctx, interval)
	}
}

// AnyReachable returns true if a worker of a data centre accepts a connection.
func (r *Roster) AnyReachable(ctx context.Context, w Workers, centre ident.DataCentre) bool {
	group, _, _ := r.decoder.Groups()
	view := storage.NewView(r.table, r.feed, group)
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := view.Next(call, 0); err != nil {
		return false
	}
	list := r.newList(centre)
	r.update(list, view)
	for i, x := range list.Workers() {
		if i == reachTries {
			break
		}
		call, cancel := context.WithTimeout(ctx, reachTimeout)
		err := w.Reach(call, x)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

func (r *Roster) newList(centre ident.DataCentre) *roster.List {
	return roster.NewList(roster.Config{DataCentre: centre, Decode: r.decoder.Worker})
}

// update applies the rows of a view to a list, and returns true if a worker changed.
func (r *Roster) update(l *roster.List, v *storage.View) bool {
	changed, unreadable := l.Update(time.Now(), v.Rows())
	for _, err := range unreadable {
		r.logger.WithField("key", err.Key).WithError(err.Cause).Warn("worker row cannot be read")
	}
	return changed
}
