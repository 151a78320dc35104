package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	kindSubmit   = peer.Kind("submit")
	kindWithdraw = peer.Kind("withdraw")
	// claimInterval is the time between two looks at who owns what.
	claimInterval = 50 * time.Millisecond
	// probeTime is how long the finding of a probe holds.
	probeTime = 300 * time.Millisecond
	// probePause is the time between the question to the workers and that to the
	// hosts: a link that a cut has silenced is closed after two times
	// peerSilence.
	probePause = 700 * time.Millisecond
	// quietTime is how long an owner must show no life in the table to count as
	// lost for a host that hears no other.
	quietTime = 2500 * time.Millisecond
	// listenPause is the time between two reads of its signs of life.
	listenPause = 700 * time.Millisecond
	// claimPause is the time after a claim that had no clear answer, and before one
	// of an ownership that has failed.
	claimPause = 300 * time.Millisecond
)

// submitRequest hands a job to the owner of a data centre's workers.
type submitRequest struct {
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	// Token is that of the ownership, whose process has the clock of the
	// submission.
	Token      worker.Token        `msgpack:"token"`
	Submission dispatch.Submission `msgpack:"submission"`
}

// withdrawRequest ends a submission whose caller has left.
type withdrawRequest struct {
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	Host       ident.Host       `msgpack:"host"`
	Call       uint64           `msgpack:"call"`
	Job        work.ID          `msgpack:"job"`
}

// Owners takes and gives up the ownerships of this host.
type Owners struct {
	self      ownership.Host
	settings  Settings
	directory *Directory
	contacts  *Contacts
	roster    *Roster
	workers   Workers
	counters  *Counters
	logger    log.Interface

	mutex sync.Mutex
	owned map[ident.DataCentre]*Owner
	// beaten holds the highest token of each ownership that was lost.
	beaten   map[ident.DataCentre]ownership.Owner
	claiming map[ident.DataCentre]bool
	// before holds the token of the owner before, of each data centre.
	before map[ident.DataCentre]worker.Token
	// probing holds the data centres of other hosts that are being probed, and
	// reached when a probe last found workers there but no host.
	probing map[ident.DataCentre]bool
	reached map[ident.DataCentre]time.Time
	// listening is true while the signs of life of this data centre's owner are
	// read, and silentSince is since when there was none, or zero.
	listening   bool
	silentSince time.Time
	ctx         context.Context
}

func newOwners(self ownership.Host, s Settings, d *Directory, c *Contacts, r *Roster, w Workers, l *peer.Links, counters *Counters, logger log.Interface) *Owners {
	o := &Owners{
		self: self, settings: s, directory: d, contacts: c, roster: r, workers: w, counters: counters, logger: logger,
		owned:    map[ident.DataCentre]*Owner{},
		beaten:   map[ident.DataCentre]ownership.Owner{},
		claiming: map[ident.DataCentre]bool{},
		before:   map[ident.DataCentre]worker.Token{},
		probing:  map[ident.DataCentre]bool{},
		reached:  map[ident.DataCentre]time.Time{},
	}
	d.OnMove(o.reconcile)
	c.owned = o.owns
	c.working = func(d ident.DataCentre) ([]worker.Worker, listVersion) {
		if x := o.get(d); x != nil {
			return x.working()
		}
		return nil, listVersion{}
	}
	c.signed = o.signed
	peer.Handle(l, kindSubmit, func(ctx context.Context, r submitRequest) (dispatch.Reply, error) {
		if x := o.get(r.DataCentre); x != nil && x.owner.Token != r.Token {
			return dispatch.Reply{Host: r.Submission.Host, Call: r.Submission.Call, Job: r.Submission.Job.ID, Result: dispatch.Moved}, nil
		}
		if err := r.Submission.Job.Check(); err != nil {
			return dispatch.Reply{
				Host: r.Submission.Host, Call: r.Submission.Call, Job: r.Submission.Job.ID, Result: dispatch.Failed, Reason: err.Error(),
			}, nil
		}
		r.Submission.Wanted = c.At(r.Submission.Sent)
		return o.Submit(ctx, r.DataCentre, r.Submission)
	})
	peer.Handle(l, kindKeep, func(ctx context.Context, r keepRequest) (dispatch.Reply, error) {
		return o.Keep(ctx, r), nil
	})
	peer.Handle(l, kindWithdraw, func(_ context.Context, r withdrawRequest) (struct{}, error) {
		o.Withdraw(r.DataCentre, r.Host, r.Call, r.Job)
		return struct{}{}, nil
	})
	return o
}

func runOwners(life fx.Lifecycle, o *Owners) {
	background(life, o.run)
}

// run claims what this host should own.
func (o *Owners) run(ctx context.Context) {
	o.mutex.Lock()
	o.ctx = ctx
	o.mutex.Unlock()
	o.reconcile()
	var behind lag
	for due := time.Now().Add(claimInterval); pause(ctx, claimInterval); due = time.Now().Add(claimInterval) {
		now := time.Now()
		behind.note(max(0, now.Sub(due)))
		view := o.contacts.View()
		view.Delay = behind.allowance()
		centres := o.centres(&view)
		view.Reachable = o.reachable(ctx, now, &view, centres)
		view.Quiet = o.quiet(ctx, now, &view)
		for _, c := range view.Claims(now, centres) {
			o.claim(ctx, c)
		}
		o.tidy(ctx, now, &view)
	}
}

// goneTime is how long a host must be silent for its row to be removed. It is
// far longer than cuts and restarts last.
const goneTime = 10 * time.Minute

// tidy removes the rows of hosts of this data centre that are gone for good.
// Only the owner does so.
func (o *Owners) tidy(ctx context.Context, now time.Time, v *ownership.View) {
	if o.get(o.self.DataCentre) == nil || v.Isolated(now) {
		return
	}
	for _, h := range v.Hosts {
		if h.DataCentre != o.self.DataCentre || h.Name == o.self.Name || now.Sub(o.contacts.Known(h.Name, now)) < goneTime {
			continue
		}
		o.logger.WithField("peer", string(h.Name)).Info("row of a host that is gone is removed")
		if err := o.directory.Forget(ctx, h); err != nil {
			o.logger.WithField("peer", string(h.Name)).WithError(err).Warn("row of a host not removed")
		}
	}
}

// centres returns all data centres that may have workers.
func (o *Owners) centres(v *ownership.View) []ident.DataCentre {
	centres := append([]ident.DataCentre{o.self.DataCentre}, o.settings.DataCentres...)
	for c := range v.Owners {
		centres = append(centres, c)
	}
	return ownership.Centres(centres)
}

// reachable returns the data centres of other hosts that have no owner, no host
// that answers, and a worker that does. It starts probes and never waits for
// them, since what is known of other hosts grows old meanwhile.
func (o *Owners) reachable(ctx context.Context, now time.Time, v *ownership.View, centres []ident.DataCentre) map[ident.DataCentre]bool {
	optimistic := *v
	optimistic.Reachable = map[ident.DataCentre]bool{}
	for _, c := range centres {
		optimistic.Reachable[c] = true
	}
	found := map[ident.DataCentre]bool{}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for _, c := range optimistic.Claims(now, centres) {
		if c == o.self.DataCentre {
			continue
		}
		found[c] = now.Sub(o.reached[c]) < probeTime
		if !found[c] && !o.probing[c] {
			o.probing[c] = true
			go o.probe(ctx, c)
		}
	}
	return found
}

// probe looks whether a data centre has workers that can be reached, and no
// host.
func (o *Owners) probe(ctx context.Context, c ident.DataCentre) {
	// The hosts are asked after the workers have answered, and after links that
	// a cut has silenced were found, since a cut may end in between.
	found := o.roster.Reach(ctx, o.workers, c)
	pause(ctx, probePause)
	found = found && !o.anyHost(ctx, c)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.probing[c] = false
	if found {
		o.reached[c] = time.Now()
	}
}

// anyHost returns true if a host of a data centre answers. It asks those that are known
// now: a process that has started in a cut learns of the hosts as the cut ends, and until
// then can not tell that there are none.
func (o *Owners) anyHost(ctx context.Context, c ident.DataCentre) bool {
	view := o.contacts.View()
	var addresses []string
	if x, ok := view.Owners[c]; ok {
		addresses = append(addresses, x.Address)
	}
	for _, h := range view.Hosts {
		if h.DataCentre == c && !slices.Contains(addresses, h.Address) {
			addresses = append(addresses, h.Address)
		}
	}
	return !o.directory.Read() || slices.ContainsFunc(addresses, func(a string) bool { return o.contacts.contact(ctx, a) })
}

// quiet returns this host's data centre if its owner has shown no life in the
// platform's table. That is asked only while no other host answers.
func (o *Owners) quiet(ctx context.Context, now time.Time, v *ownership.View) map[ident.DataCentre]bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !v.Isolated(now) {
		o.silentSince = time.Time{}
		return nil
	}
	if !o.listening {
		o.listening = true
		go o.listen(ctx)
	}
	quiet := !o.silentSince.IsZero() && now.Sub(o.silentSince) >= quietTime
	return map[ident.DataCentre]bool{o.self.DataCentre: quiet}
}

// listen reads the signs of life of the owner of this data centre until another
// host answers.
func (o *Owners) listen(ctx context.Context) {
	var last ident.Revision
	var since time.Time
	for {
		revision, err := o.directory.PulseRevision(ctx, o.self.DataCentre)
		now := time.Now()
		switch {
		case err != nil:
			// An owner that can not be read may be alive.
			since = time.Time{}
		case since.IsZero() || revision != last:
			last, since = revision, now
		}
		view := o.contacts.View()
		o.mutex.Lock()
		o.silentSince = since
		if ctx.Err() != nil || !view.Isolated(now) {
			o.silentSince, o.listening = time.Time{}, false
			o.mutex.Unlock()
			return
		}
		o.mutex.Unlock()
		pause(ctx, listenPause)
	}
}

func (o *Owners) isClaiming(c ident.DataCentre) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.claiming[c]
}

// claim writes that this host owns a data centre's workers.
func (o *Owners) claim(ctx context.Context, c ident.DataCentre) {
	if o.isClaiming(c) {
		return
	}
	o.mutex.Lock()
	o.claiming[c] = true
	o.mutex.Unlock()
	o.logger.WithField("dataCentre", string(c)).Info("claim of an ownership")
	go func() {
		if err := o.directory.Claim(ctx, c); err != nil {
			o.logger.WithField("dataCentre", string(c)).WithError(err).Warn("claim without an answer")
			pause(ctx, claimPause)
		}
		o.mutex.Lock()
		o.claiming[c] = false
		o.mutex.Unlock()
	}()
}

// reconcile starts and ends ownerships as the directory says.
func (o *Owners) reconcile() {
	owners := o.directory.Owners()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.ctx == nil {
		return
	}
	for c, x := range owners {
		mine := x.Host == o.self.Name && x.Boot == o.self.Boot
		current := o.owned[c]
		if current != nil && (!mine || current.owner.Token != x.Token) {
			o.end(c, "another host owns the workers")
			current = nil
		}
		if mine && current == nil && x.Token > o.beaten[c].Token {
			o.owned[c] = o.begin(x)
		}
		o.before[c] = x.Token
	}
}

// begin starts an ownership. The caller holds the mutex.
func (o *Owners) begin(x ownership.Owner) *Owner {
	o.logger.WithFields(log.Fields{"dataCentre": string(x.DataCentre), "token": int64(x.Token)}).Info("ownership taken")
	return newOwner(o.ctx, o, x, o.before[x.DataCentre])
}

// end ends an ownership. The caller holds the mutex.
func (o *Owners) end(c ident.DataCentre, reason string) {
	current := o.owned[c]
	delete(o.owned, c)
	o.beaten[c] = ownership.Newest(o.beaten[c], current.owner)
	o.logger.WithFields(log.Fields{
		"dataCentre": string(c), "token": int64(current.owner.Token), "reason": reason,
	}).Warn("ownership lost")
	current.close()
}

// restart ends an ownership of which too little is known, and takes it anew: the
// next owner finds what runs on the workers.
func (o *Owners) restart(x ownership.Owner) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	current := o.owned[x.DataCentre]
	if current == nil || current.owner != x {
		return
	}
	delete(o.owned, x.DataCentre)
	o.beaten[x.DataCentre] = ownership.Newest(o.beaten[x.DataCentre], x)
	o.logger.WithFields(log.Fields{"dataCentre": string(x.DataCentre), "token": int64(x.Token)}).Error("ownership is taken anew")
	current.cancel()
	go func() {
		// A fault that comes with each ownership must not fill the table.
		if pause(o.ctx, claimPause) {
			o.claim(o.ctx, x.DataCentre)
		}
	}()
}

// fenced ends an ownership whose token a worker has seen beaten.
func (o *Owners) fenced(x ownership.Owner) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if current := o.owned[x.DataCentre]; current != nil && current.owner == x {
		o.end(x.DataCentre, "a worker has seen a higher token")
	}
}

// owns returns what this host owns, and the loads.
func (o *Owners) owns() ([]ownership.Owner, []dispatch.Load) {
	o.mutex.Lock()
	current := make([]*Owner, 0, len(o.owned))
	for _, x := range o.owned {
		current = append(current, x)
	}
	o.mutex.Unlock()
	slices.SortFunc(current, func(a, b *Owner) int {
		return int(a.owner.Token - b.owner.Token)
	})
	owners := make([]ownership.Owner, 0, len(current))
	loads := make([]dispatch.Load, 0, len(current))
	for _, x := range current {
		owners = append(owners, x.owner)
		loads = append(loads, x.load())
	}
	return owners, loads
}

func (o *Owners) get(c ident.DataCentre) *Owner {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.owned[c]
}

// Submit hands a job to an ownership of this host, and waits for its end.
func (o *Owners) Submit(ctx context.Context, c ident.DataCentre, s dispatch.Submission) (dispatch.Reply, error) {
	x := o.get(c)
	if x == nil {
		return dispatch.Reply{Host: s.Host, Call: s.Call, Job: s.Job.ID, Result: dispatch.Moved}, nil
	}
	return x.submit(ctx, s)
}

// signed takes in which calls a host still waits for.
func (o *Owners) signed(h ownership.Host, at time.Time, signs []sign) {
	for _, s := range signs {
		if x := o.get(s.DataCentre); x != nil && x.owner.Token == s.Token {
			x.sign(dispatch.Sign{Host: h.Name, Boot: h.Boot, At: at, Try: s.Try, Calls: s.Calls})
		}
	}
}

// Withdraw ends a submission.
func (o *Owners) Withdraw(c ident.DataCentre, h ident.Host, call uint64, id work.ID) {
	if x := o.get(c); x != nil {
		x.withdraw(h, call, id)
	}
}

// idle returns true if this host owns nothing.
func (o *Owners) idle() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.owned) == 0
}
