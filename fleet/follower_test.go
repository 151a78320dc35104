package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
)

// brokenFeed answers the first read with many changes, so that the view reads on at once, and
// fails all later ones.
type brokenFeed struct {
	storage.Table
	calls int
}

// Changes implements storage.Feed.
func (b *brokenFeed) Changes(context.Context, string, ident.Revision, time.Duration) ([]storage.Change, ident.Revision, error) {
	if b.calls++; b.calls > 1 {
		return nil, 0, errors.New("the table is away")
	}
	var changes []storage.Change
	for i := range 200 {
		changes = append(changes, storage.Change{Row: storage.Row{Key: fmt.Sprint("op/", i), Revision: ident.Revision(i + 1)}})
	}
	return changes, 200, nil
}

// List implements storage.Table.
func (b *brokenFeed) List(context.Context, string, string, int) ([]storage.Row, ident.Revision, error) {
	return nil, 0, nil
}

// TestChangesBeforeAFailedReadAreSeen guards against changes that were applied to a view and whose
// reader hears of them only with the next change, because the read after them failed.
func TestChangesBeforeAFailedReadAreSeen(t *testing.T) {
	is := is.New(t)
	b := &brokenFeed{}
	f := &follower{view: storage.NewView(b, b, "op"), logger: &log.Logger{Handler: discard.Default}, name: "the table"}
	is.True(f.next(t.Context(), 0)) // The first call loads the view.
	is.True(f.next(t.Context(), 0))
	is.Equal(len(f.view.Rows()), 200)
	is.True(f.lost)
	is.True(!f.next(t.Context(), 0))
}
