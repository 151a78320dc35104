package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

// movedTable is a table in which another host owns the workers.
type movedTable struct{ storage.Table }

func (movedTable) Get(_ context.Context, key string) (*storage.Row, ident.Revision, error) {
	return &storage.Row{Key: key, Revision: 9}, 9, nil
}

func (movedTable) Commit(context.Context, []storage.Write) ([]storage.Result, error) {
	value, err := msgpack.Marshal(ownership.Owner{Host: "other"})
	return []storage.Result{{Current: []storage.Row{{Value: value, Revision: 9}}}}, err
}

// TestPausedOwnerIsReplaced resumes a paused owner that was replaced, while the hosts that
// it contacts have not told it so. Its stored jobs must be held back as long as the table
// names another owner.
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
			directory: &Directory{table: movedTable{}, hosts: map[ident.Host]ownership.Host{other.Name: other}},
		}
		o := &Owner{
			ctx: ctx, cancel: cancel, logger: logger, owner: x,
			owners: &Owners{
				workers: silentWorkers{}, contacts: contacts, directory: contacts.directory, counters: newCounters(metrics.NewSet(), newLinks(logger, network.Real{})),
			},
			machine: dispatch.New(time.Now(), dispatch.Config{MaxLease: time.Second, Token: 5}),
		}
		o.jobStore = newJobStore(o, movedTable{}, nil, x)
		_, err := o.jobStore.ledger.Accept(work.Job{ID: "j", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Estimate: time.Second}}})
		is.NoErr(err)
		_, _, err = o.jobStore.ledger.Next()
		is.NoErr(err)
		o.jobStore.ledger.HandleResult(storage.Result{Applied: true, Revision: 6}, nil)
		is.Equal(o.jobStore.openJobs(), 1)
		go func() {
			for sleep(ctx, contactInterval) {
				contacts.mutex.Lock()
				contacts.contacts[other.Name] = ownership.Contact{Heard: time.Now()}
				contacts.mutex.Unlock()
			}
		}()
		o.handle(eventTick, func(now time.Time, m *dispatch.Machine) { m.StoredJobsLoaded(now) })
		time.Sleep(contactInterval + time.Millisecond)
		go o.jobStore.guardOwnership(ctx, true)
		time.Sleep(2*time.Second + ownership.DoubtTime)
		o.handle(eventTick, func(now time.Time, m *dispatch.Machine) { m.Tick(now) })
		is.True(o.inDoubt())
		time.Sleep(time.Second)
		is.True(o.inDoubt())
	})
}
