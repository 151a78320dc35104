package storage

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
)

// Change is a row that was written, or one that was deleted.
type Change struct {
	Row
	Deleted bool
}

// Feed tells what changes in a table whose rows are grouped by the first part
// of their keys, up to a slash.
type Feed interface {
	// Changes returns what changed in a group after a revision, and the
	// revision to go on from. It waits up to wait for the first change. An
	// error of type *HistoryLostError means that the group must be read anew.
	Changes(ctx context.Context, group string, after ident.Revision, wait time.Duration) ([]Change, ident.Revision, error)
}

// HistoryLostError means that the changes after a revision are not kept any
// more.
type HistoryLostError struct {
	Group string
	After ident.Revision
}

// Error implements error.
func (e *HistoryLostError) Error() string { return "history of " + e.Group + " is lost" }

// View is a copy of a group of rows that follows its changes. It is not safe
// for concurrent use.
type View struct {
	table    Table
	feed     Feed
	group    string
	rows     map[string]Row
	revision ident.Revision
	read     bool
}

// NewView returns a view that has read nothing.
func NewView(t Table, f Feed, group string) *View {
	return &View{table: t, feed: f, group: group, rows: map[string]Row{}}
}

// Rows returns the rows by key. It is valid until the next call of Next.
func (v *View) Rows() map[string]Row { return v.rows }

// Revision returns the revision of the view.
func (v *View) Revision() ident.Revision { return v.revision }

// Next waits up to wait for a change, and takes in all that have come. It returns true
// if the rows may have changed. The first call, and one after history was lost, reads
// all rows.
func (v *View) Next(ctx context.Context, wait time.Duration) (bool, error) {
	if !v.read {
		return true, v.reload(ctx)
	}
	changed := false
	for {
		before := v.revision
		count, err := v.follow(ctx, wait)
		switch {
		case errors.As(err, new(*HistoryLostError)):
			v.read = false
			return true, v.reload(ctx)
		case err != nil:
			return changed, err
		}
		changed = changed || count > 0
		if count < manyChanges || v.revision == before {
			return changed, nil
		}
		wait = 0
	}
}

// manyChanges is the number of changes in one answer from which more may be waiting: a
// table may tell its changes in parts, and a thousand workers make seven hundred a second,
// of which a few come while one answer is on its way.
const manyChanges = 100

// follow takes in one answer of the feed, and returns the number of its changes.
func (v *View) follow(ctx context.Context, wait time.Duration) (int, error) {
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

func (v *View) reload(ctx context.Context) error {
	rows, revision, err := v.table.List(ctx, v.group+"/", "", 0)
	if err != nil {
		return err
	}
	clear(v.rows)
	for _, r := range rows {
		v.rows[r.Key] = r
	}
	v.revision, v.read = revision, true
	return nil
}
