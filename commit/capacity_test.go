package commit_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/commit"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/storage"
)

// pacedTable is a table that accepts one transaction per period and answers each
// after a delay.
type pacedTable struct {
	storage.Table
	period, delay time.Duration

	transactions atomic.Int64
	mutex        sync.Mutex
	nextFree     time.Time
}

// Commit implements storage.Table.
func (p *pacedTable) Commit(_ context.Context, writes []storage.Write) ([]storage.Result, error) {
	p.transactions.Add(1)
	now := time.Now()
	p.mutex.Lock()
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	p.nextFree = p.nextFree.Add(p.period)
	wait := p.nextFree.Sub(now) + p.delay
	p.mutex.Unlock()
	time.Sleep(wait)
	results := make([]storage.Result, len(writes))
	for i := range results {
		results[i] = storage.Result{Applied: true, Revision: ident.Revision(1)}
	}
	return results, nil
}

// The table of docs/CAPACITY.md: it accepts 400 transactions a second, of which
// the entry hosts together use 300, and syncs one in 4 ms.
const (
	tableBudget   = 300.0
	tablePeriod   = 2500 * time.Microsecond
	tableDelay    = 4 * time.Millisecond
	writeDuration = 10 * time.Second
)

// writeStatistics holds the figures of one run of writes.
type writeStatistics struct {
	rows, transactions int64
	// elapsed is the time until the last write was answered.
	elapsed     time.Duration
	median, p99 time.Duration
}

// perSecond returns the transactions per second.
func (m writeStatistics) perSecond() float64 { return float64(m.transactions) / m.elapsed.Seconds() }

// writeRows sends rows at a fixed rate, distributed over hosts, in virtual time.
func writeRows(t *testing.T, hosts, rowsPerSecond int) writeStatistics {
	var m writeStatistics
	synctest.Test(t, func(t *testing.T) {
		table := &pacedTable{period: tablePeriod, delay: tableDelay}
		batchers := make([]*commit.Batcher, hosts)
		for i := range batchers {
			batchers[i] = commit.NewBatcher(commit.Config{Table: table, Timeout: time.Minute, Window: commit.WindowConfig{
				Rate: tableBudget / float64(hosts), Burst: 10, MaxWrites: 100, MaxBytes: 1 << 20,
				MinPause: 20 * time.Millisecond, MaxPause: 250 * time.Millisecond,
			}})
		}
		began := time.Now()
		var mutex sync.Mutex
		var times []time.Duration
		var waiting sync.WaitGroup
		pause := time.Second / time.Duration(rowsPerSecond)
		for i := range int(writeDuration / pause) {
			waiting.Go(func() {
				start := time.Now()
				if _, err := batchers[i%hosts].Commit(t.Context(), storage.Write{}); err != nil {
					t.Error(err)
				}
				mutex.Lock()
				times = append(times, time.Since(start))
				mutex.Unlock()
			})
			time.Sleep(pause)
		}
		waiting.Wait()
		slices.Sort(times)
		m = writeStatistics{
			rows: int64(len(times)), transactions: table.transactions.Load(), elapsed: time.Since(began),
			median: times[len(times)/2], p99: times[len(times)*99/100],
		}
	})
	return m
}

// TestCapacityOfTable checks that group commit carries the rows of nine hosts
// within the rate of one table and without long waits. Its figures are those of
// docs/CAPACITY.md:
//
//	go test ./commit -run CapacityOfTable -v
func TestCapacityOfTable(t *testing.T) {
	is := is.New(t)
	for _, rate := range []int{50, 150, 500, 1000, 2000, 4000, 8000} {
		m := writeRows(t, 9, rate)
		t.Logf("%5d rows/s over 9 hosts: %6.1f transactions/s, %5.1f rows each, write p50 %v p99 %v",
			rate, m.perSecond(), float64(m.rows)/float64(m.transactions),
			m.median.Round(100*time.Microsecond), m.p99.Round(100*time.Microsecond))
		is.True(m.perSecond() <= 401)         // the table's rate is not exceeded
		is.True(m.p99 < 200*time.Millisecond) // no row waits long
	}
}
