package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/timeline"
)

const (
	// adoptionTimeout bounds the time from the holder's death to the outcome at
	// the client. It covers the heartbeat timeout, a probe, two reads and the
	// run time of the tasks.
	adoptionTimeout = 20 * time.Second
	retryPause      = 100 * time.Millisecond
)

// awaitPeers waits until each host has received heartbeats from all others.
func (k *cluster) awaitPeers() {
	k.t.Helper()
	for _, h := range k.hosts {
		k.eventually("peers seen", func() bool {
			events, err := h.client.Timeline(k.t.Context(), timeline.Filter{})
			seen := map[string]bool{}
			for _, e := range events {
				if e.Kind == timeline.HostSeen {
					seen[e.Detail] = true
				}
			}
			return err == nil && len(seen) == len(k.hosts)
		})
	}
}

// submitResult is what the client that submitted a job received.
type submitResult struct {
	answer entry.JobAnswer
	err    error
	took   time.Duration
}

// submitWithRetry submits a job to the hosts in turn until it has an outcome.
func (k *cluster) submitWithRetry(s *job.Submission, hosts ...*entryHost) <-chan submitResult {
	clients := make([]*client.Client, 0, len(hosts))
	for _, h := range hosts {
		clients = append(clients, h.client)
	}
	done := make(chan submitResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		began := time.Now()
		answer, err := client.SubmitAny(ctx, clients, s, client.Retry{Pause: retryPause})
		done <- submitResult{answer, err, time.Since(began)}
	}()
	return done
}

// submitOnce submits a job once, to one host.
func (k *cluster) submitOnce(s *job.Submission, h *entryHost) <-chan submitResult {
	done := make(chan submitResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		began := time.Now()
		answer, err := h.client.Submit(ctx, s)
		done <- submitResult{answer, err, time.Since(began)}
	}()
	return done
}

// awaitResult waits up to d for a client's result and fails the test after
// that.
func (k *cluster) awaitResult(done <-chan submitResult, d time.Duration) submitResult {
	k.t.Helper()
	select {
	case e := <-done:
		return e
	case <-time.After(d):
		k.t.Fatalf("no outcome within %s", d)
		return submitResult{}
	}
}

// fetchRow returns the row of a job as a host reads it, or nil.
func fetchRow(h *entryHost, s *job.Submission) *job.Row {
	response, err := http.Get(h.api + "/v1/jobs/" + s.Job.String())
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var r job.Row
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&r) != nil {
		return nil
	}
	return &r
}

// jobState returns the state of a job as a host reads it, or "" if there is
// none.
func jobState(h *entryHost, s *job.Submission) job.State {
	if r := fetchRow(h, s); r != nil {
		return r.State
	}
	return ""
}

// awaitState waits until a host reads the wanted state of a job.
func (k *cluster) awaitState(h *entryHost, s *job.Submission, want job.State) {
	k.t.Helper()
	k.eventually(string(s.Key)+" "+string(want), func() bool { return jobState(h, s) == want })
}

// awaitStored waits until the tasks of an accepted job are stored. They are
// written separately from its row, and a job whose holder dies before that is
// reported as not run.
func (k *cluster) awaitStored(h *entryHost, s *job.Submission) {
	k.t.Helper()
	k.eventually(string(s.Key)+" stored", func() bool {
		r := fetchRow(h, s)
		if r == nil || r.PayloadObject == "" {
			return r != nil && len(r.Payload) > 0
		}
		response, err := http.Get("http://" + k.platform + "/objects/" + r.PayloadObject)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// awaitStarts waits until n tasks of a job have started.
func (k *cluster) awaitStarts(s *job.Submission, n int) {
	k.t.Helper()
	k.eventually("started", func() bool { return k.jobStarts(s) >= n })
}

// jobStarts counts the starts of all tasks of a job.
func (k *cluster) jobStarts(s *job.Submission) int {
	k.t.Helper()
	total := 0
	for task, count := range k.startsByTask() {
		if strings.HasPrefix(task, s.Job.String()+"/") {
			total += count
		}
	}
	return total
}

// checkOutcome checks that err is an outcome of the given kind and code.
func (k *cluster) checkOutcome(err error, kind outcome.Kind, code outcome.Code) {
	k.t.Helper()
	e := outcome.From(err)
	if e == nil || e.Kind != kind || e.Code != code {
		k.t.Fatalf("got %v, want %s (%s)", err, code, kind)
	}
}

// submitBehindFiller submits a job that takes all capacity of the first host,
// and a second one that stays accepted behind it. It returns the results of
// both.
func (k *cluster) submitBehindFiller(first, second *job.Submission) (<-chan submitResult, <-chan submitResult) {
	k.t.Helper()
	filler := k.submitWithRetry(first, k.hosts...)
	k.awaitStarts(first, 1)
	waiting := k.submitWithRetry(second, k.hosts...)
	k.awaitState(k.hosts[1], second, job.Accepted)
	return filler, waiting
}

func TestHolderKilledWithAcceptedJob(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 2})
	filler, waiting := newSubmission("filler", 3, 40, 500*time.Millisecond), newSubmission("waiting", 4, 20, 20*time.Millisecond)
	large := newSubmission("large", 5, 300, 20*time.Millisecond)
	fillerEnd, waitingEnd := k.submitBehindFiller(filler, waiting)
	largeEnd := k.submitWithRetry(large, k.hosts...)
	k.awaitState(k.hosts[1], large, job.Accepted)
	k.awaitStored(k.hosts[1], waiting)
	k.awaitStored(k.hosts[1], large)
	k.hosts[0].signal(syscall.SIGKILL)
	killed := time.Now()

	for s, end := range map[*job.Submission]<-chan submitResult{waiting: waitingEnd, large: largeEnd} {
		e := k.awaitResult(end, adoptionTimeout)
		k.is.NoErr(e.err)
		k.checkComplete(s, e.answer)
		t.Logf("%s: complete %s after the holder's death", s.Key, time.Since(killed).Round(time.Millisecond))
	}
	e := k.awaitResult(fillerEnd, adoptionTimeout)
	k.checkOutcome(e.err, outcome.Failed, outcome.HolderLost)
	k.checkStartedOnce()
}

func TestHolderKilledWithStartedJob(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 8})
	s := newSubmission("tide", 6, 8, 3*time.Second)
	end := k.submitWithRetry(s, k.hosts...)
	k.awaitStarts(s, 8)
	k.hosts[0].signal(syscall.SIGKILL)
	killed := time.Now()
	e := k.awaitResult(end, adoptionTimeout)
	t.Logf("failed %s after the holder's death", time.Since(killed).Round(time.Millisecond))
	k.checkOutcome(e.err, outcome.Failed, outcome.HolderLost)
	for _, h := range k.hosts[1:] {
		_, err := k.submit(h, s)
		k.is.True(reflect.DeepEqual(outcome.From(err), outcome.From(e.err)))
	}
	k.is.Equal(k.jobStarts(s), 8)
	k.checkStartedOnce()
}

func TestHolderPausedAndWoken(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 2})
	filler, waiting := newSubmission("filler", 7, 40, 200*time.Millisecond), newSubmission("waiting", 8, 20, 20*time.Millisecond)
	fillerEnd := k.submitOnce(filler, k.hosts[0])
	k.awaitStarts(filler, 1)
	waitingEnd := k.submitOnce(waiting, k.hosts[0])
	k.awaitState(k.hosts[1], waiting, job.Accepted)

	for range 2 {
		// The second pause begins when both jobs are already decided.
		k.hosts[0].signal(syscall.SIGSTOP)
		k.awaitState(k.hosts[1], waiting, job.Complete)
		k.awaitState(k.hosts[1], filler, job.Failed)
		k.hosts[0].signal(syscall.SIGCONT)
	}
	e := k.awaitResult(waitingEnd, adoptionTimeout)
	k.is.NoErr(e.err)
	k.checkComplete(waiting, e.answer)
	e = k.awaitResult(fillerEnd, adoptionTimeout)
	k.checkOutcome(e.err, outcome.Failed, outcome.HolderLost)
	for _, h := range k.hosts {
		answer, err := k.submit(h, waiting)
		k.is.NoErr(err)
		k.checkComplete(waiting, answer)
		_, err = k.submit(h, filler)
		k.checkOutcome(err, outcome.Failed, outcome.HolderLost)
	}
	k.checkStartedOnce()
	// A holder that resumes drops its queued tasks.
	k.is.True(k.jobStarts(filler) < len(filler.Tasks)/2)
}

func TestResubmissionToOtherHosts(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	s := newSubmission("tide", 9, 16, time.Second)
	first := k.submitOnce(s, k.hosts[0])
	k.awaitStarts(s, 1)
	again := *s
	again.Resubmission = true
	others := []<-chan submitResult{k.submitOnce(s, k.hosts[0]), k.submitOnce(&again, k.hosts[1]), k.submitOnce(&again, k.hosts[2])}
	want := k.awaitResult(first, adoptionTimeout)
	k.is.NoErr(want.err)
	k.checkComplete(s, want.answer)
	for _, o := range others {
		e := k.awaitResult(o, 2*time.Second)
		k.is.NoErr(e.err)
		k.is.Equal(e.answer, want.answer)
	}
	for _, h := range k.hosts {
		answer, err := k.submit(h, &again)
		k.is.NoErr(err)
		k.is.Equal(answer, want.answer)
	}
	k.checkComplete(s, want.answer)
}

func TestSameKeyOtherContent(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 2, backends: 1, slots: 8})
	s, other := newSubmission("tide", 10, 4, time.Second), newSubmission("tide", 11, 4, time.Second)
	end := k.submitOnce(s, k.hosts[0])
	k.awaitStarts(s, 1)
	for _, h := range k.hosts {
		_, err := k.submit(h, other)
		k.checkOutcome(err, outcome.NotRun, outcome.Conflict)
	}
	e := k.awaitResult(end, adoptionTimeout)
	k.is.NoErr(e.err)
	for _, h := range k.hosts {
		_, err := k.submit(h, other)
		k.checkOutcome(err, outcome.NotRun, outcome.Conflict)
	}
	k.checkComplete(s, e.answer)
}

func TestCancelAtAnotherHost(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 2, backends: 1, slots: 1})
	s := newSubmission("tide", 12, 20, 500*time.Millisecond)
	end := k.submitOnce(s, k.hosts[0])
	k.awaitStarts(s, 1)
	k.is.NoErr(k.hosts[1].client.Cancel(t.Context(), s.Job))
	e := k.awaitResult(end, 3*time.Second)
	k.checkOutcome(e.err, outcome.Failed, outcome.Cancelled)
	time.Sleep(time.Second)
	k.is.True(k.jobStarts(s) <= 2)
	_, err := k.submit(k.hosts[1], s)
	k.checkOutcome(err, outcome.Failed, outcome.Cancelled)
}

func TestBadJobsStartNothing(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 1, backends: 1, slots: 4})
	declared := k.backends[0]
	object, err := k.hosts[0].client.Get(t.Context(), resource.KindBackendServer, declared.name)
	k.is.NoErr(err)
	var spec resource.BackendServerSpec
	k.is.NoErr(json.Unmarshal(object.Spec, &spec))
	spec.MemoryMB = 512
	object.Spec, err = json.Marshal(spec)
	k.is.NoErr(err)
	_, err = k.hosts[0].client.Put(t.Context(), object)
	k.is.NoErr(err)
	k.eventually("memory declared", func() bool {
		o, err := k.hosts[0].client.Get(t.Context(), resource.KindBackendServer, declared.name)
		return err == nil && strings.Contains(string(o.Spec), `"memoryMb":512`)
	})
	tests := map[string]struct {
		change func(*job.Submission)
		code   outcome.Code
	}{
		"no tasks":       {func(s *job.Submission) { s.Tasks = nil }, outcome.Invalid},
		"too many tasks": {func(s *job.Submission) { s.Tasks = newSubmission("x", 1, job.MaxTasks+1, 0).Tasks }, outcome.TooLarge},
		"doubled index":  {func(s *job.Submission) { s.Tasks[1].Index = 0 }, outcome.Invalid},
		"deadline past":  {func(s *job.Submission) { s.Deadline = time.Now().Add(-time.Second) }, outcome.DeadlinePassed},
		"fits no worker": {func(s *job.Submission) { s.Tasks[2].DeclaredMB = 513 }, outcome.NoFit},
		"no such pool":   {func(s *job.Submission) { s.Pool = "none" }, outcome.NotFound},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k := k.forSubtest(t)
			s := newSubmission("bad "+name, 13, 4, time.Millisecond)
			tt.change(s)
			_, err := k.submit(k.hosts[0], s)
			k.checkOutcome(err, outcome.NotRun, tt.code)
			k.is.Equal(jobState(k.hosts[0], s), job.State(""))
		})
	}
	k.is.Equal(len(k.startsByTask()), 0)
}

func TestBadBodiesStartNothing(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 1, backends: 1, slots: 4, settings: "limits: {bodyBytes: 4096}\n"})
	whole, err := json.Marshal(newSubmission("cut", 14, 4, time.Millisecond))
	k.is.NoErr(err)
	tests := map[string]struct {
		body []byte
		code outcome.Code
	}{
		"larger than the limit": {bytes.Repeat([]byte(" "), 5000), outcome.TooLarge},
		"not JSON":              {[]byte("tide"), outcome.Invalid},
		"JSON cut":              {whole[:len(whole)-10], outcome.Invalid},
		"JSON of another kind":  {[]byte(`{"tasks":7}`), outcome.Invalid},
		"empty":                 {nil, outcome.Invalid},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, err := http.Post(k.hosts[0].api+"/v1/jobs", "application/json", bytes.NewReader(tt.body))
			is.NoErr(err)
			defer response.Body.Close()
			var answer entry.ErrorAnswer
			is.NoErr(json.NewDecoder(response.Body).Decode(&answer))
			is.Equal(answer.Error.Code, tt.code)
			is.Equal(answer.Error.Kind, outcome.NotRun)
		})
	}
	// The connection ends in the middle of the body.
	connection, err := net.Dial("tcp", strings.TrimPrefix(k.hosts[0].api, "http://"))
	k.is.NoErr(err)
	_, err = io.WriteString(connection, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n"+string(whole))
	k.is.NoErr(err)
	connection.Close()
	time.Sleep(200 * time.Millisecond)
	k.is.Equal(len(k.startsByTask()), 0)
	k.is.Equal(jobState(k.hosts[0], &job.Submission{Job: ident.Job{Team: teamName, Key: "cut"}}), job.State(""))
}
