package storage_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
)

// pagedFeed is a feed that returns at most pageSize changes in one answer.
type pagedFeed struct {
	storage.Table
	changes  []storage.Change
	pageSize int
	calls    int
}

// Changes implements storage.Feed.
func (p *pagedFeed) Changes(_ context.Context, _ string, after ident.Revision, _ time.Duration) ([]storage.Change, ident.Revision, error) {
	p.calls++
	var found []storage.Change
	for _, c := range p.changes {
		if c.Revision > after && len(found) < p.pageSize {
			found, after = append(found, c), c.Revision
		}
	}
	return found, after, nil
}

// List implements storage.Table.
func (p *pagedFeed) List(context.Context, string, string, int) ([]storage.Row, ident.Revision, error) {
	return nil, 0, nil
}

// TestViewCatchesUp checks that one call of Next applies thousands of missed changes that
// the feed returns in several answers.
func TestViewCatchesUp(t *testing.T) {
	const changes, keys, part = 8000, 1100, 500
	is := is.New(t)
	p := &pagedFeed{pageSize: part}
	v := storage.NewView(p, p, "servers")
	_, err := v.Next(t.Context(), 0)
	is.NoErr(err)
	for i := 1; i <= changes; i++ {
		p.changes = append(p.changes, storage.Change{Row: storage.Row{Key: fmt.Sprint("servers/", i%keys), Revision: ident.Revision(i)}})
	}
	changed, err := v.Next(t.Context(), 0)
	is.NoErr(err)
	is.True(changed)
	is.Equal(v.Revision(), ident.Revision(changes))
	is.Equal(len(v.Rows()), keys)
	is.Equal(p.calls, changes/part+1)
}
