// Package client calls the HTTP API of catkingap's entry hosts.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/timeline"
)

// Client calls the API of an entry host.
type Client struct {
	http *http.Client
	url  string
}

// New returns a client of the entry host at the base URL.
func New(h *http.Client, base string) *Client {
	return &Client{http: h, url: base}
}

// Submit submits a job and waits for its outcome. An error is an
// *outcome.Error.
func (c *Client) Submit(ctx context.Context, s *job.Submission) (entry.JobAnswer, error) {
	var answer entry.JobAnswer
	body, err := json.Marshal(s)
	if err != nil {
		return answer, outcome.New(outcome.NotRun, outcome.Invalid, "%v", err)
	}
	err = c.do(ctx, http.MethodPost, "/v1/jobs", nil, body, &answer)
	return answer, err
}

// Retry configures how SubmitAny continues after an attempt without an outcome.
type Retry struct {
	// Pause is the time between two attempts.
	Pause time.Duration
	// Notify, if set, is called after each attempt without an outcome.
	Notify func(*outcome.Error)
}

// SubmitAny submits a job to the hosts in turn until it has an outcome or ctx
// ends. Once an attempt may have run, the following ones are marked as
// resubmissions.
func SubmitAny(ctx context.Context, hosts []*Client, s *job.Submission, r Retry) (entry.JobAnswer, error) {
	attempt := *s
	for i := 0; ; i++ {
		answer, err := hosts[i%len(hosts)].Submit(ctx, &attempt)
		failure := outcome.From(err)
		if err == nil || failure.RetryAfter == 0 {
			return answer, err
		}
		if failure.Kind != outcome.NotRun {
			attempt.Resubmission = true
		}
		if r.Notify != nil {
			r.Notify(failure)
		}
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(r.Pause):
		}
	}
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, j ident.Job) error {
	return c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(string(j.Team))+"/"+url.PathEscape(string(j.Key)), nil, nil, nil)
}

// Call sends a request to a service and returns its answer.
func (c *Client) Call(ctx context.Context, call entry.ServiceRequest) ([]byte, error) {
	header := http.Header{}
	header.Set(entry.HeaderTeam, string(call.Team))
	header.Set(entry.HeaderIdempotent, strconv.FormatBool(call.Idempotent))
	if call.Timeout > 0 {
		header.Set(entry.HeaderTimeout, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	}
	var answer json.RawMessage
	err := c.do(ctx, http.MethodPost, "/v1/services/"+url.PathEscape(string(call.Service))+"/call", header, call.Body, &answer)
	return answer, err
}

// Timeline returns the events that f selects on this host only.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) ([]timeline.Event, error) {
	var events []timeline.Event
	err := c.do(ctx, http.MethodGet, "/v1/timeline/local?"+timelineQuery(f), nil, nil, &events)
	return events, err
}

// MergedTimeline returns the events that f selects on all hosts, as merged by
// this host.
func (c *Client) MergedTimeline(ctx context.Context, f timeline.Filter) (timeline.View, error) {
	var view timeline.View
	err := c.do(ctx, http.MethodGet, "/v1/timeline?"+timelineQuery(f), nil, nil, &view)
	return view, err
}

func timelineQuery(f timeline.Filter) string {
	query := url.Values{"host": {string(f.Host)}, "team": {string(f.Team)}, "job": {string(f.Job)}, "service": {string(f.Service)}}
	bounds := map[string]time.Time{"since": f.Since, "until": f.Until}
	for name, wall := range bounds {
		if !wall.IsZero() {
			query.Set(name, wall.Format(time.RFC3339Nano))
		}
	}
	return query.Encode()
}

// Ready returns nil if the host accepts requests.
func (c *Client) Ready(ctx context.Context) error {
	return c.do(ctx, http.MethodGet, "/readyz", nil, nil, nil)
}

// do sends one request and decodes the response into answer, unless answer is nil.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(body))
	if err != nil {
		return outcome.New(outcome.NotRun, outcome.Invalid, "%v", err)
	}
	request.GetBody = nil
	for k, v := range header {
		request.Header[k] = v
	}
	response, err := c.http.Do(request)
	if err != nil {
		if network.IsDial(err) {
			return outcome.New(outcome.NotRun, outcome.Unreachable, "%v", err).WithRetryAfter(time.Second)
		}
		return outcome.New(outcome.Unknown, outcome.LinkLost, "%v", err).WithRetryAfter(time.Second)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome.New(outcome.Unknown, outcome.LinkLost, "the answer was cut: %v", err).WithRetryAfter(time.Second)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return decodeFailure(response.Status, data)
	}
	if answer == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return outcome.New(outcome.Unknown, outcome.WrongAnswer, "%v", err)
	}
	return nil
}

// decodeFailure returns the error in the body of a response.
func decodeFailure(status string, data []byte) error {
	var failure entry.ErrorAnswer
	if json.Unmarshal(data, &failure) != nil || failure.Error == nil {
		return outcome.New(outcome.Unknown, outcome.Internal, "the host answered %s", status)
	}
	if failure.Revision != 0 || len(failure.Problems) > 0 {
		return &ResourceError{Outcome: failure.Error, CurrentRevision: failure.Revision, Problems: failure.Problems}
	}
	return failure.Error
}
