package backend

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/catkingap/catkingap/outcome"
)

const (
	// maxAnswerBytes bounds the answer of a backend server.
	maxAnswerBytes = 4 << 20
	// maxReasonBytes bounds the part of an answer that an error quotes.
	maxReasonBytes = 200
)

// truncatedError is returned if an answer could not be read to its end.
type truncatedError struct {
	cause error
}

// Error implements error.
func (e *truncatedError) Error() string { return "truncated answer: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *truncatedError) Unwrap() error { return e.cause }

// readReply reads and checks the answer to r. An error is a *truncatedError or
// an *outcome.Error. An answer that does not echo the id of r is no evidence
// about r, even if its outcome header is notRun.
func readReply(r Request, response *http.Response) (Reply, error) {
	reply := Reply{Leaving: isLeaving(response)}
	if got := response.Header.Get(HeaderRequest); got != string(r.ID) {
		response.Body.Close()
		return reply, outcome.New(outcome.Unknown, outcome.WrongAnswer, "%s answered request %q instead of %q", r.Address, got, r.ID)
	}
	body, err := readBounded(response)
	if err != nil {
		return reply, err
	}
	if response.Header.Get(HeaderOutcome) == string(outcome.NotRun) {
		return reply, refusedError(r, reply, response, body)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		// Without the outcome header, these do not show whether the request ran.
		return reply, outcome.New(outcome.Unknown, outcome.TaskFailed, "%s answered %s: %s", r.Address, response.Status, firstLine(body))
	default:
		return reply, outcome.New(outcome.Failed, outcome.TaskFailed, "%s answered %s: %s", r.Address, response.Status, firstLine(body))
	}
	if len(body) > maxAnswerBytes {
		return reply, outcome.New(outcome.Failed, outcome.WrongAnswer, "answer of %s is larger than %d bytes", r.Address, maxAnswerBytes)
	}
	if got := response.Header.Get(HeaderDigest); got != Digest(body) {
		return reply, outcome.New(outcome.Unknown, outcome.WrongAnswer, "answer of %s does not match its digest", r.Address)
	}
	reply.Body = body
	return reply, nil
}

// refusedError returns the error for a request that the server reported as not
// run.
func refusedError(r Request, reply Reply, response *http.Response, body []byte) error {
	code := outcome.Busy
	if reply.Leaving {
		code = outcome.Leaving
	}
	return outcome.New(outcome.NotRun, code, "%s refused: %s", r.Address, firstLine(body)).WithRetryAfter(parseRetryAfter(response))
}

// readBounded reads at most maxAnswerBytes+1 bytes of the body of an answer and
// closes it. An error is a *truncatedError.
func readBounded(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, &truncatedError{cause: err}
	}
	return body, nil
}

func isLeaving(response *http.Response) bool {
	return response.Close || response.Header.Get(HeaderLeaving) != ""
}

func parseRetryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

func firstLine(body []byte) string {
	line, _, _ := strings.Cut(string(body), "\n")
	if len(line) > maxReasonBytes {
		line = line[:maxReasonBytes]
	}
	return line
}
