package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/crash"
	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/livecalls"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/spill"
	"github.com/catkingap/catkingap/throttle"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	kindContact = peer.Kind("contact")
	// contactInterval is the time between two contacts with a host. Four of them fit
	// into the silence after which an owner is replaced.
	contactInterval = 150 * time.Millisecond
	// contactTimeout bounds a contact.
	contactTimeout = 400 * time.Millisecond
	// maxListAge is the age up to which a new owner relies on the list of workers of
	// the previous one. A worker added to the list is missed for about as long as the
	// previous owner was silent.
	maxListAge = 1500 * time.Millisecond
	// pauseThreshold is the delay of its own loop from which a process takes itself to
	// have been paused, so that its knowledge of other hosts is stale.
	pauseThreshold = 400 * time.Millisecond
)

// contactRequest announces a host to another one.
type contactRequest struct {
	Host ownership.Host `msgpack:"host"`
	// Owners is the sum of the tokens of all owners that the host knows, and Workers
	// the version of the list of workers that it has of its data centre. What the host
	// knows already is left out of the answer.
	Owners  worker.Token `msgpack:"owners"`
	Workers listVersion  `msgpack:"workers"`
	// Revision is the revision of the configuration in force.
	Revision ident.Revision `msgpack:"revision"`
	Leaving  bool           `msgpack:"leaving,omitempty"`
	// Keepalives tells which calls the host still waits for at the ownerships of the
	// contacted host. Sent is the time to which they apply, on the clock of the
	// contacted host's process.
	Keepalives []keepalive   `msgpack:"signs,omitempty"`
	Sent       time.Duration `msgpack:"sent,omitempty"`
	// Owned holds the ownerships of the host.
	Owned []ownership.Owner `msgpack:"owned,omitempty"`
	// Evacuation is what the host knows of evacuated data centres, or nil.
	Evacuation *evacuation.State `msgpack:"evacuation,omitempty"`
}

// keepalive tells which calls a host still waits for at one owner.
type keepalive struct {
	DataCentre ident.DataCentre  `msgpack:"dataCentre"`
	Token      worker.Token      `msgpack:"token"`
	Sequence   dispatch.Sequence `msgpack:"try"`
	Calls      livecalls.List    `msgpack:"calls"`
}

// contactAnswer describes the contacted host and its ownerships.
type contactAnswer struct {
	Host ownership.Host `msgpack:"host"`
	// Clock is how long the process has been running.
	Clock    time.Duration     `msgpack:"clock"`
	Revision ident.Revision    `msgpack:"revision"`
	Leaving  bool              `msgpack:"leaving,omitempty"`
	Owned    []ownership.Owner `msgpack:"owned,omitempty"`
	Loads    []dispatch.Load   `msgpack:"loads,omitempty"`
	Others   []ownership.Owner `msgpack:"others,omitempty"`
	// Workers holds the workers of the requesting host's data centre, if the contacted
	// host owns them and the requesting host does not have this version of the list.
	Workers []worker.Worker `msgpack:"workers,omitempty"`
	Version listVersion     `msgpack:"version"`
	// Losses holds new losses of workers under tasks, by the owners of the contacted host.
	Losses []crash.TaskLosses `msgpack:"losses,omitempty"`
	// Evacuation is what the host knows of evacuated data centres, or nil.
	Evacuation *evacuation.State `msgpack:"evacuation,omitempty"`
}

// listVersion identifies a version of an owner's list of workers.
type listVersion struct {
	Token worker.Token `msgpack:"token"`
	Count uint64       `msgpack:"count"`
}

// Contacts regularly contacts the other hosts that this one depends on: those of its
// data centre, and the owners of the other data centres.
type Contacts struct {
	self          ownership.Host
	settings      Settings
	links         *peer.Links
	directory     *Directory
	configuration *Configuration
	evacuation    *Evacuation
	clock         Clock
	logger        log.Interface
	// clockZero is when the clock of this process was zero.
	clockZero time.Time

	mutex    sync.Mutex
	contacts map[ident.Host]ownership.Contact
	// clocks holds a clock reading of each host that has answered.
	clocks map[ident.Host]hostClock
	// inbound holds the last contact that each host made with this one.
	inbound map[ident.Host]inboundContact
	// firstMissed is when a host that was never heard was first missed.
	firstMissed map[ident.Host]time.Time
	loads       map[ident.DataCentre]dispatch.Load
	// ownersHeard holds the last answer of each owner.
	ownersHeard map[ident.DataCentre]ownership.Answer
	// verifyUntil is until when this host contacts all hosts of its data centre often.
	verifyUntil time.Time
	// view holds the free capacity of the owners.
	view  spill.View
	gates map[ident.DataCentre]*throttle.Gate
	// workers is the last list of workers received from the owner of this data centre.
	workers knownWorkers
	// losses holds the losses of workers under tasks that this host knows of.
	losses *crash.Board
	// runningSince is since when this process has run without a pause.
	runningSince time.Time
	leaving      bool
	// ownerships returns the ownerships of this host, and owned their loads too.
	ownerships func() []ownership.Owner
	owned      func() ([]ownership.Owner, []dispatch.Load)
	// ownWorkers returns the workers of a data centre that this host owns.
	ownWorkers func(ident.DataCentre) ([]worker.Worker, listVersion)
	// liveCalls returns which calls of this host may be at the owner of a data centre,
	// and false if that is not known.
	liveCalls func(ident.DataCentre) (liveCalls, bool)
	// hasLiveCalls returns true if calls of this host may be at the owner of a data centre.
	hasLiveCalls func(ident.DataCentre) bool
	// receiveKeepalives handles the keepalives of another host.
	receiveKeepalives func(h ownership.Host, at time.Time, keepalives []keepalive)
	// wake starts a round of contacts before its time, and onNewProcess is called when a
	// process has answered for the first time.
	wake         signal
	onNewProcess func()
}

// liveCalls holds the calls for which a host still waits at one owner, as of a time.
type liveCalls struct {
	calls    livecalls.List
	sequence dispatch.Sequence
	at       time.Time
}

// hostClock is a reading of the clock of another host's process, which showed at least
// clock at the time at.
type hostClock struct {
	boot  string
	clock time.Duration
	at    time.Time
}

// clockMaxAge is how long the best reading of a host's clock is kept. Clocks drift by
// less than a millisecond in that time.
const clockMaxAge = 10 * time.Second

// lowerBound returns a lower bound of the clock at now.
func (c hostClock) lowerBound(now time.Time) time.Duration { return c.clock + now.Sub(c.at) }

// merge returns the more precise one of two readings. An answer that took long gives a
// less precise one.
func (c hostClock) merge(x hostClock) hostClock {
	if c.boot == x.boot && x.at.Sub(c.at) < clockMaxAge && c.lowerBound(x.at) > x.clock {
		return c
	}
	return x
}

// knownWorkers is a list of workers received from an owner.
type knownWorkers struct {
	version listVersion
	workers []worker.Worker
	heard   time.Time
}

func newContacts(self ownership.Host, s Settings, l *peer.Links, d *Directory, c *Configuration, e *Evacuation, clock Clock, logger log.Interface) *Contacts {
	contacts := &Contacts{
		self: self, settings: s, links: l, directory: d, configuration: c, evacuation: e, clock: clock, logger: logger,
		clockZero:         clock(),
		contacts:          map[ident.Host]ownership.Contact{},
		clocks:            map[ident.Host]hostClock{},
		inbound:           map[ident.Host]inboundContact{},
		firstMissed:       map[ident.Host]time.Time{},
		loads:             map[ident.DataCentre]dispatch.Load{},
		ownersHeard:       map[ident.DataCentre]ownership.Answer{},
		gates:             map[ident.DataCentre]*throttle.Gate{},
		losses:            crash.NewBoard(),
		runningSince:      time.Now(),
		ownerships:        func() []ownership.Owner { return nil },
		owned:             func() ([]ownership.Owner, []dispatch.Load) { return nil, nil },
		ownWorkers:        func(ident.DataCentre) ([]worker.Worker, listVersion) { return nil, listVersion{} },
		liveCalls:         func(ident.DataCentre) (liveCalls, bool) { return liveCalls{}, false },
		hasLiveCalls:      func(ident.DataCentre) bool { return false },
		receiveKeepalives: func(ownership.Host, time.Time, []keepalive) {},
		wake:              newSignal(),
		onNewProcess:      func() {},
	}
	d.OnOwnerChange(contacts.wake.send)
	peer.Handle(l, kindContact, contacts.answerContact)
	return contacts
}

func runContacts(life fx.Lifecycle, c *Contacts) {
	runLoops(life, c.run)
}

// run contacts each target when its next contact is due.
func (c *Contacts) run(ctx context.Context) {
	last := time.Now()
	schedules := map[string]*contactSchedule{}
	for c.wake.wait(ctx, contactInterval) {
		now := time.Now()
		if now.Sub(last) > contactInterval+pauseThreshold {
			c.mutex.Lock()
			c.runningSince = now
			c.mutex.Unlock()
		}
		last = now
		targets := c.targets(now)
		for a, interval := range targets {
			s := index.GetOrCreate(schedules, a)
			if s.tryBegin(now, interval) {
				go func() { s.end(c.contact(ctx, a)) }()
			}
		}
		for a := range schedules {
			if _, ok := targets[a]; !ok {
				delete(schedules, a)
			}
		}
	}
}

// contact contacts one host, and returns true if it answers.
func (c *Contacts) contact(ctx context.Context, address string) bool {
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	c.mutex.Lock()
	leaving, known := c.leaving, c.workers.version
	c.mutex.Unlock()
	owners := c.directory.Owners()
	keepalives, clock := c.keepalivesFor(address, owners)
	a, err := peer.Call[contactRequest, contactAnswer](call, c.links, address, kindContact, contactRequest{
		Host: c.self, Revision: c.configuration.Revision(), Leaving: leaving,
		Owners: tokenSum(owners), Workers: known, Keepalives: keepalives, Sent: clock, Owned: c.ownerships(),
		Evacuation: c.evacuation.request(),
	})
	if err != nil {
		return false
	}
	c.mutex.Lock()
	c.clocks[a.Host.Name] = c.clocks[a.Host.Name].merge(hostClock{boot: a.Host.Boot, clock: a.Clock, at: c.clock()})
	old, met := c.contacts[a.Host.Name]
	c.contacts[a.Host.Name] = ownership.Contact{Boot: a.Host.Boot, Heard: sent, Leaving: a.Leaving, Started: sent.Add(-a.Clock)}
	c.losses.Put(sent, a.Losses)
	for i, o := range a.Owned {
		if i < len(a.Loads) {
			c.setLoad(sent, o.DataCentre, a.Loads[i])
			c.ownersHeard[o.DataCentre] = ownership.Answer{Token: o.Token, Heard: sent, Unconfirmed: a.Loads[i].Unconfirmed}
		}
		if o.DataCentre == c.self.DataCentre && o.Token >= c.workers.version.Token {
			c.workers.update(a, sent)
		}
	}
	c.mutex.Unlock()
	if !met || old.Boot != a.Host.Boot {
		c.logger.WithFields(log.Fields{"peer": string(a.Host.Name), "boot": a.Host.Boot}).Info("first contact with a process of a host")
		defer c.onNewProcess()
	}
	c.directory.Observe(a.Host, append(a.Owned, a.Others...))
	c.configuration.ObserveRevision(a.Host, a.Revision)
	c.evacuation.receive(a.Host.Name, a.Evacuation)
	return true
}

// keepalivesFor returns the keepalives for the host at an address, and the time on its
// clock to which they apply.
func (c *Contacts) keepalivesFor(address string, owners map[ident.DataCentre]ownership.Owner) ([]keepalive, time.Duration) {
	var keepalives []keepalive
	var clock time.Duration
	for d, o := range owners {
		if o.Address != address {
			continue
		}
		w, ok := c.liveCalls(d)
		if !ok {
			continue
		}
		x, known := c.ClockOf(w.at, o)
		if !known {
			continue
		}
		if keepalives = append(keepalives, keepalive{DataCentre: d, Token: o.Token, Sequence: w.sequence, Calls: w.calls}); len(keepalives) == 1 {
			clock = x
		}
	}
	return keepalives, clock
}

// ClockOf returns a lower bound of the clock of an owner's process at a time, and false
// if that process has not answered yet.
func (c *Contacts) ClockOf(at time.Time, o ownership.Owner) (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x, ok := c.clocks[o.Host]
	return x.lowerBound(at), ok && x.boot == o.Boot
}

// TimeAt returns the time at which the clock of this process showed clock.
func (c *Contacts) TimeAt(clock time.Duration) time.Time { return c.clockZero.Add(clock) }

// answerContact handles a contact of another host.
func (c *Contacts) answerContact(ctx context.Context, r contactRequest) (contactAnswer, error) {
	now := time.Now()
	c.mutex.Lock()
	if c.inbound[r.Host.Name].boot != r.Host.Boot {
		// Other contacts with the host may still wait for its previous process.
		go c.contact(context.WithoutCancel(ctx), r.Host.Address)
	}
	c.inbound[r.Host.Name] = inboundContact{at: now, boot: r.Host.Boot}
	leaving, losses := c.leaving, c.losses.News(now)
	c.mutex.Unlock()
	c.directory.Observe(r.Host, r.Owned)
	c.configuration.ObserveRevision(r.Host, r.Revision)
	c.receiveKeepalives(r.Host, c.TimeAt(r.Sent), r.Keepalives)
	a := contactAnswer{Host: c.self, Clock: c.clock().Sub(c.clockZero), Revision: c.configuration.Revision(), Leaving: leaving, Losses: losses}
	a.Evacuation = c.evacuation.answer(r.Host.Name, r.Evacuation)
	a.Owned, a.Loads = c.owned()
	if workers, version := c.ownWorkers(r.Host.DataCentre); version.Token != 0 {
		a.Version = version
		if version != r.Workers {
			a.Workers = workers
		}
	}
	if owners := c.directory.Owners(); tokenSum(owners) != r.Owners {
		for _, o := range owners {
			a.Others = append(a.Others, o)
		}
	}
	return a, nil
}

// tellLosses records losses of workers under tasks of this host's owners, and tells the
// other hosts.
func (c *Contacts) tellLosses(now time.Time, all []crash.TaskLosses) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.losses.PutOwn(now, all)
}

// lossesOf returns the known losses of workers under the tasks of a job.
func (c *Contacts) lossesOf(id work.ID) []crash.TaskLosses {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.losses.OfJob(id)
}

// tokenSum returns the sum of the owners' tokens. Tokens only grow, so two hosts with
// the same sum know the same owners, except in rare cases that the next change ends.
func tokenSum(owners map[ident.DataCentre]ownership.Owner) worker.Token {
	var sum worker.Token
	for _, o := range owners {
		sum += o.Token
	}
	return sum
}

// update records the list of workers in an owner's answer.
func (k *knownWorkers) update(a contactAnswer, sent time.Time) {
	if a.Version != k.version {
		k.version, k.workers = a.Version, a.Workers
	}
	k.heard = sent
}

// Workers returns the workers that the owner with the token before has reported, and
// true if the report is recent enough to rely on.
func (c *Contacts) Workers(now time.Time, d ident.DataCentre, before worker.Token) ([]worker.Worker, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if d != c.self.DataCentre || c.workers.version.Token != before {
		return nil, false
	}
	return c.workers.workers, now.Sub(c.workers.heard) < maxListAge
}

// Leave makes this host tell the others that it shuts down.
func (c *Contacts) Leave() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaving = true
}

// View returns what this host knows about the other hosts.
func (c *Contacts) View() ownership.View {
	hosts, owners, learned := c.directory.Hosts(), c.directory.Owners(), c.directory.Learned()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	contacts := make(map[ident.Host]ownership.Contact, len(c.contacts))
	for h, x := range c.contacts {
		contacts[h] = x
	}
	return ownership.View{
		Self: c.self, Started: c.runningSince, Hosts: hosts, Owners: owners, Learned: learned, Ended: c.directory.EndedOwners(),
		Contacts: contacts, Leaving: c.leaving,
	}
}

// Contact returns the last contact with a host.
func (c *Contacts) Contact(h ident.Host) (ownership.Contact, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x, ok := c.contacts[h]
	return x, ok
}

// LastHeard returns when a host was last heard, or when it was first missed if it was never heard.
func (c *Contacts) LastHeard(h ident.Host, now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.contacts[h].Heard
	if at := c.inbound[h].at; at.After(known) {
		known = at
	}
	if !known.IsZero() {
		return known
	}
	if c.firstMissed[h].IsZero() {
		c.firstMissed[h] = now
	}
	return c.firstMissed[h]
}

// inboundContact is a contact that a process of another host made with this one.
type inboundContact struct {
	at   time.Time
	boot string
}

// bootOf returns the process of a host that last contacted this one.
func (c *Contacts) bootOf(h ident.Host) (string, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	a, ok := c.inbound[h]
	return a.boot, ok
}
