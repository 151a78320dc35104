package entry_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/repairlog"
	"github.com/catkingap/catkingap/timeline"
)

// startDemo starts three entry hosts with stand-ins.
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

// TestMergedTimeline runs a job on one host, attaches to it at another, cuts
// the third off and asks the second for the time line.
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
