package resource

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/catkingap/catkingap/rollout"
	"github.com/catkingap/catkingap/storage"
)

// catchUpTries bounds the read attempts of one catchUp.
const catchUpTries = 2

// Store keeps resources in the table and holds the snapshot in force.
type Store struct {
	table    storage.Table
	snapshot atomic.Pointer[Snapshot]
	// onDelta receives the rows that writes and catchUp read.
	onDelta func(rollout.Delta)
}

// NewStore returns a store with an empty snapshot of revision zero.
func NewStore(table storage.Table) *Store {
	s := &Store{table: table}
	empty, _ := Build(time.Time{}, 0, nil)
	s.snapshot.Store(empty)
	s.onDelta = func(d rollout.Delta) { _, _ = s.Apply(time.Now(), s.Snapshot().Rows.Merge(d)) }
	return s
}

// OnDelta passes the rows that writes read to f instead of applying them. It must
// be called before the first write.
func (s *Store) OnDelta(f func(rollout.Delta)) {
	s.onDelta = f
}

// Snapshot returns the configuration in force.
func (s *Store) Snapshot() *Snapshot {
	return s.snapshot.Load()
}

// Poll reads the changes after the snapshot in force. The revision of the delta is
// zero if there are none.
func (s *Store) Poll(ctx context.Context) (rollout.Delta, error) {
	after := s.Snapshot().Revision
	rows, err := s.table.ListChanged(ctx, storage.Read{Prefix: keyPrefix, After: after})
	if err != nil {
		return rollout.Delta{}, err
	}
	return newDelta(after, rows)
}

// Load reads all rows in a transaction, since the answer of a transaction is never
// stale. It creates the head row if there is none yet.
func (s *Store) Load(ctx context.Context) (rollout.Delta, error) {
	all := storage.Read{Prefix: keyPrefix}
	d, err := s.transact(ctx, storage.Write{Reads: []storage.Read{all}})
	if err != nil || d.Revision > 0 {
		return d, err
	}
	return s.transact(ctx, storage.Write{
		Conditions: []storage.Condition{{Key: keyHead}},
		Puts:       []storage.Put{{Key: keyHead, Value: []byte("{}")}},
		Reads:      []storage.Read{all},
	})
}

// transact commits w in a transaction of its own and returns the rows that it read.
// The revision of the delta is zero if w did not take effect.
func (s *Store) transact(ctx context.Context, w storage.Write) (rollout.Delta, error) {
	results, err := s.table.Commit(ctx, []storage.Write{w})
	if err != nil || !results[0].Applied {
		return rollout.Delta{}, err
	}
	return newDelta(w.Reads[0].After, results[0].Rows)
}

// catchUp reads the changes after the snapshot in force in a transaction and passes
// them to onDelta.
func (s *Store) catchUp(ctx context.Context) error {
	var failed error
	for range catchUpTries {
		after := s.Snapshot().Revision
		d, err := s.transact(ctx, storage.Write{Reads: []storage.Read{{Prefix: keyPrefix, After: after}}})
		if err == nil {
			s.onDelta(d)
			return nil
		}
		failed = err
	}
	return failed
}

// Apply puts the snapshot of a set in force unless one at least as new is in
// force. It returns true if it did. Rows that can not be decoded are left out and
// reported in the error.
func (s *Store) Apply(now time.Time, set *rollout.Set) (bool, error) {
	if set.Revision <= s.Snapshot().Revision {
		return false, nil
	}
	next, err := newSnapshot(now, set, s.Snapshot())
	if next == nil {
		return false, err
	}
	for {
		current := s.snapshot.Load()
		if next.Revision <= current.Revision {
			return false, err
		}
		if s.snapshot.CompareAndSwap(current, next) {
			return true, err
		}
	}
}
