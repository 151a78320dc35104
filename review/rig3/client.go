package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// step is a step of a job on the wire, and how long its tasks work.
type step struct {
	Count        int
	CPU          int `json:"Cpu"`
	MemMb        int
	EstimatedMs  int
	After        []int  `json:",omitempty"`
	Requirements string `json:",omitempty"`
	work         time.Duration
	fails        int
}

// jobInfo is a job and what its client knows of it.
type jobInfo struct {
	id         string
	spec       string
	steps      []step
	bestEffort bool
	// accepted and acceptedBy tell when and by which host it was accepted.
	accepted   time.Time
	acceptedBy string
	answers    []string
	cancelled  time.Time
	state      string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client sends the requests of one route.
type client struct {
	rec    *record
	fleet  *fleet
	host   string
	prefix string
	http   *http.Client
}

func newClient(rec *record, f *fleet, host, prefix string) *client {
	return &client{rec: rec, fleet: f, host: host, prefix: prefix, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second}}}
}

// call sends one request, and returns its status, or zero without an answer.
func (c *client) call(method, address, path string, body any, deadline time.Duration) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+c.prefix+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	r.Host = c.host
	r.GetBody = nil
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	a, err := c.http.Do(r)
	if err != nil {
		return 0, map[string]any{"error": err.Error()}
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, map[string]any{"error": err.Error()}
	}
	var answer map[string]any
	_ = json.Unmarshal(text, &answer)
	return a.StatusCode, answer
}

// submit registers a job and sends it to a host. It is sent again, to the next host, after no
// response, a broken connection, a 502 or a 504.
func (c *client) submit(j *jobInfo, hosts []*host, deadline time.Duration) bool {
	c.fleet.mutex.Lock()
	c.fleet.jobs[j.id] = j
	c.fleet.mutex.Unlock()
	body := map[string]any{"Spec": j.spec, "Steps": j.steps}
	if j.bestEffort {
		body["BestEffort"] = true
	}
	for try := range 4 {
		h := hosts[try%len(hosts)]
		c.rec.line("client   POST %s to %s, try %d", j.id, h.name, try+1)
		status, answer := c.call(http.MethodPost, h.front(), j.id, body, deadline)
		c.rec.line("client   POST %s to %s answers %d %v", j.id, h.name, status, answer)
		c.fleet.mutex.Lock()
		j.answers = append(j.answers, fmt.Sprint(status))
		if status/100 == 2 {
			j.accepted, j.acceptedBy = time.Now(), h.name
		}
		c.fleet.mutex.Unlock()
		switch {
		case status/100 == 2:
			return true
		case status == 0, status == 502, status == 504:
			time.Sleep(1300 * time.Millisecond)
		default:
			return false
		}
	}
	return false
}

// state asks a host for the state of a job.
func (c *client) state(j *jobInfo, h *host) (int, string) {
	status, answer := c.call(http.MethodGet, h.front(), j.id, nil, 2*time.Second)
	text, _ := answer["State"].(string)
	c.rec.line("client   GET %s at %s answers %d %s", j.id, h.name, status, text)
	return status, text
}
