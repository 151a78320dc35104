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

// pacedTable is a table that takes one transaction each period and answers each
// after a delay.
type pacedTable struct {
	storage.Table
	period, delay time.Duration

	transactions atomic.Int64
	mutex        sync.Mutex
	free         time.Time
}

// Commit implements storage.Table.
func (p *pacedTable) Commit(_ context.Context, writes []storage.Write) ([]storage.Result, error) {
	p.transactions.Add(1)
	now := time.Now()
	p.mutex.Lock()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(p.period)
	wait := p.free.Sub(now) + p.delay
	p.mutex.Unlock()
	time.Sleep(wait)
	results := make([]storage.Result, len(writes))
	for i := range results {
		results[i] = storage.Result{Applied: true, Revision: ident.Revision(1)}
	}
	return results, nil
}

// The table of the capacity page: it takes 400 transactions a second, of which
// all entry hosts together take 300, and syncs one in 4 ms.
const (
	tableBudget = 300.0
	tablePeriod = 2500 * time.Microsecond
	tableDelay  = 4 * time.Millisecond
	span        = 10 * time.Second
)

// measured is what one run of writes showed.
type measured struct {
	rows, transactions int64
	// took is the time until the last write was answered.
	took        time.Duration
	median, p99 time.Duration
}

// perSecond returns the transactions in each second.
func (m measured) perSecond() float64 { return float64(m.transactions) / m.took.Seconds() }

// writeRows sends rows at a rate, spread over hosts, in virtual time.
func writeRows(t *testing.T, hosts, rowsPerSecond int) measured {
	var m measured
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
		for i := range int(span / pause) {
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
		m = measured{
			rows: int64(len(times)), transactions: table.transactions.Load(), took: time.Since(began),
			median: times[len(times)/2], p99: times[len(times)*99/100],
		}
	})
	return m
}

// TestCapacityOfTable measures how group commit carries rows of nine hosts to
// one table. Its figures are those of docs/CAPACITY.md:
//
//	go test ./commit -run CapacityOfTable -v
func TestCapacityOfTable(t *testing.T) {
	is := is.New(t)
	for _, rate := range []int{50, 150, 500, 1000, 2000, 4000, 8000} {
		m := writeRows(t, 9, rate)
		t.Logf("%5d rows/s over 9 hosts: %6.1f transactions/s, %5.1f rows each, write p50 %v p99 %v",
			rate, m.perSecond(), float64(m.rows)/float64(m.transactions),
			m.median.Round(100*time.Microsecond), m.p99.Round(100*time.Microsecond))
		is.True(m.perSecond() <= 401)         // the rate of the table is kept
		is.True(m.p99 < 200*time.Millisecond) // and no row waits long
	}
}
