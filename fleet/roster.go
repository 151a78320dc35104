package fleet

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/worker"
)

const (
	// rosterInterval is the time between two reads of the list of workers. A worker that
	// drains must get no more tasks 2 s after it has announced this.
	rosterInterval = 500 * time.Millisecond
	// absentTime is how long a worker may be missing from the list before it counts as
	// gone: entries that expired during an outage of the table return within two seconds.
	absentTime = 2500 * time.Millisecond
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

// follow calls set with the workers of a data centre whenever their list changes.
func (r *Roster) follow(ctx context.Context, centre ident.DataCentre, set func([]worker.Worker)) {
	group, _, _ := r.decoder.Groups()
	f := &follower{view: storage.NewView(r.table, r.feed, group), logger: r.logger, name: "the list of workers"}
	list := newRosterList(r.decoder, r.logger, centre)
	for ctx.Err() == nil {
		// Absent workers expire with time, even without a change of the rows.
		f.next(ctx, 0)
		if !f.lost && list.update(time.Now(), f.view.Rows()) {
			set(list.workers())
		}
		sleep(ctx, rosterInterval)
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
	list := newRosterList(r.decoder, r.logger, centre)
	list.update(time.Now(), view.Rows())
	for i, x := range list.workers() {
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

// rosterList is the list of workers of one data centre.
type rosterList struct {
	decoder Decoder
	logger  log.Interface
	centre  ident.DataCentre
	known   map[string]*rosterEntry
	// unreadable holds the revisions of rows that cannot be read, which are logged once.
	unreadable map[string]ident.Revision
}

type rosterEntry struct {
	worker      worker.Worker
	revision    ident.Revision
	absentSince time.Time
}

func newRosterList(d Decoder, l log.Interface, c ident.DataCentre) *rosterList {
	return &rosterList{decoder: d, logger: l, centre: c, known: map[string]*rosterEntry{}, unreadable: map[string]ident.Revision{}}
}

// update applies the rows to the list, and returns true if a worker changed.
func (l *rosterList) update(now time.Time, rows map[string]storage.Row) bool {
	changed := false
	for key, r := range rows {
		e := l.known[key]
		if e != nil && e.revision == r.Revision {
			e.absentSince = time.Time{}
			continue
		}
		changed = l.readRow(key, r, e) || changed
	}
	for key, e := range l.known {
		if _, ok := rows[key]; ok {
			continue
		}
		if e.absentSince.IsZero() {
			e.absentSince = now
		}
		if now.Sub(e.absentSince) >= absentTime {
			delete(l.known, key)
			changed = true
		}
	}
	return changed
}

// readRow applies one row, and returns true if a worker changed.
func (l *rosterList) readRow(key string, r storage.Row, e *rosterEntry) bool {
	w, err := l.decoder.Worker(r)
	if err != nil {
		if _, logged := l.unreadable[key]; !logged {
			l.logger.WithField("key", key).WithError(err).Warn("worker row cannot be read")
		}
		l.unreadable[key] = r.Revision
		if e != nil {
			delete(l.known, key)
			return true
		}
		return false
	}
	delete(l.unreadable, key)
	if w.DataCentre != l.centre {
		return false
	}
	changed := e == nil || !sameWorker(e.worker, w)
	l.known[key] = &rosterEntry{worker: w, revision: r.Revision}
	return changed
}

// sameWorker returns true if two entries describe the same state of a worker.
func sameWorker(a, b worker.Worker) bool {
	return a.ID == b.ID && a.Life == b.Life && a.Address == b.Address && a.Pool == b.Pool &&
		a.Capacity == b.Capacity && a.Draining == b.Draining && len(a.Labels) == len(b.Labels)
}

func (l *rosterList) workers() []worker.Worker {
	workers := make([]worker.Worker, 0, len(l.known))
	for _, e := range l.known {
		workers = append(workers, e.worker)
	}
	return workers
}
