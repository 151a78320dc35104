package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

// load reads the stored jobs of this owner's data centre.
func (s *jobStore) load(ctx context.Context) error {
	open, err := s.readNew(ctx)
	if err != nil {
		return err
	}
	if open == 0 {
		s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) { m.StoredJobsLoaded(now) })
	}
	go s.guardOwnership(ctx, open == 0)
	return nil
}

// refresh takes over the jobs that others have moved to this data centre, and drops those
// that were moved away.
func (s *jobStore) refresh(ctx context.Context) error {
	_, err := s.readNew(ctx)
	return err
}

// readNew reads the states of all jobs, drops those that were moved to another data centre,
// and adds those of this one that are not known. It returns how many of these are open.
func (s *jobStore) readNew(ctx context.Context) (int, error) {
	select {
	case s.reading <- struct{}{}:
		defer func() { <-s.reading }()
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	states, err := s.listStates(ctx)
	if err != nil {
		return 0, err
	}
	s.mutex.Lock()
	o, entries, unreadable := s.ledger.Compare(states)
	s.mutex.Unlock()
	for _, err := range unreadable {
		s.logger.WithError(err).Error("state of a job cannot be read")
	}
	s.owner.handle(eventStore, func(now time.Time, m *dispatch.Machine) { s.applyOutcome(now, m, o) })
	jobs, err := s.readJobs(ctx, entries)
	if err != nil {
		return 0, err
	}
	for id, e := range entries {
		if _, ok := jobs[id]; !ok && !e.HasEnded() {
			// It cannot be run, or was cancelled between the two reads: its state row stays as it is.
			s.logger.WithField("job", string(id)).Warn("open job without a specification is skipped")
			delete(entries, id)
		}
	}
	s.mutex.Lock()
	for id, e := range entries {
		if !s.ledger.Load(id, jobs[id], e, states[id].Revision) {
			// It is submitted again at the same moment; the answer to its write tells more.
			delete(jobs, id)
		}
	}
	s.loaded = true
	s.mutex.Unlock()
	for id, j := range jobs {
		e := entries[id]
		// A job that is set aside stays in the table.
		_ = s.owner.handleJob(eventStore, id, func(now time.Time, m *dispatch.Machine) {
			m.AddLosses(now, e.Losses)
			m.AddStored(now, j, e.Progress, true)
			if s.isCancelled(id) {
				m.Cancel(now, id)
			}
		})
	}
	if len(entries) > 0 {
		s.logger.WithFields(log.Fields{"jobs": len(entries), "open": len(jobs)}).Info("stored jobs loaded")
	}
	return len(jobs), nil
}

// followInbox takes over the jobs that are moved to this data centre, until ctx ends.
func (s *jobStore) followInbox(ctx context.Context, seen ident.Revision) {
	for sleep(ctx, storeInterval) {
		revision := s.owner.owners.directory.InboxRevision(s.owner.owner.DataCentre)
		if revision <= seen && !s.recheck.Load() {
			continue
		}
		s.recheck.Store(false)
		if err := s.refresh(ctx); err != nil {
			s.recheck.Store(true)
			s.logger.WithError(err).Warn("stored jobs not read")
			continue
		}
		seen = revision
	}
}

// readJobs reads the specifications of the jobs that have not ended. Those that cannot be
// read or run are left out.
func (s *jobStore) readJobs(ctx context.Context, entries map[work.ID]ledger.Entry) (map[work.ID]work.Job, error) {
	if !slices.ContainsFunc(slices.Collect(maps.Values(entries)), func(e ledger.Entry) bool { return !e.HasEnded() }) {
		return nil, nil
	}
	rows, err := s.listRows(ctx, ledger.JobGroup)
	if err != nil {
		return nil, err
	}
	jobs := map[work.ID]work.Job{}
	for id, e := range entries {
		if e.HasEnded() {
			continue
		}
		j, err := ledger.ReadJob(rows, id, e)
		if err == nil {
			err = j.Check()
		}
		if err != nil {
			s.logger.WithField("job", string(id)).WithError(err).Error("stored job cannot be run")
			continue
		}
		jobs[id] = j
	}
	return jobs, nil
}

// listStates reads the state rows of all jobs.
func (s *jobStore) listStates(ctx context.Context) (map[work.ID]storage.Row, error) {
	rows, err := s.listRows(ctx, ledger.StateGroup)
	states := make(map[work.ID]storage.Row, len(rows))
	for key, r := range rows {
		states[ledger.ID(key)] = r
	}
	return states, err
}

// listRows reads all rows of a group by key.
func (s *jobStore) listRows(ctx context.Context, group string) (map[string]storage.Row, error) {
	found := map[string]storage.Row{}
	for after := ""; ; {
		rows, err := s.listPage(ctx, group, after)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			found[r.Key] = r
			after = r.Key
		}
		if len(rows) < pageRows {
			return found, nil
		}
	}
}

// listPage reads up to pageRows rows of a group after a key. A page whose answer is lost is
// read again.
func (s *jobStore) listPage(ctx context.Context, group, after string) ([]storage.Row, error) {
	for try := 1; ; try++ {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		rows, _, err := s.table.List(call, group+"/", after, pageRows)
		cancel()
		if err == nil || try == pageTries || !sleep(ctx, storeRetryPause) {
			return rows, err
		}
	}
}

const (
	// pageRows is the number of rows that are read at once. The table sends at most 500 in
	// one answer.
	pageRows = 500
	// pageTries is how often a page is read before the reading of the group fails.
	pageTries = 3
)
