package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/probe"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/storage"
)

// Directory is the newest membership list that this host has read.
type Directory struct {
	members atomic.Pointer[map[string]storage.Member]
	prober  atomic.Pointer[Prober]
	// list is the list that was read last. Only set uses it.
	list []storage.Member
	read bool
}

func newDirectory() *Directory {
	d := &Directory{}
	d.members.Store(&map[string]storage.Member{})
	return d
}

// Host returns the member of an entry host.
func (d *Directory) Host(h ident.Host) (storage.Member, bool) {
	m, ok := (*d.members.Load())[string(h)]
	return m, ok && m.Role == storage.EntryHost
}

// Hosts returns all entry hosts of the list.
func (d *Directory) Hosts() []storage.Member {
	var hosts []storage.Member
	for _, m := range *d.members.Load() {
		if m.Role == storage.EntryHost {
			hosts = append(hosts, m)
		}
	}
	return hosts
}

// Leaving returns true if the list says that the member is leaving.
func (d *Directory) Leaving(id string) bool {
	return (*d.members.Load())[id].State == storage.Leaving
}

// Peers returns the other entry hosts with what probing holds of them: whether
// each is alive, and its load. Neither the list nor one silent probe alone
// removes a host.
func (d *Directory) Peers() []probe.View {
	p := d.prober.Load()
	if p == nil {
		return nil
	}
	return p.Views()
}

// set takes a list that was read. It returns false if nothing has changed.
func (d *Directory) set(members []storage.Member) bool {
	if d.read && slices.Equal(d.list, members) {
		return false
	}
	d.list, d.read = members, true
	next := make(map[string]storage.Member, len(members))
	for _, m := range members {
		next[m.ID] = m
	}
	d.members.Store(&next)
	return true
}

// Background holds what the loops of runBackground need.
type Background struct {
	fx.In

	Settings   settings.Settings
	Membership storage.Membership
	Directory  *Directory
	Prober     *Prober
	Rollout    *Rollout
	Statuses   *Statuses
	Logger     log.Interface
}

// runBackground polls the configuration and the membership list, and probes
// the other entry hosts.
func runBackground(life fx.Lifecycle, b Background) {
	ctx, cancel := context.WithCancel(context.Background())
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			b.Directory.prober.Store(b.Prober)
			go every(ctx, time.Duration(b.Settings.ConfigPoll), b.Rollout.poll)
			go every(ctx, time.Duration(b.Settings.MembershipPoll), b.refreshMembers)
			go every(ctx, probeInterval, b.Prober.tick)
			go every(ctx, tombstoneInterval, b.Rollout.sweep)
			go every(ctx, statusInterval, func(context.Context) { b.Statuses.refresh(time.Now()) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// every calls f at once and then after each pause until ctx ends.
func every(ctx context.Context, pause time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Background) refreshMembers(ctx context.Context) {
	members, err := b.Membership.Members(ctx)
	if err != nil {
		b.Logger.WithError(err).Debug("membership list not read")
		return
	}
	changed := b.Directory.set(members)
	b.Prober.list(members)
	if changed {
		b.Rollout.Configure()
	}
}
