// Package roster keeps the lists of the workers of all data centres up to date with the
// rows of the platform's table. It has no side effects.
package roster

import (
	"time"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/worker"
)

// absentTime is how long a worker may be missing from the rows before it counts as
// gone: entries that expired during an outage of the table return within two seconds.
const absentTime = 2500 * time.Millisecond

// Config configures a List.
type Config struct {
	DataCentre ident.DataCentre
	// Decode decodes the row of a worker.
	Decode func(storage.Row) (worker.Worker, error)
}

// List is the list of the workers of one data centre, beside those of the others.
type List struct {
	config Config
	known  map[string]*entry
	// otherChanges counts the changes of workers of other data centres.
	otherChanges uint64
	// unreadable holds the rows that cannot be read.
	unreadable map[string]struct{}
}

type entry struct {
	worker      worker.Worker
	revision    ident.Revision
	absentSince time.Time
}

// RowError means that the row of a worker cannot be read.
type RowError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RowError) Error() string {
	return "worker row " + e.Key + " cannot be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Cause }

// NewList returns an empty list.
func NewList(c Config) *List {
	return &List{config: c, known: map[string]*entry{}, unreadable: map[string]struct{}{}}
}

// Update applies the rows to the list. It returns true if a worker of the data centre
// changed, and the rows that cannot be read, each of them once.
func (l *List) Update(now time.Time, rows map[string]storage.Row) (changed bool, unreadable []*RowError) {
	for key, r := range rows {
		e := l.known[key]
		if e != nil && e.revision == r.Revision {
			e.absentSince = time.Time{}
			continue
		}
		rowChanged, err := l.readRow(key, r, e)
		changed = rowChanged || changed
		if err != nil {
			unreadable = append(unreadable, err)
		}
	}
	for key, e := range l.known {
		if _, ok := rows[key]; ok {
			continue
		}
		if e.absentSince.IsZero() {
			e.absentSince = now
		}
		if now.Sub(e.absentSince) >= absentTime {
			changed = l.remove(key, e) || changed
		}
	}
	return changed, unreadable
}

// readRow applies one row. It returns true if a worker changed, and an error if the row
// cannot be read for the first time.
func (l *List) readRow(key string, r storage.Row, e *entry) (bool, *RowError) {
	w, err := l.config.Decode(r)
	if err != nil {
		_, again := l.unreadable[key]
		l.unreadable[key] = struct{}{}
		changed := l.remove(key, e)
		if again {
			return changed, nil
		}
		return changed, &RowError{Key: key, Cause: err}
	}
	delete(l.unreadable, key)
	l.known[key] = &entry{worker: w, revision: r.Revision}
	if e != nil && e.worker.DataCentre == w.DataCentre && e.worker.Equal(w) {
		return false, nil
	}
	was, is := e != nil && l.isOwn(e), l.isOwn(l.known[key])
	if !is || (e != nil && !was) {
		l.otherChanges++
	}
	return was || is, nil
}

// remove removes a row, if it is known. It returns true if that changes a worker of the
// data centre.
func (l *List) remove(key string, e *entry) bool {
	if e == nil {
		return false
	}
	delete(l.known, key)
	if l.isOwn(e) {
		return true
	}
	l.otherChanges++
	return false
}

func (l *List) isOwn(e *entry) bool { return e.worker.DataCentre == l.config.DataCentre }

// Workers returns the workers of the data centre, in no order.
func (l *List) Workers() []worker.Worker {
	var workers []worker.Worker
	for _, e := range l.known {
		if l.isOwn(e) {
			workers = append(workers, e.worker)
		}
	}
	return workers
}

// OtherChanges returns the number of changes to the result of Others.
func (l *List) OtherChanges() uint64 { return l.otherChanges }

// Others returns the workers of the other data centres, in no order.
func (l *List) Others() map[ident.DataCentre][]worker.Worker {
	others := map[ident.DataCentre][]worker.Worker{}
	for _, e := range l.known {
		if !l.isOwn(e) {
			others[e.worker.DataCentre] = append(others[e.worker.DataCentre], e.worker)
		}
	}
	return others
}
