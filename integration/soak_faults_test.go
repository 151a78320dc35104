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

// faultNote is one fault as it was carried out.
type faultNote struct {
	// From and Until are since the start of the rig.
	From, Until time.Duration
	Text        string
	// Hosts are those that were signalled or cut.
	Hosts []*rigHost
}

// rigFaults are the kinds of faults. Each returns after its end.
var rigFaults = map[string]func(r *rig, x *rand.Rand){
	"pause":   (*rig).pauseHosts,
	"wake":    (*rig).wakeLate,
	"kill":    func(r *rig, x *rand.Rand) { r.restartHost(x, syscall.SIGKILL) },
	"term":    func(r *rig, x *rand.Rand) { r.restartHost(x, syscall.SIGTERM) },
	"links":   (*rig).cutLinks,
	"leave":   (*rig).leaveBetween,
	"silence": (*rig).silenceHost,
	"mute":    (*rig).muteHosts,
	"centre":  (*rig).silenceCentre,
	"table":   (*rig).silenceTable,
	"store":   (*rig).slowStore,
	"workers": (*rig).loseWorkers,
}

// rigMixes are the kinds of faults of one seed after the other: all, and those
// that came before the incident.
var rigMixes = [][]string{slices.Sorted(maps.Keys(rigFaults)), {"pause", "wake", "wake"}, {"leave", "links"}}

// someWays holds one way and both.
var someWays = [][]way{{forth}, {back}, {forth, back}}

// disturb carries faults out for a time, in series and overlapping, and waits
// for their ends.
func (r *rig) disturb(x *rand.Rand, names []string, d time.Duration) {
	var open sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range 1 + x.IntN(3) {
			name, after, own := names[x.IntN(len(names))], between(x, 0, 400), rand.New(rand.NewPCG(x.Uint64(), 0))
			open.Go(func() {
				time.Sleep(after)
				rigFaults[name](r, own)
			})
		}
		time.Sleep(between(x, 300, 2200))
	}
	open.Wait()
}

// between returns a time between two numbers of milliseconds.
func between(x *rand.Rand, least, most int) time.Duration {
	return time.Duration(least*1000+x.IntN((most-least)*1000)) * time.Microsecond
}

// fault notes a fault that begins now. The returned function ends it.
func (r *rig) fault(hosts []*rigHost, format string, values ...any) func() {
	var names []string
	for _, h := range hosts {
		names = append(names, h.name)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	i := len(r.faults)
	text := strings.TrimSpace(fmt.Sprintf(format, values...) + " " + strings.Join(names, " "))
	r.faults = append(r.faults, faultNote{From: time.Since(r.began), Until: -1, Text: text, Hosts: hosts})
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.faults[i].Until = time.Since(r.began)
	}
}

// victim returns an owner, or another host.
func (r *rig) victim(x *rand.Rand) *rigHost {
	if x.IntN(3) > 0 {
		return r.owner(centres[x.IntN(len(centres))])
	}
	return r.hosts[x.IntN(len(r.hosts))]
}

// some returns one host, or all.
func (r *rig) some(x *rand.Rand) []*rigHost {
	if x.IntN(2) > 0 {
		return r.hosts
	}
	return []*rigHost{r.victim(x)}
}

// neighbours returns one host, or those of one data centre: then nobody takes the
// owner's place while all are paused.
func (r *rig) neighbours(x *rand.Rand) []*rigHost {
	one := r.victim(x)
	if x.IntN(2) > 0 {
		return []*rigHost{one}
	}
	return slices.DeleteFunc(slices.Clone(r.hosts), func(h *rigHost) bool { return h.zone != one.zone })
}

// others returns all origins, or one, or those of one data centre.
func (r *rig) others(x *rand.Rand) (string, func(origin string) bool) {
	one, zone := r.hosts[x.IntN(len(r.hosts))].name, centres[x.IntN(len(centres))]
	switch x.IntN(3) {
	case 0:
		return "all", anybody
	case 1:
		return one, func(origin string) bool { return origin == one }
	}
	return zone, func(origin string) bool { return strings.HasPrefix(origin, zone) }
}

// resetLinks resets the links of hosts in both directions.
func (r *rig) resetLinks(hosts []*rigHost) {
	defer r.fault(hosts, "links reset of")()
	for _, h := range hosts {
		h.peer.cut(anybody)
		for _, o := range r.hosts {
			o.peer.cut(func(origin string) bool { return origin == h.name })
		}
	}
}

// pauseHosts stops a process, or those of a data centre, for a time. The
// connections of callers may break right before or meanwhile.
func (r *rig) pauseHosts(x *rand.Rand) {
	hosts, took, early, abrupt := r.neighbours(x), between(x, 200, 4000), between(x, 0, 30), x.IntN(2) == 0
	after := between(x, 0, int(took.Milliseconds())+1)
	switch x.IntN(3) {
	case 0:
		r.pause(hosts, took, nil)
	case 1:
		r.breakCallers(hosts, abrupt, fmt.Sprintf("%s before a pause", early))
		time.Sleep(early)
		r.pause(hosts, took, nil)
	case 2:
		r.pause(hosts, after, func() {
			r.breakCallers(hosts, abrupt, "in a pause")
			time.Sleep(took - after)
		})
	}
}

// wakeLate stops a process, breaks the connections of its callers meanwhile, and
// lets it wake with their requests in its sockets after they have sent their
// jobs again.
func (r *rig) wakeLate(x *rand.Rand) {
	hosts, abrupt, before, after := r.neighbours(x), x.IntN(2) == 0, between(x, 200, 900), between(x, 100, 900)
	r.pause(hosts, before, func() {
		r.breakCallers(hosts, abrupt, "in a pause")
		time.Sleep(resendTime + after)
	})
}

// pause stops processes for a time, and for as long as more takes.
func (r *rig) pause(hosts []*rigHost, took time.Duration, more func()) {
	if hosts = slices.DeleteFunc(slices.Clone(hosts), func(h *rigHost) bool { return !h.busy.TryLock() }); len(hosts) == 0 {
		return
	}
	defer r.fault(hosts, "pause of")()
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

// restartHost ends a process and starts it again. The platform kills one that
// takes too long.
func (r *rig) restartHost(x *rand.Rand, s syscall.Signal) {
	h, gone := r.victim(x), between(x, 100, 2000)
	if !h.busy.TryLock() {
		return
	}
	defer h.busy.Unlock()
	defer r.fault([]*rigHost{h}, "%s of", s)()
	h.signal(s)
	if !h.wait(rigGrace) {
		h.kill()
	}
	time.Sleep(gone)
	h.start()
}

// breakCallers breaks the connections of hosts' callers.
func (r *rig) breakCallers(hosts []*rigHost, abrupt bool, when string) {
	defer r.fault(hosts, "callers break %s, at", when)()
	for _, h := range hosts {
		h.cutCallers(abrupt)
	}
}

// leaveBetween resets all links, and has the callers leave while the hosts wait
// for their next try.
func (r *rig) leaveBetween(x *rand.Rand) {
	gap := between(x, 2, 20)
	r.resetLinks(r.hosts)
	time.Sleep(gap)
	r.breakCallers(r.hosts, true, fmt.Sprintf("%s after the links", gap))
}

// cutLinks resets the links of hosts, once or a few times, and then the
// connections of callers, as when a middlebox drops all that it forwards.
func (r *rig) cutLinks(x *rand.Rand) {
	linked, called, abrupt := r.some(x), r.some(x), x.IntN(2) == 0
	gap := between(x, 0, []int{30, 100}[x.IntN(2)])
	r.resetLinks(linked)
	for range x.IntN(3) {
		time.Sleep(between(x, 5, 40))
		r.resetLinks(linked)
	}
	time.Sleep(gap)
	r.breakCallers(called, abrupt, fmt.Sprintf("%s after the links", gap))
}

// silenceHost holds back what other hosts say to one, or what it answers. The
// connections of callers may break meanwhile.
func (r *rig) silenceHost(x *rand.Rand) {
	h, held, took, called := r.victim(x), someWays[x.IntN(len(someWays))], between(x, 500, 4000), r.some(x)
	after := between(x, 0, int(took.Milliseconds()))
	name, from := r.others(x)
	defer r.fault([]*rigHost{h}, "silence of ways %v of the links from %s to", held, name)()
	defer h.peer.hold(from, held...)()
	if x.IntN(2) == 0 {
		time.Sleep(after)
		r.breakCallers(called, true, "in the silence")
		took -= after
	}
	time.Sleep(took)
}

// muteHosts lets the open links to hosts go silent for good, and callers leave.
func (r *rig) muteHosts(x *rand.Rand) {
	linked, called, gap := r.some(x), r.some(x), between(x, 0, 700)
	name, from := r.others(x)
	defer r.fault(linked, "open links go silent, from %s to", name)()
	for _, h := range linked {
		h.peer.mute(from)
	}
	time.Sleep(gap)
	r.breakCallers(called, true, fmt.Sprintf("%s after", gap))
}

// silenceCentre holds all links between a data centre and the others back.
func (r *rig) silenceCentre(x *rand.Rand) {
	zone := centres[x.IntN(len(centres))]
	defer r.fault(nil, "silence of the links between others and %s", zone)()
	for _, h := range r.hosts {
		defer h.peer.hold(func(origin string) bool { return strings.HasPrefix(origin, zone) != (h.zone == zone) }, forth, back)()
	}
	time.Sleep(between(x, 500, 4000))
}

func (r *rig) silenceTable(x *rand.Rand) {
	h, held := r.victim(x), someWays[x.IntN(len(someWays))]
	defer r.fault([]*rigHost{h}, "silence of ways %v of the table for", held)()
	defer h.table.hold(anybody, held...)()
	time.Sleep(between(x, 500, 4000))
}

// slowStore has the store go silent or slow for all.
func (r *rig) slowStore(x *rand.Rand) {
	f := []standin.Faults{{Mode: standin.Silent}, {Delay: between(x, 50, 600)}}[x.IntN(2)]
	defer r.fault(nil, "store for all: %+v", f)()
	r.store.Faults.Set(f)
	time.Sleep(between(x, 500, 4000))
	r.store.Faults.Set(standin.Faults{})
}

// loseWorkers has some workers lose answers or go silent.
func (r *rig) loseWorkers(x *rand.Rand) {
	f := []standin.Faults{{Mode: standin.Silent}, {Mode: standin.LoseAnswer, Count: 1 + x.IntN(8)}}[x.IntN(2)]
	first, count := x.IntN(len(r.workers)), 1+x.IntN(rigWorkersEach)
	defer r.fault(nil, "%d workers from %d: %+v", count, first, f)()
	for i := range count {
		w := r.workers[(first+i)%len(r.workers)]
		w.Faults.Set(f)
		defer w.Faults.Set(standin.Faults{})
	}
	time.Sleep(between(x, 300, 2000))
}
