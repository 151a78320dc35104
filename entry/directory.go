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

// Directory holds the newest membership list that this host has read.
type Directory struct {
	members atomic.Pointer[map[string]storage.Member]
	prober  atomic.Pointer[Prober]
	// list is the list that was read last. Only update uses it.
	list   []storage.Member
	loaded bool
}

func newDirectory() *Directory {
	d := &Directory{}
	d.members.Store(&map[string]storage.Member{})
	return d
}

// Host returns the membership entry of an entry host.
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

// IsLeaving returns true if the list marks the member as leaving.
func (d *Directory) IsLeaving(id string) bool {
	return (*d.members.Load())[id].State == storage.Leaving
}

// Peers returns the other entry hosts with the results of probing: whether each
// is alive, and its load. Neither the list nor a single probe without an answer
// removes a host on its own.
func (d *Directory) Peers() []probe.View {
	p := d.prober.Load()
	if p == nil {
		return nil
	}
	return p.Views()
}

// update replaces the list. It returns false if nothing has changed.
func (d *Directory) update(members []storage.Member) bool {
	if d.loaded && slices.Equal(d.list, members) {
		return false
	}
	d.list, d.loaded = members, true
	next := make(map[string]storage.Member, len(members))
	for _, m := range members {
		next[m.ID] = m
	}
	d.members.Store(&next)
	return true
}

// Background holds the dependencies of runBackground.
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
func runBackground(lc fx.Lifecycle, b Background) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			b.Directory.prober.Store(b.Prober)
			go runPeriodically(ctx, time.Duration(b.Settings.ConfigPoll), b.Rollout.poll)
			go runPeriodically(ctx, time.Duration(b.Settings.MembershipPoll), b.refreshMembers)
			go runPeriodically(ctx, probeInterval, b.Prober.tick)
			go runPeriodically(ctx, tombstoneInterval, b.Rollout.sweep)
			go runPeriodically(ctx, statusInterval, func(context.Context) { b.Statuses.refresh(time.Now()) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// runPeriodically calls f immediately and then at each pause until ctx ends.
func runPeriodically(ctx context.Context, pause time.Duration, f func(context.Context)) {
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
	changed := b.Directory.update(members)
	b.Prober.updateMembers(members)
	if changed {
		b.Rollout.Configure()
	}
}
