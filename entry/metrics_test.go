package entry_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/metrics"
)

// vars returns the daemon's own metrics by name.
func vars(t *testing.T, d *demo.Demo, host int) map[string]json.RawMessage {
	t.Helper()
	response, err := http.Get(d.URL(host) + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var shown struct {
		Catkingap map[string]json.RawMessage `json:"catkingap"`
	}
	if err := json.NewDecoder(response.Body).Decode(&shown); err != nil {
		t.Fatal(err)
	}
	return shown.Catkingap
}

// value decodes one metric.
func value[T any](t *testing.T, vars map[string]json.RawMessage, name string) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(vars[name], &v); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return v
}

// TestMetricsPage holds docs/METRICS.md against what a host shows.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "METRICS.md"))
	is.NoErr(err)
	documented := map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		if cells := strings.Split(line, "|"); len(cells) == 5 && strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			documented[strings.Trim(strings.TrimSpace(cells[1]), "`")] = true
		}
	}
	d := startDemo(t, demo.Config{})
	for name := range vars(t, d, 0) {
		if !documented[name] {
			t.Errorf("%s is not documented", name)
		}
		delete(documented, name)
	}
	is.Equal(len(documented), 0) // names that no host shows
}

// TestMetricsCount runs a job and a refused request, and reads the counts of
// the host that took them and of one that did not.
func TestMetricsCount(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	const tasks = 20
	before := vars(t, d, 0)
	_, err := d.Client(0).Submit(t.Context(), shortJob("tide", tasks))
	is.NoErr(err)
	_, err = d.Client(0).Call(t.Context(), entry.Call{Service: "no-such-service"})
	is.True(err != nil)

	for _, path := range []string{"/no/such/path", "/nor/this"} {
		response, err := http.Get(d.URL(0) + path)
		is.NoErr(err)
		response.Body.Close()
	}

	after := vars(t, d, 0)
	is.Equal(value[map[string]int](t, after, "requests")["other"], 2)
	is.Equal(value[map[string]int](t, after, "requests")["POST /v1/jobs"], 1)
	is.Equal(value[map[string]int](t, after, "outcomes")["notRun.notFound"], 3)
	is.Equal(value[map[string]int](t, after, "answers")["404"], 3)
	is.Equal(value[map[string]int](t, after, "backendOutcomes")["answered"], tasks)
	is.True(value[int](t, after, "backendMessages") >= tasks)
	is.Equal(value[map[string]int](t, after, "events")["claimed"], 1)
	is.Equal(value[metrics.Summary](t, after, "runMicroseconds").Count, int64(tasks))
	is.True(value[metrics.Summary](t, after, "runMicroseconds").P50 >= 10_000)
	is.True(value[int](t, after, "tableRows") > value[int](t, before, "tableRows"))
	is.True(value[int](t, after, "tableReads") > 0)
	is.True(value[ident.Revision](t, after, "configRevision") > 0)

	other := vars(t, d, 1)
	is.Equal(value[map[string]int](t, other, "requests")["POST /v1/jobs"], 0)
	is.Equal(value[metrics.Summary](t, other, "runMicroseconds").Count, int64(0))
}

// TestHealthAndReadinessApart holds that a host without configuration is
// healthy but not ready.
func TestHealthAndReadinessApart(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	for _, path := range []string{"/healthz", "/readyz"} {
		response, err := http.Get(d.URL(0) + path)
		is.NoErr(err)
		response.Body.Close()
		is.Equal(response.StatusCode, http.StatusNoContent)
	}
}
