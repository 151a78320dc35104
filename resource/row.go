package resource

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/rollout"
	"github.com/catkingap/catkingap/storage"
)

// The keys of resources in the table. The head row is written with each change,
// so its revision is the revision of the configuration. The floor row holds the
// highest revision of a removed tombstone.
const (
	keyPrefix = "resource/"
	keyFloor  = keyPrefix + "!floor"
	keyHead   = keyPrefix + "!head"
)

// The bounds of the operations in the history of a row.
const (
	historyLength = 64
	historyTime   = time.Minute
)

// operation is one write in the history of a row.
type operation struct {
	ID string `json:"id"`
	// Base is the revision of the row that the write replaced.
	Base ident.Revision `json:"base"`
	At   time.Time      `json:"at"`
}

// row is a resource as it is stored in the table.
type row struct {
	Kind   Kind              `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	Spec   json.RawMessage   `json:"spec,omitempty"`
	// Deleted is set for a tombstone.
	Deleted time.Time `json:"deleted,omitzero"`
	// History holds the latest writes of the row, newest first.
	History []operation `json:"history,omitempty"`
}

// Key returns the row key of a resource.
func Key(kind Kind, name string) string {
	return keyPrefix + string(kind) + "/" + name
}

func parseRow(value []byte) (row, error) {
	var r row
	err := json.Unmarshal(value, &r)
	return r, err
}

// revisionOf returns the revision at which an operation wrote the row, or false if
// the operation is not in the history. The argument revision is that of the row
// now.
func (r row) revisionOf(id string, revision ident.Revision) (ident.Revision, bool) {
	for _, o := range r.History {
		if o.ID == id {
			return revision, true
		}
		revision = o.Base
	}
	return 0, false
}

// hasReplaced returns true if the history contains the write that replaced revision
// base of the row.
func (r row) hasReplaced(base ident.Revision) bool {
	return slices.ContainsFunc(r.History, func(o operation) bool { return o.Base == base })
}

// replace returns next with the history that it has after operation id writes it
// over r at revision base.
func (r row) replace(now time.Time, next row, id string, base ident.Revision) row {
	next.History = []operation{{ID: id, Base: base, At: now}}
	for _, o := range r.History {
		if len(next.History) < historyLength && now.Sub(o.At) < historyTime {
			next.History = append(next.History, o)
		}
	}
	return next
}

// newDelta returns the delta of rows that were read together. Its revision is that
// of the head row, or zero if the head row is not among them.
func newDelta(after ident.Revision, rows []storage.Row) (rollout.Delta, error) {
	d := rollout.Delta{After: after}
	for _, r := range rows {
		switch r.Key {
		case keyHead:
			d.Revision = r.Revision
		case keyFloor:
			if err := json.Unmarshal(r.Value, &d.Floor); err != nil {
				return rollout.Delta{}, errors.Wrap(err, r.Key)
			}
		default:
			parsed, err := parseRow(r.Value)
			if err != nil {
				return rollout.Delta{}, errors.Wrap(err, r.Key)
			}
			d.Rows = append(d.Rows, rollout.Row{
				Key: r.Key, Value: r.Value, Revision: r.Revision, Deleted: !parsed.Deleted.IsZero(),
			})
		}
	}
	return d, nil
}

// newSnapshot builds the snapshot of a set of rows. It reuses the decoded resources
// of the previous snapshot whose rows have not changed.
func newSnapshot(now time.Time, set *rollout.Set, previous *Snapshot) (*Snapshot, error) {
	rows := set.Rows()
	objects := make([]Object, 0, len(rows))
	for _, r := range rows {
		if r.Deleted || !strings.HasPrefix(r.Key, keyPrefix) {
			continue
		}
		o, ok := previous.objectsByKey[r.Key]
		if !ok || o.Revision != r.Revision {
			var err error
			if o, err = DecodeObject(r); err != nil {
				return nil, err
			}
		}
		objects = append(objects, o)
	}
	s, err := Build(now, set.Revision, objects)
	s.Rows = set
	return s, err
}

// DecodeObject returns the resource of a row.
func DecodeObject(r rollout.Row) (Object, error) {
	parsed, err := parseRow(r.Value)
	if err != nil {
		return Object{}, errors.Wrap(err, r.Key)
	}
	return Object{Kind: parsed.Kind, Name: parsed.Name, Labels: parsed.Labels, Spec: parsed.Spec, Revision: r.Revision}, nil
}
