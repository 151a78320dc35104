package integration

import (
	"context"
	"net"
	"net/http"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/cmd"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/repairlog"
	"github.com/catkingap/catkingap/storage"
)

// balancer sends each request to a host that passed its last readiness check,
// as the platform's balancer does. Its callers keep their connections open.
type balancer struct {
	k     *cluster
	mutex sync.Mutex
	ready map[*entryHost]bool
	turn  int
}

// membershipReadTime is the time within which each host reads the membership
// list.
const membershipReadTime = 1500 * time.Millisecond

// readinessInterval is the time between two readiness checks of the balancer.
const readinessInterval = 50 * time.Millisecond

func (k *cluster) startBalancer() *balancer {
	b := &balancer{k: k, ready: map[*entryHost]bool{}}
	for _, h := range k.hosts {
		b.ready[h] = true
	}
	stop := make(chan struct{})
	k.t.Cleanup(func() { close(stop) })
	for _, h := range k.hosts {
		go b.watch(h, stop)
	}
	return b
}

func (b *balancer) watch(h *entryHost, stop <-chan struct{}) {
	for {
		ready := isReady(h)
		b.mutex.Lock()
		b.ready[h] = ready
		b.mutex.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(readinessInterval):
		}
	}
}

func isReady(h *entryHost) bool {
	response, err := http.Get(h.api + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

// next returns a host that passed its last readiness check.
func (b *balancer) next() *entryHost {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for range b.k.hosts {
		b.turn++
		if h := b.k.hosts[b.turn%len(b.k.hosts)]; b.ready[h] {
			return h
		}
	}
	return b.k.hosts[0]
}

// run sends requests through the balancer until stop is closed. Each worker
// keeps connections of its own. It returns the number of answers and all
// failures.
func (b *balancer) run(workers int, run time.Duration, stop <-chan struct{}) (answers int, failures []error) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	for i := range workers {
		group.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for seed := uint64(i); ; seed += 1000 {
				select {
				case <-stop:
					return
				default:
				}
				err := b.send(&http.Client{Transport: transport}, seed, run)
				mutex.Lock()
				if err != nil {
					failures = append(failures, err)
				} else {
					answers++
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	return answers, failures
}

func (b *balancer) send(h *http.Client, seed uint64, run time.Duration) error {
	payload := newSubmission("call", seed, 1, run).Tasks[0].Payload
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := client.New(h, b.next().api).Call(ctx, entry.ServiceRequest{Team: teamName, Service: serviceName, Body: payload})
	if err != nil {
		return err
	}
	return repairlog.Check(payload, answer)
}

// waitForExit waits for the end of the process and returns its exit code and
// the time since the given one.
func (p *process) waitForExit(since time.Time) (int, time.Duration) {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(testTimeout):
		p.t.Fatal("process did not end")
	}
	return p.command.ProcessState.ExitCode(), time.Since(since)
}

// TestShutdownCutsNothing guards against requests lost at a shutdown. Two of
// three hosts get SIGTERM, one after the other, under a load that queues: no
// request may be cut or start twice, and the hosts must exit with 0 within the
// bound.
func TestShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 2, slots: 4, settings: "shutdownTimeout: 15s\n"})
	b := k.startBalancer()
	stop := make(chan struct{})
	var answers int
	var failures []error
	var group sync.WaitGroup
	group.Go(func() { answers, failures = b.run(40, 60*time.Millisecond, stop) })
	time.Sleep(time.Second)
	for _, h := range k.hosts[1:] {
		signalled := time.Now()
		h.signal(syscall.SIGTERM)
		code, took := h.waitForExit(signalled)
		k.is.Equal(code, cmd.ExitDone)
		k.is.True(took < 15*time.Second)
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	for _, err := range failures {
		t.Errorf("request failed: %v", err)
	}
	k.is.True(answers > 100)
	k.checkRequestsOnce()
}

// listDeadHost lists an entry host that is gone, but whose address still
// accepts connections and closes them at once.
func (k *cluster) listDeadHost() {
	k.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	k.is.NoErr(err)
	k.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
	k.listMember(storage.TargetGroup{Targets: []string{listener.Addr().String()}, Labels: map[string]string{
		storage.LabelID: "ghost", storage.LabelRole: string(storage.EntryHost), storage.LabelDataCentre: dataCentres[0],
		storage.LabelState: string(storage.Live),
	}})
}

// TestShutdownHandsOver shuts down a host with a long queue and a slow backend
// server. The queued requests must run through another host and reach their
// callers, and the running ones must end on this host. A dead host that is
// still listed must get none.
func TestShutdownHandsOver(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 2, backends: 1, slots: 2, settings: "shutdownTimeout: 30s\n"})
	k.listDeadHost()
	time.Sleep(membershipReadTime)
	const requests = 20
	k.shutDownWithQueue(requests, 120*time.Millisecond)
	k.is.Equal(len(k.startLog(k.backends[0])), requests)
	k.is.True(k.hosts[0].outputMatches(`"handedOver":[1-9]`))
}

// outputMatches reports whether the output of the process matches a pattern.
func (p *process) outputMatches(pattern string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return regexp.MustCompile(pattern).MatchString(p.output.String())
}

// TestShutdownAlone shuts down the only host of a cluster. No other host can
// take its queue, so it must run all of it before it exits with 0.
func TestShutdownAlone(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 1, backends: 1, slots: 2, settings: "shutdownTimeout: 30s\n"})
	k.shutDownWithQueue(10, 300*time.Millisecond)
}

// shutDownWithQueue sends SIGTERM to the first host while some of its requests
// run and the others are queued. All must be answered, none may start twice,
// and the host must exit with 0.
func (k *cluster) shutDownWithQueue(requests int, run time.Duration) {
	k.t.Helper()
	errs := make(chan error, requests)
	for i := range requests {
		go func() { errs <- k.callService(k.hosts[0], uint64(i), run) }()
	}
	k.eventually("queued", func() bool { return len(k.startLog(k.backends[0])) >= 2 })
	signalled := time.Now()
	k.hosts[0].signal(syscall.SIGTERM)
	for range requests {
		k.is.NoErr(<-errs)
	}
	code, _ := k.hosts[0].waitForExit(signalled)
	k.is.Equal(code, cmd.ExitDone)
	k.checkRequestsOnce()
}

// TestShutdownFinishesJobs sends SIGTERM to the holder of a job. The job must
// complete whether its caller waits or has hung up, and a resubmission to
// another host must get the complete answer.
func TestShutdownFinishesJobs(t *testing.T) {
	for name, waits := range map[string]bool{"caller waits": true, "caller hung up": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := newCluster(t, clusterConfig{hosts: 2, backends: 1, slots: 4, settings: "shutdownTimeout: 30s\n"})
			s := newSubmission("tide", 7, 20, 200*time.Millisecond)
			ctx, hangUp := context.WithCancel(t.Context())
			defer hangUp()
			var answer entry.JobAnswer
			done := make(chan error, 1)
			go func() {
				var err error
				answer, err = k.hosts[0].client.Submit(ctx, s)
				done <- err
			}()
			k.eventually("started", func() bool { return len(k.startLog(k.backends[0])) >= 2 })
			if !waits {
				hangUp()
				k.is.True(<-done != nil)
			}
			signalled := time.Now()
			k.hosts[0].signal(syscall.SIGTERM)
			if waits {
				k.is.NoErr(<-done)
				k.checkComplete(s, answer)
			}
			code, _ := k.hosts[0].waitForExit(signalled)
			k.is.Equal(code, cmd.ExitDone)
			again, err := k.submit(k.hosts[1], s)
			k.is.NoErr(err)
			k.checkComplete(s, again)
		})
	}
}

// TestShutdownCutIsTruthful shuts down a host that cannot finish in time, by
// its timeout or by a second SIGTERM. Each caller must be answered: unknown for
// requests that were sent to a backend server, not run with a retry time for
// the others.
func TestShutdownCutIsTruthful(t *testing.T) {
	tests := map[string]struct {
		settings string
		again    bool
	}{
		"bound":          {settings: "shutdownTimeout: 2s\n"},
		"second SIGTERM": {settings: "shutdownTimeout: 60s\n", again: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := newCluster(t, clusterConfig{hosts: 1, backends: 1, slots: 2, settings: tt.settings})
			const requests, slots = 6, 2
			errs := make(chan error, requests)
			for i := range requests {
				go func() { errs <- k.callService(k.hosts[0], uint64(i), 20*time.Second) }()
			}
			k.eventually("queued", func() bool { return len(k.startLog(k.backends[0])) >= slots })
			// All slots are taken when the job arrives, so none of its tasks
			// starts.
			jobs := make(chan error, 1)
			go func() {
				_, err := k.submit(k.hosts[0], newSubmission("tide", 9, 2, time.Second))
				jobs <- err
			}()
			time.Sleep(300 * time.Millisecond)
			signalled := time.Now()
			k.hosts[0].signal(syscall.SIGTERM)
			if tt.again {
				time.Sleep(time.Second)
				k.hosts[0].signal(syscall.SIGTERM)
			}
			kinds := map[outcome.Kind]int{}
			for range requests {
				e := outcome.From(<-errs)
				k.is.True(e != nil)
				k.is.Equal(e.Code, outcome.Shutdown)
				k.is.True(e.RetryAfter > 0)
				kinds[e.Kind]++
			}
			k.is.Equal(kinds, map[outcome.Kind]int{outcome.Unknown: slots, outcome.NotRun: requests - slots})
			ended := outcome.From(<-jobs)
			k.is.Equal(ended.Kind, outcome.Unknown)
			k.is.Equal(ended.Code, outcome.Shutdown)
			k.is.True(ended.RetryAfter > 0)
			code, took := k.hosts[0].waitForExit(signalled)
			k.is.Equal(code, cmd.ExitUnknown)
			k.is.True(took < 10*time.Second)
			k.is.Equal(len(k.startLog(k.backends[0])), slots)
		})
	}
}
