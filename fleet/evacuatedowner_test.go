package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/evacuation"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/ownership"
	"github.com/catkingap/catkingap/spill"
	"github.com/catkingap/catkingap/throttle"
	"github.com/catkingap/catkingap/work"
)

// TestHostsAvoidTheOwnerOfAnEvacuatedDataCentre guards against messages between data centres for
// jobs that the owner of an evacuated one sends back, and against jobs without any owner if it is
// the only one that is heard.
func TestHostsAvoidTheOwnerOfAnEvacuatedDataCentre(t *testing.T) {
	const home, other = ident.DataCentre("coast-a"), ident.DataCentre("coast-b")
	tests := map[string]struct {
		evacuated []ident.DataCentre
		silent    bool
		bound     ident.DataCentre
		picked    ident.DataCentre
	}{
		"no evacuation":                {picked: home},
		"its own data centre":          {evacuated: []ident.DataCentre{home}, picked: other},
		"no other owner is heard":      {evacuated: []ident.DataCentre{home}, silent: true, picked: home},
		"all data centres":             {evacuated: []ident.DataCentre{home, other}, picked: home},
		"the job may have begun there": {evacuated: []ident.DataCentre{home}, bound: home, picked: home},
		"another data centre":          {evacuated: []ident.DataCentre{other}, picked: home},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			e := &Evacuation{enabled: true}
			e.tracker.Observe(now, evacuation.NewState(1, test.evacuated...))
			c := &Contacts{
				evacuation: e, loads: map[ident.DataCentre]dispatch.Load{home: {FreeTasks: 9}, other: {FreeTasks: 9}},
				contacts: map[ident.Host]ownership.Contact{"a": {Boot: "x", Heard: now}},
			}
			if !test.silent {
				c.contacts["b"] = ownership.Contact{Boot: "x", Heard: now}
			}
			s := &Submitter{self: ownership.Host{Name: "self", DataCentre: home}, contacts: c, directory: &Directory{owners: map[ident.DataCentre]ownership.Owner{
				home: {DataCentre: home, Host: "a", Boot: "x"}, other: {DataCentre: other, Host: "b", Boot: "x"},
			}}}
			a := newAttempt(work.Job{Steps: []work.Step{{Count: 2}}}, now, now)
			a.bound = test.bound
			o, _, ok := s.pickOwner(now, a)
			is.True(ok)
			is.Equal(o.DataCentre, test.picked)
		})
	}
}

// TestEvacuatedDataCentreHasNoCapacityToShare guards against owners that return waiting jobs for
// an evacuated data centre whose last known load promises free capacity.
func TestEvacuatedDataCentreHasNoCapacityToShare(t *testing.T) {
	is := is.New(t)
	e := &Evacuation{enabled: true}
	e.tracker.Observe(time.Now(), evacuation.NewState(1, "coast-b"))
	c := &Contacts{
		evacuation: e, loads: map[ident.DataCentre]dispatch.Load{}, gates: map[ident.DataCentre]*throttle.Gate{},
	}
	c.SetLoad("coast-b", dispatch.Load{FreeTasks: 9})
	c.SetLoad("coast-c", dispatch.Load{FreeTasks: 9})
	is.Equal(c.shareCapacity(time.Now(), "coast-a"), []spill.Share{{DataCentre: "coast-c", Tasks: 9}})
	e.tracker.Observe(time.Now(), evacuation.NewState(2))
	is.Equal(c.shareCapacity(time.Now(), "coast-a"), []spill.Share{{DataCentre: "coast-b", Tasks: 9}})
}
