package integration

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/catkingap/catkingap/standin"
)

// faultRecord is one fault that was injected.
type faultRecord struct {
	// From and Until are times since the start of the rig.
	From, Until time.Duration
	Text        string
	// Hosts are the hosts that were signalled or disconnected.
	Hosts []*rigHost
}

// rigFaults holds the kinds of faults. Each function returns after the end of
// its fault.
var rigFaults = map[string]func(r *rig, x *rand.Rand){
	"pause":   (*rig).pauseHosts,
	"wake":    (*rig).wakeAfterResend,
	"kill":    func(r *rig, x *rand.Rand) { r.restartHost(x, syscall.SIGKILL) },
	"term":    func(r *rig, x *rand.Rand) { r.restartHost(x, syscall.SIGTERM) },
	"links":   (*rig).cutLinks,
	"leave":   (*rig).closeCallersBeforeRetry,
	"silence": (*rig).holdHostLinks,
	"mute":    (*rig).muteHosts,
	"centre":  (*rig).holdCentreLinks,
	"table":   (*rig).holdTableLink,
	"store":   (*rig).disruptStore,
	"workers": (*rig).disruptWorkers,
	"crowd":   (*rig).crowdHost,
}

// faultMixes holds the kinds of faults that seeds use in turn: all kinds but crowds, and
// two combinations that preceded an incident.
var faultMixes = [][]string{slices.DeleteFunc(slices.Sorted(maps.Keys(rigFaults)), isCrowd), {"pause", "wake", "wake"}, {"leave", "links"}}

func isCrowd(kind string) bool { return kind == "crowd" }

// directionChoices holds each direction alone, and both together.
var directionChoices = [][]direction{{toServer}, {toClient}, {toServer, toClient}}

// injectFaults injects faults for a time, in series and overlapping, and waits
// for their ends.
func (r *rig) injectFaults(x *rand.Rand, names []string, d time.Duration) {
	var open sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range 1 + x.IntN(3) {
			name, after, own := names[x.IntN(len(names))], randomTime(x, 0, 400), rand.New(rand.NewPCG(x.Uint64(), 0))
			open.Go(func() {
				time.Sleep(after)
				rigFaults[name](r, own)
			})
		}
		time.Sleep(randomTime(x, 300, 2200))
	}
	open.Wait()
}

// randomTime returns a random time between two numbers of milliseconds.
func randomTime(x *rand.Rand, least, most int) time.Duration {
	return time.Duration(least*1000+x.IntN((most-least)*1000)) * time.Microsecond
}

// recordFault records a fault that begins now. The returned function records
// its end.
func (r *rig) recordFault(hosts []*rigHost, format string, values ...any) func() {
	var names []string
	for _, h := range hosts {
		names = append(names, h.name)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := len(r.faults)
	text := strings.TrimSpace(fmt.Sprintf(format, values...) + " " + strings.Join(names, " "))
	r.faults = append(r.faults, faultRecord{From: time.Since(r.began), Until: -1, Text: text, Hosts: hosts})
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.faults[i].Until = time.Since(r.began)
	}
}

// pickHost returns the owner of a random data centre, or in one of three cases
// any host.
func (r *rig) pickHost(x *rand.Rand) *rigHost {
	if x.IntN(3) > 0 {
		return r.owner(dataCentres[x.IntN(len(dataCentres))])
	}
	return r.hosts[x.IntN(len(r.hosts))]
}

// pickOneOrAll returns one host, or all.
func (r *rig) pickOneOrAll(x *rand.Rand) []*rigHost {
	if x.IntN(2) > 0 {
		return r.hosts
	}
	return []*rigHost{r.pickHost(x)}
}

// pickOneOrZone returns one host, or all hosts of one data centre. If all of
// them are paused, no host takes over from the owner.
func (r *rig) pickOneOrZone(x *rand.Rand) []*rigHost {
	one := r.pickHost(x)
	if x.IntN(2) > 0 {
		return []*rigHost{one}
	}
	return slices.DeleteFunc(slices.Clone(r.hosts), func(h *rigHost) bool { return h.zone != one.zone })
}

// pickOrigins returns the name and the filter of a set of origins: all, one
// host, or the hosts of one data centre.
func (r *rig) pickOrigins(x *rand.Rand) (string, func(origin string) bool) {
	one, zone := r.hosts[x.IntN(len(r.hosts))].name, dataCentres[x.IntN(len(dataCentres))]
	switch x.IntN(3) {
	case 0:
		return "all", anyOrigin
	case 1:
		return one, func(origin string) bool { return origin == one }
	}
	return zone, func(origin string) bool { return strings.HasPrefix(origin, zone) }
}

// resetLinks resets the connections between the given hosts and all hosts, in
// both directions.
func (r *rig) resetLinks(hosts []*rigHost) {
	defer r.recordFault(hosts, "links reset of")()
	for _, h := range hosts {
		h.peer.reset(anyOrigin)
		for _, o := range r.hosts {
			o.peer.reset(func(origin string) bool { return origin == h.name })
		}
	}
}

// pauseHosts pauses one host, or those of a data centre, for a time. The
// connections of callers may be closed right before or during the pause.
func (r *rig) pauseHosts(x *rand.Rand) {
	hosts, took, early, abrupt := r.pickOneOrZone(x), randomTime(x, 200, 4000), randomTime(x, 0, 30), x.IntN(2) == 0
	after := randomTime(x, 0, int(took.Milliseconds())+1)
	switch x.IntN(3) {
	case 0:
		r.pause(hosts, took, nil)
	case 1:
		r.closeCallerConnections(hosts, abrupt, fmt.Sprintf("%s before a pause", early))
		time.Sleep(early)
		r.pause(hosts, took, nil)
	case 2:
		r.pause(hosts, after, func() {
			r.closeCallerConnections(hosts, abrupt, "in a pause")
			time.Sleep(took - after)
		})
	}
}

// wakeAfterResend pauses hosts, closes the connections of their callers
// meanwhile, and resumes them after the callers have resubmitted their jobs.
// The old requests are then still in the hosts' sockets.
func (r *rig) wakeAfterResend(x *rand.Rand) {
	hosts, abrupt, before, after := r.pickOneOrZone(x), x.IntN(2) == 0, randomTime(x, 200, 900), randomTime(x, 100, 900)
	r.pause(hosts, before, func() {
		r.closeCallerConnections(hosts, abrupt, "in a pause")
		time.Sleep(resendTime + after)
	})
}

// pause pauses processes for a time, and then until more returns.
func (r *rig) pause(hosts []*rigHost, took time.Duration, more func()) {
	if hosts = slices.DeleteFunc(slices.Clone(hosts), func(h *rigHost) bool { return !h.busy.TryLock() }); len(hosts) == 0 {
		return
	}
	defer r.recordFault(hosts, "pause of")()
	for _, h := range hosts {
		defer h.busy.Unlock()
		h.signal(syscall.SIGSTOP)
		defer h.signal(syscall.SIGCONT)
	}
	time.Sleep(took)
	if more != nil {
		more()
	}
}

// restartHost ends a process and restarts it. A process that takes too long to
// end is killed, as the platform does.
func (r *rig) restartHost(x *rand.Rand, s syscall.Signal) {
	h, gone := r.pickHost(x), randomTime(x, 100, 2000)
	if !h.busy.TryLock() {
		return
	}
	defer h.busy.Unlock()
	defer r.recordFault([]*rigHost{h}, "%s of", s)()
	h.signal(s)
	if !h.waitForExit(rigGrace) {
		h.kill()
	}
	time.Sleep(gone)
	h.start()
}

// closeCallerConnections closes the connections of callers to hosts.
func (r *rig) closeCallerConnections(hosts []*rigHost, abrupt bool, when string) {
	defer r.recordFault(hosts, "caller connections closed %s, at", when)()
	for _, h := range hosts {
		h.closeCallers(abrupt)
	}
}

// closeCallersBeforeRetry resets all links, and closes the connections of
// callers while the hosts wait for their next attempt.
func (r *rig) closeCallersBeforeRetry(x *rand.Rand) {
	gap := randomTime(x, 2, 20)
	r.resetLinks(r.hosts)
	time.Sleep(gap)
	r.closeCallerConnections(r.hosts, true, fmt.Sprintf("%s after the links", gap))
}

// cutLinks resets the links of hosts, once or several times, and then closes
// the connections of callers, as when a middlebox drops all connections that it
// forwards.
func (r *rig) cutLinks(x *rand.Rand) {
	linked, called, abrupt := r.pickOneOrAll(x), r.pickOneOrAll(x), x.IntN(2) == 0
	gap := randomTime(x, 0, []int{30, 100}[x.IntN(2)])
	r.resetLinks(linked)
	for range x.IntN(3) {
		time.Sleep(randomTime(x, 5, 40))
		r.resetLinks(linked)
	}
	time.Sleep(gap)
	r.closeCallerConnections(called, abrupt, fmt.Sprintf("%s after the links", gap))
}

// holdHostLinks holds back what other hosts send to one host, or its answers,
// or both. The connections of callers may be closed meanwhile.
func (r *rig) holdHostLinks(x *rand.Rand) {
	h, held, took, called := r.pickHost(x), directionChoices[x.IntN(len(directionChoices))], randomTime(x, 500, 4000), r.pickOneOrAll(x)
	after := randomTime(x, 0, int(took.Milliseconds()))
	name, from := r.pickOrigins(x)
	defer r.recordFault([]*rigHost{h}, "traffic held in directions %v on the links from %s to", held, name)()
	defer h.peer.hold(from, held...)()
	if x.IntN(2) == 0 {
		time.Sleep(after)
		r.closeCallerConnections(called, true, "while traffic is held")
		took -= after
	}
	time.Sleep(took)
}

// muteHosts lets the open links to hosts go silent for good, and closes
// connections of callers.
func (r *rig) muteHosts(x *rand.Rand) {
	linked, called, gap := r.pickOneOrAll(x), r.pickOneOrAll(x), randomTime(x, 0, 700)
	name, from := r.pickOrigins(x)
	defer r.recordFault(linked, "open links go silent, from %s to", name)()
	for _, h := range linked {
		h.peer.mute(from)
	}
	time.Sleep(gap)
	r.closeCallerConnections(called, true, fmt.Sprintf("%s after", gap))
}

// holdCentreLinks holds back all traffic between a data centre and the others.
func (r *rig) holdCentreLinks(x *rand.Rand) {
	zone := dataCentres[x.IntN(len(dataCentres))]
	defer r.recordFault(nil, "traffic held between other data centres and %s", zone)()
	for _, h := range r.hosts {
		defer h.peer.hold(func(origin string) bool { return strings.HasPrefix(origin, zone) != (h.zone == zone) }, toServer, toClient)()
	}
	time.Sleep(randomTime(x, 500, 4000))
}

func (r *rig) holdTableLink(x *rand.Rand) {
	h, held := r.pickHost(x), directionChoices[x.IntN(len(directionChoices))]
	defer r.recordFault([]*rigHost{h}, "traffic held in directions %v between the table and", held)()
	defer h.table.hold(anyOrigin, held...)()
	time.Sleep(randomTime(x, 500, 4000))
}

// disruptStore makes the store silent or slow for all hosts.
func (r *rig) disruptStore(x *rand.Rand) {
	f := []standin.Faults{{Mode: standin.Silent}, {Delay: randomTime(x, 50, 600)}}[x.IntN(2)]
	defer r.recordFault(nil, "store for all: %+v", f)()
	r.store.Faults.Set(f)
	time.Sleep(randomTime(x, 500, 4000))
	r.store.Faults.Set(standin.Faults{})
}

// disruptWorkers makes some workers lose answers or go silent.
func (r *rig) disruptWorkers(x *rand.Rand) {
	f := []standin.Faults{{Mode: standin.Silent}, {Mode: standin.LoseAnswer, Count: 1 + x.IntN(8)}}[x.IntN(2)]
	first, count := x.IntN(len(r.workers)), 1+x.IntN(rigWorkersPerCentre)
	defer r.recordFault(nil, "%d workers from %d: %+v", count, first, f)()
	for i := range count {
		w := r.workers[(first+i)%len(r.workers)]
		w.Faults.Set(f)
		defer w.Faults.Set(standin.Faults{})
	}
	time.Sleep(randomTime(x, 300, 2000))
}
