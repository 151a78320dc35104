// Package rollout decides which revision of the configuration a host puts in
// force, when it fetches one from a peer and when it announces one. It does no
// I/O and reads no clock: the machine takes events and the current time and
// returns actions, which the caller executes.
package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/catkingap/catkingap/ident"
)

// Row is one row of the configuration.
type Row struct {
	Key      string         `msgpack:"key"`
	Value    []byte         `msgpack:"value"`
	Revision ident.Revision `msgpack:"revision"`
	// Deleted marks the tombstone of a row.
	Deleted bool `msgpack:"deleted,omitempty"`
}

// Delta holds the rows last written after revision After and up to Revision, as
// they are at Revision.
type Delta struct {
	// After is the revision that the rows follow. Zero means that the delta
	// holds all rows.
	After    ident.Revision `msgpack:"after"`
	Revision ident.Revision `msgpack:"revision"`
	// Floor is the highest revision of a removed tombstone; all tombstones at
	// lower revisions are removed too. A delta does not contain the rows deleted
	// at or before it.
	Floor ident.Revision `msgpack:"floor,omitempty"`
	Rows  []Row          `msgpack:"rows"`
}

// Set is the whole configuration at one revision, tombstones included. It is
// immutable. The zero value is an empty set.
type Set struct {
	Revision ident.Revision
	Floor    ident.Revision
	rows     map[string]Row
}

// Row returns the row of key. The row of a deleted resource is a tombstone.
func (s *Set) Row(key string) (Row, bool) {
	r, ok := s.rows[key]
	return r, ok
}

// Rows returns all rows in order of their keys, tombstones included.
func (s *Set) Rows() []Row {
	return slices.SortedFunc(maps.Values(s.rows), func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
}

// Since returns the changes after a revision, oldest first. The delta holds all
// rows if after is zero or below the floor.
func (s *Set) Since(after ident.Revision) Delta {
	if after < s.Floor {
		after = 0
	}
	d := Delta{After: after, Revision: s.Revision, Floor: s.Floor}
	for _, r := range s.rows {
		if r.Revision > after {
			d.Rows = append(d.Rows, r)
		}
	}
	slices.SortFunc(d.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return d
}

// Fits returns true if s and d together hold all rows of d's revision.
func (s *Set) Fits(d Delta) bool {
	return d.After == 0 || (d.After <= s.Revision && d.Floor <= s.Revision)
}

// Merge returns the set of d's revision. It returns s if d is not newer or
// does not fit.
func (s *Set) Merge(d Delta) *Set {
	if d.Revision <= s.Revision || !s.Fits(d) {
		return s
	}
	next := &Set{Revision: d.Revision, Floor: max(s.Floor, d.Floor), rows: map[string]Row{}}
	if d.After > 0 {
		maps.Copy(next.rows, s.rows)
	}
	for _, r := range d.Rows {
		next.rows[r.Key] = r
	}
	maps.DeleteFunc(next.rows, func(_ string, r Row) bool { return r.Deleted && r.Revision <= next.Floor })
	return next
}
