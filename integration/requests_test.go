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

// judgedLoad sends requests that are not idempotent until it is stopped, and
// remembers how each ended, by the digest of its body.
type judgedLoad struct {
	k       *cluster
	timeout time.Duration
	stopped chan struct{}
	group   sync.WaitGroup

	mutex sync.Mutex
	ended map[string]*outcome.Error
	wrong []error
	late  []time.Duration
}

// answerGrace is how much longer than its time a request may take to end.
const answerGrace = 2 * time.Second

func (k *cluster) startJudgedLoad(workers int, run, timeout time.Duration) *judgedLoad {
	l := &judgedLoad{k: k, timeout: timeout, stopped: make(chan struct{}), ended: map[string]*outcome.Error{}}
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

func (l *judgedLoad) send(h *entryHost, seed uint64, run time.Duration) {
	payload := submission("call", seed, 1, run).Tasks[0].Payload
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	began := time.Now()
	answer, err := h.client.Call(ctx, entry.Call{Team: teamName, Service: serviceName, Body: payload, Timeout: l.timeout})
	took := time.Since(began)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended[backend.Digest(payload)] = outcome.From(err)
	if err == nil {
		if err := repairlog.Check(payload, answer); err != nil {
			l.wrong = append(l.wrong, err)
		}
	}
	if took > l.timeout+answerGrace {
		l.late = append(l.late, took)
	}
}

// answers returns the number of requests that were answered so far.
func (l *judgedLoad) answers() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, e := range l.ended {
		if e == nil {
			count++
		}
	}
	return count
}

// judge ends the load and compares how requests ended with the logs that the
// backend servers wrote before they ran them, also those that were killed.
func (l *judgedLoad) judge() map[outcome.Kind]int {
	l.k.t.Helper()
	close(l.stopped)
	l.group.Wait()
	starts := l.k.startsOnce()
	kinds := map[outcome.Kind]int{}
	for digest, e := range l.ended {
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
	l.k.is.Equal(len(l.wrong), 0)
	l.k.is.Equal(len(l.late), 0)
	return kinds
}

// startsOnce counts the starts of each body, from the lines that the backend
// servers printed.
func (k *cluster) startsOnce() map[string]int {
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

// backendProcesses returns the processes of all backend servers, also those
// that were replaced.
func (k *cluster) backendProcesses() []*process {
	processes := append([]*process{}, k.replaced...)
	for _, b := range k.backends {
		processes = append(processes, b.process)
	}
	return processes
}

// kill kills a backend server.
func (k *cluster) kill(b *backendServer) {
	b.signal(syscall.SIGKILL)
	<-b.exited
}

// restart starts a killed backend server again at its address.
func (k *cluster) restart(b *backendServer) {
	k.t.Helper()
	k.replaced = append(k.replaced, b.process)
	b.process = start(k.t, "standin", "backend", "--name", b.name, "--slots", "8", "--listen", strings.TrimPrefix(b.url, "http://"))
	b.line("listening")
}

// fault begins and ends a fault of one backend server.
type fault struct {
	begin, end func(k *cluster, b *backendServer)
}

// silenced returns the fault that nothing passes in one direction.
func silenced(stream string) fault {
	return fault{
		func(_ *cluster, b *backendServer) { b.proxy.silence(stream) },
		func(_ *cluster, b *backendServer) { b.proxy.heal() },
	}
}

var (
	killed = fault{(*cluster).kill, (*cluster).restart}
	cut    = fault{
		func(_ *cluster, b *backendServer) { b.proxy.Stop() },
		func(k *cluster, b *backendServer) { k.is.NoErr(b.proxy.Start()) },
	}
)

// TestTwoFaultsAtOnce brings two faults about at once at two of three backend
// servers, twice, while requests go on.
func TestTwoFaultsAtOnce(t *testing.T) {
	tests := map[string][2]fault{
		"kill and kill":                    {killed, killed},
		"kill and answers lost":            {killed, silenced("downstream")},
		"cut and requests lost":            {cut, silenced("upstream")},
		"answers lost and the link is cut": {silenced("downstream"), cut},
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
	runTwoFaults(t, [2]fault{silenced("downstream"), silenced("upstream")})
}

// runTwoFaults checks that no request runs twice, that each end is true and
// comes in time, and that the third server goes on.
func runTwoFaults(t *testing.T, faults [2]fault) {
	k := newCluster(t, clusterConfig{hosts: 2, backends: 3, slots: 8})
	l := k.startJudgedLoad(12, 50*time.Millisecond, 2*time.Second)
	k.eventually("loaded", func() bool { return l.answers() > 30 })
	for range 2 {
		for i, f := range faults {
			f.begin(k, k.backends[i])
		}
		during := l.answers()
		time.Sleep(2500 * time.Millisecond)
		k.eventually("going on at the third server", func() bool { return l.answers() > during+10 })
		for i, f := range faults {
			f.end(k, k.backends[i])
		}
		time.Sleep(500 * time.Millisecond)
	}
	back := l.answers()
	k.eventually("going on after the faults", func() bool { return l.answers() > back+30 })
	kinds := l.judge()
	t.Logf("%v", kinds)
	k.is.True(kinds[outcome.Unknown] > 0)
}

// silenceBound is the time within which a busy connection that went silent is
// found: the floor of the daemon and a check.
const silenceBound = 12 * time.Second

// TestForgottenConnections lets what lies between an entry host and a backend
// server lose track of all open connections. Requests under way on them end
// unknown within the bound, later ones are answered on new connections, and
// another backend server goes on. The connections are counted.
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
	l := k.startJudgedLoad(12, 100*time.Millisecond, 30*time.Second)
	k.eventually("loaded", func() bool { return l.answers() > 50 })
	middle.Forget()
	forgotten := time.Now()
	before := l.answers()
	k.eventually("found", func() bool { return k.counter("silent") > 0 })
	k.is.True(time.Since(forgotten) < silenceBound)
	k.is.True(l.answers() > before+50)
	starts := len(k.startsOf(b))
	k.eventually("going on at new connections", func() bool { return len(k.startsOf(b)) > starts+20 })
	kinds := l.judge()
	t.Logf("%v", kinds)
	k.is.True(kinds[outcome.Unknown] > 0)
	k.is.Equal(kinds[outcome.NotRun], 0)
	for _, e := range l.ended {
		if e != nil {
			k.is.Equal(e.Code, outcome.Silent)
		}
	}
}

// counter returns a counter of the connections of the first host to backend
// servers.
func (k *cluster) counter(name string) int {
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
