package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/repairlog"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/storage"
)

// leavingBound is the time after which a leaving backend server must get no new
// work.
const leavingBound = 3 * time.Second

// maxFailuresLogged bounds the failures that are logged per load.
const maxFailuresLogged = 5

// load sends requests to hosts until it is stopped, and checks each answer.
type load struct {
	k       *cluster
	stopped chan struct{}
	group   sync.WaitGroup

	mutex    sync.Mutex
	answered int
	failures []error
}

// startLoad starts workers that send requests of the given run time. The
// workers are spread over the hosts.
func (k *cluster) startLoad(workers int, run time.Duration, hosts ...*entryHost) *load {
	l := &load{k: k, stopped: make(chan struct{})}
	for i := range workers {
		l.group.Go(func() { l.sendRequests(uint64(i), run, hosts[i%len(hosts)]) })
	}
	return l
}

func (l *load) sendRequests(seed uint64, run time.Duration, h *entryHost) {
	for {
		select {
		case <-l.stopped:
			return
		default:
		}
		seed += 1000
		err := l.k.callService(h, seed, run)
		l.mutex.Lock()
		if err != nil {
			l.failures = append(l.failures, err)
		} else {
			l.answered++
		}
		l.mutex.Unlock()
	}
}

// stop ends the load and returns the failures.
func (l *load) stop() []error {
	l.k.t.Helper()
	close(l.stopped)
	l.group.Wait()
	for i, err := range l.failures {
		if i < maxFailuresLogged {
			l.k.t.Logf("load: %v", err)
		}
	}
	return l.failures
}

// callService sends one non-idempotent request and checks its answer.
func (k *cluster) callService(h *entryHost, seed uint64, run time.Duration) error {
	payload := newSubmission("call", seed, 1, run).Tasks[0].Payload
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	answer, err := h.client.Call(ctx, entry.ServiceRequest{Team: teamName, Service: serviceName, Body: payload})
	if err != nil {
		return err
	}
	return repairlog.Check(payload, answer)
}

// startLog returns the starts that a backend server has logged.
func (k *cluster) startLog(b *backendServer) []standin.Start {
	k.t.Helper()
	response, err := http.Get(b.url + "/starts")
	k.is.NoErr(err)
	defer response.Body.Close()
	starts, err := standin.DecodeStarts(response.Body)
	k.is.NoErr(err)
	return starts
}

// countStartsAfter counts the starts on a backend server after a time.
func (k *cluster) countStartsAfter(b *backendServer, at time.Time) int {
	k.t.Helper()
	count := 0
	for _, s := range k.startLog(b) {
		if s.At.After(at) {
			count++
		}
	}
	return count
}

// countRefusalsAfter counts the requests that a backend server refused after a
// time.
func (k *cluster) countRefusalsAfter(b *backendServer, at time.Time) int {
	k.t.Helper()
	response, err := http.Get(b.url + "/refusals")
	k.is.NoErr(err)
	defer response.Body.Close()
	var refusals []time.Time
	k.is.NoErr(json.NewDecoder(response.Body).Decode(&refusals))
	count := 0
	for _, r := range refusals {
		if r.After(at) {
			count++
		}
	}
	return count
}

// setDrainFlag sets the drain flag in the resource of a backend server.
func (k *cluster) setDrainFlag(b *backendServer, drain bool) {
	k.t.Helper()
	o, err := k.hosts[0].client.Get(k.t.Context(), resource.KindBackendServer, b.name)
	k.is.NoErr(err)
	var spec resource.BackendServerSpec
	k.is.NoErr(json.Unmarshal(o.Spec, &spec))
	spec.Drain = drain
	o.Spec, err = json.Marshal(spec)
	k.is.NoErr(err)
	_, err = k.hosts[0].client.Put(k.t.Context(), o)
	k.is.NoErr(err)
}

// listBackend sets the state of a backend server in the membership list.
func (k *cluster) listBackend(b *backendServer, state storage.State) {
	k.t.Helper()
	k.listMember(storage.TargetGroup{Targets: []string{b.proxy.Listen}, Labels: map[string]string{
		storage.LabelID: b.name, storage.LabelRole: string(storage.BackendServer), storage.LabelState: string(state),
	}})
}

// TestLeavingServer has a backend server announce in each possible way that it
// leaves. After the bound no entry host may send it new work, whether or not
// that host was connected to it. Work in progress must be answered, and the
// server must get work again after its return.
func TestLeavingServer(t *testing.T) {
	tests := map[string]struct {
		leave, back func(k *cluster, b *backendServer)
	}{
		"drain flag": {
			leave: func(k *cluster, b *backendServer) { k.setDrainFlag(b, true) },
			back:  func(k *cluster, b *backendServer) { k.setDrainFlag(b, false) },
		},
		"connection close": {
			leave: func(k *cluster, b *backendServer) {
				k.setFaults(b.url+standin.PathFaults, standin.Faults{Mode: standin.Close})
			},
			back: func(k *cluster, b *backendServer) { k.setFaults(b.url+standin.PathFaults, standin.Faults{}) },
		},
		"draining refusal": {
			leave: func(k *cluster, b *backendServer) {
				k.setFaults(b.url+standin.PathFaults, standin.Faults{Mode: standin.Drain})
			},
			back: func(k *cluster, b *backendServer) { k.setFaults(b.url+standin.PathFaults, standin.Faults{}) },
		},
		"membership list": {
			leave: func(k *cluster, b *backendServer) { k.listBackend(b, storage.Leaving) },
			back:  func(k *cluster, b *backendServer) { k.listBackend(b, storage.Live) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := newCluster(t, clusterConfig{hosts: 3, backends: 2, slots: 8})
			leaving := k.backends[0]
			// This load keeps one host connected to the server. The host is in
			// another data centre than the server.
			first := k.startLoad(12, 50*time.Millisecond, k.hosts[1])
			k.eventually("loaded", func() bool { return len(k.startLog(leaving)) >= 20 })
			long := k.startLoad(2, 2*time.Second, k.hosts[1])
			time.Sleep(500 * time.Millisecond)
			tt.leave(k, leaving)
			left := time.Now()
			k.is.Equal(len(long.stop()), 0)
			time.Sleep(time.Until(left.Add(leavingBound)))
			// The other hosts were not connected to the server before.
			others := k.startLoad(12, 50*time.Millisecond, k.hosts[0], k.hosts[2])
			time.Sleep(2 * time.Second)
			k.is.Equal(k.countStartsAfter(leaving, left.Add(leavingBound)), 0)
			k.is.Equal(k.countRefusalsAfter(leaving, left.Add(leavingBound)), 0)
			tt.back(k, leaving)
			back := time.Now()
			k.eventually("back at work", func() bool { return k.countStartsAfter(leaving, back) > 0 })
			for _, f := range others.stop() {
				t.Error(f)
			}
			k.is.Equal(len(first.stop()), 0)
			k.checkRequestsOnce()
		})
	}
}

// checkRequestsOnce checks that no request started more than once on all
// backend servers together.
func (k *cluster) checkRequestsOnce() {
	k.t.Helper()
	counts := map[string]int{}
	for _, b := range k.backends {
		for _, s := range k.startLog(b) {
			counts[s.Request]++
		}
	}
	for request, count := range counts {
		if count > 1 {
			k.t.Errorf("request %s started %d times", request, count)
		}
	}
}
