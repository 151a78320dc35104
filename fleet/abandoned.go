package fleet

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/relocation"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

// watchOthers moves the stored jobs of data centres whose owners are lost, until ctx ends.
func (s *jobStore) watchOthers(ctx context.Context) {
	contacts, directory := s.owner.owners.contacts, s.owner.owners.directory
	watch := ownership.NewWatch()
	for sleep(ctx, heartbeatReadInterval) {
		for d, o := range directory.Owners() {
			sent, last := time.Now(), contacts.lastSign(d)
			if contacts.self.Owns(o) || !watch.IsQuiet(sent, last, o) {
				continue
			}
			revision, err := directory.HeartbeatRevision(ctx, d)
			now := time.Now()
			if err != nil || !watch.IsAbandoned(sent, now, last, o, revision, s.rank(now, d)) {
				continue
			}
			if err := s.moveJobsOf(ctx, o, revision); err != nil {
				s.logger.WithField("from", string(d)).WithError(err).Warn("stored jobs of a lost data centre not moved")
				continue
			}
			watch.NoteMoved(now, d)
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

// heardOwners returns the owners that have answered lately, and those of this host.
func (c *Contacts) heardOwners(now time.Time) map[ident.DataCentre]ownership.Owner {
	owners := c.directory.Owners()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for d, o := range owners {
		a := c.ownersHeard[d]
		if !c.self.Owns(o) && (a.Token != o.Token || now.Sub(a.Heard) >= ownership.QuietTime) {
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
