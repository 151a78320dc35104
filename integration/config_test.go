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
	// propagationBound is the longest time until a configuration change is in
	// force on every host.
	propagationBound = 5 * time.Second
	// slowPollSetting makes polling too slow to matter, so that revisions
	// spread through the peers.
	slowPollSetting = "configPoll: 5s\n"
)

// teamWeight returns the weight of the test's team and its revision as a host
// sees them.
func (k *cluster) teamWeight(h *entryHost) (int, ident.Revision) {
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

// setTeamWeight sets the weight of the test's team through a host, based on the
// revision seen.
func (k *cluster) setTeamWeight(h *entryHost, weight int, seen ident.Revision) (ident.Revision, error) {
	spec, err := json.Marshal(resource.TeamSpec{Weight: weight})
	k.is.NoErr(err)
	o, err := h.client.Put(k.t.Context(), resource.Object{Kind: resource.KindTeam, Name: teamName, Spec: spec, Revision: seen})
	return o.Revision, err
}

// measurePropagation sets a weight through the first host and calls then right
// after acceptance. It returns for each host the time from acceptance until the
// weight is in force there.
func (k *cluster) measurePropagation(weight int, then func()) []time.Duration {
	k.t.Helper()
	_, seen := k.teamWeight(k.hosts[0])
	_, err := k.setTeamWeight(k.hosts[0], weight, seen)
	k.is.NoErr(err)
	then()
	accepted := time.Now()
	times := make([]time.Duration, len(k.hosts))
	var waiting sync.WaitGroup
	for i, h := range k.hosts {
		waiting.Go(func() {
			for time.Since(accepted) < 3*propagationBound {
				if present, _ := k.teamWeight(h); present == weight {
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

// TestInForceWithinBound guards against a configuration change that reaches a
// host late, with one host cut off from the platform and with a table outage
// that starts right after acceptance.
func TestInForceWithinBound(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 1, settings: slowPollSetting})
	k.eventually("all probed", func() bool {
		weight := int(time.Now().UnixMilli() % 1000)
		return slices.Max(k.measurePropagation(weight, func() {})) < time.Second
	})
	const rounds = 10
	tests := map[string]struct{ before, after, heal func() }{
		"all connected": {before: func() {}, after: func() {}, heal: func() {}},
		"one host cut off from the platform": {
			before: func() { k.hosts[2].platform.dropData("upstream") },
			after:  func() {},
			heal:   func() { k.hosts[2].platform.heal() },
		},
		"outage right after acceptance": {
			before: func() {},
			after:  func() { k.setTableFaults(standin.Faults{Mode: standin.Refuse}) },
			heal:   func() { k.setTableFaults(standin.Faults{}) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := k.forSubtest(t)
			var times []time.Duration
			for i := 0; i < rounds && !t.Failed(); i++ {
				test.before()
				times = append(times, k.measurePropagation(i+1, test.after)...)
				test.heal()
				if worst := slices.Max(times); worst > propagationBound {
					t.Errorf("in force after %s", worst)
				}
			}
			slices.Sort(times)
			t.Logf("3 hosts: p50 %s, max %s", times[len(times)/2], times[len(times)-1])
		})
	}
}

// TestNoRevertAtRestart guards against a host that starts from an old
// configuration. All hosts are killed and restarted while table reads are
// stale: each must have the newest revision as soon as it is ready, and keep
// it.
func TestNoRevertAtRestart(t *testing.T) {
	c := clusterConfig{hosts: 3, backends: 1, slots: 1}
	k := newCluster(t, c)
	k.measurePropagation(1, func() {})
	k.setTableFaults(standin.Faults{Mode: standin.Stale})
	k.measurePropagation(2, func() {})
	_, newest := k.teamWeight(k.hosts[0])
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
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, h := range k.hosts {
			if weight, revision := k.teamWeight(h); weight != 2 || revision != newest {
				t.Fatalf("%s is at weight %d of revision %d, not 2 of %d", h.name, weight, revision, newest)
			}
		}
	}
}

// TestRestartDuringOutage restarts one host during a table outage. It must
// become ready only after it has received the configuration from a peer.
func TestRestartDuringOutage(t *testing.T) {
	c := clusterConfig{hosts: 3, backends: 1, slots: 1}
	k := newCluster(t, c)
	k.measurePropagation(7, func() {})
	k.setTableFaults(standin.Faults{Mode: standin.Refuse})
	k.hosts[2].signal(syscall.SIGKILL)
	<-k.hosts[2].exited
	k.hosts = k.hosts[:2]
	h := k.startHost("entry-3", c)
	k.eventually("ready", func() bool { return h.client.Ready(t.Context()) == nil })
	weight, _ := k.teamWeight(h)
	k.is.Equal(weight, 7)
}

// TestRacingOperators guards against lost updates. Two operators increment one
// field through two hosts while the table loses some answers: each success must
// count once, and each rejected operator must be told the winning revision.
func TestRacingOperators(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 1})
	k.measurePropagation(0, func() {})
	const increments = 20
	conflicts := make([]int, 2)
	var waiting sync.WaitGroup
	for i := range conflicts {
		h := k.hosts[i]
		waiting.Go(func() {
			for done := 0; done < increments; {
				if i == 0 && done%4 == 0 {
					k.setTableFaults(standin.Faults{Mode: standin.LoseAnswer, Count: 1})
				}
				weight, seen := k.teamWeight(h)
				_, err := k.setTeamWeight(h, weight+1, seen)
				var refused *client.ResourceError
				switch {
				case err == nil:
					done++
				case errors.As(err, &refused) && refused.Outcome.Code == outcome.Conflict && refused.CurrentRevision > seen:
					conflicts[i]++
				case outcome.From(err).Kind != outcome.NotRun:
					panic(fmt.Sprintf("operator %d: %v", i, err))
				}
			}
		})
	}
	waiting.Wait()
	k.setTableFaults(standin.Faults{})
	k.eventually("all increments in force", func() bool {
		weight, _ := k.teamWeight(k.hosts[2])
		if weight > 2*increments {
			t.Fatalf("%d increments for %d successes", weight, 2*increments)
		}
		return weight == 2*increments
	})
	t.Logf("%d increments, %v conflicts", 2*increments, conflicts)
}
