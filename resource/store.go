package resource

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/platform"
)

// The keys of resources in the table. The head row is written with each
// change, so its revision is the revision of the configuration.
const (
	keyHead   = "resource-head"
	keyPrefix = "resource/"
)

// ConflictError means that a write named a revision that is not the present
// one.
type ConflictError struct {
	Kind    Kind
	Name    string
	Present ident.Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return string(e.Kind) + " " + e.Name + " was changed by somebody else"
}

// Store keeps resources in the table and holds the snapshot in force.
type Store struct {
	table    platform.Table
	snapshot atomic.Pointer[Snapshot]
}

// NewStore returns a store with an empty snapshot of revision zero.
func NewStore(table platform.Table) *Store {
	s := &Store{table: table}
	empty, _ := Build(time.Time{}, 0, nil)
	s.snapshot.Store(empty)
	return s
}

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// Key returns the row key of a resource.
func Key(kind Kind, name string) string {
	return keyPrefix + string(kind) + "/" + name
}

// Put creates or replaces a resource. o.Revision is the revision that the
// writer saw, zero to create. It returns the new revision.
func (s *Store) Put(ctx context.Context, o Object) (ident.Revision, error) {
	condition := o.Revision
	o.Revision = 0
	value, err := json.Marshal(o)
	if err != nil {
		return 0, err
	}
	key := Key(o.Kind, o.Name)
	results, err := s.table.Commit(ctx, []platform.Write{{
		Conditions: []platform.Condition{{Key: key, Revision: condition}},
		Puts:       []platform.Put{{Key: key, Value: value}, {Key: keyHead, Value: []byte(key)}},
	}})
	if err != nil {
		return 0, err
	}
	if !results[0].Applied {
		conflict := &ConflictError{Kind: o.Kind, Name: o.Name}
		if len(results[0].Current) > 0 {
			conflict.Present = results[0].Current[0].Revision
		}
		return 0, conflict
	}
	return results[0].Revision, nil
}

// Refresh reads the head and, if it is newer than the snapshot in force, all
// resources. It returns true if it put a new snapshot in force.
func (s *Store) Refresh(ctx context.Context, now time.Time) (bool, error) {
	head, _, err := s.table.Get(ctx, keyHead)
	if err != nil || head == nil {
		return false, err
	}
	if head.Revision <= s.Snapshot().Revision {
		return false, nil
	}
	rows, _, err := s.table.List(ctx, keyPrefix, "", 0)
	if err != nil {
		return false, err
	}
	objects := make([]Object, 0, len(rows))
	revision := head.Revision
	for _, r := range rows {
		var o Object
		if err := json.Unmarshal(r.Value, &o); err != nil {
			return false, errors.Wrap(err, r.Key)
		}
		o.Revision = r.Revision
		revision = max(revision, r.Revision)
		objects = append(objects, o)
	}
	next, err := Build(now, revision, objects)
	return s.apply(next), err
}

// apply puts next in force unless a newer snapshot is.
func (s *Store) apply(next *Snapshot) bool {
	for {
		current := s.snapshot.Load()
		if next.Revision <= current.Revision {
			return false
		}
		if s.snapshot.CompareAndSwap(current, next) {
			return true
		}
	}
}
