package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
)

// busyFeed returns a change every 10 ms.
type busyFeed struct {
	reads int
}

func (f *busyFeed) Changes(_ context.Context, _ string, after ident.Revision, _ time.Duration) ([]storage.Change, ident.Revision, error) {
	f.reads++
	time.Sleep(10 * time.Millisecond)
	row := storage.Row{Key: hostPrefix + "x", Revision: after + 1}
	return []storage.Change{{Row: row}}, after + 1, nil
}

// emptyTable has no rows.
type emptyTable struct {
	storage.Table
}

func (emptyTable) List(context.Context, string, string, int) ([]storage.Row, ident.Revision, error) {
	return nil, 1, nil
}

// TestDirectoryReadsManyChangesAtOnce checks that the number of reads stays bounded while
// hosts register continuously.
func TestDirectoryReadsManyChangesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := &busyFeed{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		f := follower{
			view: storage.NewView(emptyTable{}, feed, hostsGroup), logger: &log.Logger{Handler: discard.New()}, spacing: directorySpacing,
		}
		f.run(ctx, func() {})
		t.Logf("%d reads in 10 s", feed.reads)
		is.True(feed.reads > 20)
		is.True(feed.reads <= 34)
	})
}
