package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
)

const (
	coastA = ident.DataCentre("coast-a")
	coastB = ident.DataCentre("coast-b")
)

var now = time.Unix(1_800_000_000, 0)

// host returns a host whose boot is its name.
func host(name ident.Host, d ident.DataCentre, cores float64) ownership.Host {
	return ownership.Host{Name: name, Boot: string(name), Address: string(name), DataCentre: d, Cores: cores}
}

// contactAgo returns a contact with a host's present process that is d old.
func contactAgo(name ident.Host, d time.Duration) ownership.Contact {
	return ownership.Contact{Boot: string(name), Heard: now.Add(-d)}
}

// startedAgo returns a contact with a process that has run for d.
func startedAgo(c ownership.Contact, d time.Duration) ownership.Contact {
	c.Started = now.Add(-d)
	return c
}

func owner(d ident.DataCentre, name ident.Host) map[ident.DataCentre]ownership.Owner {
	return map[ident.DataCentre]ownership.Owner{d: {DataCentre: d, Host: name, Boot: string(name), Token: 3}}
}

// TestClaims checks which data centres the host a2 takes. A wrong claim replaces an
// owner that lives, and a missing one leaves workers without an owner.
func TestClaims(t *testing.T) {
	hosts := []ownership.Host{host("a1", coastA, 1), host("a2", coastA, 0.4), host("a3", coastA, 0.4), host("b1", coastB, 0.4)}
	near, silent := 100*time.Millisecond, time.Second
	tests := map[string]struct {
		view ownership.View
		want []ident.DataCentre
	}{
		"nobody owns it and a larger host is alive": {
			view: ownership.View{Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", near)}, Started: now.Add(-900 * time.Millisecond)},
		},
		"nobody owns it and the larger host had its turn": {
			view: ownership.View{Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", near)}, Started: now.Add(-time.Second)},
			want: []ident.DataCentre{coastA},
		},
		"nobody owns it and this host has just started": {
			view: ownership.View{Started: now.Add(-700 * time.Millisecond)},
		},
		"the owner answers": {
			view: ownership.View{Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", near)}},
		},
		"the owner is silent": {
			view: ownership.View{Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", silent), "a3": contactAgo("a3", near)}},
			want: []ident.DataCentre{coastA},
		},
		"the owner is silent and this host has just resumed": {
			view: ownership.View{
				Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", silent)}, Started: now.Add(-100 * time.Millisecond),
			},
		},
		"the owner is silent within the lag of this process": {
			view: ownership.View{
				Owners: owner(coastA, "a1"), Lag: 300 * time.Millisecond,
				Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", 800*time.Millisecond), "a3": contactAgo("a3", near)},
			},
		},
		"the owner is silent for longer than the lag of this process": {
			view: ownership.View{
				Owners: owner(coastA, "a1"), Lag: 300 * time.Millisecond,
				Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", silent), "a3": contactAgo("a3", near)},
			},
			want: []ident.DataCentre{coastA},
		},
		"the owner has restarted": {
			view: ownership.View{Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a1": {Boot: "other", Heard: now}}},
			want: []ident.DataCentre{coastA},
		},
		"the owner leaves": {
			view: ownership.View{Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a1": {Boot: "a1", Heard: now, Leaving: true}}},
			want: []ident.DataCentre{coastA},
		},
		"the owner is new and has not answered yet": {
			view: ownership.View{
				Owners:   owner(coastA, "a1"),
				Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", 5*time.Second), "a3": contactAgo("a3", near)},
				Learned:  map[ident.DataCentre]time.Time{coastA: now.Add(-near)},
			},
		},
		"no host answers and the owner is alive in the table": {
			view: ownership.View{Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", 5*time.Second)}},
		},
		"no host answers and the owner is silent in the table": {
			view: ownership.View{
				Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", 5*time.Second)},
				OwnerStale: map[ident.DataCentre]bool{coastA: true},
			},
			want: []ident.DataCentre{coastA},
		},
		"the owner's host has registered another process": {
			view: ownership.View{
				Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a3": contactAgo("a3", near)},
				Learned: map[ident.DataCentre]time.Time{coastA: now.Add(-near)}, Ended: map[ident.DataCentre]time.Time{coastA: now},
			},
			want: []ident.DataCentre{coastA},
		},
		"the owner's host has registered another process, but the owner still answers": {
			view: ownership.View{
				Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", near)},
				Ended: map[ident.DataCentre]time.Time{coastA: now.Add(-2 * near)},
			},
		},
		"the owner's host has registered another process, which is not heard, nor is any other": {
			view: ownership.View{Owners: owner(coastA, "a1"), Ended: map[ident.DataCentre]time.Time{coastA: now}},
		},
		"all hosts have just started and the owner does not answer": {
			view: ownership.View{
				Owners: owner(coastA, "a1"), Started: now.Add(-150 * time.Millisecond), Learned: map[ident.DataCentre]time.Time{coastA: now.Add(-140 * time.Millisecond)},
				Contacts: map[ident.Host]ownership.Contact{"a3": startedAgo(contactAgo("a3", near), 200*time.Millisecond)},
			},
			want: []ident.DataCentre{coastA},
		},
		"all hosts have just started and the owner has answered": {
			view: ownership.View{
				Owners: owner(coastA, "a1"), Started: now.Add(-300 * time.Millisecond), Learned: map[ident.DataCentre]time.Time{coastA: now.Add(-290 * time.Millisecond)},
				Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", 2*near), "a3": startedAgo(contactAgo("a3", near), 200*time.Millisecond)},
			},
		},
		"this host has just started, another one has not, and the owner does not answer": {
			view: ownership.View{
				Owners: owner(coastA, "a1"), Started: now.Add(-300 * time.Millisecond), Learned: map[ident.DataCentre]time.Time{coastA: now.Add(-290 * time.Millisecond)},
				Contacts: map[ident.Host]ownership.Contact{"a3": startedAgo(contactAgo("a3", near), time.Minute)},
			},
		},
		"this host leaves": {
			view: ownership.View{Owners: owner(coastA, "a1"), Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", silent)}, Leaving: true},
		},
		"this host owned it before it restarted": {
			view: ownership.View{Owners: map[ident.DataCentre]ownership.Owner{coastA: {DataCentre: coastA, Host: "a2", Boot: "old", Token: 3}}, Contacts: map[ident.Host]ownership.Contact{"a3": contactAgo("a3", near)}},
			want: []ident.DataCentre{coastA},
		},
		"this host owns it": {
			view: ownership.View{Owners: owner(coastA, "a2")},
		},
		"another data centre is silent and its workers answer": {
			view: ownership.View{
				Owners: owner(coastB, "b1"), Contacts: map[ident.Host]ownership.Contact{"a1": contactAgo("a1", near), "b1": contactAgo("b1", 10*time.Second)},
				Reachable: map[ident.DataCentre]bool{coastB: true},
			},
			want: []ident.DataCentre{coastB},
		},
		"another data centre is silent and cut off": {
			view: ownership.View{Owners: owner(coastB, "b1"), Contacts: map[ident.Host]ownership.Contact{"b1": contactAgo("b1", 10*time.Second)}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := test.view
			v.Self, v.Hosts = hosts[1], hosts
			if v.Started.IsZero() {
				v.Started = now.Add(-time.Minute)
			}
			centres := []ident.DataCentre{coastA}
			if _, ok := v.Owners[coastB]; ok {
				centres = []ident.DataCentre{coastB}
			}
			is.Equal(v.Claims(now, centres), test.want)
		})
	}
}

// TestRivals checks that the first candidates are the hosts of the same data centre
// with the most cores, without those that are missing.
func TestRivals(t *testing.T) {
	is := is.New(t)
	self := ownership.Host{Name: "self", DataCentre: "a", Cores: 2}
	hosts := []ownership.Host{
		self,
		{Name: "b", DataCentre: "b", Cores: 9},
		{Name: "small", DataCentre: "a", Cores: 0.1},
		{Name: "one", DataCentre: "a", Cores: 1},
		{Name: "two", DataCentre: "a", Cores: 2},
		{Name: "gone", DataCentre: "a", Cores: 8},
		{Name: "three", DataCentre: "a", Cores: 3},
		{Name: "four", DataCentre: "a", Cores: 4},
	}
	var names []ident.Host
	for _, h := range ownership.Candidates(self, hosts, func(h ownership.Host) bool { return h.Name == "gone" }) {
		names = append(names, h.Name)
	}
	is.Equal(names, []ident.Host{"four", "three", "two", "one"})
	is.Equal(len(ownership.Candidates(self, hosts[:3], func(ownership.Host) bool { return false })), 1)
}
