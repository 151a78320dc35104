package entry_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/standin"
)

var errEventSeen = errors.New("seen")

func team(name, spec string, revision ident.Revision) resource.Object {
	return resource.Object{
		Kind: resource.KindTeam, Name: name, Spec: json.RawMessage(spec), Revision: revision,
		Labels: map[string]string{"coast": "north"},
	}
}

func codeOf(err error) outcome.Code {
	if err == nil {
		return ""
	}
	return outcome.From(err).Code
}

// until waits until f returns true.
func until(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not %s in time", what)
		}
	}
}

func TestResourcePagesAndLabels(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	c := d.Client(0)
	for i := range 5 {
		_, err := c.Create(t.Context(), team(fmt.Sprintf("team-%d", i), `{}`, 0))
		is.NoErr(err)
	}
	first, err := c.List(t.Context(), resource.KindTeam, client.ListOptions{Limit: 2, Labels: "coast=north"})
	is.NoErr(err)
	is.Equal(len(first.Items), 2)
	_, err = c.Create(t.Context(), team("team-9", `{}`, 0))
	is.NoErr(err)
	second, err := c.List(t.Context(), resource.KindTeam, client.ListOptions{Limit: 2, Labels: "coast=north", Continue: first.Continue})
	is.NoErr(err)
	is.Equal(second.Items[0].Name, "team-2")
	is.Equal(second.Revision, first.Revision) // a watch from this revision misses no change
	none, err := c.ListAll(t.Context(), resource.KindTeam, "coast=south")
	is.NoErr(err)
	is.Equal(len(none.Items), 0)
	all, err := c.ListAll(t.Context(), resource.KindTeam, "")
	is.NoErr(err)
	is.Equal(len(all.Items), 7) // with the team of the demo
	_, err = c.List(t.Context(), resource.KindTeam, client.ListOptions{Continue: "9999999/team-0"})
	is.Equal(codeOf(err), outcome.Busy)
}

func TestResourceWrites(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	c, other := d.Client(0), d.Client(1)
	created, err := c.Create(t.Context(), team("troupe", `{"weight":1,"tasksPerSecond":5}`, 0))
	is.NoErr(err)
	_, err = other.Create(t.Context(), team("troupe", `{}`, 0))
	is.Equal(codeOf(err), outcome.Conflict)

	updated, err := other.Put(t.Context(), team("troupe", `{"weight":2,"tasksPerSecond":5}`, created.Revision))
	is.NoErr(err)
	_, err = c.Put(t.Context(), team("troupe", `{"weight":3}`, created.Revision))
	var refused *client.ResourceError
	is.True(errors.As(err, &refused))
	is.Equal(refused.CurrentRevision, updated.Revision)

	patch := resource.Object{Kind: resource.KindTeam, Name: "troupe", Spec: json.RawMessage(`{"tasksPerSecond":null,"queueTasks":7}`), Revision: updated.Revision}
	patched, err := other.Patch(t.Context(), patch)
	is.NoErr(err)
	is.Equal(string(patched.Spec), `{"queueTasks":7,"weight":2}`)
	is.Equal(patched.Labels["coast"], "north")
	_, err = other.Patch(t.Context(), patch)
	is.Equal(codeOf(err), outcome.Conflict)

	is.Equal(codeOf(c.Delete(t.Context(), resource.KindTeam, "troupe", updated.Revision)), outcome.Conflict)
	is.NoErr(c.Delete(t.Context(), resource.KindTeam, "troupe", patched.Revision))
	_, err = c.Get(t.Context(), resource.KindTeam, "troupe")
	is.Equal(codeOf(err), outcome.NotFound)
	_, err = other.Put(t.Context(), team("troupe", `{}`, patched.Revision))
	is.Equal(codeOf(err), outcome.NotFound)
}

func TestResourceProblemsAllAtOnce(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	_, err := d.Client(0).Create(t.Context(), resource.Object{
		Kind: resource.KindBackendServer, Name: "runner-9", Spec: json.RawMessage(`{"pool":"none","address":"x","slots":0,"speed":1}`),
	})
	var refused *client.ResourceError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Outcome.Kind, outcome.NotRun)
	is.Equal(refused.Outcome.Code, outcome.Invalid)
	var fields []string
	for _, p := range refused.Problems {
		fields = append(fields, p.Field)
	}
	is.Equal(fields, []string{"spec.speed", "spec.address", "spec.dataCentre", "spec.slots", "spec.pool"})
	_, err = d.Client(0).List(t.Context(), "crew", client.ListOptions{})
	is.Equal(codeOf(err), outcome.Invalid)
}

// TestWatchResumes interrupts a watch and resumes it on another host: each
// change is seen, including a deletion.
func TestWatchResumes(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	c := d.Client(0)
	list, err := c.List(t.Context(), resource.KindTeam, client.ListOptions{})
	is.NoErr(err)
	created, err := c.Create(t.Context(), team("troupe", `{"weight":1}`, 0))
	is.NoErr(err)
	next := func(i int, from ident.Revision) entry.WatchEvent {
		var seen entry.WatchEvent
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		err := d.Client(i).Watch(ctx, resource.KindTeam, from, func(e entry.WatchEvent) error {
			if e.Type != entry.WatchPut && e.Type != entry.WatchDelete {
				return nil
			}
			seen = e
			return errEventSeen
		})
		is.True(errors.Is(err, errEventSeen))
		return seen
	}
	put := next(0, list.Revision)
	is.Equal(put.Type, entry.WatchPut)
	is.Equal(put.Revision, created.Revision)
	is.NoErr(c.Delete(t.Context(), resource.KindTeam, "troupe", created.Revision))
	deletion := next(1, put.Revision)
	is.Equal(deletion.Type, entry.WatchDelete)
	is.Equal(deletion.Object.Name, "troupe")
	is.Equal(codeOf(c.Watch(t.Context(), resource.KindTeam, 0, nil)), outcome.Invalid)
}

// TestStatus drains a server and then makes the platform fail: the conditions
// report the reason, and the response how stale it is.
func TestStatus(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	c := d.Client(0)
	condition := func(kind resource.Kind, name string, want resource.ConditionType) resource.Condition {
		o, err := c.Get(t.Context(), kind, name)
		is.NoErr(err)
		for _, c := range o.Status.Conditions {
			if c.Type == want {
				return c
			}
		}
		return resource.Condition{}
	}
	until(t, "serving", func() bool { return condition(resource.KindBackendServer, "runner-1-1", resource.Serving).Status })
	is.True(condition(resource.KindService, "groyne-log", resource.Available).Status)
	server, err := c.Get(t.Context(), resource.KindBackendServer, "runner-1-1")
	is.NoErr(err)
	_, err = c.Patch(t.Context(), resource.Object{
		Kind: server.Kind, Name: server.Name, Revision: server.Revision, Spec: json.RawMessage(`{"drain":true}`),
	})
	is.NoErr(err)
	leaving := condition(resource.KindBackendServer, "runner-1-1", resource.Leaving)
	is.True(leaving.Status)
	is.Equal(leaving.Reason, "DrainDeclared")
	is.True(!leaving.Since.IsZero())
	is.Equal(condition(resource.KindPool, "groyne-log", resource.Available).Message, "5 of 6 backend servers serve with 40 slots")

	d.Platform().SetFaults(standin.Faults{Mode: standin.Refuse})
	until(t, "stale", func() bool {
		o, err := c.Get(t.Context(), resource.KindPool, "groyne-log")
		return err == nil && o.Status.StaleMS > 500
	})
	_, err = c.Create(t.Context(), team("late", `{}`, 0))
	is.Equal(outcome.From(err).Kind, outcome.NotRun)
	is.Equal(codeOf(err), outcome.StoreDown)
}

// TestLogHasNoSpecs sends valid and invalid specs and labels that contain the
// marker, and checks that logs at the lowest level do not contain it.
func TestLogHasNoSpecs(t *testing.T) {
	is := is.New(t)
	logs := &buffer{}
	d := startDemo(t, demo.Config{Log: logs, LogLevel: "debug"})
	c := d.Client(0)
	lower := strings.ToLower(marker)
	good := team("troupe", `{}`, 0)
	good.Labels = map[string]string{lower: lower}
	_, err := c.Create(t.Context(), good)
	is.NoErr(err)
	for _, spec := range []string{
		`{"weight":"` + lower + `"}`, `{"` + lower + `":1}`, `"` + lower + `"`,
		`{"pool":"` + lower + `","address":"` + lower + `"}`,
	} {
		for _, kind := range resource.Kinds() {
			_, err := c.Create(t.Context(), resource.Object{Kind: kind, Name: "bad", Spec: json.RawMessage(spec)})
			is.Equal(codeOf(err), outcome.Invalid)
		}
	}
	is.True(strings.Contains(logs.text(), `"route":"/v1/resources/:kind"`)) // the requests were logged
	is.True(!strings.Contains(logs.text(), lower))
}
