package integration

import (
	"fmt"
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

// rigFault is a kind of fault. It returns after its end.
type rigFault struct {
	// weight is how often it is drawn.
	weight int
	run    func(r *rig, x *rand.Rand)
}

var rigFaults = map[string]rigFault{
	"pause":   {weight: 6, run: (*rig).pauseHosts},
	"kill":    {weight: 2, run: (*rig).killHost},
	"term":    {weight: 1, run: (*rig).endHost},
	"links":   {weight: 6, run: (*rig).cutLinks},
	"silence": {weight: 3, run: (*rig).silenceHost},
	"mute":    {weight: 2, run: (*rig).muteHost},
	"centre":  {weight: 1, run: (*rig).silenceCentre},
	"table":   {weight: 2, run: (*rig).silenceTable},
	"store":   {weight: 1, run: (*rig).slowStore},
	"workers": {weight: 2, run: (*rig).loseWorkers},
}

// drawn returns the names of the kinds that may be drawn, each as often as its
// weight says.
func drawn(only string) []string {
	var names []string
	for name, f := range rigFaults {
		if only == "" || slices.Contains(strings.Split(only, ","), name) {
			names = append(names, slices.Repeat([]string{name}, f.weight)...)
		}
	}
	slices.Sort(names)
	return names
}

// disturb carries faults out for a time, in series and overlapping, and waits
// for their ends.
func (r *rig) disturb(x *rand.Rand, d time.Duration) {
	names := drawn(*soakOnly)
	var open sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		for range 1 + x.IntN(3) {
			name, after, own := names[x.IntN(len(names))], between(x, 0, 400), rand.New(rand.NewPCG(x.Uint64(), 0))
			open.Go(func() {
				time.Sleep(after)
				rigFaults[name].run(r, own)
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

// cutLinks resets the links of a host in both directions.
func (h *rigHost) cutLinks() {
	h.peer.cut(anybody)
	for _, o := range h.rig.hosts {
		o.peer.cut(func(origin string) bool { return origin == h.name })
	}
}

// pauseHosts stops a process, or those of a data centre, for a time. The
// connections of callers may break right before or meanwhile, so that a process
// wakes with their old requests.
func (r *rig) pauseHosts(x *rand.Rand) {
	hosts, took, abrupt := []*rigHost{r.victim(x)}, between(x, 200, 4000), x.IntN(2) == 0
	early, breaks, after := between(x, 0, 30), x.IntN(3), between(x, 0, int(took.Milliseconds())+1)
	if x.IntN(3) == 0 {
		zone := hosts[0].zone
		hosts = slices.DeleteFunc(slices.Clone(r.hosts), func(h *rigHost) bool { return h.zone != zone })
	}
	hosts = slices.DeleteFunc(hosts, func(h *rigHost) bool { return !h.busy.TryLock() })
	for _, h := range hosts {
		defer h.busy.Unlock()
	}
	if breaks == 1 {
		r.breakCallers(hosts, abrupt, fmt.Sprintf("%s before a pause", early))
		time.Sleep(early)
	}
	end := r.fault(hosts, "pause of")
	for _, h := range hosts {
		h.signal(syscall.SIGSTOP)
	}
	if breaks == 2 {
		time.Sleep(after)
		r.breakCallers(hosts, abrupt, "in a pause")
		took -= after
	}
	time.Sleep(took)
	for _, h := range hosts {
		h.signal(syscall.SIGCONT)
	}
	end()
}

// breakCallers breaks the connections of hosts' callers.
func (r *rig) breakCallers(hosts []*rigHost, abrupt bool, when string) {
	defer r.fault(hosts, "callers break %s, at", when)()
	for _, h := range hosts {
		h.cutCallers(abrupt)
	}
}

func (r *rig) killHost(x *rand.Rand) {
	h, gone := r.victim(x), between(x, 100, 2000)
	if !h.busy.TryLock() {
		return
	}
	defer h.busy.Unlock()
	defer r.fault([]*rigHost{h}, "kill of")()
	h.kill()
	time.Sleep(gone)
	h.start()
}

// endHost shuts a process down in order. The platform kills one that takes too
// long.
func (r *rig) endHost(x *rand.Rand) {
	h, gone := r.victim(x), between(x, 100, 2000)
	if !h.busy.TryLock() {
		return
	}
	defer h.busy.Unlock()
	defer r.fault([]*rigHost{h}, "shutdown of")()
	h.signal(syscall.SIGTERM)
	if !h.wait(rigGrace) {
		h.kill()
	}
	time.Sleep(gone)
	h.start()
}

// cutLinks resets the links of hosts, once or a few times, and then the
// connections of callers, as when a middlebox drops all that it forwards.
func (r *rig) cutLinks(x *rand.Rand) {
	linked, called := r.some(x), r.some(x)
	most := []int{30, 100}[x.IntN(2)]
	gap, times, abrupt := between(x, 0, most), 1+x.IntN(3), x.IntN(2) == 0
	end := r.fault(linked, "links reset, %d times, of", times)
	for i := range times {
		if i > 0 {
			time.Sleep(between(x, 5, 40))
		}
		for _, h := range linked {
			h.cutLinks()
		}
	}
	end()
	time.Sleep(gap)
	r.breakCallers(called, abrupt, fmt.Sprintf("%s after the links", gap))
}

// someWays returns one way or both.
func someWays(x *rand.Rand) []way {
	return [][]way{{forth}, {back}, {forth, back}}[x.IntN(3)]
}

// silenceHost holds back what other hosts say to one, or what it answers. The
// connections of its callers may break meanwhile.
func (r *rig) silenceHost(x *rand.Rand) {
	h, held, took := r.victim(x), someWays(x), between(x, 500, 4000)
	name, from := r.others(x)
	defer r.fault([]*rigHost{h}, "silence of ways %v of the links from %s to", held, name)()
	defer h.peer.hold(from, held...)()
	if x.IntN(2) == 0 {
		after := between(x, 0, int(took.Milliseconds()))
		called := r.some(x)
		time.Sleep(after)
		r.breakCallers(called, true, "in the silence")
		took -= after
	}
	time.Sleep(took)
}

// muteHost lets the open links to hosts go silent for good, and callers leave.
func (r *rig) muteHost(x *rand.Rand) {
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
	end := r.fault(nil, "silence of the links between others and %s", zone)
	for _, h := range r.hosts {
		defer h.peer.hold(func(origin string) bool { return strings.HasPrefix(origin, zone) != (h.zone == zone) }, forth, back)()
	}
	time.Sleep(between(x, 500, 4000))
	end()
}

func (r *rig) silenceTable(x *rand.Rand) {
	h, held := r.victim(x), someWays(x)
	defer r.fault([]*rigHost{h}, "silence of ways %v of the table for", held)()
	defer h.table.hold(anybody, held...)()
	time.Sleep(between(x, 500, 4000))
}

func (r *rig) slowStore(x *rand.Rand) {
	f := standin.Faults{Mode: standin.Silent}
	if x.IntN(2) == 0 {
		f = standin.Faults{Delay: between(x, 50, 600)}
	}
	defer r.fault(nil, "store for all %s, delay %s", f.Mode, f.Delay)()
	r.store.Faults.Set(f)
	time.Sleep(between(x, 500, 4000))
	r.store.Faults.Set(standin.Faults{})
}

// loseWorkers has some workers lose answers or go silent.
func (r *rig) loseWorkers(x *rand.Rand) {
	f := standin.Faults{Mode: standin.LoseAnswer, Count: 1 + x.IntN(8)}
	if x.IntN(2) == 0 {
		f = standin.Faults{Mode: standin.Silent}
	}
	first, count := x.IntN(len(r.workers)), 1+x.IntN(rigWorkersEach)
	defer r.fault(nil, "%d workers from %d: %s, count %d", count, first, f.Mode, f.Count)()
	for i := range count {
		r.workers[(first+i)%len(r.workers)].Faults.Set(f)
	}
	time.Sleep(between(x, 300, 2000))
	for i := range count {
		r.workers[(first+i)%len(r.workers)].Faults.Set(standin.Faults{})
	}
}
