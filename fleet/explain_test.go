package fleet_test

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/explain"
	"github.com/catkingap/catkingap/work"
)

// explain asks a host where a job would go, and returns the status and the answer.
func (w *world) explain(m *member, q work.Queue) (int, explain.Answer) {
	is := is.New(w.t)
	r := explain.Request{Queue: q, Step: work.Step{Count: 2, Size: work.Size{Cores: taskCores}, Estimate: 100 * time.Millisecond}}
	client := &http.Client{Transport: &http.Transport{DialContext: w.network.Site(m.name).DialContext, DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.name + ":6160" + explain.Path + "?" + r.Values().Encode())
	is.NoErr(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	var a explain.Answer
	if response.StatusCode == http.StatusOK {
		is.NoErr(json.Unmarshal(data, &a))
	}
	return response.StatusCode, a
}

// TestExplain asks hosts where a job would go: the owner names a worker, another host the owner,
// and an unknown queue is an error. Nothing may be started.
func TestExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		time.Sleep(startTime)
		owner := w.owner("coast-a")
		status, a := w.explain(owner, queueName)
		is.Equal(status, http.StatusOK)
		is.Equal(string(a.Host), owner.name)
		is.Equal(len(a.Owners), len(zones))
		is.Equal(a.Refusal, "")
		is.Equal(len(a.Placement.Workers), workersPerZone)
		is.True(a.Placement.Worker != "")
		for _, m := range w.hosts {
			if m.zone == owner.zone && m != owner {
				_, other := w.explain(m, queueName)
				is.Equal(other.Host, a.Host)
				is.Equal(other.Placement, nil)
			}
		}
		status, _ = w.explain(owner, "unknown")
		is.Equal(status, http.StatusNotFound)
		is.Equal(len(w.recorder.Runs()), 0)
	})
}
