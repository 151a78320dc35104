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

// jobRow returns the row of a job as a host reads it, and fails the test if
// there is none.
func (k *cluster) jobRow(h *entryHost, s *job.Submission) job.Row {
	k.t.Helper()
	response, err := http.Get(h.api + "/v1/jobs/" + s.Job.String())
	k.is.NoErr(err)
	defer response.Body.Close()
	var row job.Row
	k.is.NoErr(json.NewDecoder(response.Body).Decode(&row))
	return row
}

// startMirroredJob starts a long job on the first host. It returns the job, its
// result, the mirror and the host that is neither holder nor mirror.
func (k *cluster) startMirroredJob(key string) (s *job.Submission, end <-chan submitResult, mirror, third *entryHost) {
	k.t.Helper()
	s = newSubmission(key, 41, 6, 2*time.Second)
	end = k.submitOnce(s, k.hosts[0])
	k.awaitStarts(s, 6)
	name := k.jobRow(k.hosts[1], s).Mirror.Host
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

// TestMirrorPausedWhileItsHolderDies guards against deciding a job without its
// mirror. The mirror is paused when the holder is killed: the job must stay
// undecided until the mirror answers again.
func TestMirrorPausedWhileItsHolderDies(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s, _, mirror, third := k.startMirroredJob("tide")
	mirror.signal(syscall.SIGSTOP)
	k.hosts[0].signal(syscall.SIGKILL)
	again := *s
	again.Resubmission = true
	for range 8 {
		time.Sleep(time.Second)
		k.is.Equal(jobState(third, s), job.Started)
	}
	mirror.signal(syscall.SIGCONT)
	e := k.awaitResult(k.submitWithRetry(&again, third), adoptionTimeout)
	k.checkOutcome(e.err, outcome.Failed, outcome.HolderLost)
	k.checkStartedOnce()
}

// TestHolderAndMirrorDie kills holder and mirror at once, without an outage.
// The job must be decided only after the mirror is gone from both the
// membership list and the heartbeats.
func TestHolderAndMirrorDie(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s, _, mirror, third := k.startMirroredJob("tide")
	mirror.signal(syscall.SIGKILL)
	k.hosts[0].signal(syscall.SIGKILL)
	time.Sleep(6 * time.Second)
	k.is.Equal(jobState(third, s), job.Started)
	request, err := http.NewRequest(http.MethodDelete, "http://"+k.platform+"/members/"+string(mirror.name), nil)
	k.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	k.is.NoErr(err)
	response.Body.Close()
	again := *s
	again.Resubmission = true
	e := k.awaitResult(k.submitWithRetry(&again, third), adoptionTimeout)
	k.checkOutcome(e.err, outcome.Failed, outcome.HolderLost)
	k.checkStartedOnce()
}

// TestOutcomeWithoutTableAndMirror makes the table and all peers unreachable
// when a job ends. The callers must soon be told that the outcome is unknown,
// and must get the outcome later.
func TestOutcomeWithoutTableAndMirror(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s, end, _, _ := k.startMirroredJob("tide")
	k.setTableFaults(standin.Faults{Mode: standin.Refuse})
	for _, h := range k.hosts {
		h.peer.dropData("downstream")
	}
	e := k.awaitResult(end, 6*time.Second)
	k.checkOutcome(e.err, outcome.Unknown, outcome.StoreDown)
	k.is.True(outcome.From(e.err).RetryAfter > 0)
	k.setTableFaults(standin.Faults{})
	for _, h := range k.hosts {
		h.peer.heal()
	}
	again := *s
	again.Resubmission = true
	for _, h := range k.hosts {
		e = k.awaitResult(k.submitWithRetry(&again, h), adoptionTimeout)
		k.is.NoErr(e.err)
		k.checkComplete(s, e.answer)
	}
}

// TestCancelInAnOutage cancels a job during a table outage. The caller must be
// answered at once, and the outcome it was told must be the recorded one.
func TestCancelInAnOutage(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s, end, _, third := k.startMirroredJob("tide")
	k.setTableFaults(standin.Faults{Mode: standin.Silent})
	k.is.NoErr(k.hosts[0].client.Cancel(t.Context(), s.Job))
	e := k.awaitResult(end, 3*time.Second)
	k.checkOutcome(e.err, outcome.Failed, outcome.Cancelled)
	k.setTableFaults(standin.Faults{})
	k.awaitState(third, s, job.Failed)
	_, err := k.submit(third, s)
	k.checkOutcome(err, outcome.Failed, outcome.Cancelled)
	k.checkStartedOnce()
}
