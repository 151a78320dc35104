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
)

const (
	kindSubmit   = peer.Kind("submit")
	kindWithdraw = peer.Kind("withdraw")
	// claimInterval is the time between two looks at who owns what.
	claimInterval = 50 * time.Millisecond
	// claimPause is the time after a claim that had no clear answer.
	claimPause = 300 * time.Millisecond
)

// submitRequest hands a job to the owner of a data centre's workers.
type submitRequest struct {
	DataCentre ident.DataCentre    `msgpack:"dataCentre"`
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
	ctx      context.Context
}

func newOwners(self ownership.Host, s Settings, d *Directory, c *Contacts, r *Roster, w Workers, l *peer.Links, counters *Counters, logger log.Interface) *Owners {
	o := &Owners{
		self: self, settings: s, directory: d, contacts: c, roster: r, workers: w, counters: counters, logger: logger,
		owned:    map[ident.DataCentre]*Owner{},
		beaten:   map[ident.DataCentre]ownership.Owner{},
		claiming: map[ident.DataCentre]bool{},
	}
	d.OnMove(o.reconcile)
	c.owned = o.owns
	peer.Handle(l, kindSubmit, func(ctx context.Context, r submitRequest) (dispatch.Reply, error) {
		return o.Submit(ctx, r.DataCentre, r.Submission)
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
	for pause(ctx, claimInterval) {
		view := o.contacts.View()
		centres := o.centres(&view)
		view.Reachable = o.reachable(ctx, &view, centres)
		for _, c := range view.Claims(time.Now(), centres) {
			o.claim(ctx, c)
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

// reachable returns the data centres of other hosts that have no owner, and of
// whose workers one accepts a connection.
func (o *Owners) reachable(ctx context.Context, v *ownership.View, centres []ident.DataCentre) map[ident.DataCentre]bool {
	optimistic := map[ident.DataCentre]bool{}
	for _, c := range centres {
		optimistic[c] = c != o.self.DataCentre
	}
	trial := *v
	trial.Reachable = optimistic
	found := map[ident.DataCentre]bool{}
	for _, c := range trial.Claims(time.Now(), centres) {
		if c != o.self.DataCentre && !o.isClaiming(c) {
			found[c] = o.roster.Reach(ctx, o.workers, c)
		}
	}
	return found
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
	}
}

// begin starts an ownership. The caller holds the mutex.
func (o *Owners) begin(x ownership.Owner) *Owner {
	o.logger.WithFields(log.Fields{"dataCentre": string(x.DataCentre), "token": int64(x.Token)}).Info("ownership taken")
	return newOwner(o.ctx, o, x)
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
