package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/index"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/throttle"
	"github.com/catkingap/catkingap/worker"
)

const (
	kindContact = peer.Kind("contact")
	// contactInterval is the time between two contacts with a host: four fit
	// into the silence after which an owner is replaced.
	contactInterval = 150 * time.Millisecond
	// contactTimeout bounds a contact.
	contactTimeout = 400 * time.Millisecond
	// knownTime is how old an owner's list of workers may be for its successor
	// to rely on it. A worker that is new to the list may be missed for about as
	// long as the owner was silent.
	knownTime = 1500 * time.Millisecond
	// pausedTime is the time without a turn of its own loop after which a
	// process takes itself to have been paused: what it knows of others is old
	// then.
	pausedTime = 400 * time.Millisecond
)

// contactRequest says who is there.
type contactRequest struct {
	Host ownership.Host `msgpack:"host"`
	// Owners is the sum of the tokens of all owners that the host knows, and
	// Workers the list of workers that it has of its data centre: what it knows
	// already is not sent again.
	Owners  worker.Token `msgpack:"owners"`
	Workers listVersion  `msgpack:"workers"`
	// Revision is that of the configuration in force.
	Revision ident.Revision `msgpack:"revision"`
	Leaving  bool           `msgpack:"leaving,omitempty"`
	// Signs tell which calls the host still waits for at the owners that the
	// asked host is, and Sent is when it was so, on the clock of that host's
	// process.
	Signs []sign        `msgpack:"signs,omitempty"`
	Sent  time.Duration `msgpack:"sent,omitempty"`
}

// sign tells which calls a host still waits for at one owner.
type sign struct {
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	Token      worker.Token     `msgpack:"token"`
	Try        dispatch.Try     `msgpack:"try"`
	Calls      callList         `msgpack:"calls"`
}

// contactAnswer says what the host that was asked owns.
type contactAnswer struct {
	Host ownership.Host `msgpack:"host"`
	// Clock is how long the process runs.
	Clock    time.Duration     `msgpack:"clock"`
	Revision ident.Revision    `msgpack:"revision"`
	Leaving  bool              `msgpack:"leaving,omitempty"`
	Owned    []ownership.Owner `msgpack:"owned,omitempty"`
	Loads    []dispatch.Load   `msgpack:"loads,omitempty"`
	Others   []ownership.Owner `msgpack:"others,omitempty"`
	// Workers holds the workers of the asking host's data centre, if the host
	// that was asked owns them and the list is new to the asking host.
	Workers []worker.Worker `msgpack:"workers,omitempty"`
	Version listVersion     `msgpack:"version"`
}

// listVersion names a version of an owner's list of workers.
type listVersion struct {
	Token worker.Token `msgpack:"token"`
	Count uint64       `msgpack:"count"`
}

// Contacts keeps in touch with the other hosts that matter to this one: those
// of its data centre, and the owners of the others.
type Contacts struct {
	self          ownership.Host
	settings      Settings
	links         *peer.Links
	directory     *Directory
	configuration *Configuration
	clock         Clock
	logger        log.Interface
	// begun is when the clock of this process was zero.
	begun time.Time

	mutex    sync.Mutex
	contacts map[ident.Host]ownership.Contact
	// clocks holds the clocks of the processes that have answered.
	clocks map[ident.Host]hostClock
	// asked is when each host last asked this one.
	asked map[ident.Host]asked
	// missed is when a host that was never heard was missed first.
	missed map[ident.Host]time.Time
	loads  map[ident.DataCentre]dispatch.Load
	// shared holds the data centres whose load was used by roomy.
	shared map[ident.DataCentre]bool
	gates  map[ident.DataCentre]*throttle.Gate
	// workers is what the owner of this data centre has said of its workers.
	workers knownWorkers
	// awake is since when this process runs without a pause.
	awake   time.Time
	leaving bool
	owned   func() ([]ownership.Owner, []dispatch.Load)
	// working returns the workers of a data centre that this host owns.
	working func(ident.DataCentre) ([]worker.Worker, listVersion)
	// wanted returns which calls of this host may be at the owner of a data
	// centre, and false if that is not known.
	wanted func(ident.DataCentre) (wantedCalls, bool)
	// waits returns true if calls of this host may be at the owner of a data centre.
	waits func(ident.DataCentre) bool
	// signed takes in what another host has signed.
	signed func(h ownership.Host, at time.Time, signs []sign)
}

// hostClock is the clock of another host's process: it was at least clock at a
// time.
type hostClock struct {
	boot  string
	clock time.Duration
	at    time.Time
}

// clockTime is how long the best reading of a host's clock is kept: clocks drift
// by less than a millisecond meanwhile.
const clockTime = 10 * time.Second

// now returns the least that the clock can be.
func (c hostClock) now(now time.Time) time.Duration { return c.clock + now.Sub(c.at) }

// heard returns the better one of two readings: an answer that took long says
// less.
func (c hostClock) heard(x hostClock) hostClock {
	if c.boot == x.boot && x.at.Sub(c.at) < clockTime && c.now(x.at) > x.clock {
		return c
	}
	return x
}

// knownWorkers are the workers of an owner.
type knownWorkers struct {
	version listVersion
	workers []worker.Worker
	heard   time.Time
}

func newContacts(self ownership.Host, s Settings, l *peer.Links, d *Directory, c *Configuration, clock Clock, logger log.Interface) *Contacts {
	contacts := &Contacts{
		self: self, settings: s, links: l, directory: d, configuration: c, clock: clock, logger: logger,
		begun:    clock(),
		contacts: map[ident.Host]ownership.Contact{},
		clocks:   map[ident.Host]hostClock{},
		asked:    map[ident.Host]asked{},
		missed:   map[ident.Host]time.Time{},
		loads:    map[ident.DataCentre]dispatch.Load{},
		shared:   map[ident.DataCentre]bool{},
		gates:    map[ident.DataCentre]*throttle.Gate{},
		awake:    time.Now(),
		owned:    func() ([]ownership.Owner, []dispatch.Load) { return nil, nil },
		working:  func(ident.DataCentre) ([]worker.Worker, listVersion) { return nil, listVersion{} },
		wanted:   func(ident.DataCentre) (wantedCalls, bool) { return wantedCalls{}, false },
		waits:    func(ident.DataCentre) bool { return false },
		signed:   func(ownership.Host, time.Time, []sign) {},
	}
	peer.Handle(l, kindContact, contacts.answer)
	return contacts
}

func runContacts(life fx.Lifecycle, c *Contacts) {
	background(life, c.follow)
}

// follow contacts each host that matters when its turn comes.
func (c *Contacts) follow(ctx context.Context) {
	last := time.Now()
	turns := map[string]*turn{}
	for pause(ctx, contactInterval) {
		now := time.Now()
		if now.Sub(last) > contactInterval+pausedTime {
			c.mutex.Lock()
			c.awake = now
			c.mutex.Unlock()
		}
		last = now
		targets := c.targets(now)
		for a, interval := range targets {
			t := index.Entry(turns, a)
			if t.begin(now, interval) {
				go func() { t.end(c.contact(ctx, a)) }()
			}
		}
		for a := range turns {
			if _, ok := targets[a]; !ok {
				delete(turns, a)
			}
		}
	}
}

// contact asks one host, and returns true if it answers.
func (c *Contacts) contact(ctx context.Context, address string) bool {
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	c.mutex.Lock()
	leaving, known := c.leaving, c.workers.version
	c.mutex.Unlock()
	owners := c.directory.Owners()
	signs, clock := c.signs(address, owners)
	a, err := peer.Call[contactRequest, contactAnswer](call, c.links, address, kindContact, contactRequest{
		Host: c.self, Revision: c.configuration.Revision(), Leaving: leaving,
		Owners: tokens(owners), Workers: known, Signs: signs, Sent: clock,
	})
	if err != nil {
		return false
	}
	c.mutex.Lock()
	c.clocks[a.Host.Name] = c.clocks[a.Host.Name].heard(hostClock{boot: a.Host.Boot, clock: a.Clock, at: c.clock()})
	old, met := c.contacts[a.Host.Name]
	c.contacts[a.Host.Name] = ownership.Contact{Boot: a.Host.Boot, Heard: sent, Leaving: a.Leaving}
	for i, o := range a.Owned {
		if i < len(a.Loads) {
			c.setLoad(o.DataCentre, a.Loads[i])
		}
		if o.DataCentre == c.self.DataCentre && o.Token >= c.workers.version.Token {
			c.workers.take(a, sent)
		}
	}
	c.mutex.Unlock()
	if !met || old.Boot != a.Host.Boot {
		c.logger.WithFields(log.Fields{"peer": string(a.Host.Name), "boot": a.Host.Boot}).Info("host met")
	}
	c.directory.Meet(a.Host, append(a.Owned, a.Others...))
	c.configuration.Heard(a.Host, a.Revision)
	return true
}

// signs returns what to tell the host at an address, and the time on its clock at
// which it was so.
func (c *Contacts) signs(address string, owners map[ident.DataCentre]ownership.Owner) ([]sign, time.Duration) {
	var signs []sign
	var clock time.Duration
	for d, o := range owners {
		if o.Address != address {
			continue
		}
		w, sure := c.wanted(d)
		if !sure {
			continue
		}
		x, known := c.ClockOf(w.at, o)
		if !known {
			continue
		}
		if signs = append(signs, sign{DataCentre: d, Token: o.Token, Try: w.try, Calls: w.calls}); len(signs) == 1 {
			clock = x
		}
	}
	return signs, clock
}

// ClockOf returns the least that the clock of an owner's process can have been at a
// time, and false if that process has not answered yet.
func (c *Contacts) ClockOf(at time.Time, o ownership.Owner) (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x, ok := c.clocks[o.Host]
	return x.now(at), ok && x.boot == o.Boot
}

// At returns the time at which the clock of this process was clock.
func (c *Contacts) At(clock time.Duration) time.Time { return c.begun.Add(clock) }

// answer answers another host.
func (c *Contacts) answer(_ context.Context, r contactRequest) (contactAnswer, error) {
	now := time.Now()
	c.mutex.Lock()
	c.asked[r.Host.Name] = asked{at: now, boot: r.Host.Boot}
	leaving := c.leaving
	c.mutex.Unlock()
	c.directory.Meet(r.Host, nil)
	c.configuration.Heard(r.Host, r.Revision)
	c.signed(r.Host, c.At(r.Sent), r.Signs)
	a := contactAnswer{Host: c.self, Clock: c.clock().Sub(c.begun), Revision: c.configuration.Revision(), Leaving: leaving}
	a.Owned, a.Loads = c.owned()
	if workers, version := c.working(r.Host.DataCentre); version.Token != 0 {
		a.Version = version
		if version != r.Workers {
			a.Workers = workers
		}
	}
	if owners := c.directory.Owners(); tokens(owners) != r.Owners {
		for _, o := range owners {
			a.Others = append(a.Others, o)
		}
	}
	return a, nil
}

// tokens returns the sum of the tokens of some owners. Tokens only grow, so
// that two hosts with the same sum know the same owners, but for rare cases
// which the next change ends.
func tokens(owners map[ident.DataCentre]ownership.Owner) worker.Token {
	var sum worker.Token
	for _, o := range owners {
		sum += o.Token
	}
	return sum
}

// take takes in what an owner says of its workers.
func (k *knownWorkers) take(a contactAnswer, sent time.Time) {
	if a.Version != k.version {
		k.version, k.workers = a.Version, a.Workers
	}
	k.heard = sent
}

// Workers returns the workers that an owner had, as it said itself, and true if
// it can not have got others since then.
func (c *Contacts) Workers(now time.Time, d ident.DataCentre, before worker.Token) ([]worker.Worker, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if d != c.self.DataCentre || c.workers.version.Token != before {
		return nil, false
	}
	return c.workers.workers, now.Sub(c.workers.heard) < knownTime
}

// Leave tells other hosts that this one shuts down.
func (c *Contacts) Leave() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaving = true
}

// View returns what this host knows of the others.
func (c *Contacts) View() ownership.View {
	hosts, owners, learned := c.directory.Hosts(), c.directory.Owners(), c.directory.Learned()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	contacts := make(map[ident.Host]ownership.Contact, len(c.contacts))
	for h, x := range c.contacts {
		contacts[h] = x
	}
	return ownership.View{
		Self: c.self, Started: c.awake, Hosts: hosts, Owners: owners, Learned: learned, Contacts: contacts, Leaving: c.leaving,
	}
}

// Contact returns the last contact with a host.
func (c *Contacts) Contact(h ident.Host) (ownership.Contact, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	x, ok := c.contacts[h]
	return x, ok
}

// Known returns when a host was last heard, or first missed if it never was.
func (c *Contacts) Known(h ident.Host, now time.Time) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	known := c.contacts[h].Heard
	if at := c.asked[h].at; at.After(known) {
		known = at
	}
	if !known.IsZero() {
		return known
	}
	if c.missed[h].IsZero() {
		c.missed[h] = now
	}
	return c.missed[h]
}

// asked is when which process of a host asked this one.
type asked struct {
	at   time.Time
	boot string
}

// bootOf returns the process of a host that last asked this one.
func (c *Contacts) bootOf(h ident.Host) (string, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	a, ok := c.asked[h]
	return a.boot, ok
}
