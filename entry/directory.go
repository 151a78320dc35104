package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/platform"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/timeline"
)

// Directory is the newest membership list that this host has read.
type Directory struct {
	members atomic.Pointer[map[string]platform.Member]
}

func newDirectory() *Directory {
	d := &Directory{}
	d.members.Store(&map[string]platform.Member{})
	return d
}

// Host returns the member of an entry host.
func (d *Directory) Host(h ident.Host) (platform.Member, bool) {
	m, ok := (*d.members.Load())[string(h)]
	return m, ok && m.Role == platform.EntryHost
}

// Hosts returns all entry hosts of the list.
func (d *Directory) Hosts() []platform.Member {
	var hosts []platform.Member
	for _, m := range *d.members.Load() {
		if m.Role == platform.EntryHost {
			hosts = append(hosts, m)
		}
	}
	return hosts
}

// Leaving returns true if the list says that the member is leaving.
func (d *Directory) Leaving(id string) bool {
	return (*d.members.Load())[id].State == platform.Leaving
}

func (d *Directory) set(members []platform.Member) {
	next := make(map[string]platform.Member, len(members))
	for _, m := range members {
		next[m.ID] = m
	}
	d.members.Store(&next)
}

// Background holds what the loops of runBackground need.
type Background struct {
	fx.In

	Settings   settings.Settings
	Store      *resource.Store
	Membership platform.Membership
	Directory  *Directory
	Dispatcher *Dispatcher
	Ring       *timeline.Ring
	Logger     log.Interface
}

// runBackground polls the configuration and the membership list.
func runBackground(life fx.Lifecycle, b Background) {
	ctx, cancel := context.WithCancel(context.Background())
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go every(ctx, time.Duration(b.Settings.ConfigPoll), b.refreshConfig)
			go every(ctx, time.Duration(b.Settings.MembershipPoll), b.refreshMembers)
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

func (b *Background) refreshConfig(ctx context.Context) {
	now := time.Now()
	applied, err := b.Store.Refresh(ctx, now)
	if err != nil {
		b.Logger.WithError(err).Debug("configuration not read")
	}
	if applied {
		b.Ring.Add(now, timeline.Event{Kind: timeline.ConfigApplied, Revision: b.Store.Snapshot().Revision})
		b.Dispatcher.Configure(b.Store.Snapshot(), b.Directory)
	}
}

func (b *Background) refreshMembers(ctx context.Context) {
	members, err := b.Membership.Members(ctx)
	if err != nil {
		b.Logger.WithError(err).Debug("membership list not read")
		return
	}
	b.Directory.set(members)
	b.Dispatcher.Configure(b.Store.Snapshot(), b.Directory)
}
