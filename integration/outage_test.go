package integration

import (
	"syscall"
	"testing"
	"time"

	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/standin"
)

// outageModes are the ways in which the table can fail.
var outageModes = map[string]standin.Mode{
	"refusing":       standin.Refuse,
	"losing answers": standin.LoseAnswer,
	"silent":         standin.Silent,
}

// TestOutageAtTheClaim has a table outage when a job arrives. No caller may be
// told notRun for a job that runs, and the job must complete once the table is
// back.
func TestOutageAtTheClaim(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	for name, mode := range outageModes {
		t.Run(name, func(t *testing.T) {
			k := k.forSubtest(t)
			s := newSubmission("claim "+name, 21, 12, 50*time.Millisecond)
			k.setTableFaults(standin.Faults{Mode: mode})
			first := k.submitOnce(s, k.hosts[0])
			e := k.awaitResult(first, 5*time.Second)
			refusal := outcome.From(e.err)
			k.is.True(refusal != nil && refusal.RetryAfter > 0)
			wantKind := map[standin.Mode]outcome.Kind{standin.Refuse: outcome.NotRun}[mode]
			if wantKind == "" {
				wantKind = outcome.Unknown
			}
			k.is.Equal(refusal.Kind, wantKind)
			again := *s
			again.Resubmission = true
			e = k.awaitResult(k.submitOnce(&again, k.hosts[1]), 5*time.Second)
			k.is.Equal(outcome.From(e.err).Kind, outcome.Unknown)
			k.is.Equal(k.jobStarts(s), 0)
			k.setTableFaults(standin.Faults{})
			e = k.awaitResult(k.submitWithRetry(&again, k.hosts...), 20*time.Second)
			k.is.NoErr(e.err)
			k.checkComplete(s, e.answer)
		})
	}
}

// TestTroubleAtTheClaim has a table that is slow, stale or loses some answers
// when a job arrives. The caller only waits longer for its answer.
func TestTroubleAtTheClaim(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	tests := map[string]standin.Faults{
		"slow":                 {Delay: 300 * time.Millisecond, Count: 20},
		"one answer lost":      {Mode: standin.LoseAnswer, Count: 1},
		"several answers lost": {Mode: standin.LoseAnswer, Count: 6},
		"reads stale":          {Mode: standin.Stale},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			k := k.forSubtest(t)
			s := newSubmission("trouble "+name, 22, 12, 50*time.Millisecond)
			k.setTableFaults(faults)
			e := k.awaitResult(k.submitWithRetry(s, k.hosts...), 20*time.Second)
			k.setTableFaults(standin.Faults{})
			k.is.NoErr(e.err)
			k.checkComplete(s, e.answer)
		})
	}
}

// TestOutageAtTheOutcome starts a table outage while tasks run. The callers
// must get the complete answer by way of the mirror, and after the outage every
// host must give the same answer.
func TestOutageAtTheOutcome(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	for name, mode := range outageModes {
		t.Run(name, func(t *testing.T) {
			k := k.forSubtest(t)
			s := newSubmission("outcome "+name, 23, 12, 700*time.Millisecond)
			end := k.submitOnce(s, k.hosts[0])
			k.awaitStarts(s, 12)
			k.setTableFaults(standin.Faults{Mode: mode})
			e := k.awaitResult(end, 5*time.Second)
			k.is.NoErr(e.err)
			k.checkComplete(s, e.answer)
			t.Logf("answered %s after submission, during the outage", e.took.Round(time.Millisecond))
			k.setTableFaults(standin.Faults{})
			k.awaitState(k.hosts[2], s, job.Complete)
			for _, h := range k.hosts {
				answer, err := k.submit(h, s)
				k.is.NoErr(err)
				k.is.Equal(answer, e.answer)
			}
			k.checkComplete(s, e.answer)
		})
	}
}

// TestHolderKilledBetweenAnswerAndRecord kills the holder during an outage,
// after its callers were answered but before the outcome was recorded. The
// mirror must record the outcome that they were told. A second table fault
// follows the outage.
func TestHolderKilledBetweenAnswerAndRecord(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s := newSubmission("tide", 24, 12, 700*time.Millisecond)
	end := k.submitOnce(s, k.hosts[0])
	k.awaitStarts(s, 12)
	k.setTableFaults(standin.Faults{Mode: standin.Refuse})
	e := k.awaitResult(end, 5*time.Second)
	k.is.NoErr(e.err)
	k.hosts[0].signal(syscall.SIGKILL)
	<-k.hosts[0].exited
	time.Sleep(500 * time.Millisecond)
	k.setTableFaults(standin.Faults{Mode: standin.LoseAnswer, Count: 3})
	for _, h := range k.hosts[1:] {
		again := *s
		again.Resubmission = true
		got := k.awaitResult(k.submitWithRetry(&again, h), adoptionTimeout)
		k.is.NoErr(got.err)
		k.is.Equal(got.answer, e.answer)
	}
	k.checkComplete(s, e.answer)
}

// TestHolderKilledInAnOutageBeforeTheOutcome kills the holder during a table
// outage while its tasks run. Once the table is back, every host must report
// the same failure.
func TestHolderKilledInAnOutageBeforeTheOutcome(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s := newSubmission("tide", 25, 12, 3*time.Second)
	end := k.submitWithRetry(s, k.hosts...)
	k.awaitStarts(s, 12)
	k.setTableFaults(standin.Faults{Mode: standin.Refuse})
	k.hosts[0].signal(syscall.SIGKILL)
	time.Sleep(4 * time.Second)
	k.setTableFaults(standin.Faults{})
	e := k.awaitResult(end, adoptionTimeout)
	k.checkOutcome(e.err, outcome.Failed, outcome.HolderLost)
	for _, h := range k.hosts[1:] {
		_, err := k.submit(h, s)
		k.checkOutcome(err, outcome.Failed, outcome.HolderLost)
	}
	k.is.Equal(k.jobStarts(s), 12)
	k.checkStartedOnce()
}

// TestDeadlineInAnOutage lets a deadline pass during a table outage. The caller
// must be answered at once, and the outcome it was told must be the recorded
// one.
func TestDeadlineInAnOutage(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 1})
	k.awaitPeers()
	// The first job of a new host may wait for slots longer than the deadline.
	warm := newSubmission("warm", 36, 1, time.Millisecond)
	e := k.awaitResult(k.submitOnce(warm, k.hosts[0]), adoptionTimeout)
	k.is.NoErr(e.err)
	s := newSubmission("tide", 26, 6, 500*time.Millisecond)
	s.Deadline = time.Now().Add(1500 * time.Millisecond)
	end := k.submitOnce(s, k.hosts[0])
	k.awaitStarts(s, 1)
	k.setTableFaults(standin.Faults{Mode: standin.Refuse})
	e = k.awaitResult(end, 4*time.Second)
	k.checkOutcome(e.err, outcome.Failed, outcome.DeadlinePassed)
	k.setTableFaults(standin.Faults{})
	k.awaitState(k.hosts[1], s, job.Failed)
	again := *s
	again.Resubmission = true
	_, err := k.submit(k.hosts[1], &again)
	k.checkOutcome(err, outcome.Failed, outcome.DeadlinePassed)
	k.checkStartedOnce()
}

// TestHolderCutOffFromThePlatform cuts one host off from the platform but not
// from its peers. Its jobs must complete by way of the mirror, which records
// them.
func TestHolderCutOffFromThePlatform(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	k.awaitPeers()
	s := newSubmission("tide", 27, 12, 700*time.Millisecond)
	end := k.submitOnce(s, k.hosts[0])
	k.awaitStarts(s, 12)
	k.hosts[0].platform.dropData("upstream")
	e := k.awaitResult(end, 5*time.Second)
	k.is.NoErr(e.err)
	k.awaitState(k.hosts[1], s, job.Complete)
	again := *s
	again.Resubmission = true
	answer, err := k.submit(k.hosts[2], &again)
	k.is.NoErr(err)
	k.is.Equal(answer, e.answer)
	refused := newSubmission("new", 28, 2, time.Millisecond)
	got := k.awaitResult(k.submitOnce(refused, k.hosts[0]), 5*time.Second)
	k.is.True(outcome.From(got.err).RetryAfter > 0)
	got = k.awaitResult(k.submitWithRetry(refused, k.hosts...), 20*time.Second)
	k.is.NoErr(got.err)
	k.checkComplete(refused, got.answer)
}

// TestTroubleAtTheAdoption has table faults, twice in a row, while a surviving
// host adopts an accepted and a started job.
func TestTroubleAtTheAdoption(t *testing.T) {
	t.Parallel()
	tests := map[string]standin.Faults{
		"slow":          {Delay: 300 * time.Millisecond},
		"loses answers": {Mode: standin.LoseAnswer},
		"refuses":       {Mode: standin.Refuse},
		"reads stale":   {Mode: standin.Stale},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 2})
			k.awaitPeers()
			filler, waiting := newSubmission("filler", 31, 40, 300*time.Millisecond), newSubmission("waiting", 32, 20, 20*time.Millisecond)
			fillerEnd, waitingEnd := k.submitBehindFiller(filler, waiting)
			k.hosts[0].signal(syscall.SIGKILL)
			for range 2 {
				// The surviving hosts detect the loss after about 3 s without
				// heartbeats.
				time.Sleep(2 * time.Second)
				k.setTableFaults(faults)
				time.Sleep(1200 * time.Millisecond)
				k.setTableFaults(standin.Faults{})
			}
			e := k.awaitResult(waitingEnd, adoptionTimeout)
			k.is.NoErr(e.err)
			k.checkComplete(waiting, e.answer)
			e = k.awaitResult(fillerEnd, adoptionTimeout)
			k.checkOutcome(e.err, outcome.Failed, outcome.HolderLost)
			for _, h := range k.hosts[1:] {
				answer, err := k.submit(h, waiting)
				k.is.NoErr(err)
				k.checkComplete(waiting, answer)
			}
			k.checkStartedOnce()
		})
	}
}

// TestTroubleAtTheIntent has table faults at the moment when a queued job may
// start.
func TestTroubleAtTheIntent(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 2})
	k.awaitPeers()
	tests := map[string]standin.Faults{
		"slow":          {Delay: 300 * time.Millisecond},
		"loses answers": {Mode: standin.LoseAnswer},
		"refuses":       {Mode: standin.Refuse},
		"silent":        {Mode: standin.Silent},
		"reads stale":   {Mode: standin.Stale},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			k := k.forSubtest(t)
			filler, waiting := newSubmission("filler "+name, 33, 10, 200*time.Millisecond), newSubmission("waiting "+name, 34, 10, 20*time.Millisecond)
			fillerEnd, waitingEnd := k.submitBehindFiller(filler, waiting)
			k.setTableFaults(faults)
			// The filler's tasks end within 1 s. After that the other job may
			// start.
			time.Sleep(2 * time.Second)
			k.setTableFaults(standin.Faults{})
			for s, end := range map[*job.Submission]<-chan submitResult{filler: fillerEnd, waiting: waitingEnd} {
				e := k.awaitResult(end, adoptionTimeout)
				k.is.NoErr(e.err)
				k.checkComplete(s, e.answer)
			}
		})
	}
	k.checkStartedOnce()
}
