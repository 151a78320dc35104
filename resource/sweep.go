package resource

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/catkingap/catkingap/rollout"
	"github.com/catkingap/catkingap/storage"
)

const (
	// tombstoneTime is how long the tombstone of a deleted resource stays.
	tombstoneTime = 24 * time.Hour
	// maxSweepRows bounds the tombstones that one Sweep removes.
	maxSweepRows = 100
)

// Sweep removes the oldest tombstones from the table and raises the floor, in one
// transaction that has no effect if the configuration has changed in the meantime.
// A host whose revision is below the floor reads all rows again.
func (s *Store) Sweep(ctx context.Context, now time.Time) error {
	set := s.Snapshot().Rows
	old := oldTombstones(now, set)
	if len(old) == 0 {
		return nil
	}
	floor, err := json.Marshal(old[len(old)-1].Revision)
	if err != nil {
		return err
	}
	w := storage.Write{
		Conditions: []storage.Condition{{Key: keyHead, Revision: set.Revision}},
		Puts:       []storage.Put{{Key: keyFloor, Value: floor}, {Key: keyHead, Value: []byte("{}")}},
		Reads:      []storage.Read{{Prefix: keyPrefix, After: set.Revision}},
	}
	for _, r := range old {
		w.Deletes = append(w.Deletes, r.Key)
	}
	d, err := s.transact(ctx, w)
	if err != nil || d.Revision == 0 {
		return err
	}
	s.onDelta(d)
	return nil
}

// oldTombstones returns the tombstones to remove, oldest first. It stops at the
// first one that is too young, so that none below the new floor remains.
func oldTombstones(now time.Time, set *rollout.Set) []rollout.Row {
	var old []rollout.Row
	for _, r := range set.Rows() {
		if r.Deleted {
			old = append(old, r)
		}
	}
	slices.SortFunc(old, func(a, b rollout.Row) int { return cmp.Compare(a.Revision, b.Revision) })
	for i, r := range old {
		parsed, err := parseRow(r.Value)
		if err != nil || now.Sub(parsed.Deleted) < tombstoneTime {
			return old[:min(i, maxSweepRows)]
		}
	}
	return old[:min(len(old), maxSweepRows)]
}
