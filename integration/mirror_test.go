package integration

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/standin"
)

// row returns the row of a job as a host reads it.
func (k *cluster) row(h *entryHost, s *job.Submission) job.Row {
	k.t.Helper()
	response, err := http.Get(h.api + "/v1/jobs/" + s.Job.String())
	k.is.NoErr(err)
	defer response.Body.Close()
	var row job.Row
	k.is.NoErr(json.NewDecoder(response.Body).Decode(&row))
	return row
}

// mirrored starts a long job on the first host and returns it with its client,
// its mirror and the host that is neither.
func (k *cluster) mirrored(key string) (s *job.Submission, end <-chan ended, mirror, third *entryHost) {
	k.t.Helper()
	s = submission(key, 41, 6, 2*time.Second)
	end = k.submitOne(s, k.hosts[0])
	k.awaitStarts(s, 6)
	name := k.row(k.hosts[1], s).Mirror.Host
	for _, h := range k.hosts[1:] {
		if h.name == name {
			mirror = h
		} else {
			third = h
		}
	}
	k.is.True(mirror != nil)
	return s, end, mirror, third
}

// TestMirrorPausedWhileItsHolderDies has the mirror paused when the holder is
// killed: the job stays undecided until the mirror can be asked.
func TestMirrorPausedWhileItsHolderDies(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s, _, mirror, third := k.mirrored("tide")
	mirror.signal(syscall.SIGSTOP)
	k.hosts[0].signal(syscall.SIGKILL)
	again := *s
	again.Resubmission = true
	for range 8 {
		time.Sleep(time.Second)
		k.is.Equal(state(third, s), job.Started)
	}
	mirror.signal(syscall.SIGCONT)
	e := k.within(k.submitAny(&again, third), adoptionTimeout)
	k.checkFailed(e.err, outcome.Failed, outcome.HolderLost)
	k.checkOnce()
}

// TestHolderAndMirrorDie has both die at once, outside of an outage: the job
// is decided once neither the list nor the heartbeats show the mirror.
func TestHolderAndMirrorDie(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s, _, mirror, third := k.mirrored("tide")
	mirror.signal(syscall.SIGKILL)
	k.hosts[0].signal(syscall.SIGKILL)
	time.Sleep(6 * time.Second)
	k.is.Equal(state(third, s), job.Started)
	request, err := http.NewRequest(http.MethodDelete, "http://"+k.platform+"/members/"+string(mirror.name), nil)
	k.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	k.is.NoErr(err)
	response.Body.Close()
	again := *s
	again.Resubmission = true
	e := k.within(k.submitAny(&again, third), adoptionTimeout)
	k.checkFailed(e.err, outcome.Failed, outcome.HolderLost)
	k.checkOnce()
}

// TestOutcomeWithoutTableAndMirror has table and peers away at the outcome:
// the callers hear soon that the outcome is not known, and get it later.
func TestOutcomeWithoutTableAndMirror(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s, end, _, _ := k.mirrored("tide")
	k.tableFaults(standin.Faults{Mode: standin.Refuse})
	for _, h := range k.hosts {
		h.peer.silence("downstream")
	}
	e := k.within(end, 6*time.Second)
	k.checkFailed(e.err, outcome.Unknown, outcome.StoreDown)
	k.is.True(outcome.From(e.err).RetryAfter > 0)
	k.tableFaults(standin.Faults{})
	for _, h := range k.hosts {
		h.peer.heal()
	}
	again := *s
	again.Resubmission = true
	for _, h := range k.hosts {
		e = k.within(k.submitAny(&again, h), adoptionTimeout)
		k.is.NoErr(e.err)
		k.checkWhole(s, e.answer)
	}
}

// TestCancelInAnOutage cancels a job while the table is away: the caller is
// answered at once, and what it was told is what is recorded.
func TestCancelInAnOutage(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s, end, _, third := k.mirrored("tide")
	k.tableFaults(standin.Faults{Mode: standin.Silent})
	k.is.NoErr(k.hosts[0].client.Cancel(t.Context(), s.Job))
	e := k.within(end, 3*time.Second)
	k.checkFailed(e.err, outcome.Failed, outcome.Cancelled)
	k.tableFaults(standin.Faults{})
	k.awaitState(third, s, job.Failed)
	_, err := k.submit(third, s)
	k.checkFailed(err, outcome.Failed, outcome.Cancelled)
	k.checkOnce()
}
