package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/standin"
)

const (
	// inForceBound is the target for a change of configuration.
	inForceBound = 5 * time.Second
	// slowPoll leaves the passing on of revisions to the peers.
	slowPoll = "configPoll: 5s\n"
)

// weight returns the weight of the test's team and its revision on a host.
func (k *cluster) weight(h *entryHost) (int, ident.Revision) {
	ctx, cancel := context.WithTimeout(k.t.Context(), startTimeout)
	defer cancel()
	o, err := h.client.Get(ctx, resource.KindTeam, teamName)
	if err != nil {
		return 0, 0
	}
	var spec resource.TeamSpec
	k.is.NoErr(json.Unmarshal(o.Spec, &spec))
	return spec.Weight, o.Revision
}

// setWeight changes the team by way of a host.
func (k *cluster) setWeight(h *entryHost, weight int, seen ident.Revision) (ident.Revision, error) {
	spec, err := json.Marshal(resource.TeamSpec{Weight: weight})
	k.is.NoErr(err)
	o, err := h.client.Put(k.t.Context(), resource.Object{Kind: resource.KindTeam, Name: teamName, Spec: spec, Revision: seen})
	return o.Revision, err
}

// change accepts a weight on the first host and does then at once. It returns
// the time from acceptance until each host has it in force.
func (k *cluster) change(weight int, then func()) []time.Duration {
	k.t.Helper()
	_, seen := k.weight(k.hosts[0])
	_, err := k.setWeight(k.hosts[0], weight, seen)
	k.is.NoErr(err)
	then()
	accepted := time.Now()
	times := make([]time.Duration, len(k.hosts))
	var waiting sync.WaitGroup
	for i, h := range k.hosts {
		waiting.Go(func() {
			for time.Since(accepted) < 3*inForceBound {
				if present, _ := k.weight(h); present == weight {
					break
				}
				time.Sleep(time.Millisecond)
			}
			times[i] = time.Since(accepted)
		})
	}
	waiting.Wait()
	return times
}

// TestInForceWithinBound changes the configuration while one host is cut off
// from the platform, and with an outage of the table that starts right after
// acceptance.
func TestInForceWithinBound(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 1, settings: slowPoll})
	k.eventually("all probed", func() bool {
		weight := int(time.Now().UnixMilli() % 1000)
		return slices.Max(k.change(weight, func() {})) < time.Second
	})
	const rounds = 10
	tests := map[string]struct{ before, after, heal func() }{
		"all connected": {before: func() {}, after: func() {}, heal: func() {}},
		"one host cut off from the platform": {
			before: func() { k.hosts[2].platform.silence("upstream") },
			after:  func() {},
			heal:   func() { k.hosts[2].platform.heal() },
		},
		"outage right after acceptance": {
			before: func() {},
			after:  func() { k.tableFaults(standin.Faults{Mode: standin.Refuse}) },
			heal:   func() { k.tableFaults(standin.Faults{}) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := k.on(t)
			var times []time.Duration
			for i := 0; i < rounds && !t.Failed(); i++ {
				test.before()
				times = append(times, k.change(i+1, test.after)...)
				test.heal()
				if worst := slices.Max(times); worst > inForceBound {
					t.Errorf("in force after %s", worst)
				}
			}
			slices.Sort(times)
			t.Logf("3 hosts: p50 %s, max %s", times[len(times)/2], times[len(times)-1])
		})
	}
}

// TestNoRevertAtRestart kills all hosts and starts them again while reads of
// the table are stale: each is at the newest revision from the moment on that
// it is ready, and stays there.
func TestNoRevertAtRestart(t *testing.T) {
	c := clusterConfig{hosts: 3, backends: 1, slots: 1}
	k := newCluster(t, c)
	k.change(1, func() {})
	k.tableFaults(standin.Faults{Mode: standin.Stale})
	k.change(2, func() {})
	_, newest := k.weight(k.hosts[0])
	old := k.hosts
	for _, h := range old {
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	k.hosts = nil
	for _, h := range old {
		k.startHost(string(h.name), c)
	}
	for _, h := range k.hosts {
		k.eventually("ready", func() bool { return h.client.Ready(t.Context()) == nil })
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(pollPause) {
		for _, h := range k.hosts {
			if weight, revision := k.weight(h); weight != 2 || revision != newest {
				t.Fatalf("%s is at weight %d of revision %d, not 2 of %d", h.name, weight, revision, newest)
			}
		}
	}
}

// TestRestartDuringOutage restarts one host while the table is away: it is
// ready only once a peer has brought it the configuration.
func TestRestartDuringOutage(t *testing.T) {
	c := clusterConfig{hosts: 3, backends: 1, slots: 1}
	k := newCluster(t, c)
	k.change(7, func() {})
	k.tableFaults(standin.Faults{Mode: standin.Refuse})
	k.hosts[2].signal(syscall.SIGKILL)
	<-k.hosts[2].exited
	k.hosts = k.hosts[:2]
	h := k.startHost("entry-3", c)
	k.eventually("ready", func() bool { return h.client.Ready(t.Context()) == nil })
	weight, _ := k.weight(h)
	k.is.Equal(weight, 7)
}

// TestRacingOperators increments one field by way of two hosts while answers
// of the table are lost now and then: each success counts once, and each loser
// is told the revision that won.
func TestRacingOperators(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 1})
	k.change(0, func() {})
	const increments = 20
	conflicts := make([]int, 2)
	var waiting sync.WaitGroup
	for i := range conflicts {
		h := k.hosts[i]
		waiting.Go(func() {
			for done := 0; done < increments; {
				if i == 0 && done%4 == 0 {
					k.tableFaults(standin.Faults{Mode: standin.LoseAnswer, Count: 1})
				}
				weight, seen := k.weight(h)
				_, err := k.setWeight(h, weight+1, seen)
				var refused *client.ResourceError
				switch {
				case err == nil:
					done++
				case errors.As(err, &refused) && refused.Outcome.Code == outcome.Conflict && refused.Present > seen:
					conflicts[i]++
				case outcome.From(err).Kind != outcome.NotRun:
					panic(fmt.Sprintf("operator %d: %v", i, err))
				}
			}
		})
	}
	waiting.Wait()
	k.tableFaults(standin.Faults{})
	k.eventually("all increments in force", func() bool {
		weight, _ := k.weight(k.hosts[2])
		if weight > 2*increments {
			t.Fatalf("%d increments for %d successes", weight, 2*increments)
		}
		return weight == 2*increments
	})
	t.Logf("%d increments, %v conflicts", 2*increments, conflicts)
}
