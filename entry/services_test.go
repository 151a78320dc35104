package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/rollout"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/timeline"
)

// fakeSender runs each request for the duration in its body.
type fakeSender struct {
	sent    atomic.Int32
	leaving atomic.Bool
	checks  atomic.Int32
}

// Send implements backend.Sender.
func (f *fakeSender) Send(_ context.Context, r backend.Request) (backend.Reply, error) {
	f.sent.Add(1)
	run, _ := time.ParseDuration(string(r.Body))
	time.Sleep(run)
	return backend.Reply{Body: r.Body, Leaving: f.leaving.Load()}, nil
}

// Check implements backend.Sender.
func (f *fakeSender) Check(context.Context, string) (backend.Health, error) {
	f.checks.Add(1)
	return backend.Health{Leaving: f.leaving.Load()}, nil
}

// testStore returns a store with one service, one pool and servers with one slot
// each.
func testStore(t testing.TB, servers ...string) *resource.Store {
	t.Helper()
	objects := []resource.Object{
		{Kind: resource.KindPool, Name: "logs", Spec: json.RawMessage(`{}`)},
		{Kind: resource.KindService, Name: "logs", Spec: json.RawMessage(`{"pool":"logs"}`)},
		{Kind: resource.KindTeam, Name: "kusweg", Spec: json.RawMessage(`{}`)},
	}
	for _, name := range servers {
		spec, _ := json.Marshal(resource.BackendServerSpec{Pool: "logs", Address: name + ":1", DataCentre: "coast-a", Slots: 1})
		objects = append(objects, resource.Object{Kind: resource.KindBackendServer, Name: name, Spec: spec})
	}
	all := rollout.Delta{Revision: ident.Revision(len(objects))}
	for i, o := range objects {
		value, _ := json.Marshal(o)
		all.Rows = append(all.Rows, rollout.Row{Key: resource.Key(o.Kind, o.Name), Value: value, Revision: ident.Revision(i + 1)})
	}
	store := resource.NewStore(nil)
	if _, err := store.Apply(time.Now(), store.Snapshot().Rows.Merge(all)); err != nil {
		t.Fatal(err)
	}
	return store
}

func testIdentity() Identity {
	return Identity{Holder: job.Holder{Host: "entry-1", Boot: "1"}, DataCentre: "coast-a"}
}

// testServices returns services of one backend server with one slot.
func testServices(t *testing.T, sender backend.Sender) *Services {
	t.Helper()
	store := testStore(t, "runner-1")
	s := settings.Default()
	d := newDispatcher(s, testIdentity(), sender, timeline.NewRing("entry-1", time.Now(), 100), newMetrics())
	d.Configure(store.Snapshot(), newDirectory())
	return newServices(store, d, newHandover(testIdentity(), newDirectory(), nil))
}

// cutReader fails in the middle of a body.
type cutReader struct{}

// Read implements io.Reader.
func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestBadRequests checks that invalid requests are rejected as not run, with the
// right status and code, and are not sent.
func TestBadRequests(t *testing.T) {
	const path = "/v1/services/logs/call"
	tests := map[string]struct {
		method string
		path   string
		header map[string]string
		body   io.Reader
		status int
		code   outcome.Code
	}{
		"timeout is no number":      {path: path, header: map[string]string{HeaderTimeout: "soon"}, status: 400, code: outcome.Invalid},
		"timeout is a fraction":     {path: path, header: map[string]string{HeaderTimeout: "1.5"}, status: 400, code: outcome.Invalid},
		"timeout is negative":       {path: path, header: map[string]string{HeaderTimeout: "-1"}, status: 400, code: outcome.Invalid},
		"timeout is zero":           {path: path, header: map[string]string{HeaderTimeout: "0"}, status: 400, code: outcome.Invalid},
		"timeout is too long":       {path: path, header: map[string]string{HeaderTimeout: "9223372036854775807"}, status: 400, code: outcome.Invalid},
		"timeout overflows":         {path: path, header: map[string]string{HeaderTimeout: "99999999999999999999"}, status: 400, code: outcome.Invalid},
		"idempotent is no bool":     {path: path, header: map[string]string{HeaderIdempotent: "yes"}, status: 400, code: outcome.Invalid},
		"unknown service":           {path: "/v1/services/masks/call", status: 404, code: outcome.NotFound},
		"unknown path":              {path: "/v2/services", status: 404, code: outcome.NotFound},
		"wrong method":              {method: http.MethodDelete, path: path, status: 400, code: outcome.Invalid},
		"body is too large":         {path: path, body: strings.NewReader(strings.Repeat("x", 2048)), status: 413, code: outcome.TooLarge},
		"body is cut":               {path: path, body: cutReader{}, status: 400, code: outcome.Invalid},
		"job is no JSON":            {path: "/v1/jobs", body: strings.NewReader("{"), status: 400, code: outcome.Invalid},
		"job is of another type":    {path: "/v1/jobs", body: strings.NewReader(`{"tasks":7}`), status: 400, code: outcome.Invalid},
		"resource is no JSON":       {method: http.MethodPut, path: "/v1/resources/team/kusweg", body: strings.NewReader("["), status: 400, code: outcome.Invalid},
		"resource is of wrong type": {method: http.MethodPut, path: "/v1/resources/team/kusweg", body: strings.NewReader("7"), status: 400, code: outcome.Invalid},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sender := &fakeSender{}
			services := testServices(t, sender)
			s := settings.Default()
			s.Limits.BodyBytes = 1024
			api := newAPI(s, services.store, nil, services, nil, newMetrics(), newRequestLog(&log.Logger{Handler: discard.Default}),
				nil, newShutdown(s, nil, nil, services.handover))
			method := tt.method
			if method == "" {
				method = http.MethodPost
			}
			request := httptest.NewRequest(method, tt.path, tt.body)
			for k, v := range tt.header {
				request.Header.Set(k, v)
			}
			recorder := httptest.NewRecorder()
			api.Handler().ServeHTTP(recorder, request)
			var answer ErrorAnswer
			is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &answer))
			is.Equal(recorder.Code, tt.status)
			is.Equal(answer.Error.Kind, outcome.NotRun)
			is.Equal(answer.Error.Code, tt.code)
			is.Equal(sender.sent.Load(), int32(0))
		})
	}
}

// TestContextEnds checks the outcome of requests whose caller hangs up, whose
// deadline passes or that a shutdown cuts, while they are queued and while they
// run.
func TestContextEnds(t *testing.T) {
	hangUp := func(ctx context.Context) (context.Context, context.CancelCauseFunc) {
		return context.WithCancelCause(ctx)
	}
	tests := map[string]struct {
		cause  error
		queued bool
		kind   outcome.Kind
		code   outcome.Code
		sent   int32
		retry  bool
	}{
		"caller of a queued request hangs up":  {cause: context.Canceled, queued: true, kind: outcome.NotRun, code: outcome.Cancelled, sent: 1},
		"caller of a running request hangs up": {cause: context.Canceled, kind: outcome.Unknown, code: outcome.Cancelled, sent: 1},
		"deadline of a queued request passes":  {cause: context.DeadlineExceeded, queued: true, kind: outcome.NotRun, code: outcome.DeadlinePassed, sent: 1, retry: true},
		"deadline of a running request passes": {cause: context.DeadlineExceeded, kind: outcome.Unknown, code: outcome.DeadlinePassed, sent: 1, retry: true},
		"host cuts a queued request":           {cause: errCut, queued: true, kind: outcome.NotRun, code: outcome.Shutdown, sent: 1, retry: true},
		"host cuts a running request":          {cause: errCut, kind: outcome.Unknown, code: outcome.Shutdown, sent: 1, retry: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sender := &fakeSender{}
				s := testServices(t, sender)
				if tt.queued {
					go func() { _, _ = s.Do(context.Background(), ServiceRequest{Service: "logs", Body: []byte("5s")}) }()
					synctest.Wait()
				}
				ctx, cancel := hangUp(t.Context())
				start := time.Now()
				time.AfterFunc(time.Second, func() { cancel(tt.cause) })
				_, failure := s.Do(ctx, ServiceRequest{Service: "logs", Body: []byte("5s")})
				is.Equal(time.Since(start), time.Second)
				is.Equal(failure.Kind, tt.kind)
				is.Equal(failure.Code, tt.code)
				is.Equal(failure.RetryAfter > 0, tt.retry)
				time.Sleep(20 * time.Second)
				is.Equal(sender.sent.Load(), tt.sent)
			})
		})
	}
}
