package commit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/storage"
)

// fakeTable takes a fixed time for each transaction and records their sizes.
type fakeTable struct {
	storage.Table
	writeTime time.Duration
	fails     bool

	mutex       sync.Mutex
	sizes       []int
	inFlight    int
	maxInFlight int
}

func (f *fakeTable) Commit(_ context.Context, writes []storage.Write) ([]storage.Result, error) {
	f.mutex.Lock()
	f.sizes = append(f.sizes, len(writes))
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
	f.mutex.Unlock()
	time.Sleep(f.writeTime)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.inFlight--
	if f.fails {
		return nil, errors.New("refused")
	}
	return make([]storage.Result, len(writes)), nil
}

var testWindow = WindowConfig{
	Rate: 100, Burst: 10, MaxWrites: 100, MaxBytes: 1 << 20, MinPause: 20 * time.Millisecond, MaxPause: 250 * time.Millisecond,
}

func put(key string, size int) storage.Write {
	return storage.Write{Puts: []storage.Put{{Key: key, Value: make([]byte, size)}}}
}

// runJobs lets each client run jobs one after another, with two writes and a
// pause for the tasks between them, and returns the transactions and rows per
// job.
func runJobs(table *fakeTable, clients, jobs int) (transactions, rows float64) {
	b := NewBatcher(Config{Table: table, Timeout: 2 * time.Second, Window: testWindow})
	var running sync.WaitGroup
	for c := range clients {
		running.Go(func() {
			for j := range jobs {
				key := fmt.Sprintf("job/%d/%d", c, j)
				_, _ = b.Commit(context.Background(), put(key, 100))
				time.Sleep(50 * time.Millisecond)
				_, _ = b.Commit(context.Background(), put(key, 100))
			}
		})
	}
	running.Wait()
	total := float64(clients * jobs)
	return float64(b.Transactions.Load()) / total, float64(b.Rows.Load()) / total
}

func TestTransactionsPerJob(t *testing.T) {
	tests := map[string]struct {
		clients int
		bound   float64
	}{
		"1 in flight":   {clients: 1, bound: 2},
		"10 in flight":  {clients: 10, bound: 1},
		"100 in flight": {clients: 100, bound: 0.2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				transactions, rows := runJobs(&fakeTable{writeTime: 4 * time.Millisecond}, tt.clients, 100)
				t.Logf("%.3f transactions and %.0f rows per job", transactions, rows)
				is.True(transactions <= tt.bound)
				is.Equal(rows, 2.0)
			})
		})
	}
}

func TestSlowStoreGetsLargerTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		quick, slow := &fakeTable{writeTime: 4 * time.Millisecond}, &fakeTable{writeTime: 200 * time.Millisecond}
		quickPerJob, _ := runJobs(quick, 50, 20)
		slowPerJob, _ := runJobs(slow, 50, 20)
		t.Logf("%.3f transactions per job on a quick store, %.3f on a slow one", quickPerJob, slowPerJob)
		is.True(slowPerJob < quickPerJob/1.5)
		is.Equal(quick.maxInFlight, 1)
		is.Equal(slow.maxInFlight, 1)
	})
}

func TestBudgetIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := &fakeTable{}
		began := time.Now()
		_, _ = runJobs(table, 200, 50)
		seconds := time.Since(began).Seconds()
		t.Logf("%d transactions in %.2f s", len(table.sizes), seconds)
		is.True(float64(len(table.sizes)) <= seconds*testWindow.Rate+testWindow.Burst+1)
	})
}

func TestRefusingStoreGetsFewTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := &fakeTable{fails: true}
		b := NewBatcher(Config{Table: table, Timeout: time.Second, Window: testWindow})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var running sync.WaitGroup
		longest := make([]time.Duration, 100)
		for c := range longest {
			running.Go(func() {
				for ctx.Err() == nil {
					began := time.Now()
					_, _ = b.Commit(context.Background(), put(fmt.Sprint(c), 10))
					longest[c] = max(longest[c], time.Since(began))
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		running.Wait()
		t.Logf("%d transactions in 10 s", len(table.sizes))
		is.True(len(table.sizes) <= 50)
		for _, l := range longest {
			is.True(l <= 2*testWindow.MaxPause)
		}
	})
}

func TestWindowFit(t *testing.T) {
	many := make([]storage.Write, 0, 150)
	for i := range 150 {
		many = append(many, put(fmt.Sprint(i), 10))
	}
	tests := map[string]struct {
		waiting []storage.Write
		want    int
	}{
		"one":                         {waiting: many[:1], want: 1},
		"rows are bounded":            {waiting: many, want: 100},
		"bytes are bounded":           {waiting: []storage.Write{put("a", 400<<10), put("b", 300<<10), put("c", 300<<10)}, want: 2},
		"a large write is sent alone": {waiting: []storage.Write{put("a", 4<<20), put("b", 1)}, want: 1},
		"a key is sent once":          {waiting: []storage.Write{put("a", 1), put("b", 1), put("a", 1)}, want: 2},
		"a deleted key counts too":    {waiting: []storage.Write{{Deletes: []string{"a"}}, put("a", 1)}, want: 1},
		"conditions do not clash":     {waiting: []storage.Write{{Conditions: []storage.Condition{{Key: "a"}}}, put("a", 1)}, want: 2},
		"no write waits":              {want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			count, wait := NewWindow(now, testWindow).Begin(now, tt.waiting)
			is.Equal(count, tt.want)
			is.Equal(wait, time.Duration(0))
		})
	}
}
