// Package backend sends tasks and requests to backend servers over HTTP and
// checks that each answer belongs to its request.
package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/network"
	"github.com/catkingap/catkingap/outcome"
)

// The headers of the contract with backend servers.
const (
	// HeaderRequest carries the id of the request; the answer echoes it.
	HeaderRequest = "X-Request-Id"
	// HeaderDigest carries the digest of the body after RFC 9530.
	HeaderDigest = "Content-Digest"
	// HeaderOutcome is notRun on answers to requests that did not run.
	HeaderOutcome = "Catkingap-Outcome"
	// HeaderTask carries team, job key and index of a task.
	HeaderTask = "Catkingap-Task"
	// HeaderLeaving is set on answers of a server that is leaving.
	HeaderLeaving = "Catkingap-Leaving"
)

// PathRun is the path that backend servers take tasks and requests at.
const PathRun = "/run"

// maxAnswerBytes bounds the answer of a backend server.
const maxAnswerBytes = 4 << 20

// Digest returns the value of HeaderDigest for a body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// Request is one task or request for a backend server.
type Request struct {
	ID      ident.Request
	Task    string
	Address string
	Body    []byte
}

// Reply is a whole answer of a backend server.
type Reply struct {
	Body []byte
	// Leaving is true if the server announced that it is leaving.
	Leaving bool
}

// Sender sends one request to a backend server, at most once. An error is an
// *outcome.Error.
type Sender interface {
	Send(ctx context.Context, r Request) (Reply, error)
}

// ClientConfig builds a Client.
type ClientConfig struct {
	// Network opens the connections.
	Network network.Network
	// Connections limits the connections to one backend server.
	Connections int
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// Client is the Sender over HTTP.
type Client struct {
	http *http.Client
	// Messages counts requests that were put on a connection.
	Messages atomic.Int64
}

// NewClient returns a client.
func NewClient(c ClientConfig) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext:         c.Network.DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     c.IdleTimeout,
		MaxConnsPerHost:     c.Connections,
		MaxIdleConnsPerHost: c.Connections,
	}}}
}

// Send implements Sender. The body has no GetBody, so that the transport never
// sends it a second time on its own.
func (c *Client) Send(ctx context.Context, r Request) (Reply, error) {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		wrote.Store(true)
		c.Messages.Add(1)
	}}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+PathRun, bytes.NewReader(r.Body))
	if err != nil {
		return Reply{}, outcome.New(outcome.NotRun, outcome.Invalid, "request: %v", err)
	}
	request.GetBody = nil
	request.Header.Set(HeaderRequest, string(r.ID))
	request.Header.Set(HeaderDigest, Digest(r.Body))
	if r.Task != "" {
		request.Header.Set(HeaderTask, r.Task)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Reply{}, sendError(r, err, wrote.Load())
	}
	defer response.Body.Close()
	return c.receive(r, response)
}

// receive reads and checks the whole answer.
func (c *Client) receive(r Request, response *http.Response) (Reply, error) {
	reply := Reply{Leaving: response.Close || response.Header.Get(HeaderLeaving) != ""}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return reply, outcome.New(outcome.Unknown, outcome.LinkLost, "answer of %s was cut: %v", r.Address, err)
	}
	if response.Header.Get(HeaderOutcome) == string(outcome.NotRun) {
		code := outcome.Busy
		if reply.Leaving {
			code = outcome.Leaving
		}
		refusal := outcome.New(outcome.NotRun, code, "%s refused: %s", r.Address, firstLine(body))
		return reply, refusal.After(retryAfter(response))
	}
	if got := response.Header.Get(HeaderRequest); got != string(r.ID) {
		return reply, outcome.New(outcome.Unknown, outcome.WrongAnswer, "%s answered request %q instead of %q", r.Address, got, r.ID)
	}
	if response.StatusCode != http.StatusOK {
		return reply, outcome.New(outcome.Failed, outcome.TaskFailed, "%s answered %s: %s", r.Address, response.Status, firstLine(body))
	}
	if got := response.Header.Get(HeaderDigest); got != Digest(body) {
		return reply, outcome.New(outcome.Unknown, outcome.WrongAnswer, "answer of %s does not match its digest", r.Address)
	}
	reply.Body = body
	return reply, nil
}

// sendError classifies a failure of the transport. Only a request that never
// got a connection is provably not run.
func sendError(r Request, err error, wrote bool) error {
	if !wrote {
		return outcome.New(outcome.NotRun, outcome.Unreachable, "no connection to %s: %v", r.Address, errors.UnwrapAll(err))
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.New(outcome.Unknown, outcome.DeadlinePassed, "%s did not answer in time", r.Address)
	}
	return outcome.New(outcome.Unknown, outcome.LinkLost, "connection to %s was lost: %v", r.Address, errors.UnwrapAll(err))
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

const maxReasonBytes = 200

func firstLine(body []byte) string {
	line, _, _ := strings.Cut(string(body), "\n")
	if len(line) > maxReasonBytes {
		line = line[:maxReasonBytes]
	}
	return line
}
