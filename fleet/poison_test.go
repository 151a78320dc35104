package fleet_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/catkingap/catkingap/ledger"
	"github.com/catkingap/catkingap/platform"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/work"
)

// TestStoredJobThatPanicsItsOwnersIsNotHandedOn leaves a stored job in the table that
// no owner can take over, and has all owners change. The other jobs must be served.
func TestStoredJobThatPanicsItsOwnersIsNotHandedOn(t *testing.T) {
	encode := func(steps []work.Step) []byte {
		value, err := msgpack.Marshal(work.Job{ID: "odd", Pool: "pool", Steps: steps})
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	rows := map[string][]byte{
		"step after one that does not exist": encode([]work.Step{{Count: 1, After: []int{7}}}),
		"no step":                            encode(nil),
		"negative count":                     encode([]work.Step{{Count: -1}}),
		"bytes that cannot be read":          []byte("\xc1\xff"),
	}
	for name, job := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t)
				time.Sleep(startTime)
				stored := storedJob(1, 200, 2)
				is.True(w.storeJob(stored, 5*time.Second))
				table := platform.NewTable(&http.Client{Transport: &http.Transport{DialContext: w.network.Site("coast-a.operator").DialContext}}, storeSite+":1")
				for _, z := range zones {
					id := work.ID("odd-" + z)
					state, err := msgpack.Marshal(map[string]any{"dataCentre": z, "queue": queueName, "state": ledger.Accepted})
					is.NoErr(err)
					_, err = table.Commit(t.Context(), []storage.Write{{
						Puts: []storage.Put{{Key: ledger.JobKey(id), Value: job}, {Key: ledger.StateKey(id), Value: state}},
					}})
					is.NoErr(err)
				}
				w.killAll(time.Second)
				time.Sleep(startTime)
				before := len(w.ownerChanges())
				w.load(20, 5*time.Second)
				is.True(w.completedShare() >= 0.99)
				is.Equal(len(w.ownerChanges()), before)
				is.Equal(w.state(stored.ID), ledger.Completed)
			})
		})
	}
}
