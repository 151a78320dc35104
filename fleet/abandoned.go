package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/relocation"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	// quietTime is how long an owner must be silent for its heartbeats to be read.
	quietTime = time.Second
	// abandonTime is how long an owner must neither write a heartbeat nor contact this host
	// for its stored jobs to be moved. By then it is in doubt, even if it was confirmed
	// until doubtTime by another owner that is in doubt itself, or suspended for 2 s without
	// noticing, and the leases of its workers have lapsed.
	abandonTime = 7 * time.Second
	// abandonRankDelay is how much later each further owner moves them.
	abandonRankDelay = 2 * time.Second
	// abandonInterval is the time between two reads of the jobs of an abandoned data centre:
	// an earlier write of its owner may be carried out late, or workers may return.
	abandonInterval = 10 * time.Second
)

// quietOwner is an owner that is silent.
type quietOwner struct {
	token    worker.Token
	revision ident.Revision
	// since is when the heartbeat was first read at this revision.
	since time.Time
	// next is when its jobs are next moved.
	next time.Time
}

// watchOthers moves the stored jobs of data centres whose owners are lost, until ctx ends.
func (s *jobStore) watchOthers(ctx context.Context) {
	contacts, directory := s.owner.owners.contacts, s.owner.owners.directory
	quiet := map[ident.DataCentre]quietOwner{}
	for sleep(ctx, heartbeatReadInterval) {
		for d, o := range directory.Owners() {
			now := time.Now()
			last := contacts.lastSign(d)
			if contacts.isSelf(o) || now.Sub(last) < quietTime {
				delete(quiet, d)
				continue
			}
			revision, err := directory.HeartbeatRevision(ctx, d)
			if err != nil {
				continue
			}
			x, known := quiet[d]
			if !known || x.revision != revision || x.token != o.Token {
				quiet[d] = quietOwner{token: o.Token, revision: revision, since: time.Now()}
				continue
			}
			silence := min(now.Sub(x.since), now.Sub(last))
			if silence < abandonTime+time.Duration(s.rank(now, d))*abandonRankDelay || now.Before(x.next) {
				continue
			}
			if err := s.moveJobsOf(ctx, o, revision); err != nil {
				s.logger.WithField("from", string(d)).WithError(err).Warn("stored jobs of a lost data centre not moved")
				continue
			}
			x.next = now.Add(abandonInterval)
			quiet[d] = x
		}
	}
}

// rank returns how many other owners precede this one in moving the jobs of a data centre.
func (s *jobStore) rank(now time.Time, lost ident.DataCentre) int {
	rank := 0
	for d := range s.owner.owners.contacts.heardOwners(now) {
		if d != lost && d < s.owner.owner.DataCentre {
			rank++
		}
	}
	return rank
}

// isSelf returns true if an owner is this process.
func (c *Contacts) isSelf(o ownership.Owner) bool {
	return o.Host == c.self.Name && o.Boot == c.self.Boot
}

// heardOwners returns the owners that have answered lately, and those of this host.
func (c *Contacts) heardOwners(now time.Time) map[ident.DataCentre]ownership.Owner {
	owners := c.directory.Owners()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for d, o := range owners {
		a := c.ownersHeard[d]
		if !c.isSelf(o) && (a.token != o.Token || now.Sub(a.heard) >= quietTime) {
			delete(owners, d)
		}
	}
	return owners
}

// moveJobsOf moves the open jobs of a lost owner to data centres that can run them. The
// revision is that of its last heartbeat: if it writes another one, nothing is moved.
func (s *jobStore) moveJobsOf(ctx context.Context, lost ownership.Owner, revision ident.Revision) error {
	states, err := s.listStates(ctx)
	if err != nil {
		return err
	}
	entries := map[work.ID]ledger.Entry{}
	for id, r := range states {
		if e, err := ledger.ReadEntry(r); err == nil && e.DataCentre == lost.DataCentre && !e.HasEnded() {
			entries[id] = e
		}
	}
	jobs, err := s.readJobs(ctx, entries)
	if err != nil {
		return err
	}
	centres := s.owner.usableWorkers()
	delete(centres, lost.DataCentre)
	var transfers []ledger.Transfer
	for id, j := range jobs {
		if to, ok := relocation.Choose(&j, entries[id].Progress.Done, centres); ok {
			transfers = append(transfers, ledger.Transfer{ID: id, Row: entries[id], Revision: states[id].Revision, To: to})
		}
	}
	fields := log.Fields{"from": string(lost.DataCentre), "open": len(entries), "moved": len(transfers)}
	writes, err := ledger.TransferWrites([]storage.Condition{
		{Key: ownerKey(s.owner.owner.DataCentre), Revision: ident.Revision(s.owner.owner.Token)},
		{Key: ownerKey(lost.DataCentre), Revision: ident.Revision(lost.Token)},
		{Key: heartbeatKey(lost.DataCentre), Revision: revision},
	}, transfers)
	if err != nil {
		return err
	}
	for _, w := range writes {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		results, err := s.table.Commit(call, []storage.Write{w})
		cancel()
		if err != nil {
			return err
		}
		if !results[0].Applied {
			s.logger.WithFields(fields).Info("stored jobs of a silent data centre have changed")
			return nil
		}
	}
	s.logger.WithFields(fields).Warn("moved the stored jobs of a lost data centre")
	return nil
}

// usableWorkers returns the workers that may run moved jobs: those of this owner, and those
// of the owners that this host hears.
func (w *Owner) usableWorkers() map[ident.DataCentre][]worker.Worker {
	heard := w.owners.contacts.heardOwners(time.Now())
	centres := map[ident.DataCentre][]worker.Worker{}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	centres[w.owner.DataCentre] = w.machine.AvailableWorkers(w.owners.contacts.clock())
	for d, workers := range w.machine.OtherWorkers() {
		if _, ok := heard[d]; ok {
			centres[d] = slices.DeleteFunc(slices.Clone(workers), func(x worker.Worker) bool { return x.Draining })
		}
	}
	return centres
}
