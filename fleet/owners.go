package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/lag"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/work"
	"github.com/catkingap/catkingap/worker"
)

const (
	kindSubmit   = peer.Kind("submit")
	kindWithdraw = peer.Kind("withdraw")
	// claimInterval is the time between two checks which ownerships to claim.
	claimInterval = 50 * time.Millisecond
	// probeValidity is how long the result of a probe is valid.
	probeValidity = 300 * time.Millisecond
	// hostCheckDelay is the time between probing the workers and probing the hosts of a
	// data centre: a link silenced by a network cut is closed after twice
	// peerSilenceTimeout.
	hostCheckDelay = 700 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat in the table after which a host
	// that hears no other host takes the owner as lost.
	heartbeatTimeout = 2500 * time.Millisecond
	// heartbeatReadInterval is the time between two reads of an owner's heartbeat.
	heartbeatReadInterval = 700 * time.Millisecond
	// claimRetryPause is the wait after a claim without a clear answer, and before a
	// failed ownership is claimed again.
	claimRetryPause = 300 * time.Millisecond
)

// submitRequest submits a job to the owner of a data centre's workers.
type submitRequest struct {
	DataCentre ident.DataCentre `msgpack:"dataCentre"`
	// Token is the token of the ownership. The times of the submission are on the
	// clock of its process.
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

// Owners claims and ends the ownerships of this host.
type Owners struct {
	self      ownership.Host
	settings  Settings
	directory *Directory
	contacts  *Contacts
	roster    *Roster
	workers   Workers
	counters  *Counters
	logger    log.Interface
	// memory is what the jobs of all ownerships may take.
	memory intake.JobBudget

	mutex sync.Mutex
	owned map[ident.DataCentre]*Owner
	// lostOwners holds the newest lost ownership of each data centre.
	lostOwners map[ident.DataCentre]ownership.Owner
	// poisonous holds the jobs at which a machine of this process panicked.
	poisonous jobSet
	claiming  map[ident.DataCentre]bool
	// previousTokens holds the token of the previous owner of each data centre.
	previousTokens map[ident.DataCentre]worker.Token
	// probing holds the data centres of other hosts that are being probed, and
	// reachedAt when a probe last found workers there but no host.
	probing   map[ident.DataCentre]bool
	reachedAt map[ident.DataCentre]time.Time
	// readingHeartbeats is true while the heartbeats of this data centre's owner are
	// read. silentSince is when its last new heartbeat was read, or zero.
	readingHeartbeats bool
	silentSince       time.Time
	ctx               context.Context
	// wake starts a check which ownerships to claim before its time.
	wake signal
}

func newOwners(self ownership.Host, s Settings, d *Directory, c *Contacts, r *Roster, w Workers, l *peer.Links, memory intake.JobBudget, counters *Counters, logger log.Interface) *Owners {
	o := &Owners{
		self: self, settings: s, directory: d, contacts: c, roster: r, workers: w, counters: counters, logger: logger, memory: memory,
		owned:          map[ident.DataCentre]*Owner{},
		lostOwners:     map[ident.DataCentre]ownership.Owner{},
		claiming:       map[ident.DataCentre]bool{},
		previousTokens: map[ident.DataCentre]worker.Token{},
		probing:        map[ident.DataCentre]bool{},
		reachedAt:      map[ident.DataCentre]time.Time{},
		wake:           newSignal(),
	}
	d.OnOwnerChange(o.reconcile)
	d.OnOwnerChange(o.wake.send)
	c.evacuation.OnChange(func() {
		for _, x := range o.current() {
			x.updateAccess()
		}
	})
	c.onNewProcess = o.wake.send
	c.ownerships = o.ownerships
	c.owned = o.ownersAndLoads
	c.ownWorkers = func(d ident.DataCentre) ([]worker.Worker, listVersion) {
		if x := o.get(d); x != nil {
			return x.workerList()
		}
		return nil, listVersion{}
	}
	c.receiveKeepalives = o.receiveKeepalives
	peer.Handle(l, kindSubmit, func(ctx context.Context, r submitRequest) (dispatch.Reply, error) {
		if x := o.get(r.DataCentre); x != nil && x.owner.Token != r.Token {
			return dispatch.Reply{Host: r.Submission.Host, Call: r.Submission.Call, Job: r.Submission.Job.ID, Result: dispatch.Moved}, nil
		}
		if err := r.Submission.Job.Check(); err != nil {
			return dispatch.Reply{
				Host: r.Submission.Host, Call: r.Submission.Call, Job: r.Submission.Job.ID, Result: dispatch.Failed, Reason: err.Error(),
			}, nil
		}
		r.Submission.CallerSeen = c.TimeAt(r.Submission.Sent)
		return o.Submit(ctx, r.DataCentre, r.Submission)
	})
	peer.Handle(l, kindStore, func(ctx context.Context, r storeRequest) (dispatch.Reply, error) {
		return o.Store(ctx, r), nil
	})
	peer.Handle(l, kindWithdraw, func(_ context.Context, r withdrawRequest) (struct{}, error) {
		o.Withdraw(r.DataCentre, r.Host, r.Call, r.Job)
		return struct{}{}, nil
	})
	peer.Handle(l, kindCancel, func(_ context.Context, r cancelRequest) (cancelReply, error) {
		return cancelReply{Known: o.Cancel(r.Job)}, nil
	})
	return o
}

func runOwners(life fx.Lifecycle, o *Owners) {
	runLoops(life, o.run)
}

// run claims the ownerships that this host should have.
func (o *Owners) run(ctx context.Context) {
	o.mutex.Lock()
	o.ctx = ctx
	o.mutex.Unlock()
	o.reconcile()
	var claimLag lag.Meter
	for due := time.Now().Add(claimInterval); o.wake.wait(ctx, claimInterval); due = time.Now().Add(claimInterval) {
		now := time.Now()
		claimLag.Note(max(0, now.Sub(due)))
		view := o.contacts.View()
		view.Lag = claimLag.Allowance()
		centres := o.centres(&view)
		view.Reachable = o.reachableCentres(ctx, now, &view, centres)
		view.OwnerStale = o.silentOwners(ctx, now, &view)
		for _, c := range view.Claims(now, centres) {
			o.claim(ctx, c)
		}
		o.removeGoneHosts(ctx, now, &view)
	}
}

// hostGoneTime is how long a host must be silent for its row to be removed. It is
// far longer than network cuts and restarts last.
const hostGoneTime = 10 * time.Minute

// removeGoneHosts removes the rows of hosts of this data centre that are gone for
// good. Only the owner does so.
func (o *Owners) removeGoneHosts(ctx context.Context, now time.Time, v *ownership.View) {
	if o.get(o.self.DataCentre) == nil || v.Isolated(now) {
		return
	}
	for _, h := range v.Hosts {
		if h.DataCentre != o.self.DataCentre || h.Name == o.self.Name || now.Sub(o.contacts.LastHeard(h.Name, now)) < hostGoneTime {
			continue
		}
		o.logger.WithField("peer", string(h.Name)).Info("removing the row of a host that is gone")
		if err := o.directory.RemoveHost(ctx, h); err != nil {
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
	return ownership.SortedCentres(centres)
}

// reachableCentres returns the data centres of other hosts that have no owner, no host
// that answers, and a worker that does. It starts probes but never waits for them,
// because the view of the other hosts would become stale meanwhile.
func (o *Owners) reachableCentres(ctx context.Context, now time.Time, v *ownership.View, centres []ident.DataCentre) map[ident.DataCentre]bool {
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
		found[c] = now.Sub(o.reachedAt[c]) < probeValidity
		if !found[c] && !o.probing[c] {
			o.probing[c] = true
			go o.probe(ctx, c)
		}
	}
	return found
}

// probe checks whether a data centre has reachable workers and no reachable host.
func (o *Owners) probe(ctx context.Context, c ident.DataCentre) {
	// The hosts are probed after the workers have answered and after links silenced
	// by a network cut were detected, because the cut may end in between.
	found := o.roster.AnyReachable(ctx, o.workers, c)
	sleep(ctx, hostCheckDelay)
	found = found && !o.anyHostAnswers(ctx, c)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.probing[c] = false
	if found {
		o.reachedAt[c] = time.Now()
	}
}

// anyHostAnswers returns true if a host of a data centre answers, or if the hosts have
// not been read yet. It contacts the hosts known at the time of the call: a process that
// started during a network cut learns of the hosts when the cut ends, and cannot rule out
// before that there are any.
func (o *Owners) anyHostAnswers(ctx context.Context, c ident.DataCentre) bool {
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
	return !o.directory.IsLoaded() || slices.ContainsFunc(addresses, func(a string) bool { return o.contacts.contact(ctx, a) })
}

// silentOwners tells whether the owner of this host's data centre has stopped writing
// heartbeats. They are read only while no other host answers.
func (o *Owners) silentOwners(ctx context.Context, now time.Time, v *ownership.View) map[ident.DataCentre]bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !v.Isolated(now) {
		o.silentSince = time.Time{}
		return nil
	}
	if !o.readingHeartbeats {
		o.readingHeartbeats = true
		go o.readHeartbeats(ctx)
	}
	silent := !o.silentSince.IsZero() && now.Sub(o.silentSince) >= heartbeatTimeout
	return map[ident.DataCentre]bool{o.self.DataCentre: silent}
}

// readHeartbeats reads the heartbeats of the owner of this data centre until another
// host answers.
func (o *Owners) readHeartbeats(ctx context.Context) {
	var last ident.Revision
	var since time.Time
	for {
		revision, err := o.directory.HeartbeatRevision(ctx, o.self.DataCentre)
		now := time.Now()
		switch {
		case err != nil:
			// The owner may be alive although its heartbeat cannot be read.
			since = time.Time{}
		case since.IsZero() || revision != last:
			last, since = revision, now
		}
		view := o.contacts.View()
		o.mutex.Lock()
		o.silentSince = since
		if ctx.Err() != nil || !view.Isolated(now) {
			o.silentSince, o.readingHeartbeats = time.Time{}, false
			o.mutex.Unlock()
			return
		}
		o.mutex.Unlock()
		sleep(ctx, heartbeatReadInterval)
	}
}

func (o *Owners) isClaiming(c ident.DataCentre) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.claiming[c]
}

// claim starts to claim the ownership of a data centre's workers for this host.
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
			sleep(ctx, claimRetryPause)
		}
		o.mutex.Lock()
		o.claiming[c] = false
		o.mutex.Unlock()
	}()
}

// reconcile starts and ends ownerships to match the directory.
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
			o.endOwner(c, "another host owns the workers")
			current = nil
		}
		if mine && current == nil && x.Token > o.lostOwners[c].Token {
			o.owned[c] = o.startOwner(x)
		}
		o.previousTokens[c] = x.Token
	}
}

// startOwner starts an ownership. The caller holds the mutex.
func (o *Owners) startOwner(x ownership.Owner) *Owner {
	o.logger.WithFields(log.Fields{"dataCentre": string(x.DataCentre), "token": int64(x.Token)}).Info("ownership taken")
	go o.contacts.announce(o.ctx)
	return newOwner(o.ctx, o, x, o.previousTokens[x.DataCentre])
}

// endOwner ends an ownership. The caller holds the mutex.
func (o *Owners) endOwner(c ident.DataCentre, reason string) {
	current := o.owned[c]
	delete(o.owned, c)
	o.lostOwners[c] = ownership.Newest(o.lostOwners[c], current.owner)
	o.logger.WithFields(log.Fields{
		"dataCentre": string(c), "token": int64(current.owner.Token), "reason": reason,
	}).Warn("ownership lost")
	current.close()
}

// restart ends an ownership whose state may be inconsistent and claims it again. The
// new ownership learns from the workers what runs on them.
func (o *Owners) restart(x ownership.Owner) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	current := o.owned[x.DataCentre]
	if current == nil || current.owner != x {
		return
	}
	delete(o.owned, x.DataCentre)
	o.lostOwners[x.DataCentre] = ownership.Newest(o.lostOwners[x.DataCentre], x)
	o.logger.WithFields(log.Fields{"dataCentre": string(x.DataCentre), "token": int64(x.Token)}).Error("claiming ownership again")
	current.cancel()
	go func() {
		// A fault that recurs with each ownership must not flood the table with claims.
		if sleep(o.ctx, claimRetryPause) {
			o.claim(o.ctx, x.DataCentre)
		}
	}()
}

// endFenced ends an ownership after a worker or the platform's table has seen a higher
// token.
func (o *Owners) endFenced(x ownership.Owner) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if current := o.owned[x.DataCentre]; current != nil && current.owner == x {
		o.endOwner(x.DataCentre, "a worker has seen a higher token")
	}
}

// current returns the owners that this host runs, in the order of their tokens.
func (o *Owners) current() []*Owner {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.SortedFunc(maps.Values(o.owned), func(a, b *Owner) int { return cmp.Compare(a.owner.Token, b.owner.Token) })
}

// ownerships returns the ownerships of this host.
func (o *Owners) ownerships() []ownership.Owner {
	var owned []ownership.Owner
	for _, x := range o.current() {
		owned = append(owned, x.owner)
	}
	return owned
}

// ownersAndLoads returns the ownerships of this host and their loads.
func (o *Owners) ownersAndLoads() ([]ownership.Owner, []dispatch.Load) {
	current := o.current()
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

// Submit submits a job to an ownership of this host and waits for its end.
func (o *Owners) Submit(ctx context.Context, c ident.DataCentre, s dispatch.Submission) (dispatch.Reply, error) {
	x := o.get(c)
	if x == nil {
		return dispatch.Reply{Host: s.Host, Call: s.Call, Job: s.Job.ID, Result: dispatch.Moved}, nil
	}
	release, ok := o.memory.Admit(time.Now(), s.Job.Weight())
	if !ok {
		x.noteWithoutMemory()
		return dispatch.Reply{
			Host: s.Host, Call: s.Call, Sequence: s.Sequence, Job: s.Job.ID, Result: dispatch.Refused,
			Reason: reasonWithoutMemory, RetryAfter: refusalRetryAfter, Load: x.load(),
		}, nil
	}
	defer release()
	return x.submit(ctx, s)
}

// receiveKeepalives passes the keepalives of a host to the ownerships they are for.
func (o *Owners) receiveKeepalives(h ownership.Host, at time.Time, keepalives []keepalive) {
	for _, s := range keepalives {
		if x := o.get(s.DataCentre); x != nil && x.owner.Token == s.Token {
			x.keepalive(dispatch.Keepalive{Host: h.Name, Boot: h.Boot, At: at, Sequence: s.Sequence, Calls: s.Calls})
		}
	}
}

// Withdraw ends a submission whose caller has left.
func (o *Owners) Withdraw(c ident.DataCentre, h ident.Host, call uint64, id work.ID) {
	if x := o.get(c); x != nil {
		x.withdraw(h, call, id)
	}
}

// isIdle returns true if this host has no ownership.
func (o *Owners) isIdle() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return len(o.owned) == 0
}
