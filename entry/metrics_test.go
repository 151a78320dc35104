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

// fetchMetrics returns the metrics of one host by name.
func fetchMetrics(t *testing.T, d *demo.Demo, host int) map[string]json.RawMessage {
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

// decodeMetric decodes one metric.
func decodeMetric[T any](t *testing.T, vars map[string]json.RawMessage, name string) T {
	t.Helper()
	var v T
	if err := json.Unmarshal(vars[name], &v); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return v
}

// TestMetricsPage checks that docs/METRICS.md lists exactly the metrics of a host.
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
	for name := range fetchMetrics(t, d, 0) {
		if !documented[name] {
			t.Errorf("%s is not documented", name)
		}
		delete(documented, name)
	}
	is.Equal(len(documented), 0) // documented names without a metric
}

// TestMetricsCount submits a job and a request that is rejected, and checks the
// metrics of the host that handled them and of another host.
func TestMetricsCount(t *testing.T) {
	is := is.New(t)
	d := startDemo(t, demo.Config{})
	const tasks = 20
	before := fetchMetrics(t, d, 0)
	_, err := d.Client(0).Submit(t.Context(), shortJob("tide", tasks))
	is.NoErr(err)
	_, err = d.Client(0).Call(t.Context(), entry.ServiceRequest{Service: "no-such-service"})
	is.True(err != nil)

	for _, path := range []string{"/no/such/path", "/nor/this"} {
		response, err := http.Get(d.URL(0) + path)
		is.NoErr(err)
		response.Body.Close()
	}

	after := fetchMetrics(t, d, 0)
	is.Equal(decodeMetric[map[string]int](t, after, "requests")["other"], 2)
	is.Equal(decodeMetric[map[string]int](t, after, "requests")["POST /v1/jobs"], 1)
	is.Equal(decodeMetric[map[string]int](t, after, "outcomes")["notRun.notFound"], 3)
	is.Equal(decodeMetric[map[string]int](t, after, "answers")["404"], 3)
	is.Equal(decodeMetric[map[string]int](t, after, "backendOutcomes")["answered"], tasks)
	is.True(decodeMetric[int](t, after, "backendMessages") >= tasks)
	is.Equal(decodeMetric[map[string]int](t, after, "events")["claimed"], 1)
	is.Equal(decodeMetric[metrics.Summary](t, after, "runMicroseconds").Count, int64(tasks))
	is.True(decodeMetric[metrics.Summary](t, after, "runMicroseconds").P50 >= 10_000)
	is.True(decodeMetric[int](t, after, "tableRows") > decodeMetric[int](t, before, "tableRows"))
	is.True(decodeMetric[int](t, after, "tableReads") > 0)
	is.True(decodeMetric[ident.Revision](t, after, "configRevision") > 0)

	other := fetchMetrics(t, d, 1)
	is.Equal(decodeMetric[map[string]int](t, other, "requests")["POST /v1/jobs"], 0)
	is.Equal(decodeMetric[metrics.Summary](t, other, "runMicroseconds").Count, int64(0))
}

// TestHealthAndReadinessApart checks the health and readiness paths of a host
// with a configuration.
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
