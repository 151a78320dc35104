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
	"github.com/catkingap/catkingap/worker"
)

// claimTable accepts and counts claims of ownerships.
type claimTable struct {
	storage.Table
	claims int
}

func (t *claimTable) Commit(context.Context, []storage.Write) ([]storage.Result, error) {
	t.claims++
	return []storage.Result{{Applied: true, Revision: ident.Revision(5 + t.claims)}}, nil
}

// TestOwnerPanics makes an event of an owner panic. The process must continue, other events
// must not wait forever, and the ownership must be claimed again.
func TestOwnerPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		logger := &log.Logger{Handler: discard.New()}
		self := ownership.Host{Name: "here", Boot: "boot", DataCentre: "coast-a"}
		table := &claimTable{}
		x := ownership.Owner{DataCentre: "coast-a", Host: "here", Boot: "boot", Token: 5}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		owned, end := context.WithCancel(ctx)
		owners := &Owners{
			self: self, logger: logger, ctx: ctx, contacts: &Contacts{clock: time.Now}, workers: silentWorkers{},
			counters:   newCounters(metrics.NewSet(), newLinks(logger, network.Real{})),
			directory:  newDirectory(self, table, nil, logger),
			lostOwners: map[ident.DataCentre]ownership.Owner{}, claiming: map[ident.DataCentre]bool{},
		}
		w := &Owner{
			owners: owners, owner: x, ctx: owned, cancel: end, logger: logger,
			machine: dispatch.New(time.Now(), dispatch.Config{MaxLease: time.Second, Token: 5}),
		}
		w.jobStore = &jobStore{owner: w, logger: logger}
		owners.owned = map[ident.DataCentre]*Owner{"coast-a": w}
		w.handle(eventSubmit, func(time.Time, *dispatch.Machine) { panic("unexpected") })
		_ = w.load()
		synctest.Wait()
		is.Equal(table.claims, 0)
		time.Sleep(claimRetryPause + time.Millisecond)
		synctest.Wait()
		is.Equal(owners.get("coast-a"), nil)
		is.Equal(owners.lostOwners["coast-a"].Token, worker.Token(5))
		is.True(w.ctx.Err() != nil) // Its waiting submissions end.
		is.Equal(table.claims, 1)
		is.Equal(owners.directory.Owners()["coast-a"].Token, worker.Token(6))
		is.Equal(owners.counters.panics.Value(), int64(1))
	})
}

// TestJobsAfterAPanicAreNotSetAside submits a job to an owner at which another job has made
// the machine panic. The next owner must get it.
func TestJobsAfterAPanicAreNotSetAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := newBareOwners(t)
		w := newBrokenOwner(t, owners)
		r, err := w.submit(t.Context(), dispatch.Submission{Host: "h", Job: work.Job{ID: "odd"}})
		is.NoErr(err)
		is.Equal(r.Result, dispatch.Failed)
		_, err = w.submit(t.Context(), dispatch.Submission{Host: "h", Job: work.Job{ID: "sound"}})
		is.Equal(err, errOwnerEnded)
		is.True(owners.poisonous.has("odd"))
		is.True(!owners.poisonous.has("sound"))
		is.Equal(owners.counters.panics.Value(), int64(1))
	})
}

// newBareOwners returns Owners that only log and count.
func newBareOwners(t *testing.T) *Owners {
	logger := &log.Logger{Handler: discard.New()}
	return &Owners{
		logger: logger, ctx: t.Context(), contacts: &Contacts{clock: time.Now}, workers: silentWorkers{},
		counters: newCounters(metrics.NewSet(), newLinks(logger, network.Real{})),
	}
}

// newBrokenOwner returns an Owner without a machine, at which each event panics.
func newBrokenOwner(t *testing.T, owners *Owners) *Owner {
	w := &Owner{owners: owners, logger: owners.logger, waiting: map[submissionKey]chan dispatch.Reply{}, hosts: map[ident.Host]string{}}
	w.ctx, w.cancel = context.WithCancel(t.Context())
	w.jobStore = &jobStore{owner: w, logger: owners.logger}
	return w
}

// TestJobThatPanicsItsOwnerIsNotHandedOn submits a job at which the owner's machine panics.
// Its caller must hear that it has failed, and the next owner must not get it.
func TestJobThatPanicsItsOwnerIsNotHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		owners := newBareOwners(t)
		s := dispatch.Submission{Host: "h", Call: 3, Job: work.Job{ID: "j"}}
		for range 2 {
			r, err := newBrokenOwner(t, owners).submit(t.Context(), s)
			is.NoErr(err)
			is.Equal(r.Result, dispatch.Failed)
			is.Equal(r.Call, uint64(3))
		}
		is.Equal(owners.counters.panics.Value(), int64(1))
	})
}
