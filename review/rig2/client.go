package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// jobSpec describes a job of the clients, of one step.
type jobSpec struct {
	id         string
	tasks      int
	ms         int
	cores      int
	label      string
	bestEffort bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is a host's answer to a client. Its status is zero if there was none.
type answer struct {
	status int
	body   map[string]any
	err    error
}

// call sends one request of a client to a host.
func (w *world) call(h *host, method, path string, body any, deadline time.Duration) answer {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, "http://"+h.front+routePrefix+path, bytes.NewReader(data))
	if err != nil {
		return answer{err: err}
	}
	request.Host = routeHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	c := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	w.record.printf("client: %s %s%s to %s", method, routePrefix, path, h.name)
	response, err := c.Do(request)
	if err != nil {
		w.record.printf("client: %s %s%s: %v", method, routePrefix, path, err)
		return answer{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, err: err}
	_ = json.Unmarshal(text, &a.body)
	w.record.printf("client: %s %s%s: %d %s", method, routePrefix, path, a.status, bytes.TrimSpace(text))
	return a
}

// submit hands a job in at a host.
func (w *world) submit(h *host, j jobSpec, deadline time.Duration) answer {
	step := map[string]any{"Count": j.tasks, "Cpu": j.cores, "MemMb": 64, "EstimatedMs": j.ms}
	if j.label != "" {
		step["Requirements"] = j.label
	}
	body := map[string]any{"Spec": fmt.Sprintf("%d %d", j.ms, j.cores), "Steps": []any{step}}
	if j.bestEffort {
		body["BestEffort"] = true
	}
	return w.call(h, http.MethodPost, j.id, body, deadline)
}
