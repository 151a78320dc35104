package fleet

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/decoding"
	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/metrics"
	"github.com/catkingap/catkingap/network"
)

// TestMetricsPage checks that docs/METRICS-PLATFORM.md lists each metric.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	newCounters(set, newLinks(&log.Logger{Handler: discard.New()}, network.Real{}))
	newJobBudget(Settings{}, set)
	logger := &log.Logger{Handler: discard.New()}
	newCallGate(Settings{}, set, logger)
	for _, name := range []string{"answersWaited", "bodiesWaited"} {
		decoding.NewGate(0).Publish(set, name, logger)
	}
	httplimit.New(httplimit.Config{}).Publish(set)
	response := httptest.NewRecorder()
	set.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	var shown map[string]json.RawMessage
	is.NoErr(json.Unmarshal(response.Body.Bytes(), &shown))
	var own map[string]json.RawMessage
	is.NoErr(json.Unmarshal(shown[metrics.Name], &own))
	page, err := os.ReadFile(filepath.Join("..", "docs", "METRICS-PLATFORM.md"))
	is.NoErr(err)
	for name := range own {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("metric %s is not documented", name)
		}
	}
	is.Equal(len(own), strings.Count(string(page), "\n| `")+1) // one row holds two
}
