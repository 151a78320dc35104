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
	// adoptionTimeout bounds the time from a holder's death to the outcome at
	// the client: the bound of the heartbeat, a probe, two reads and the work.
	adoptionTimeout = 20 * time.Second
	clientPause     = 100 * time.Millisecond
)

// awaitPeers waits until each host has seen the heartbeats of all others.
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

// ended is what a client that submits a job got.
type ended struct {
	answer entry.JobAnswer
	err    error
	took   time.Duration
}

// submitAny submits a job to hosts in turn until it has an outcome.
func (k *cluster) submitAny(s *job.Submission, hosts ...*entryHost) <-chan ended {
	clients := make([]*client.Client, 0, len(hosts))
	for _, h := range hosts {
		clients = append(clients, h.client)
	}
	done := make(chan ended, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		began := time.Now()
		answer, err := client.SubmitAny(ctx, clients, s, client.Retry{Pause: clientPause})
		done <- ended{answer, err, time.Since(began)}
	}()
	return done
}

// submitOne submits a job to one host once.
func (k *cluster) submitOne(s *job.Submission, h *entryHost) <-chan ended {
	done := make(chan ended, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		began := time.Now()
		answer, err := h.client.Submit(ctx, s)
		done <- ended{answer, err, time.Since(began)}
	}()
	return done
}

// within waits a bounded time for what a client got.
func (k *cluster) within(done <-chan ended, d time.Duration) ended {
	k.t.Helper()
	select {
	case e := <-done:
		return e
	case <-time.After(d):
		k.t.Fatalf("no outcome within %s", d)
		return ended{}
	}
}

// row returns the row of a job as a host reads it, or nil.
func row(h *entryHost, s *job.Submission) *job.Row {
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

// state returns the state of a job as a host reads it, or nothing.
func state(h *entryHost, s *job.Submission) job.State {
	if r := row(h, s); r != nil {
		return r.State
	}
	return ""
}

// awaitState waits until a job has a state.
func (k *cluster) awaitState(h *entryHost, s *job.Submission, want job.State) {
	k.t.Helper()
	k.eventually(string(s.Key)+" "+string(want), func() bool { return state(h, s) == want })
}

// awaitStored waits until the tasks of an accepted job are stored: they are written beside
// its row, and a job whose holder dies before is told as not run.
func (k *cluster) awaitStored(h *entryHost, s *job.Submission) {
	k.t.Helper()
	k.eventually(string(s.Key)+" stored", func() bool {
		r := row(h, s)
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
	for task, count := range k.starts() {
		if strings.HasPrefix(task, s.Job.String()+"/") {
			total += count
		}
	}
	return total
}

// checkFailed checks that err is an outcome of a kind and code.
func (k *cluster) checkFailed(err error, kind outcome.Kind, code outcome.Code) {
	k.t.Helper()
	e := outcome.From(err)
	if e == nil || e.Kind != kind || e.Code != code {
		k.t.Fatalf("got %v, want %s (%s)", err, code, kind)
	}
}

// blocked starts a job that takes all room of the first host's queue and one
// behind it that stays accepted, and returns both with their clients.
func (k *cluster) blocked(first, second *job.Submission) (<-chan ended, <-chan ended) {
	k.t.Helper()
	filler := k.submitAny(first, k.hosts...)
	k.awaitStarts(first, 1)
	waiting := k.submitAny(second, k.hosts...)
	k.awaitState(k.hosts[1], second, job.Accepted)
	return filler, waiting
}

func TestHolderKilledWithAcceptedJob(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 2})
	filler, waiting := submission("filler", 3, 40, 500*time.Millisecond), submission("waiting", 4, 20, 20*time.Millisecond)
	large := submission("large", 5, 300, 20*time.Millisecond)
	fillerEnd, waitingEnd := k.blocked(filler, waiting)
	largeEnd := k.submitAny(large, k.hosts...)
	k.awaitState(k.hosts[1], large, job.Accepted)
	k.awaitStored(k.hosts[1], waiting)
	k.awaitStored(k.hosts[1], large)
	k.hosts[0].signal(syscall.SIGKILL)
	killed := time.Now()

	for s, end := range map[*job.Submission]<-chan ended{waiting: waitingEnd, large: largeEnd} {
		e := k.within(end, adoptionTimeout)
		k.is.NoErr(e.err)
		k.checkWhole(s, e.answer)
		t.Logf("%s: complete %s after the holder's death", s.Key, time.Since(killed).Round(time.Millisecond))
	}
	e := k.within(fillerEnd, adoptionTimeout)
	k.checkFailed(e.err, outcome.Failed, outcome.HolderLost)
	k.checkOnce()
}

func TestHolderKilledWithStartedJob(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 8})
	s := submission("tide", 6, 8, 3*time.Second)
	end := k.submitAny(s, k.hosts...)
	k.awaitStarts(s, 8)
	k.hosts[0].signal(syscall.SIGKILL)
	killed := time.Now()
	e := k.within(end, adoptionTimeout)
	t.Logf("failed %s after the holder's death", time.Since(killed).Round(time.Millisecond))
	k.checkFailed(e.err, outcome.Failed, outcome.HolderLost)
	for _, h := range k.hosts[1:] {
		_, err := k.submit(h, s)
		k.is.True(reflect.DeepEqual(outcome.From(err), outcome.From(e.err)))
	}
	k.is.Equal(k.jobStarts(s), 8)
	k.checkOnce()
}

func TestHolderPausedAndWoken(t *testing.T) {
	t.Parallel()
	k := newCluster(t, clusterConfig{hosts: 3, backends: 1, slots: 2})
	filler, waiting := submission("filler", 7, 40, 200*time.Millisecond), submission("waiting", 8, 20, 20*time.Millisecond)
	fillerEnd := k.submitOne(filler, k.hosts[0])
	k.awaitStarts(filler, 1)
	waitingEnd := k.submitOne(waiting, k.hosts[0])
	k.awaitState(k.hosts[1], waiting, job.Accepted)

	for range 2 {
		// The same fault twice: the second pause finds the jobs decided.
		k.hosts[0].signal(syscall.SIGSTOP)
		k.awaitState(k.hosts[1], waiting, job.Complete)
		k.awaitState(k.hosts[1], filler, job.Failed)
		k.hosts[0].signal(syscall.SIGCONT)
	}
	e := k.within(waitingEnd, adoptionTimeout)
	k.is.NoErr(e.err)
	k.checkWhole(waiting, e.answer)
	e = k.within(fillerEnd, adoptionTimeout)
	k.checkFailed(e.err, outcome.Failed, outcome.HolderLost)
	for _, h := range k.hosts {
		answer, err := k.submit(h, waiting)
		k.is.NoErr(err)
		k.checkWhole(waiting, answer)
		_, err = k.submit(h, filler)
		k.checkFailed(err, outcome.Failed, outcome.HolderLost)
	}
	k.checkOnce()
	// A holder that wakes drops what it had queued.
	k.is.True(k.jobStarts(filler) < len(filler.Tasks)/2)
}

func TestResubmissionToOtherHosts(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 3, backends: 3, slots: 8})
	s := submission("tide", 9, 16, time.Second)
	first := k.submitOne(s, k.hosts[0])
	k.awaitStarts(s, 1)
	again := *s
	again.Resubmission = true
	others := []<-chan ended{k.submitOne(s, k.hosts[0]), k.submitOne(&again, k.hosts[1]), k.submitOne(&again, k.hosts[2])}
	want := k.within(first, adoptionTimeout)
	k.is.NoErr(want.err)
	k.checkWhole(s, want.answer)
	for _, o := range others {
		e := k.within(o, 2*time.Second)
		k.is.NoErr(e.err)
		k.is.Equal(e.answer, want.answer)
	}
	for _, h := range k.hosts {
		answer, err := k.submit(h, &again)
		k.is.NoErr(err)
		k.is.Equal(answer, want.answer)
	}
	k.checkWhole(s, want.answer)
}

func TestSameKeyOtherContent(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 2, backends: 1, slots: 8})
	s, other := submission("tide", 10, 4, time.Second), submission("tide", 11, 4, time.Second)
	end := k.submitOne(s, k.hosts[0])
	k.awaitStarts(s, 1)
	for _, h := range k.hosts {
		_, err := k.submit(h, other)
		k.checkFailed(err, outcome.NotRun, outcome.Conflict)
	}
	e := k.within(end, adoptionTimeout)
	k.is.NoErr(e.err)
	for _, h := range k.hosts {
		_, err := k.submit(h, other)
		k.checkFailed(err, outcome.NotRun, outcome.Conflict)
	}
	k.checkWhole(s, e.answer)
}

func TestCancelAtAnotherHost(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 2, backends: 1, slots: 1})
	s := submission("tide", 12, 20, 500*time.Millisecond)
	end := k.submitOne(s, k.hosts[0])
	k.awaitStarts(s, 1)
	k.is.NoErr(k.hosts[1].client.Cancel(t.Context(), s.Job))
	e := k.within(end, 3*time.Second)
	k.checkFailed(e.err, outcome.Failed, outcome.Cancelled)
	time.Sleep(time.Second)
	k.is.True(k.jobStarts(s) <= 2)
	_, err := k.submit(k.hosts[1], s)
	k.checkFailed(err, outcome.Failed, outcome.Cancelled)
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
		"too many tasks": {func(s *job.Submission) { s.Tasks = submission("x", 1, job.MaxTasks+1, 0).Tasks }, outcome.TooLarge},
		"doubled index":  {func(s *job.Submission) { s.Tasks[1].Index = 0 }, outcome.Invalid},
		"deadline past":  {func(s *job.Submission) { s.Deadline = time.Now().Add(-time.Second) }, outcome.DeadlinePassed},
		"fits no worker": {func(s *job.Submission) { s.Tasks[2].DeclaredMB = 513 }, outcome.NoFit},
		"no such pool":   {func(s *job.Submission) { s.Pool = "none" }, outcome.NotFound},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k := k.on(t)
			s := submission("bad "+name, 13, 4, time.Millisecond)
			tt.change(s)
			_, err := k.submit(k.hosts[0], s)
			k.checkFailed(err, outcome.NotRun, tt.code)
			k.is.Equal(state(k.hosts[0], s), job.State(""))
		})
	}
	k.is.Equal(len(k.starts()), 0)
}

func TestBadBodiesStartNothing(t *testing.T) {
	k := newCluster(t, clusterConfig{hosts: 1, backends: 1, slots: 4, settings: "limits: {bodyBytes: 4096}\n"})
	whole, err := json.Marshal(submission("cut", 14, 4, time.Millisecond))
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
	// A connection that ends in the middle of the body.
	connection, err := net.Dial("tcp", strings.TrimPrefix(k.hosts[0].api, "http://"))
	k.is.NoErr(err)
	_, err = io.WriteString(connection, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n"+string(whole))
	k.is.NoErr(err)
	connection.Close()
	time.Sleep(200 * time.Millisecond)
	k.is.Equal(len(k.starts()), 0)
	k.is.Equal(state(k.hosts[0], &job.Submission{Job: ident.Job{Team: teamName, Key: "cut"}}), job.State(""))
}
