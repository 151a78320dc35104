package storage

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
)

// Change is a row that was written or deleted.
type Change struct {
	Row
	Deleted bool
}

// Feed reports the changes of a table. Its rows are grouped by the part of their
// keys before the first slash.
type Feed interface {
	// Changes returns the changes of a group after a revision, and the revision
	// to continue from. It waits up to wait for the first change. An error of
	// type *HistoryLostError means that the group must be read again.
	Changes(ctx context.Context, group string, after ident.Revision, wait time.Duration) ([]Change, ident.Revision, error)
}

// HistoryLostError means that the changes after a revision are no longer
// available.
type HistoryLostError struct {
	Group string
	After ident.Revision
}

// Error implements error.
func (e *HistoryLostError) Error() string { return "history of " + e.Group + " is lost" }

// View is a local copy of a group of rows that is updated from a feed. It is not
// safe for concurrent use.
type View struct {
	table    Table
	feed     Feed
	group    string
	rows     map[string]Row
	revision ident.Revision
	loaded   bool
}

// NewView returns an empty view of a group.
func NewView(t Table, f Feed, group string) *View {
	return &View{table: t, feed: f, group: group, rows: map[string]Row{}}
}

// Rows returns the rows by key. The map is valid until the next call of Next.
func (v *View) Rows() map[string]Row { return v.rows }

// Revision returns the revision of the view.
func (v *View) Revision() ident.Revision { return v.revision }

// Next waits up to wait for a change and applies all changes that are available. It
// returns true if the rows may have changed, also beside an error. The first call, and a call after the
// history was lost, reads all rows.
func (v *View) Next(ctx context.Context, wait time.Duration) (bool, error) {
	if !v.loaded {
		err := v.reload(ctx)
		return err == nil, err
	}
	changed := false
	for {
		before := v.revision
		count, err := v.fetchChanges(ctx, wait)
		switch {
		case errors.As(err, new(*HistoryLostError)):
			v.loaded = false
			err := v.reload(ctx)
			return err == nil, err
		case err != nil:
			return changed, err
		}
		changed = changed || count > 0
		if count < refetchThreshold || v.revision == before {
			return changed, nil
		}
		wait = 0
	}
}

// refetchThreshold is the number of changes in one answer from which Next asks again at
// once, because a table may split its changes into several answers. A thousand workers
// make seven hundred changes a second, of which only a few occur during one answer.
const refetchThreshold = 100

// fetchChanges applies one answer of the feed and returns the number of its changes.
func (v *View) fetchChanges(ctx context.Context, wait time.Duration) (int, error) {
	changes, revision, err := v.feed.Changes(ctx, v.group, v.revision, wait)
	if err != nil {
		return 0, err
	}
	for _, c := range changes {
		if c.Deleted {
			delete(v.rows, c.Key)
		} else {
			v.rows[c.Key] = c.Row
		}
	}
	v.revision = max(v.revision, revision)
	return len(changes), nil
}

// reload replaces the view by the rows of the table.
func (v *View) reload(ctx context.Context) error {
	rows, revision, err := v.table.List(ctx, v.group+"/", "", 0)
	if err != nil {
		return err
	}
	clear(v.rows)
	for _, r := range rows {
		v.rows[r.Key] = r
	}
	v.revision, v.loaded = revision, true
	return nil
}
