package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/timeline"
)

// senderFunc is a backend.Sender that calls a function.
type senderFunc func(context.Context, backend.Request) (backend.Reply, error)

func (f senderFunc) Send(ctx context.Context, r backend.Request) (backend.Reply, error) {
	return f(ctx, r)
}

// Check implements backend.Sender.
func (f senderFunc) Check(context.Context, string) (backend.Health, error) {
	return backend.Health{}, nil
}

// newTestDispatcher returns the dispatcher of one host with servers at the given
// addresses.
func newTestDispatcher(sender backend.Sender, slots int, addresses ...string) *Dispatcher {
	s := settings.Default()
	s.Host = "host"
	directory := newDirectory()
	ring := timeline.NewRing(s.Host, time.Now(), s.Limits.TimelineEvents)
	d := newDispatcher(s, Identity{Holder: job.Holder{Host: "host", Boot: "boot"}, DataCentre: "dc"}, sender, ring, newMetrics())
	snapshot := &resource.Snapshot{
		Pools:   map[ident.Pool]resource.PoolSpec{"pool": {}},
		Servers: map[ident.Pool][]resource.Server{},
	}
	for i, a := range addresses {
		snapshot.Servers["pool"] = append(snapshot.Servers["pool"], resource.Server{
			Name:              ident.Server(fmt.Sprint("server-", i)),
			BackendServerSpec: resource.BackendServerSpec{Pool: "pool", Address: a, DataCentre: "dc", Slots: slots},
		})
	}
	d.Configure(snapshot, directory)
	return d
}

// call submits one request and waits for its result.
func (d *Dispatcher) call(ctx context.Context, w *Work) (backend.Reply, *outcome.Error) {
	type end struct {
		reply   backend.Reply
		failure *outcome.Error
	}
	done := make(chan end, 1)
	w.Context, w.Team, w.Pool, w.Service = ctx, "team", "pool", "call"
	w.Done = func(r backend.Reply, e *outcome.Error) { done <- end{r, e} }
	if e := d.Submit(w); e != nil {
		return backend.Reply{}, e
	}
	e := <-done
	return e.reply, e.failure
}

func TestOnlySafeWorkIsSentAgain(t *testing.T) {
	tests := map[string]struct {
		failure    *outcome.Error
		idempotent bool
		sent       int
	}{
		"refused":              {outcome.New(outcome.NotRun, outcome.Busy, ""), false, 2},
		"unreachable":          {outcome.New(outcome.NotRun, outcome.Unreachable, ""), false, 2},
		"unknown":              {outcome.New(outcome.Unknown, outcome.LinkLost, ""), false, 1},
		"failed":               {outcome.New(outcome.Failed, outcome.TaskFailed, ""), false, 1},
		"unknown, idempotent":  {outcome.New(outcome.Unknown, outcome.LinkLost, ""), true, 2},
		"failed, idempotent":   {outcome.New(outcome.Failed, outcome.TaskFailed, ""), true, 2},
		"answered, idempotent": {nil, true, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mutex sync.Mutex
			sent := 0
			d := newTestDispatcher(senderFunc(func(context.Context, backend.Request) (backend.Reply, error) {
				mutex.Lock()
				defer mutex.Unlock()
				sent++
				if sent == 1 && test.failure != nil {
					return backend.Reply{}, test.failure
				}
				return backend.Reply{}, nil
			}), 1, "a", "b")
			_, failure := d.call(t.Context(), &Work{Idempotent: test.idempotent})
			is.Equal(sent, test.sent)
			is.Equal(failure == nil, test.failure == nil || test.sent == 2)
		})
	}
}

// TestRequestInQueueIsAnsweredAtItsDeadline checks that a request that waits
// behind a blocked slot ends at its deadline as not run.
func TestRequestInQueueIsAnsweredAtItsDeadline(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	d := newTestDispatcher(senderFunc(func(context.Context, backend.Request) (backend.Reply, error) {
		<-release
		return backend.Reply{}, nil
	}), 1, "a")
	is.Equal(d.Submit(&Work{Context: t.Context(), Pool: "pool", Service: "call", Done: func(backend.Reply, *outcome.Error) {}}), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, failure := d.call(ctx, &Work{})
	is.Equal(failure.Kind, outcome.NotRun)
	is.True(failure.RetryAfter > 0)
}

func TestSlowRequestIsHedged(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	var mutex sync.Mutex
	sent := map[string]int{}
	d := newTestDispatcher(senderFunc(func(ctx context.Context, r backend.Request) (backend.Reply, error) {
		mutex.Lock()
		sent[string(r.Body)]++
		first := sent[string(r.Body)] == 1
		mutex.Unlock()
		if string(r.Body) == "slow" && first {
			select {
			case <-ctx.Done():
				close(hang)
				return backend.Reply{}, outcome.New(outcome.Unknown, outcome.LinkLost, "")
			case <-time.After(time.Minute):
			}
		}
		return backend.Reply{}, nil
	}), 1, "a", "b")
	for range 20 {
		// Fast requests are not hedged: a copy of one that is slow by chance
		// would use up the retry budget.
		_, failure := d.call(t.Context(), &Work{Body: []byte("fast"), Idempotent: true})
		is.Equal(failure, nil)
	}
	_, failure := d.call(t.Context(), &Work{Body: []byte("slow"), Idempotent: true, Hedge: true})
	is.Equal(failure, nil)
	is.Equal(sent["slow"], 2)
	<-hang // the slower copy was cancelled
}

// serveBackend starts a stand-in backend server whose tasks take no time and
// returns its address.
func serveBackend(tb testing.TB, slots int) string {
	b := standin.NewBackend(standin.BackendConfig{Slots: slots, Work: func(body []byte) ([]byte, time.Duration, error) { return body, 0, nil }})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &http.Server{Handler: b.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	tb.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// processorTime returns the CPU time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkStart compares requests through the dispatcher with direct calls to
// the same backend servers. Both run in one process with the stand-ins.
func BenchmarkStart(b *testing.B) {
	const callers, servers, slots = 32, 8, 32
	sender := backend.NewClient(backend.ClientConfig{Network: network.Real{DialTimeout: time.Second}, Connections: 60, IdleTimeout: time.Minute})
	addresses := make([]string, servers)
	for i := range addresses {
		addresses[i] = serveBackend(b, slots)
	}
	d := newTestDispatcher(sender, slots, addresses...)
	body := []byte(`{"site":"groyne 7"}`)
	calls := map[string]func(i int) error{
		"direct": func(i int) error {
			_, err := sender.Send(b.Context(), backend.Request{ID: d.requests.Next(), Address: addresses[i%servers], Body: body})
			return err
		},
		"dispatcher": func(int) error {
			if _, e := d.call(b.Context(), &Work{Body: body}); e != nil {
				return e
			}
			return nil
		},
	}
	for _, name := range []string{"direct", "dispatcher"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var waiting sync.WaitGroup
			times := make([][]time.Duration, callers)
			work := make(chan int, callers)
			used, began := processorTime(b), time.Now()
			for c := range callers {
				waiting.Go(func() {
					for i := range work {
						start := time.Now()
						if err := calls[name](i); err != nil {
							b.Error(err)
						}
						times[c] = append(times[c], time.Since(start))
					}
				})
			}
			n := 0
			for b.Loop() {
				work <- n
				n++
			}
			close(work)
			waiting.Wait()
			all := slices.Sorted(slices.Values(slices.Concat(times...)))
			b.ReportMetric(float64(n)/time.Since(began).Seconds(), "starts/s")
			b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(n), "cpu-µs/start")
			b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
		})
	}
}

// TestMemoryOfALongQueue bounds the memory of 100,000 queued tasks.
func TestMemoryOfALongQueue(t *testing.T) {
	is := is.New(t)
	d := newTestDispatcher(senderFunc(func(ctx context.Context, _ backend.Request) (backend.Reply, error) {
		<-ctx.Done()
		return backend.Reply{}, ctx.Err()
	}), 8, "a")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const jobs, tasks = 100, 1000
	for j := range jobs {
		works := make([]*Work, tasks)
		for i := range works {
			id := ident.Task{Job: ident.Job{Team: "team", Key: ident.JobKey(fmt.Sprint(j))}, Index: ident.TaskIndex(i)}
			works[i] = &Work{
				Context: ctx, Team: "team", Pool: "pool", Task: &id, Body: make([]byte, 256),
				Done: func(backend.Reply, *outcome.Error) {},
			}
		}
		is.Equal(d.Submit(works...), nil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d MB with %d queued tasks of 256 bytes", used>>20, jobs*tasks)
	is.True(used < 256<<20)
	for j := range jobs {
		d.Drop("pool", ident.Job{Team: "team", Key: ident.JobKey(fmt.Sprint(j))})
	}
	is.Equal((*d.pools.Load())["pool"].pool.Waiting(), 0)
}
