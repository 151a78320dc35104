package cmd

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/explain"
)

// TestExplainCommand checks the text, the JSON and the errors of the command against a host
// that knows one queue.
func TestExplainCommand(t *testing.T) {
	server := httptest.NewServer(explain.Handler(func(r explain.Request) (*explain.Answer, error) {
		if r.Queue != "known" {
			return nil, explain.ErrUnknownQueue
		}
		return &explain.Answer{Queue: r.Queue, DataCentre: "a", Host: "h", Placement: &explain.Placement{Worker: "w1"}}, nil
	}))
	defer server.Close()
	host := strings.TrimPrefix(server.URL, "http://")
	tests := map[string]struct {
		args         []string
		code         int
		stdout, fail string
	}{
		"text":             {args: []string{"known", "--host", host}, stdout: "the first task starts at once on worker w1"},
		"JSON":             {args: []string{"known", "--host", host, "-o", "json"}, stdout: `"worker": "w1"`},
		"unknown queue":    {args: []string{"other", "--host", host}, code: 1, fail: "no such queue"},
		"unreachable host": {args: []string{"known", "--host", "127.0.0.1:1"}, code: 1, fail: "cannot be reached"},
		"no tasks":         {args: []string{"known", "--host", host, "--tasks", "0"}, code: 2, fail: "must be positive"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := runCommand("", append([]string{"explain"}, test.args...)...)
			is.Equal(r.code, test.code)
			is.True(strings.Contains(r.stdout, test.stdout))
			is.True(strings.Contains(r.stderr, test.fail))
		})
	}
}
