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
	// lookInterval is the time between two looks of the balancer at a host.
	lookInterval = time.Second
	// lookMisses is how many looks fail until a host gets no new connections.
	lookMisses = 2
	// answerSlack is how much longer than its deadline a patient caller waits.
	// It is for a busy machine, not for the product.
	answerSlack = 2 * time.Second
	// sendTries bounds how often one job is sent.
	sendTries = 8
	// idleConnections bounds the idle connections of one data centre's callers.
	idleConnections = 64
)

// taskKind is a kind of job of the users.
type taskKind struct {
	count    int
	took     time.Duration
	cores    int
	deadline time.Duration
}

// The kinds of the users' jobs, and their shares in percent.
var (
	taskKinds  = []taskKind{{count: 8, took: 60 * time.Millisecond}, {count: 4, took: 900 * time.Millisecond}, {count: 2, took: 200 * time.Millisecond}}
	taskShares = []int{50, 75, 100}
)

// try is one send of a job.
type try struct {
	Job  string
	Kind string
	Host string
	// From and Until are since the start of the rig, in seconds.
	From, Until float64
	Status      int
	Error       string
	// Patient is true if the caller waits longer than its deadline.
	Patient bool
}

// cutCallers breaks all connections of callers to the host.
func (h *rigHost) cutCallers(abrupt bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, c := range h.callers {
		closeConnection(c, abrupt)
	}
	h.callers = nil
}

// balance looks at the hosts as the platform's balancer does, until ctx ends.
func (r *rig) balance(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(lookInterval) {
		for _, h := range r.hosts {
			go func() {
				if h.ready() {
					h.misses.Store(0)
				} else {
					h.misses.Add(1)
				}
			}()
		}
	}
}

// choose returns the host that gets the next connection of a data centre's
// callers, or of any if zone is empty.
func (r *rig) choose(zone string) *rigHost {
	var all, rotation []*rigHost
	for _, h := range r.hosts {
		if zone != "" && h.zone != zone {
			continue
		}
		all = append(all, h)
		if h.misses.Load() < lookMisses {
			rotation = append(rotation, h)
		}
	}
	switch {
	case len(rotation) == 0 && zone != "":
		return r.choose("")
	case 2*len(rotation) < len(all):
		rotation = all
	}
	return rotation[rand.IntN(len(rotation))]
}

// client returns the callers of a data centre, or those of jobs that are sent
// again if zone is empty. An open connection stays with its host.
func (r *rig) client(zone string) *http.Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			h := r.choose(zone)
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

// load hands in jobs for a time and waits for all ends.
func (r *rig) load(random *rand.Rand, perSecond float64, d time.Duration) {
	clients := make([]*http.Client, 0, len(centres))
	for _, z := range centres {
		clients = append(clients, r.client(z))
	}
	again := r.client("")
	var open sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		share := random.IntN(100)
		k := taskKinds[slices.IndexFunc(taskShares, func(s int) bool { return share < s })]
		estimate := float64(k.took.Milliseconds())
		k.took = time.Duration(float64(k.took) * (0.6 + 0.8*random.Float64()))
		k.cores = 14_000 + random.IntN(13_000)
		k.deadline = 3*k.took + time.Duration(1000+random.IntN(2000))*time.Millisecond
		id := fmt.Sprintf("%016x", random.Uint64())
		r.kinds.Store(id, k)
		body, err := json.Marshal(map[string]any{"Spec": "s", "BestEffort": true, "Steps": []any{map[string]any{
			"Count": k.count, "Cpu": k.cores, "MemMb": 64, "EstimatedMs": estimate,
		}}})
		r.is.NoErr(err)
		first, patient := clients[random.IntN(len(clients))], random.IntN(2) == 0
		open.Go(func() { r.call(first, again, id, k, body, patient) })
	}
	open.Wait()
}

// call hands one job in, and again as long as nobody says how it ended.
func (r *rig) call(first, again *http.Client, id string, k taskKind, body []byte, patient bool) {
	client := first
	for range sendTries {
		x := r.send(client, id, k, body, patient)
		r.mutex.Lock()
		r.tries = append(r.tries, x)
		r.mutex.Unlock()
		switch x.Status {
		case http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
			return
		}
		time.Sleep(resendTime)
		client = again
	}
}

// send sends a job once.
func (r *rig) send(client *http.Client, id string, k taskKind, body []byte, patient bool) (x try) {
	x = try{Job: id, Kind: fmt.Sprintf("%dx%s", k.count, k.took), Patient: patient, From: time.Since(r.began).Seconds()}
	defer func() { x.Until = time.Since(r.began).Seconds() }()
	patience := k.deadline
	if patient {
		patience += answerSlack
	}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			for _, h := range r.hosts {
				if strings.HasPrefix(i.Conn.RemoteAddr().String(), h.ip+":") {
					x.Host = h.name
				}
			}
		},
	}), patience)
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
