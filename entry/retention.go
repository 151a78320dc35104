package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/catkingap/catkingap/commit"
	"github.com/catkingap/catkingap/lease"
	"github.com/catkingap/catkingap/storage"
)

const (
	// jobRetention is the time for which the outcome of a job is kept.
	jobRetention = 24 * time.Hour
	// retentionPageSize is the number of rows that are read each
	// retentionInterval.
	retentionPageSize = 100
	retentionInterval = time.Second
)

// retention deletes the rows of jobs that ended more than jobRetention ago, a
// page at a time.
type retention struct {
	table   storage.Table
	batcher *commit.Batcher
	// after is the last key of the previous page.
	after string
}

// runRetention runs the retention on the one host that rendezvous hashing
// chooses. It is safe if two hosts run it for a while: each delete is conditional
// on the row's revision.
func runRetention(lc fx.Lifecycle, j *Jobs) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &retention{table: j.table, batcher: j.batcher}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runPeriodically(ctx, retentionInterval, func(ctx context.Context) {
				if j.watcher.isFirstFor("retention") {
					r.sweep(ctx, time.Now())
				}
			})
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// isFirstFor returns true if this host ranks first of all live hosts for a duty.
func (w *hostWatcher) isFirstFor(duty string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return lease.Rank(w.jobs.identity.Host, w.monitor.Live(), duty) == 0
}

// sweep reads the next page of jobs, deletes the expired rows and returns how
// many it deleted.
func (r *retention) sweep(ctx context.Context, now time.Time) int {
	rows, _, err := r.table.List(ctx, jobKeyPrefix, r.after, retentionPageSize)
	if err != nil {
		return 0
	}
	r.after = ""
	if len(rows) == retentionPageSize {
		r.after = rows[len(rows)-1].Key
	}
	return r.remove(ctx, expired(rows, now))
}

// expired returns the rows of jobs that ended more than jobRetention ago.
func expired(rows []storage.Row, now time.Time) []storage.Row {
	var old []storage.Row
	for _, row := range rows {
		if decoded := decodeRow(&row); decoded.Expired(now, jobRetention) {
			old = append(old, row)
		}
	}
	return old
}

// remove deletes rows that have not changed since they were read.
func (r *retention) remove(ctx context.Context, rows []storage.Row) int {
	var mutex sync.Mutex
	var writes sync.WaitGroup
	removed := 0
	for _, row := range rows {
		writes.Go(func() {
			result, err := r.batcher.Commit(ctx, storage.Write{
				Conditions: []storage.Condition{{Key: row.Key, Revision: row.Revision}},
				Deletes:    []string{row.Key},
			})
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil && result.Applied {
				removed++
			}
		})
	}
	writes.Wait()
	return removed
}
