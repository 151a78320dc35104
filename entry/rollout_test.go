package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/probe"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

const (
	// maxTimeToInForce is the target time for a configuration change to be in
	// force on all hosts.
	maxTimeToInForce = 5 * time.Second
	// maxControlBytes is the target for control traffic in bytes per host and
	// second.
	maxControlBytes = 7 << 10
	linkDelay       = time.Millisecond
	warmUpTime      = 20 * time.Second
)

// linkTimeout is the timeout for opening a connection.
const linkTimeout = 5 * time.Second

// newNetwork returns an in-memory network whose messages take linkDelay.
func newNetwork() *network.Memory {
	delay := func(string, string) time.Duration { return linkDelay }
	return network.NewMemory(network.MemoryConfig{Delay: delay, DialTimeout: linkTimeout})
}

// site returns the host part of an address.
func site(address string) string {
	name, _, _ := strings.Cut(address, ":")
	return name
}

// tableLink connects one host to the table. A cut link refuses connections.
type tableLink struct {
	handler http.Handler
	// bytes counts the bytes of requests and responses with their headers.
	bytes atomic.Int64
	mutex sync.Mutex
	isCut bool
}

func (l *tableLink) cut(isCut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isCut = isCut
}

// RoundTrip implements http.RoundTripper.
func (l *tableLink) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mutex.Lock()
	isCut := l.isCut
	l.mutex.Unlock()
	if isCut {
		return nil, &net.OpError{Op: "dial", Err: errors.New("cut")}
	}
	request, _ := httputil.DumpRequest(r, true)
	recorder := httptest.NewRecorder()
	l.handler.ServeHTTP(recorder, r)
	answer, _ := httputil.DumpResponse(recorder.Result(), true)
	l.bytes.Add(int64(len(request) + len(answer)))
	return recorder.Result(), nil
}

// node is the configuration and probing part of one entry host.
type node struct {
	store   *resource.Store
	links   *peer.Links
	prober  *Prober
	rollout *Rollout
	table   *tableLink
}

// fleet is a set of hosts on an in-memory network and table, with the real
// drivers, links and msgpack framing.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	network *network.Memory
	table   http.Handler
	members []storage.Member
}

func newFleet(t *testing.T) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * fetchTimeout)
	})
	p := standin.NewPlatform(standin.PlatformConfig{})
	return &fleet{t: t, ctx: ctx, network: newNetwork(), table: p.Handler()}
}

// add starts count hosts that know each other.
func (f *fleet) add(count int) []*node {
	var nodes []*node
	for i := range count {
		nodes = append(nodes, f.newNode(i))
	}
	for _, n := range nodes {
		n.prober.updateMembers(f.members)
		f.run(n)
	}
	return nodes
}

func (f *fleet) run(n *node) {
	go runPeriodically(f.ctx, probeInterval, n.prober.tick)
	go runPeriodically(f.ctx, time.Duration(settings.Default().ConfigPoll), n.rollout.poll)
}

// newNode returns a host that is a member of the fleet and whose loops do not run.
func (f *fleet) newNode(i int) *node {
	s := settings.Default()
	s.Host, s.DataCentre = ident.Host(fmt.Sprintf("entry-%02d:8081", i)), "coast-a"
	own := f.network.Site(site(string(s.Host)))
	listener, _ := own.Listen(string(s.Host))
	n := &node{table: &tableLink{handler: f.table}}
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	ring := timeline.NewRing(s.Host, time.Now(), 100)
	n.store = resource.NewStore(storage.NewRemoteTable(&http.Client{Transport: n.table}, "http://table"))
	n.links = newLinks(logger, own)
	d := newDispatcher(s, testIdentity(), &fakeSender{}, ring, newMetrics())
	n.prober = newProber(s, Listeners{API: listener, Peer: listener}, n.store, d, n.links, ring)
	self := probe.Peer{Host: s.Host, Address: string(s.Host), API: string(s.Host), DataCentre: s.DataCentre}
	n.prober.machine = newProbeMachine(time.Now(), self, rand.New(rand.NewPCG(7, uint64(i))))
	n.rollout = newRollout(n.store, d, newDirectory(), n.links, n.prober, ring, logger)
	n.prober.register(n.links)
	n.rollout.register(n.links)
	go func() { _ = n.links.Serve(listener) }()
	context.AfterFunc(f.ctx, func() {
		listener.Close()
		n.links.Close()
	})
	f.members = append(f.members, storage.Member{
		ID: string(s.Host), Role: storage.EntryHost, Address: string(s.Host), API: string(s.Host), DataCentre: s.DataCentre,
	})
	return n
}

// write changes a team through a host and returns the revision.
func (n *node) write(t *testing.T, weight int) ident.Revision {
	t.Helper()
	spec, _ := json.Marshal(resource.TeamSpec{Weight: weight})
	seen := n.store.Snapshot().Objects[resource.KindTeam]["kusweg"].Revision
	revision, err := n.store.Write(t.Context(), resource.Change{Object: resource.Object{
		Kind: resource.KindTeam, Name: "kusweg", Spec: spec, Revision: seen,
	}})
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// waitInForce waits until each host has a revision in force and returns the
// sorted times.
func waitInForce(nodes []*node, revision ident.Revision) []time.Duration {
	began := time.Now()
	times := make([]time.Duration, len(nodes))
	var waiting sync.WaitGroup
	for i, n := range nodes {
		waiting.Go(func() {
			for n.store.Snapshot().Revision < revision && time.Since(began) < 2*maxTimeToInForce {
				time.Sleep(time.Millisecond)
			}
			times[i] = time.Since(began)
		})
	}
	waiting.Wait()
	slices.Sort(times)
	return times
}

// TestTimeToInForce checks the time until a configuration change is in force on
// all hosts: with the table available, and with an outage that starts right after
// acceptance, in which the other hosts were cut off from the table before.
func TestTimeToInForce(t *testing.T) {
	for _, count := range []int{9, 60} {
		tests := map[string]func(nodes []*node){
			"table is there":          func([]*node) {},
			"outage after acceptance": func(nodes []*node) { cutAll(nodes, true) },
		}
		for name, fault := range tests {
			t.Run(fmt.Sprintf("%d hosts, %s", count, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					nodes := newFleet(t).add(count)
					time.Sleep(warmUpTime)
					var all []time.Duration
					for i := range 5 {
						time.Sleep(1370 * time.Millisecond)
						cutAll(nodes[1:], name != "table is there")
						revision := nodes[0].write(t, i)
						fault(nodes)
						all = append(all, waitInForce(nodes, revision)...)
						cutAll(nodes, false)
					}
					slices.Sort(all)
					worst := all[len(all)-1]
					t.Logf("p50 %s, max %s", all[len(all)/2], worst)
					if median := all[len(all)/2]; median > probeInterval/2 {
						t.Errorf("half of the hosts wait for a probe: %s", median)
					}
					if worst > maxTimeToInForce {
						t.Errorf("in force after %s", worst)
					}
				})
			})
		}
	}
}

func cutAll(nodes []*node, isCut bool) {
	for _, n := range nodes {
		n.table.cut(isCut)
	}
}

// TestControlBytes checks the control traffic per host: bytes sent and received
// on the links and bytes of configuration polls, and how they grow with the
// number of hosts. A change every 10 s is nine times the rate of the target.
func TestControlBytes(t *testing.T) {
	const seconds = 60
	perHost := map[int]float64{}
	for _, count := range []int{9, 60} {
		synctest.Test(t, func(t *testing.T) {
			nodes := newFleet(t).add(count)
			time.Sleep(warmUpTime)
			before := traffic(nodes)
			for i := range seconds / 10 {
				nodes[0].write(t, i)
				time.Sleep(10 * time.Second)
			}
			spent := traffic(nodes).minus(before).over(seconds * float64(count))
			t.Logf("%d hosts, a host and second: links %.0f bytes and %.2f frames, polls %.0f bytes", count, spent.links, spent.frames, spent.polls)
			perHost[count] = spent.links + spent.polls
		})
	}
	slope := (perHost[60] - perHost[9]) / (60 - 9)
	t.Logf("%.0f bytes a host and second at 60 hosts, slope %.1f bytes for each further host", perHost[60], slope)
	if perHost[60] > maxControlBytes {
		t.Errorf("%.0f bytes a host and second at 60 hosts", perHost[60])
	}
}

// amounts holds control traffic in bytes and frames.
type amounts struct{ links, frames, polls float64 }

func (a amounts) minus(b amounts) amounts {
	return amounts{a.links - b.links, a.frames - b.frames, a.polls - b.polls}
}

func (a amounts) over(n float64) amounts {
	return amounts{a.links / n, a.frames / n, a.polls / n}
}

func traffic(nodes []*node) amounts {
	var total amounts
	for _, n := range nodes {
		s := &n.links.Statistics
		total.links += float64(s.SentBytes.Load() + s.ReceivedBytes.Load())
		total.frames += float64(s.SentFrames.Load())
		total.polls += float64(n.table.bytes.Load())
	}
	return total
}

// TestRestartDuringOutage starts a host without stored state during an outage of
// the table: it gets the configuration from a peer that probes it.
func TestRestartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		nodes := f.add(3)
		time.Sleep(warmUpTime)
		revision := nodes[0].write(t, 7)
		cutAll(nodes, true)
		waitInForce(nodes, revision)
		fresh := f.newNode(3)
		fresh.table.cut(true)
		f.run(fresh)
		is.Equal(fresh.store.Snapshot().Revision, ident.Revision(0)) // not ready
		nodes[1].prober.updateMembers(f.members)
		took := waitInForce([]*node{fresh}, revision)
		is.True(took[0] < maxTimeToInForce)
		is.Equal(fresh.store.Snapshot().Teams["kusweg"].Weight, 7)
	})
}

// TestTwoHalves silently cuts three of nine hosts off from the table and from
// the other hosts for minutes. They keep their revision, consider the other hosts
// lost, and reach the newest revision soon after the partition ends.
func TestTwoHalves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t)
		nodes := f.add(9)
		time.Sleep(warmUpTime)
		old := nodes[0].write(t, 1)
		waitInForce(nodes, old)
		near, far := nodes[:6], nodes[6:]
		apart := map[string]bool{}
		for _, m := range f.members[6:] {
			apart[site(m.ID)] = true
		}
		f.network.Cut(func(from, to string) bool { return apart[from] != apart[to] })
		cutAll(far, true)
		newest := nodes[0].write(t, 2)
		is.True(waitInForce(near, newest)[len(near)-1] < maxTimeToInForce)
		time.Sleep(3 * time.Minute)
		is.Equal(countStates(near[0]), map[probe.State]int{probe.Alive: 5, probe.Lost: 3})
		is.Equal(countStates(far[0]), map[probe.State]int{probe.Alive: 2, probe.Lost: 6})
		for _, n := range far {
			is.Equal(n.store.Snapshot().Revision, old)
		}
		f.network.Cut(nil)
		is.True(waitInForce(far, newest)[len(far)-1] < maxTimeToInForce)
		time.Sleep(warmUpTime)
		is.Equal(countStates(far[0]), map[probe.State]int{probe.Alive: 8})
	})
}

func countStates(n *node) map[probe.State]int {
	counts := map[probe.State]int{}
	for _, v := range n.prober.Views() {
		counts[v.State]++
	}
	return counts
}
