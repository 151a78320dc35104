package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/catkingap/catkingap/admission"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/route"
)

// The one-way network latencies.
const (
	callerLatency = 3 * time.Millisecond
	localLatency  = 250 * time.Microsecond
	remoteLatency = 1500 * time.Microsecond
)

// event is a function that runs at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loop is an event loop in virtual time.
type loop struct {
	now      time.Duration
	sequence int
	events   events
}

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func (l *loop) time() time.Time { return epoch.Add(l.now) }

func (l *loop) after(d time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{l.now + d, l.sequence, run})
}

func (l *loop) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= until {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

// item is one task or request.
type item struct {
	team    ident.Team
	job     ident.Job
	host    int
	arrived time.Duration
	// work is the run time on a server of ordinary speed.
	work       time.Duration
	declared   time.Duration
	idempotent bool
	// attempts counts the messages that were sent to servers for the item.
	attempts int
	ended    time.Duration
	done     bool
	refused  bool
	// cancelled items had not started when their job was cancelled.
	cancelled bool
	starts    int
	deadline  time.Duration
}

// response returns how long the caller waits.
func (i *item) response() time.Duration { return i.ended - i.arrived + 2*callerLatency }

// ideal returns the response time on an idle server of ordinary speed.
func (i *item) ideal() time.Duration { return i.work + 2*(callerLatency+localLatency) }

// fakeServer is a backend server with slots and a speed.
type fakeServer struct {
	name    ident.Server
	centre  int
	slots   int
	speed   float64
	running int
	// failing is true if the server answers each task with an error at once.
	failing bool
	leaving bool
}

// fakeHost drives the policy of one entry host.
type fakeHost struct {
	world  *world
	index  int
	name   ident.Host
	centre int
	weight float64
	dead   bool
	pool   *route.Pool[*item]
	// wake is when the host calls pump next.
	wake time.Duration
	// plain is set for a host without the policy.
	plain *plainHost
}

// world is the simulated installation that a scenario runs in.
type world struct {
	loop
	random  *rand.Rand
	servers []*fakeServer
	byName  map[ident.Server]*fakeServer
	hosts   []*fakeHost
	items   []*item
	// cutCentre is the data centre without links to the others, or -1.
	cutCentre int
	// messages counts the messages to servers, control those between hosts.
	messages, control int
	failed            int
}

// The dimensions of the simulated installation.
const (
	centres                 = 3
	serverCount             = 50
	serverSlots             = 8
	hostCount               = 9
	exchangeTick            = 20 * time.Millisecond
	meanWork                = 460 * time.Millisecond
	totalSlots              = serverCount * serverSlots
	fullLoadStartsPerSecond = float64(totalSlots) / 0.46
	defaultDuration         = 30 * time.Second
	requestMaxWait          = 2 * time.Second
	requestMaxAge           = 4 * time.Second
	queueLimit              = 100_000
	detectTime              = 3 * time.Second
	connectTimeout          = time.Second
	silenceTimeout          = 5 * time.Second
	failTime                = time.Millisecond
	membershipLag           = 2 * time.Second
)

var centreNames = [centres]ident.DataCentre{"a", "b", "c"}

// hostWeights are the relative shares of the arrivals that the load balancer sends
// to the hosts.
var hostWeights = [hostCount]float64{1, 2, 1, 2, 1, 4, 1, 2, 2}

// speeds are the relative speeds of the servers. They repeat within each data
// centre.
type speeds []float64

var ordinarySpeeds = speeds{1}

// mixedSpeeds differ by a factor of four. Their mean is that of ordinarySpeeds.
var mixedSpeeds = speeds{0.4, 0.7, 1, 1.3, 1.6}

func newWorld(seed uint64, s speeds) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), byName: map[ident.Server]*fakeServer{}, cutCentre: -1}
	for i := range serverCount {
		f := &fakeServer{
			name: ident.Server("server-" + string(rune('A'+i/10)) + string(rune('0'+i%10))), centre: i % centres,
			slots: serverSlots, speed: s[i/centres%len(s)],
		}
		w.servers = append(w.servers, f)
		w.byName[f.name] = f
	}
	for i := range hostCount {
		w.hosts = append(w.hosts, &fakeHost{
			world: w, index: i, name: ident.Host("host-" + string(rune('0'+i))), centre: i % centres, weight: hostWeights[i],
		})
	}
	return w
}

// isLinked returns true if messages pass between two data centres.
func (w *world) isLinked(a, b int) bool { return a == b || a != w.cutCentre && b != w.cutCentre }

func latencyBetween(a, b int) time.Duration {
	if a == b {
		return localLatency
	}
	return remoteLatency
}

// start creates the pools of the hosts and starts their ticks.
func (w *world) start(c route.Config) {
	for _, h := range w.hosts {
		c.Self = route.Peer{Name: h.name, DataCentre: centreNames[h.centre]}
		c.Queue = admission.Config{Jitter: w.random.Float64}
		h.pool = route.NewPool[*item](c)
		h.pool.SetShares(queueLimit, nil)
		h.pool.SetServers(w.routeServers())
		h.pool.SetPeers(w.peersOf(h))
		w.after(time.Duration(h.index)*time.Millisecond, h.tick)
	}
}

func (w *world) routeServers() []route.Server {
	var list []route.Server
	for _, f := range w.servers {
		list = append(list, route.Server{Name: f.name, DataCentre: centreNames[f.centre], Slots: f.slots, Leaving: f.leaving})
	}
	return list
}

func (w *world) peersOf(self *fakeHost) []route.Peer {
	var peers []route.Peer
	for _, h := range w.hosts {
		if h != self && !h.dead {
			peers = append(peers, route.Peer{Name: h.name, DataCentre: centreNames[h.centre]})
		}
	}
	return peers
}

// pickHost chooses a live host as the load balancer does, also in a data centre
// that is cut off.
func (w *world) pickHost() int {
	total := 0.0
	for _, h := range w.hosts {
		if !h.dead {
			total += h.weight
		}
	}
	at := w.random.Float64() * total
	for i, h := range w.hosts {
		if h.dead {
			continue
		}
		if at -= h.weight; at < 0 {
			return i
		}
	}
	return 0
}

func (h *fakeHost) tick() {
	if h.dead {
		return
	}
	h.pump()
	h.exchange()
	h.world.after(exchangeTick, h.tick)
}

func (h *fakeHost) submit(items ...*item) {
	if h.plain != nil {
		h.plain.submit(items...)
		return
	}
	now := h.world.time()
	a := admission.Arrival{Team: items[0].team, Entries: len(items)}
	entries := make([]*admission.Entry[*item], 0, len(items))
	for _, i := range items {
		e := &admission.Entry[*item]{Item: i, Team: i.team, Flow: admission.Flow{Job: i.job}, RunTime: i.declared, Idempotent: i.idempotent}
		if i.job.Key == "" {
			e.Flow.Service = "service"
			e.ExpiresAt = now.Add(requestMaxAge)
			a.MaxWait = requestMaxWait
		}
		entries = append(entries, e)
	}
	if h.pool.Submit(now, a, entries) != nil {
		h.world.refuse(items...)
	}
	h.pump()
}

// refuse ends items as refused.
func (w *world) refuse(items ...*item) {
	for _, i := range items {
		i.refused, i.ended = true, w.now
	}
}

// pump binds the items that can start and asks peers for more slots.
func (h *fakeHost) pump() {
	expired, _ := h.pool.Expire(h.world.time())
	for _, e := range expired {
		h.world.refuse(e.Item)
	}
	for {
		b, ok := h.pool.Bind(h.world.time())
		if !ok {
			break
		}
		h.send(b)
	}
	if h.pool.Waiting() == 0 {
		return
	}
	if h.pool.ShouldAskPeers(h.world.time()) {
		h.exchange()
	}
	wake := h.pool.WakeTime(h.world.time())
	if at := wake.Sub(epoch); !wake.IsZero() && (h.wake <= h.world.now || at < h.wake) {
		h.wake = at
		h.world.after(max(at-h.world.now, time.Millisecond), h.pump)
	}
}

func (h *fakeHost) exchange() {
	w := h.world
	for _, o := range h.pool.Exchange(w.time()) {
		w.control++
		for _, to := range w.hosts {
			if to.name == o.To && w.isLinked(h.centre, to.centre) {
				w.after(latencyBetween(h.centre, to.centre), func() { to.receive(h.name, o.Message) })
			}
		}
	}
}

func (h *fakeHost) receive(from ident.Host, m route.Message) {
	if h.dead {
		return
	}
	h.pool.Receive(h.world.time(), from, m)
	h.pump()
	h.exchange()
}

// send sends a bound item to its server.
func (h *fakeHost) send(b route.Binding[*item]) {
	w := h.world
	f := w.byName[b.Server.Name]
	w.messages++
	b.Entry.Item.attempts++
	sent := w.now
	latency := latencyBetween(h.centre, f.centre)
	if !w.isLinked(h.centre, f.centre) {
		w.messages--
		w.after(connectTimeout, func() { h.end(b, route.End{Result: route.Unreachable}) })
		return
	}
	answer := func(e route.End, leaving bool) {
		if !w.isLinked(h.centre, f.centre) {
			// The answer is lost and the host notices only by the silence of the
			// connection.
			w.after(silenceTimeout, func() { h.end(b, route.End{Result: route.Lost}) })
			return
		}
		w.after(latency, func() {
			if leaving && !h.dead {
				h.pool.MarkLeaving(f.name)
			}
			e.Took = w.now - sent
			h.end(b, e)
		})
	}
	w.after(latency, func() {
		switch {
		case f.running >= f.slots || f.leaving:
			answer(route.End{Result: route.Refused}, f.leaving)
			return
		case f.failing:
			b.Entry.Item.starts++
			w.after(failTime, func() { answer(route.End{Result: route.Failed}, false) })
			return
		}
		f.running++
		b.Entry.Item.starts++
		w.after(time.Duration(float64(b.Entry.Item.work)/f.speed), func() {
			f.running--
			answer(route.End{Result: route.Answered}, f.leaving)
		})
	})
}

// end reports to the policy how an item ended and answers the caller.
func (h *fakeHost) end(b route.Binding[*item], e route.End) {
	if h.dead {
		return
	}
	if h.pool.Ended(h.world.time(), b, e) == route.Finish {
		i := b.Entry.Item
		i.done, i.refused = e.Result == route.Answered, e.Result == route.Refused || e.Result == route.Unreachable
		i.ended = h.world.now
	}
	h.pump()
}
