// Package backend sends tasks and requests to backend servers over HTTP, each
// at most once, and checks that each answer belongs to its request.
package backend

import (
	"context"
	"crypto/sha256"
	"encoding/base64"

	"github.com/catkingap/catkingap/ident"
)

// The headers of the contract with backend servers.
const (
	// HeaderRequest carries the id of the request; the answer echoes it.
	HeaderRequest = "X-Request-Id"
	// HeaderDigest carries the digest of the body as defined by RFC 9530.
	HeaderDigest = "Content-Digest"
	// HeaderOutcome is notRun on answers to requests that did not run.
	HeaderOutcome = "Catkingap-Outcome"
	// HeaderTask carries the team, job key and index of a task.
	HeaderTask = "Catkingap-Task"
	// HeaderLeaving is set on answers of a server that is leaving.
	HeaderLeaving = "Catkingap-Leaving"
)

// The paths of the contract with backend servers.
const (
	// PathHealth is the health check. It answers at once and needs no slot.
	PathHealth = "/health"
	// PathRun accepts tasks and requests.
	PathRun = "/run"
)

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

// Reply is a complete answer of a backend server.
type Reply struct {
	Body []byte
	// Leaving is true if the server announced that it is leaving. It is also
	// set if an error is returned with the reply.
	Leaving bool
}

// Health is the answer of a backend server to a health check.
type Health struct {
	// Leaving is true if the server announced that it is leaving or refused.
	Leaving bool
}

// Sender sends requests to backend servers.
type Sender interface {
	// Send sends one request, at most once. An error is an *outcome.Error. If
	// ctx is cancelled after the request was sent, the request continues until
	// its answer or the deadline of ctx, and the answer is dropped.
	Send(ctx context.Context, r Request) (Reply, error)
	// Check asks the server at address for its health on a new connection.
	Check(ctx context.Context, address string) (Health, error)
}
