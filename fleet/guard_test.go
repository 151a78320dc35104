package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

// movedTable says that another host owns the workers.
type movedTable struct{ storage.Table }

func (movedTable) Get(_ context.Context, key string) (*storage.Row, ident.Revision, error) {
	return &storage.Row{Key: key, Revision: 9}, 9, nil
}

// TestPausedOwnerIsReplaced has an owner wake that another host replaced, in touch with
// hosts that have not told it so: its kept jobs wait as long as the table says so.
func TestPausedOwnerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := &log.Logger{Handler: discard.New()}
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Second)
		}()
		x := ownership.Owner{DataCentre: "coast-a", Host: "here", Token: 5}
		other := ownership.Host{Name: "other", DataCentre: "coast-a"}
		contacts := &Contacts{
			clock: time.Now, contacts: map[ident.Host]ownership.Contact{},
			directory: &Directory{hosts: map[ident.Host]ownership.Host{other.Name: other}},
		}
		o := &Owner{
			ctx: ctx, cancel: cancel, logger: logger, owner: x,
			owners: &Owners{
				workers: deaf{}, contacts: contacts, counters: newCounters(metrics.NewSet(), newLinks(logger, network.Real{})),
			},
			machine: dispatch.New(time.Now(), dispatch.Config{MaxLease: time.Second, Token: 5}),
		}
		o.keeper = newKeeper(o, movedTable{}, nil, x, time.Minute)
		o.keeper.book.Accept(work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Estimate: time.Second}}})
		_, _, err := o.keeper.book.Next()
		is.NoErr(err)
		o.keeper.book.Written(storage.Result{Applied: true, Revision: 6}, nil)
		is.Equal(o.keeper.open(), 1)
		go func() {
			for pause(ctx, contactInterval) {
				contacts.mutex.Lock()
				contacts.contacts[other.Name] = ownership.Contact{Heard: time.Now()}
				contacts.mutex.Unlock()
			}
		}()
		o.step(eventTick, func(now time.Time, m *dispatch.Machine) { m.Loaded(now) })
		time.Sleep(contactInterval + time.Millisecond)
		go o.keeper.guard(ctx, true)
		time.Sleep(2*time.Second + doubtTime)
		o.step(eventTick, func(now time.Time, m *dispatch.Machine) { m.Tick(now) })
		is.True(o.doubts())
		time.Sleep(time.Second)
		is.True(o.doubts())
	})
}
