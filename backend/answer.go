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
	// maxReasonBytes bounds what a reason quotes of an answer.
	maxReasonBytes = 200
)

// cutError means that an answer ended before it was whole.
type cutError struct {
	cause error
}

// Error implements error.
func (e *cutError) Error() string { return "answer was cut: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *cutError) Unwrap() error { return e.cause }

// receive reads and checks the whole answer to r. An error is a *cutError or
// an *outcome.Error. An answer that does not echo the id of r says nothing
// about r, also if it says notRun.
func receive(r Request, response *http.Response) (Reply, error) {
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
		return reply, refusal(r, reply, response, body)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		// Without the header these prove neither that it ran nor that not.
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

// refusal returns the outcome of a request that the server said not to have
// run.
func refusal(r Request, reply Reply, response *http.Response, body []byte) error {
	code := outcome.Busy
	if reply.Leaving {
		code = outcome.Leaving
	}
	return outcome.New(outcome.NotRun, code, "%s refused: %s", r.Address, firstLine(body)).After(retryAfter(response))
}

// readBounded reads the body of an answer up to one byte beyond the bound, and
// closes it. An error is a *cutError.
func readBounded(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, &cutError{cause: err}
	}
	return body, nil
}

func isLeaving(response *http.Response) bool {
	return response.Close || response.Header.Get(HeaderLeaving) != ""
}

func retryAfter(response *http.Response) time.Duration {
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
