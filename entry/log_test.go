package entry_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/standin"
	"github.com/catkingap/catkingap/timeline"
)

// buffer is a log that can be read while it is being written.
type buffer struct {
	mutex sync.Mutex
	data  bytes.Buffer
}

// Write implements io.Writer.
func (b *buffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.data.Write(p)
}

// lines decodes all lines of the log.
func (b *buffer) lines(t *testing.T) []map[string]any {
	t.Helper()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var lines []map[string]any
	scanner := bufio.NewScanner(bytes.NewReader(b.data.Bytes()))
	for scanner.Scan() {
		var line struct {
			Level   string
			Message string
			Fields  map[string]any
		}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			t.Fatalf("not a JSON line: %s", scanner.Text())
		}
		line.Fields["level"], line.Fields["message"] = line.Level, line.Message
		lines = append(lines, line.Fields)
	}
	return lines
}

func (b *buffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.data.String()
}

const marker = "MARKER-7c1f"

// sendMarkers sends requests that contain the marker wherever a caller or a
// backend server can write: bodies, tokens, queries, paths and answers.
func sendMarkers(t *testing.T, d *demo.Demo) {
	t.Helper()
	s := shortJob("tide", 3)
	s.Tasks[0].Payload = json.RawMessage(fmt.Sprintf(`{"groyneId":%q,"runTimeMs":5}`, marker))
	if _, err := d.Client(0).Submit(t.Context(), s); err != nil {
		t.Fatal(err)
	}
	bad := shortJob("bad", 1)
	bad.Tasks[0].Payload = json.RawMessage(fmt.Sprintf("%q", marker))
	if _, err := d.Client(0).Submit(t.Context(), bad); err == nil {
		t.Fatal("a payload that is no repair log was run")
	}
	for _, path := range []string{"/v1/jobs", "/v1/services/groyne-log/call", "/v1/jobs?token=" + marker, "/no/such/path/" + marker} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.URL(0)+path, strings.NewReader(marker))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+marker)
		request.Header.Set(entry.HeaderTeam, "kusweg")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
}

// declareEcho declares the service echo, whose backend server answers each
// request with an error that contains the request's body.
func declareEcho(t *testing.T, d *demo.Demo) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set(backend.HeaderRequest, r.Header.Get(backend.HeaderRequest))
		http.Error(w, string(body), http.StatusInternalServerError)
	}))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	objects := []struct {
		kind resource.Kind
		spec any
	}{
		{resource.KindPool, resource.PoolSpec{}},
		{resource.KindBackendServer, resource.BackendServerSpec{Pool: "echo", Address: address, DataCentre: "coast-a", Slots: 1}},
		{resource.KindService, resource.ServiceSpec{Pool: "echo", TimeoutMS: 5000}},
	}
	for _, o := range objects {
		data, err := json.Marshal(o.spec)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := d.Client(0).Put(t.Context(), resource.Object{Kind: o.kind, Name: "echo", Spec: data}); err != nil {
			t.Fatal(err)
		}
	}
}

// callEcho calls the service echo until its backend server has answered.
func callEcho(t *testing.T, d *demo.Demo) {
	t.Helper()
	var last error
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		_, err := d.Client(0).Call(t.Context(), entry.ServiceRequest{Service: "echo", Team: "kusweg", Body: []byte(marker)})
		if err != nil && strings.Contains(err.Error(), marker) {
			return
		}
		last = err
	}
	t.Fatal("the service echo did not answer", last)
}

// TestLogHasNoBodiesOrTokens checks that neither the log at the lowest level nor
// the timeline contains the marker.
func TestLogHasNoBodiesOrTokens(t *testing.T) {
	is := is.New(t)
	logs := &buffer{}
	d := startDemo(t, demo.Config{Log: logs, LogLevel: "debug"})
	sendMarkers(t, d)
	d.Backends()[0].Faults.Set(standin.Faults{Mode: standin.FailAll})
	sendMarkers(t, d)
	declareEcho(t, d)
	callEcho(t, d)
	is.True(strings.Contains(logs.text(), `"route":"/v1/jobs"`)) // the requests were logged
	is.True(!strings.Contains(logs.text(), marker))
	events, err := d.Client(0).Timeline(t.Context(), timeline.Filter{})
	is.NoErr(err)
	is.True(len(events) > 0)
	is.True(!strings.Contains(fmt.Sprintf("%+v", events), marker))
}

// TestLogFields checks the fields of the log lines of a job and of a refusal.
func TestLogFields(t *testing.T) {
	is := is.New(t)
	logs := &buffer{}
	d := startDemo(t, demo.Config{Log: logs, LogLevel: "debug"})
	s := shortJob("tide", 3)
	_, err := d.Client(0).Submit(t.Context(), s)
	is.NoErr(err)
	_, err = d.Client(0).Call(t.Context(), entry.ServiceRequest{Service: "no-such-service"})
	is.True(err != nil)

	find := func(match map[string]any) map[string]any {
		t.Helper()
		for _, line := range logs.lines(t) {
			same := true
			for k, v := range match {
				same = same && line[k] == v
			}
			if same {
				return line
			}
		}
		t.Fatalf("no line with %v", match)
		return nil
	}
	claim := find(map[string]any{"message": "event", "kind": "claimed", "job": "tide"})
	is.Equal(claim["host"], "entry-1")
	is.Equal(claim["dataCentre"], "coast-a")
	is.Equal(claim["epoch"], 1.0)
	is.Equal(claim["team"], "kusweg")
	submitted := find(map[string]any{"message": "request", "route": "/v1/jobs", "job": "tide"})
	is.Equal(submitted["level"], "debug")
	is.True(submitted["request"] != "")
	refused := find(map[string]any{"message": "request", "route": "/v1/services/:name/call"})
	is.Equal(refused["level"], "info")
	is.Equal(refused["outcome"], "notRun")
	is.Equal(refused["code"], "notFound")
	is.Equal(refused["name"], "no-such-service")
}

// TestLogLevel checks that successful requests are not logged at the default
// level.
func TestLogLevel(t *testing.T) {
	is := is.New(t)
	logs := &buffer{}
	d := startDemo(t, demo.Config{Log: logs})
	_, err := d.Client(0).Submit(t.Context(), shortJob("tide", 3))
	is.NoErr(err)
	for _, line := range logs.lines(t) {
		is.True(line["level"] != "debug")
		is.True(line["message"] != "request")
	}
	is.True(strings.Contains(logs.text(), `"kind":"configApplied"`))
}
