// Package roster keeps the list of the workers of a data centre up to date with the
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

// List is the list of the workers of one data centre.
type List struct {
	config Config
	known  map[string]*entry
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

// Update applies the rows to the list. It returns true if a worker changed, and the rows
// that cannot be read, each of them once.
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
			delete(l.known, key)
			changed = true
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
		delete(l.known, key)
		if again {
			return e != nil, nil
		}
		return e != nil, &RowError{Key: key, Cause: err}
	}
	delete(l.unreadable, key)
	if w.DataCentre != l.config.DataCentre {
		delete(l.known, key)
		return e != nil, nil
	}
	changed := e == nil || !e.worker.Equal(w)
	l.known[key] = &entry{worker: w, revision: r.Revision}
	return changed, nil
}

// Workers returns the workers of the list, in no order.
func (l *List) Workers() []worker.Worker {
	workers := make([]worker.Worker, 0, len(l.known))
	for _, e := range l.known {
		workers = append(workers, e.worker)
	}
	return workers
}
