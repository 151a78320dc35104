package cmd

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/timeline"
)

// runResult is the exit code and the output of a command.
type runResult struct {
	code           int
	stdout, stderr string
}

func runCommand(stdin string, args ...string) runResult {
	var stdout, stderr bytes.Buffer
	code := Main(args, strings.NewReader(stdin), &stdout, &stderr)
	return runResult{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

// writeFile writes a file for a command and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validSettings = `host: entry-1
dataCentre: coast-a
platform:
  table: http://127.0.0.1:9000
  objects: http://127.0.0.1:9000/objects
  membership: http://127.0.0.1:9000/members
`

const payload = `{"groyneId":"G-7","runTimeMs":5}`

// commandTest is one run of a command and its expected result.
type commandTest struct {
	stdin string
	args  []string
	code  int
	// stdout and stderr are substrings that the output must contain in this order.
	stdout, stderr []string
}

func (s commandTest) check(t *testing.T, server string) {
	t.Helper()
	r := runCommand(s.stdin, append([]string{"--server", server}, s.args...)...)
	if r.code != s.code {
		t.Errorf("exit code %d, want %d", r.code, s.code)
	}
	checkInOrder(t, "stdout", r.stdout, s.stdout)
	checkInOrder(t, "stderr", r.stderr, s.stderr)
}

func checkInOrder(t *testing.T, name, text string, parts []string) {
	t.Helper()
	rest := text
	for _, p := range parts {
		_, after, ok := strings.Cut(rest, p)
		if !ok {
			t.Errorf("%s lacks %q:\n%s", name, p, text)
			return
		}
		rest = after
	}
}

func TestCommands(t *testing.T) {
	is := is.New(t)
	d, err := demo.Start(t.Context(), demo.Config{Progress: io.Discard, Log: io.Discard})
	is.NoErr(err)
	defer d.Stop()
	good, bad := writeFile(t, "good.yaml", validSettings), writeFile(t, "bad.yaml", validSettings+"limitz: 7\n")
	tasks, notJSON := writeFile(t, "tasks.jsonl", payload+"\n"+payload+"\n"), writeFile(t, "bad.jsonl", payload+"\nnot JSON\n")
	submit := []string{"submit", "--team", "kusweg", "--pool", "groyne-log", "--key"}
	tests := map[string]commandTest{
		"call":                     {stdin: payload, args: []string{"call", "groyne-log", "--team", "kusweg"}, stdout: []string{`"groyneId":"G-7"`}},
		"call of no service":       {args: []string{"call", "nothing"}, code: ExitNotRun, stderr: []string{"service nothing", "notFound (notRun)", "check the name"}},
		"call without a service":   {args: []string{"call"}, code: ExitUsage, stderr: []string{"accepts 1 arg", "--help"}},
		"cancel of no job":         {args: []string{"cancel", "--team", "kusweg", "nothing"}, code: ExitNotRun, stderr: []string{"job kusweg/nothing", "notFound (notRun)"}},
		"cancel without a team":    {args: []string{"cancel", "tide"}, code: ExitUsage, stderr: []string{`"team" not set`}},
		"completion":               {args: []string{"completion", "bash"}, stdout: []string{"catkingap"}},
		"completion of no shell":   {args: []string{"completion", "csh"}, code: ExitUsage, stderr: []string{"csh"}},
		"no such command":          {args: []string{"frob"}, code: ExitUsage, stderr: []string{`unknown command "frob"`}},
		"no such flag":             {args: []string{"version", "--frob"}, code: ExitUsage, stderr: []string{"unknown flag: --frob"}},
		"settings check":           {args: []string{"settings", "check", good}, stdout: []string{"good.yaml: ok"}},
		"settings check of errors": {args: []string{"settings", "check", bad}, code: ExitUsage, stderr: []string{"bad.yaml: line 7: limitz", "allowed: ", "SETTINGS.md"}},
		"settings check of nothing": {
			args: []string{"settings", "check", "/no/such/file"}, code: ExitUsage, stderr: []string{"/no/such/file"},
		},
		"settings default":          {args: []string{"settings", "default"}, stdout: []string{"logLevel: info", "configPoll: 500ms"}},
		"settings show":             {args: []string{"settings", "show", good}, stdout: []string{"host: entry-1", "configPoll: 500ms"}},
		"settings show of errors":   {args: []string{"settings", "show", bad}, code: ExitUsage, stderr: []string{"limitz"}},
		"entry with wrong settings": {args: []string{"entry", "--settings", bad}, code: ExitUsage, stderr: []string{"line 7: limitz"}},
		"submit":                    {args: append(submit, "tide-1", "--tasks", tasks), stdout: []string{"TASK", "ANSWER", "0", "G-7", "1", "G-7"}},
		"submit from standard input": {
			stdin: payload, args: append(submit, "tide-2", "-o", "json"), stdout: []string{`"key": "tide-2"`, `"state": "complete"`},
		},
		"submit as YAML":           {stdin: payload, args: append(submit, "tide-3", "-o", "yaml"), stdout: []string{"state: complete"}},
		"submit as XML":            {stdin: payload, args: append(submit, "tide-3", "-o", "xml"), code: ExitUsage, stderr: []string{"choose table, json, yaml"}},
		"submit without a key":     {args: []string{"submit", "--team", "kusweg", "--pool", "groyne-log"}, code: ExitUsage, stderr: []string{`"key" not set`}},
		"submit of no tasks":       {args: append(submit, "tide-4"), code: ExitUsage, stderr: []string{"0 tasks", "1 to 1300"}},
		"submit of too many tasks": {stdin: strings.Repeat("1\n", 1301), args: append(submit, "tide-4"), code: ExitUsage, stderr: []string{"1301 tasks"}},
		"submit of no file":        {args: append(submit, "tide-4", "--tasks", "/no/such/file"), code: ExitUsage, stderr: []string{"/no/such/file"}},
		"submit of no JSON":        {args: append(submit, "tide-4", "--tasks", notJSON), code: ExitUsage, stderr: []string{"bad.jsonl: line 2 is not JSON"}},
		"submit without tries":     {stdin: payload, args: append(submit, "tide-4", "--tries", "0"), code: ExitUsage, stderr: []string{"--tries 0"}},
		"submit to no pool":        {stdin: payload, args: []string{"submit", "--team", "kusweg", "--key", "a", "--pool", "nothing"}, code: ExitNotRun, stderr: []string{"job kusweg/a", "no pool nothing"}},
		"submit of a failing task": {stdin: "7", args: append(submit, "tide-5"), code: ExitFailed, stderr: []string{"job kusweg/tide-5", "(failed)"}},
		"timeline":                 {args: []string{"timeline", "--host", "entry-1"}, stdout: []string{"entry-1 started", "entry-1 configApplied revision="}},
		"timeline as JSON":         {args: []string{"timeline", "-o", "json"}, stdout: []string{`"hosts"`, `"host": "entry-1"`, `"events"`}},
		"timeline of a job without its team": {
			args: []string{"timeline", "--job", "tide"}, code: ExitUsage, stderr: []string{"--job needs --team"},
		},
		"timeline since no time":   {args: []string{"timeline", "--since", "noon"}, code: ExitUsage, stderr: []string{"--since", `"noon"`}},
		"timeline of no span":      {args: []string{"timeline", "--since", "1m", "--until", "2m"}, code: ExitUsage, stderr: []string{"--since is not before --until"}},
		"version":                  {args: []string{"version"}, stdout: []string{"catkingap "}},
		"version as JSON":          {args: []string{"version", "-o", "json"}, stdout: []string{`"version"`, `"go"`}},
		"version with an argument": {args: []string{"version", "now"}, code: ExitUsage, stderr: []string{"now"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test.check(t, d.URL(0)) })
	}
}

// TestTimelineOfJob submits a job and reads its time line as text, JSON and YAML.
func TestTimelineOfJob(t *testing.T) {
	is := is.New(t)
	d, err := demo.Start(t.Context(), demo.Config{Progress: io.Discard, Log: io.Discard})
	is.NoErr(err)
	defer d.Stop()
	submitted := runCommand(payload, "--server", d.URL(0), "submit", "--team", "kusweg", "--pool", "groyne-log", "--key", "tide")
	is.Equal(submitted.code, ExitDone)
	commandTest{
		args:   []string{"timeline", "--team", "kusweg", "--job", "tide", "--since", "1h"},
		stdout: []string{"entry-1 claimed team=kusweg job=tide epoch=1", "intentWritten", "taskStarted", "task=0", "taskEnded", "outcomeRecorded", "answered"},
	}.check(t, d.URL(0))
	var view timeline.View
	r := runCommand("", "--server", d.URL(0), "timeline", "--team", "kusweg", "--job", "tide", "-o", "json")
	is.NoErr(json.Unmarshal([]byte(r.stdout), &view))
	is.Equal(view.Entries[0].Kind, timeline.Claimed)
	r = runCommand("", "--server", d.URL(0), "timeline", "--team", "kusweg", "--job", "tide", "-o", "yaml")
	var tree map[string]any
	is.NoErr(yaml.Unmarshal([]byte(r.stdout), &tree))
	is.Equal(len(tree["events"].([]any)), len(view.Entries))
}

func TestNoEntryHost(t *testing.T) {
	commandTest{
		args: []string{"call", "groyne-log"}, code: ExitNotRun,
		stderr: []string{"unreachable (notRun)", "no entry host answers at http://127.0.0.1:1", "--server"},
	}.check(t, "http://127.0.0.1:1")
}

// TestSubmitTriesAgain checks that a job is submitted again only after an unknown
// outcome, and with the same key.
func TestSubmitTriesAgain(t *testing.T) {
	tests := map[string]struct {
		failure *outcome.Error
		code    int
		tries   int
	}{
		"connection lost": {code: ExitDone, tries: 2},
		"unknown":         {failure: outcome.New(outcome.Unknown, outcome.HolderLost, "x"), code: ExitDone, tries: 2},
		"not run":         {failure: outcome.New(outcome.NotRun, outcome.StoreDown, "x").WithRetryAfter(1), code: ExitNotRun, tries: 1},
		"failed":          {failure: outcome.New(outcome.Failed, outcome.TaskFailed, "x"), code: ExitFailed, tries: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var keys []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var body struct{ Key string }
				is.NoErr(json.NewDecoder(r.Body).Decode(&body))
				keys = append(keys, body.Key)
				switch {
				case len(keys) > 1:
					is.NoErr(json.NewEncoder(w).Encode(entry.JobAnswer{State: "complete"}))
				case test.failure == nil:
					panic(http.ErrAbortHandler)
				default:
					w.WriteHeader(test.failure.Status())
					is.NoErr(json.NewEncoder(w).Encode(entry.ErrorAnswer{Error: test.failure}))
				}
			}))
			defer server.Close()
			r := runCommand(payload, "--server", server.URL, "submit", "--team", "kusweg", "--pool", "p", "--key", "tide")
			is.Equal(r.code, test.code)
			is.Equal(len(keys), test.tries)
			for _, k := range keys {
				is.Equal(k, "tide")
			}
			is.True(!strings.Contains(r.stderr, "\r")) // no bar without a terminal
		})
	}
}

// TestReferencePage checks that docs/REFERENCE.md names each command and each exit
// code.
func TestReferencePage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "REFERENCE.md"))
	is.NoErr(err)
	var names func(c *cobra.Command)
	names = func(c *cobra.Command) {
		if c.HasParent() && !strings.Contains(string(page), "`"+c.CommandPath()) {
			t.Errorf("%s is not documented", c.CommandPath())
		}
		for _, child := range c.Commands() {
			names(child)
		}
	}
	names(newConfig(nil, nil, nil).newRootCmd())
	for code, word := range []string{"done", "failed", "usage", "not run", "unknown"} {
		if !strings.Contains(string(page), "| "+string(rune('0'+code))+" | "+word) {
			t.Errorf("exit code %d is not documented as %q", code, word)
		}
	}
}
