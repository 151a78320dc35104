// Package outcome defines the ways in which a request or a task can end without an
// answer. The backend link, the hosts and the callers all use them.
package outcome

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is what is known about the execution of a request.
type Kind string

// The kinds of outcomes without an answer.
const (
	// NotRun means that the request provably did not run and never will.
	NotRun Kind = "notRun"
	// Failed means that the request ran and failed.
	Failed Kind = "failed"
	// Unknown means that the request may or may not have run.
	Unknown Kind = "unknown"
)

// Code is the stable name of a reason, which programs can compare.
type Code string

// The codes of outcomes.
const (
	Busy           Code = "busy"
	Cancelled      Code = "cancelled"
	Conflict       Code = "conflict"
	DeadlinePassed Code = "deadlinePassed"
	Gone           Code = "gone"
	HolderLost     Code = "holderLost"
	Internal       Code = "internal"
	Invalid        Code = "invalid"
	Leaving        Code = "leaving"
	LinkLost       Code = "linkLost"
	NoFit          Code = "noFit"
	NotFound       Code = "notFound"
	QueueFull      Code = "queueFull"
	QuotaExceeded  Code = "quotaExceeded"
	Shutdown       Code = "shutdown"
	Silent         Code = "silent"
	StoreDown      Code = "storeDown"
	TaskFailed     Code = "taskFailed"
	TooLarge       Code = "tooLarge"
	Unreachable    Code = "unreachable"
	WrongAnswer    Code = "wrongAnswer"
)

// Error is an outcome without an answer.
type Error struct {
	Kind   Kind   `json:"kind" msgpack:"kind"`
	Code   Code   `json:"code" msgpack:"code"`
	Reason string `json:"reason" msgpack:"reason"`
	// RetryAfter is the time after which the caller may retry. Zero means that the
	// same request can not succeed later either.
	RetryAfter time.Duration `json:"retryAfterNs,omitempty" msgpack:"retryAfter,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Kind, e.Reason)
}

// New returns an outcome of the given kind and code.
func New(kind Kind, code Code, format string, args ...any) *Error {
	return &Error{Kind: kind, Code: code, Reason: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns the outcome that err wraps. An error that wraps none has the kind
// Unknown, since nothing proves that the request did not run.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Unknown, Internal, "%v", err)
}

// Status returns the HTTP status of the outcome.
func (e *Error) Status() int {
	switch e.Code {
	case Conflict:
		return http.StatusConflict
	case Invalid, NoFit:
		return http.StatusBadRequest
	case Gone:
		return http.StatusGone
	case NotFound:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case Busy, QueueFull, QuotaExceeded:
		return http.StatusTooManyRequests
	}
	switch e.Kind {
	case NotRun:
		return http.StatusServiceUnavailable
	case Failed:
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}
