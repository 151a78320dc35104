package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/repairlog"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/timeline"
)

// startDemo starts three entry hosts with stand-in backend servers and platform.
func startDemo(t *testing.T, c demo.Config) *demo.Demo {
	t.Helper()
	c.Progress = io.Discard
	if c.Log == nil {
		c.Log = io.Discard
	}
	d, err := demo.Start(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d
}

// shortJob returns a job of n tasks that run for 10 ms each.
func shortJob(key ident.JobKey, n int) *job.Submission {
	logs := repairlog.Generate(3, n)
	for i := range logs {
		logs[i].RunTimeMS = 10
	}
	return demo.Submission(key, logs)
}

// waitPeers waits until the host sees all three entry hosts.
func waitPeers(t *testing.T, d *demo.Demo, host int) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		view, err := d.Client(host).MergedTimeline(t.Context(), timeline.Filter{})
		if err == nil && len(view.Sources) == 3 {
			return
		}
	}
	t.Fatal("the hosts do not see each other")
}

// TestMergedTimeline runs a job on one host, attaches to it on another, cuts off
// the third, and requests the merged timeline from the second.
func TestMergedTimeline(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	waitPeers(t, d, 1)
	s := shortJob("tide", 20)
	_, err := d.Client(0).Submit(t.Context(), s)
	is.NoErr(err)
	_, err = d.Client(1).Submit(t.Context(), s)
	is.NoErr(err)
	d.Sever(2)

	view, err := d.Client(1).MergedTimeline(t.Context(), timeline.Filter{Team: s.Team, Job: s.Key})
	is.NoErr(err)
	is.Equal(len(view.Sources), 3)
	is.Equal(view.Sources[0].Error, "")
	is.True(view.Sources[2].Error != "") // entry-3 is marked
	counts := map[timeline.Kind]int{}
	for _, e := range view.Entries {
		counts[e.Kind]++
		is.Equal(e.Job, s.Key)
	}
	is.Equal(counts[timeline.TaskStarted], 20)
	is.Equal(counts[timeline.TaskEnded], 20)
	is.Equal(counts[timeline.Claimed], 1)
	is.Equal(view.Entries[0].Kind, timeline.Claimed)
	is.Equal(view.Entries[0].Host, ident.Host("entry-1"))
	is.True(view.Entries[0].Revision > 0)

	view, err = d.Client(1).MergedTimeline(t.Context(), timeline.Filter{Host: "entry-2"})
	is.NoErr(err)
	is.Equal(len(view.Sources), 1)
	view, err = d.Client(1).MergedTimeline(t.Context(), timeline.Filter{Since: time.Now().Add(time.Hour)})
	is.NoErr(err)
	is.Equal(len(view.Entries), 0)
}

// waitMirror runs small jobs until their rows name a mirror.
func waitMirror(t *testing.T, d *demo.Demo) {
	t.Helper()
	for i := range 100 {
		s := shortJob(ident.JobKey(fmt.Sprintf("probe-%d", i)), 1)
		if _, err := d.Client(0).Submit(t.Context(), s); err != nil {
			t.Fatal(err)
		}
		response, err := http.Get(d.URL(0) + "/v1/jobs/" + s.Job.String())
		if err != nil {
			t.Fatal(err)
		}
		var row job.Row
		err = json.NewDecoder(response.Body).Decode(&row)
		response.Body.Close()
		if err == nil && row.Mirror.Host != "" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the host names no mirror")
}

// startCount returns the number of task starts on all backend servers.
func startCount(d *demo.Demo) int {
	count := 0
	for _, b := range d.Backends() {
		count += len(b.Starts())
	}
	return count
}

// TestTimelineOfMirror makes the table fail while a job runs: the timeline must
// show that the holder sent the outcome to its mirror before the mirror received
// it.
func TestTimelineOfMirror(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	waitPeers(t, d, 0)
	waitMirror(t, d)
	s := shortJob("tide", 8)
	for i := range s.Tasks {
		s.Tasks[i].Payload = []byte(`{"groyneId":"G-7","runTimeMs":1500}`)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	before := startCount(d)
	go func() {
		// The table fails once all tasks run, so after the intent was written.
		for ctx.Err() == nil && startCount(d) < before+len(s.Tasks) {
			time.Sleep(10 * time.Millisecond)
		}
		d.Platform().SetFaults(standin.Faults{Mode: standin.Refuse})
	}()
	_, err := d.Client(0).Submit(ctx, s)
	d.Platform().SetFaults(standin.Faults{})
	is.NoErr(err)
	view, err := d.Client(0).MergedTimeline(t.Context(), timeline.Filter{Team: s.Team, Job: s.Key})
	is.NoErr(err)
	sent, received, returned := -1, -1, -1
	for i, e := range view.Entries {
		switch {
		case e.Detail != "mirrorKeep":
		case e.Kind == timeline.CallSent && sent < 0:
			sent = i
			is.Equal(e.Host, ident.Host("entry-1"))
		case e.Kind == timeline.CallReceived && received < 0:
			received = i
			is.True(e.Host != "entry-1")
		case e.Kind == timeline.CallReturned && returned < 0:
			returned = i
		}
	}
	is.True(0 <= sent && sent < received && received < returned)
	is.Equal(view.Entries[received].Request, view.Entries[sent].Request)
}

// TestTimelineOfConfiguration checks that a change is shown as written on the host
// that accepted it before it is shown as applied on another. The accepting host
// applies it with the result of the write, before it adds the event of the write.
func TestTimelineOfConfiguration(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	waitPeers(t, d, 1)
	o, err := d.Client(0).Put(t.Context(), resource.Object{Kind: resource.KindTeam, Name: "school", Spec: []byte(`{}`)})
	is.NoErr(err)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		view, err := d.Client(1).MergedTimeline(t.Context(), timeline.Filter{})
		is.NoErr(err)
		written, applied := -1, 0
		for i, e := range view.Entries {
			if e.Kind == timeline.ConfigWritten && e.Revision == o.Revision {
				written = i
			}
			if e.Kind == timeline.ConfigApplied && e.Revision >= o.Revision {
				is.True(written >= 0 || e.Host == "entry-1") // written before applied elsewhere
				applied++
			}
		}
		if applied == 3 {
			return
		}
		is.True(time.Now().Before(deadline)) // in force on three hosts
	}
}
