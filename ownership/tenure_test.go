package ownership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
)

// TestSilence checks which hosts and owners must answer for an owner to continue its stored
// jobs while the table does not confirm its ownership.
func TestSilence(t *testing.T) {
	const lately, long = 100 * time.Millisecond, 5 * time.Second
	tests := map[string]struct {
		// neighbour and owner are how long the other host of the data centre and the owner of
		// another one are silent.
		neighbour, owner time.Duration
		unconfirmed      bool
		replaced         bool
		// age is the age of the last heartbeat.
		age    time.Duration
		silent time.Duration
	}{
		"all answer":                             {neighbour: lately, owner: lately, age: long, silent: lately},
		"a host of the data centre is silent":    {neighbour: long, owner: lately, age: long, silent: long},
		"the owner of another one is silent":     {neighbour: lately, owner: long, age: long, silent: long},
		"that owner is not confirmed either":     {neighbour: lately, owner: lately, unconfirmed: true, age: long, silent: time.Hour},
		"that owner was replaced":                {neighbour: lately, owner: lately, replaced: true, age: long, silent: time.Hour},
		"the host was gone before the heartbeat": {neighbour: time.Minute, owner: lately, age: long, silent: lately},
		"the owner was gone before it":           {neighbour: lately, owner: time.Minute, age: long, silent: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			self := ownership.Host{Name: "here", DataCentre: "coast-a"}
			near, far := ownership.Host{Name: "near", DataCentre: "coast-a"}, ownership.Host{Name: "far", DataCentre: "coast-b"}
			v := &ownership.View{
				Self:  self,
				Hosts: []ownership.Host{self, near, far},
				Contacts: map[ident.Host]ownership.Contact{
					near.Name: {Heard: now.Add(-test.neighbour)}, far.Name: {Heard: now},
				},
				Owners: map[ident.DataCentre]ownership.Owner{
					"coast-a": {DataCentre: "coast-a", Host: self.Name, Token: 5}, "coast-b": {DataCentre: "coast-b", Host: far.Name, Token: 7},
				},
			}
			if test.replaced {
				v.Owners["coast-b"] = ownership.Owner{DataCentre: "coast-b", Host: "another", Token: 9}
			}
			answers := map[ident.DataCentre]ownership.Answer{"coast-b": {Token: 7, Heard: now.Add(-test.owner), Unconfirmed: test.unconfirmed}}
			silent := v.Silence(now, "coast-a", now.Add(-test.age), answers)
			is.Equal(min(silent, time.Hour), test.silent)
		})
	}
}
