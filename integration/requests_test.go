package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/repairlog"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/standin"
)

// trackedLoad sends non-idempotent requests until it is stopped, and records
// the outcome of each by the digest of its body. The outcome of an answered
// request is nil.
type trackedLoad struct {
	k       *cluster
	timeout time.Duration
	stopped chan struct{}
	group   sync.WaitGroup

	mutex        sync.Mutex
	outcomes     map[string]*outcome.Error
	wrongAnswers []error
	overdue      []time.Duration
}

// answerGrace is how much longer than its timeout a request may take to end.
const answerGrace = 2 * time.Second

func (k *cluster) startTrackedLoad(workers int, run, timeout time.Duration) *trackedLoad {
	l := &trackedLoad{k: k, timeout: timeout, stopped: make(chan struct{}), outcomes: map[string]*outcome.Error{}}
	for i := range workers {
		l.group.Go(func() {
			for seed := uint64(i); ; seed += 1000 {
				select {
				case <-l.stopped:
					return
				default:
					l.send(k.hosts[i%len(k.hosts)], seed, run)
				}
			}
		})
	}
	return l
}

func (l *trackedLoad) send(h *entryHost, seed uint64, run time.Duration) {
	payload := newSubmission("call", seed, 1, run).Tasks[0].Payload
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	began := time.Now()
	answer, err := h.client.Call(ctx, entry.ServiceRequest{Team: teamName, Service: serviceName, Body: payload, Timeout: l.timeout})
	took := time.Since(began)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outcomes[backend.Digest(payload)] = outcome.From(err)
	if err == nil {
		if err := repairlog.Check(payload, answer); err != nil {
			l.wrongAnswers = append(l.wrongAnswers, err)
		}
	}
	if took > l.timeout+answerGrace {
		l.overdue = append(l.overdue, took)
	}
}

// answerCount returns the number of requests answered so far.
func (l *trackedLoad) answerCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, e := range l.outcomes {
		if e == nil {
			count++
		}
	}
	return count
}

// stopAndCheck stops the load and compares the outcomes of the requests with
// the starts that the backend servers, including killed ones, logged before
// they ran them. It returns the number of requests by outcome kind.
func (l *trackedLoad) stopAndCheck() map[outcome.Kind]int {
	l.k.t.Helper()
	close(l.stopped)
	l.group.Wait()
	starts := l.k.startsByDigest()
	kinds := map[outcome.Kind]int{}
	for digest, e := range l.outcomes {
		kind := outcome.Kind("answered")
		if e != nil {
			kind = e.Kind
		}
		kinds[kind]++
		switch count := starts[digest]; {
		case count > 1:
			l.k.t.Errorf("a request started %d times", count)
		case count == 0 && e == nil:
			l.k.t.Errorf("a request was answered that never started")
		case count > 0 && kind == outcome.NotRun:
			l.k.t.Errorf("a request started, but: %v", e)
		}
	}
	l.k.is.Equal(len(l.wrongAnswers), 0)
	l.k.is.Equal(len(l.overdue), 0)
	return kinds
}

// startsByDigest counts the starts of each body in the output of the backend
// servers.
func (k *cluster) startsByDigest() map[string]int {
	k.t.Helper()
	time.Sleep(200 * time.Millisecond)
	counts := map[string]int{}
	for _, p := range k.backendProcesses() {
		p.mutex.Lock()
		lines := strings.Split(p.output.String(), "\n")
		p.mutex.Unlock()
		for _, line := range lines {
			var s standin.Start
			if json.Unmarshal([]byte(line), &s) == nil && s.Digest != "" {
				counts[s.Digest]++
			}
		}
	}
	return counts
}

// backendProcesses returns the processes of all backend servers, including
// replaced ones.
func (k *cluster) backendProcesses() []*process {
	processes := append([]*process{}, k.replaced...)
	for _, b := range k.backends {
		processes = append(processes, b.process)
	}
	return processes
}

// kill kills a backend server and waits for its end.
func (k *cluster) kill(b *backendServer) {
	b.signal(syscall.SIGKILL)
	<-b.exited
}

// restart starts a killed backend server at its previous address.
func (k *cluster) restart(b *backendServer) {
	k.t.Helper()
	k.replaced = append(k.replaced, b.process)
	b.process = start(k.t, "standin", "backend", "--name", b.name, "--slots", "8", "--listen", strings.TrimPrefix(b.url, "http://"))
	b.waitForLine("listening")
}

// fault begins and ends a fault of one backend server.
type fault struct {
	begin, end func(k *cluster, b *backendServer)
}

// dropFault returns the fault that drops all data in one direction.
func dropFault(stream string) fault {
	return fault{
		func(_ *cluster, b *backendServer) { b.proxy.dropData(stream) },
		func(_ *cluster, b *backendServer) { b.proxy.heal() },
	}
}

var (
	killFault = fault{(*cluster).kill, (*cluster).restart}
	cutFault  = fault{
		func(_ *cluster, b *backendServer) { b.proxy.Stop() },
		func(k *cluster, b *backendServer) { k.is.NoErr(b.proxy.Start()) },
	}
)

// TestTwoFaultsAtOnce injects two faults at once, on two of three backend
// servers, twice, under load.
func TestTwoFaultsAtOnce(t *testing.T) {
	tests := map[string][2]fault{
		"kill and kill":                    {killFault, killFault},
		"kill and answers lost":            {killFault, dropFault("downstream")},
		"cut and requests lost":            {cutFault, dropFault("upstream")},
		"answers lost and the link is cut": {dropFault("downstream"), cutFault},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runTwoFaults(t, faults)
		})
	}
}

// TestTwoSilentServers is TestTwoFaultsAtOnce with answers lost at one server
// and requests lost at the other.
func TestTwoSilentServers(t *testing.T) {
	t.Parallel()
	runTwoFaults(t, [2]fault{dropFault("downstream"), dropFault("upstream")})
}

// runTwoFaults checks that no request runs twice, that each is told its true
// outcome in time, and that the third server continues to answer.
func runTwoFaults(t *testing.T, faults [2]fault) {
	k := newCluster(t, clusterConfig{hosts: 2, backends: 3, slots: 8})
	l := k.startTrackedLoad(12, 50*time.Millisecond, 2*time.Second)
	k.eventually("loaded", func() bool { return l.answerCount() > 30 })
	for range 2 {
		for i, f := range faults {
			f.begin(k, k.backends[i])
		}
		during := l.answerCount()
		time.Sleep(2500 * time.Millisecond)
		k.eventually("going on at the third server", func() bool { return l.answerCount() > during+10 })
		for i, f := range faults {
			f.end(k, k.backends[i])
		}
		time.Sleep(500 * time.Millisecond)
	}
	back := l.answerCount()
	k.eventually("going on after the faults", func() bool { return l.answerCount() > back+30 })
	kinds := l.stopAndCheck()
	t.Logf("%v", kinds)
	k.is.True(kinds[outcome.Unknown] > 0)
}

// silenceDetectionBound is the time within which a busy silent connection must
// be detected: the shortest silence limit of the daemon plus one check
// interval.
const silenceDetectionBound = 12 * time.Second

// TestForgottenConnections has a middlebox between an entry host and a backend
// server lose track of all open connections. Requests in progress on them must
// end as unknown within the bound, later ones must be answered on new
// connections, and the other backend server must continue to answer. The silent
// connections must be counted.
func TestForgottenConnections(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 1, backends: 2, slots: 8})
	b := k.backends[0]
	middle, err := standin.NewMiddlebox(strings.TrimPrefix(b.url, "http://"))
	k.is.NoErr(err)
	t.Cleanup(func() { middle.Close() })
	o, err := k.hosts[0].client.Get(t.Context(), resource.KindBackendServer, b.name)
	k.is.NoErr(err)
	var spec resource.BackendServerSpec
	k.is.NoErr(json.Unmarshal(o.Spec, &spec))
	spec.Address = middle.Address()
	o.Spec, err = json.Marshal(spec)
	k.is.NoErr(err)
	_, err = k.hosts[0].client.Put(t.Context(), o)
	k.is.NoErr(err)
	time.Sleep(2 * time.Second)
	l := k.startTrackedLoad(12, 100*time.Millisecond, 30*time.Second)
	k.eventually("loaded", func() bool { return l.answerCount() > 50 })
	middle.Forget()
	forgotten := time.Now()
	before := l.answerCount()
	k.eventually("silent connection counted", func() bool { return k.connectionCounter("silent") > 0 })
	k.is.True(time.Since(forgotten) < silenceDetectionBound)
	k.is.True(l.answerCount() > before+50)
	starts := len(k.startLog(b))
	k.eventually("going on at new connections", func() bool { return len(k.startLog(b)) > starts+20 })
	kinds := l.stopAndCheck()
	t.Logf("%v", kinds)
	k.is.True(kinds[outcome.Unknown] > 0)
	k.is.Equal(kinds[outcome.NotRun], 0)
	for _, e := range l.outcomes {
		if e != nil {
			k.is.Equal(e.Code, outcome.Silent)
		}
	}
}

// connectionCounter returns a counter of the first host's connections to
// backend servers.
func (k *cluster) connectionCounter(name string) int {
	k.t.Helper()
	response, err := http.Get(k.hosts[0].api + "/debug/vars")
	k.is.NoErr(err)
	defer response.Body.Close()
	var vars struct {
		Catkingap struct {
			BackendConnections map[string]int `json:"backendConnections"`
		} `json:"catkingap"`
		BackendConnections map[string]int `json:"backendConnections"`
	}
	k.is.NoErr(json.NewDecoder(response.Body).Decode(&vars))
	if n, ok := vars.BackendConnections[name]; ok {
		return n
	}
	return vars.Catkingap.BackendConnections[name]
}
