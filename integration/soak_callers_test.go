package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// resendTime is ResendMs of the users' settings.
	resendTime = 1300 * time.Millisecond
	// probeInterval is the time between two readiness probes of a host by the
	// balancer.
	probeInterval = time.Second
	// maxMissedProbes is the number of failed probes after which a host gets no
	// new connections.
	maxMissedProbes = 2
	// answerSlack is how much longer than its deadline a patient caller waits.
	// It allows for a busy test machine, not for the product.
	answerSlack = 2 * time.Second
	// maxAttempts bounds how often one job is sent.
	maxAttempts = 8
	// maxIdleConnections bounds the idle connections of one data centre's
	// callers.
	maxIdleConnections = 64
)

// jobKind is a kind of job in the users' load. All its tasks are alike.
type jobKind struct {
	count    int
	runTime  time.Duration
	cores    int
	deadline time.Duration
}

// jobKinds are the kinds of jobs in the users' load, and jobShares their
// cumulative shares in percent.
var (
	jobKinds  = []jobKind{{count: 8, runTime: 60 * time.Millisecond}, {count: 4, runTime: 900 * time.Millisecond}, {count: 2, runTime: 200 * time.Millisecond}}
	jobShares = []int{50, 75, 100}
)

// attempt is one submission of a job.
type attempt struct {
	Job  string
	Kind string
	Host string
	// From and Until are in seconds since the start of the rig.
	From, Until float64
	Status      int
	Error       string
	// Patient is true if the caller waits longer than the job's deadline.
	Patient bool
}

// closeCallers closes all connections of callers to the host.
func (h *rigHost) closeCallers(abrupt bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, c := range h.callers {
		closeConnection(c, abrupt)
	}
	h.callers = nil
}

// probeHosts probes the hosts as the platform's balancer does, until ctx ends.
func (r *rig) probeHosts(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(probeInterval) {
		for _, h := range r.hosts {
			go func() {
				if h.isReady() {
					h.missedProbes.Store(0)
				} else {
					h.missedProbes.Add(1)
				}
			}()
		}
	}
}

// chooseHost returns a host for the next connection of a data centre's callers,
// or a host of any data centre if zone is empty.
func (r *rig) chooseHost(zone string) *rigHost {
	var all, rotation []*rigHost
	for _, h := range r.hosts {
		if zone != "" && h.zone != zone {
			continue
		}
		all = append(all, h)
		if h.missedProbes.Load() < maxMissedProbes {
			rotation = append(rotation, h)
		}
	}
	switch {
	case len(rotation) == 0 && zone != "":
		return r.chooseHost("")
	case 2*len(rotation) < len(all):
		rotation = all
	}
	return rotation[rand.IntN(len(rotation))]
}

// client returns the HTTP client of a data centre's callers, or the one for
// resubmitted jobs if zone is empty. An open connection stays with its host.
func (r *rig) client(zone string) *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			h := r.chooseHost(zone)
			c, err := new(net.Dialer).DialContext(ctx, network, fmt.Sprintf("%s:%d", h.ip, frontPort))
			if err != nil {
				return nil, err
			}
			h.mutex.Lock()
			defer h.mutex.Unlock()
			h.callers = append(h.callers, c)
			return c, nil
		},
	}
	r.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// runLoad submits jobs for a time and waits until all have ended.
func (r *rig) runLoad(random *rand.Rand, perSecond float64, d time.Duration) {
	clients := make([]*http.Client, 0, len(dataCentres))
	for _, z := range dataCentres {
		clients = append(clients, r.client(z))
	}
	resendClient := r.client("")
	var open sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		share := random.IntN(100)
		k := jobKinds[slices.IndexFunc(jobShares, func(s int) bool { return share < s })]
		estimate := float64(k.runTime.Milliseconds())
		k.runTime = time.Duration(float64(k.runTime) * (0.6 + 0.8*random.Float64()))
		k.cores = 14_000 + random.IntN(13_000)
		k.deadline = 3*k.runTime + time.Duration(1000+random.IntN(2000))*time.Millisecond
		id := fmt.Sprintf("%016x", random.Uint64())
		r.kinds.Store(id, k)
		body, err := json.Marshal(map[string]any{"Spec": "s", "BestEffort": true, "Steps": []any{map[string]any{
			"Count": k.count, "Cpu": k.cores, "MemMb": 64, "EstimatedMs": estimate,
		}}})
		r.is.NoErr(err)
		first, patient := clients[random.IntN(len(clients))], random.IntN(2) == 0
		open.Go(func() { r.submitUntilDecided(first, resendClient, id, k, body, patient) })
	}
	open.Wait()
}

// submitUntilDecided submits one job, and resubmits it until its outcome is known
// or maxAttempts is reached.
func (r *rig) submitUntilDecided(first, resendClient *http.Client, id string, k jobKind, body []byte, patient bool) {
	client := first
	for range maxAttempts {
		x := r.send(client, id, k, body, patient)
		r.mutex.Lock()
		r.attempts = append(r.attempts, x)
		r.mutex.Unlock()
		switch x.Status {
		case http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
			return
		}
		time.Sleep(resendTime)
		client = resendClient
	}
}

// send submits a job once.
func (r *rig) send(client *http.Client, id string, k jobKind, body []byte, patient bool) (x attempt) {
	x = attempt{Job: id, Kind: fmt.Sprintf("%dx%s", k.count, k.runTime), Patient: patient, From: time.Since(r.began).Seconds()}
	defer func() { x.Until = time.Since(r.began).Seconds() }()
	timeout := k.deadline
	if patient {
		timeout += answerSlack
	}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			for _, h := range r.hosts {
				if strings.HasPrefix(i.Conn.RemoteAddr().String(), h.ip+":") {
					x.Host = h.name
				}
			}
		},
	}), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+rigCaller+rigPrefix+id, bytes.NewReader(body))
	r.is.NoErr(err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(k.deadline.Milliseconds(), 10))
	answer, err := client.Do(request)
	if err != nil {
		x.Error = err.Error()
		return x
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		x.Error = err.Error()
		return x
	}
	x.Status = answer.StatusCode
	return x
}
