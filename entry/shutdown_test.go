package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/peer"
	"github.com/catkingap/catkingap/settings"
	"github.com/catkingap/catkingap/storage"
)

// TestAnswersAskToClose checks that each response of a host that shuts down asks
// the caller to open a new connection, and that submissions are rejected once the
// handover has begun.
func TestAnswersAskToClose(t *testing.T) {
	is := is.New(t)
	services := testServices(t, &fakeSender{})
	s := settings.Default()
	shutdown := newShutdown(s, nil, nil, services.handover)
	handler := newAPI(s, services.store, nil, services, nil, newMetrics(), newRequestLog(&log.Logger{Handler: discard.Default}), nil, shutdown).Handler()
	post := func(path string) *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, strings.NewReader("1ms")))
		return recorder
	}
	is.Equal(post("/v1/services/logs/call").Header().Get("Connection"), "")
	shutdown.unready.Store(true)
	for _, path := range []string{"/v1/services/logs/call", "/v1/services/masks/call", "/nowhere"} {
		is.Equal(post(path).Header().Get("Connection"), "close")
	}
	services.handover.begin()
	refused := post("/v1/jobs")
	is.Equal(refused.Code, http.StatusServiceUnavailable)
	is.Equal(refused.Header().Get("Retry-After"), "1")
	is.Equal(post("/v1/services/logs/call").Code, http.StatusOK)
	is.Equal(shutdown.open.Load(), int64(0))
}

// TestJudgeHandover checks which requests may be forwarded to a further host after
// the answer or error of one host.
func TestJudgeHandover(t *testing.T) {
	ran, refused := outcome.New(outcome.Failed, outcome.TaskFailed, ""), outcome.New(outcome.NotRun, outcome.QueueFull, "")
	tests := map[string]struct {
		idempotent   bool
		answer       HandoverAnswer
		err          error
		contextEnded bool
		taken        bool
		kind         outcome.Kind
	}{
		"answered":                        {answer: HandoverAnswer{Answer: []byte("1")}, taken: true},
		"failed":                          {answer: HandoverAnswer{Failure: ran}, taken: true, kind: outcome.Failed},
		"refused":                         {answer: HandoverAnswer{Failure: refused}},
		"refused, context ended":          {answer: HandoverAnswer{Failure: refused}, contextEnded: true, taken: true, kind: outcome.NotRun},
		"not reached":                     {err: &peer.UnreachableError{Cause: errCut}},
		"not reached, context ended":      {err: &peer.UnreachableError{Cause: errCut}, contextEnded: true, taken: true, kind: outcome.NotRun},
		"lost":                            {err: errors.New("link closed"), taken: true, kind: outcome.Unknown},
		"lost, context ended":             {err: errors.New("link closed"), contextEnded: true, taken: true, kind: outcome.Unknown},
		"idempotent and lost":             {err: errors.New("link closed"), idempotent: true},
		"idempotent, lost, context ended": {err: errors.New("link closed"), idempotent: true, contextEnded: true, taken: true, kind: outcome.Unknown},
		"idempotent and not reached":      {err: &peer.UnreachableError{Cause: errCut}, idempotent: true},
		"idempotent, failed, not resent":  {answer: HandoverAnswer{Failure: ran}, idempotent: true, taken: true, kind: outcome.Failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.contextEnded {
				cancel()
			}
			r, taken := handoverResult(ctx, ServiceRequest{Idempotent: tt.idempotent}, tt.answer, tt.err)
			is.Equal(taken, tt.taken)
			if tt.kind != "" {
				is.Equal(r.failure.Kind, tt.kind)
			}
		})
	}
}

// TestLostHandoverIsNotNotRun breaks the link after another host accepted an
// idempotent request, and no host can run it again in time. The outcome must be
// unknown, since the request may have run.
func TestLostHandoverIsNotNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory, logger := newNetwork(), &log.Logger{Handler: discard.New()}
		taker := newLinks(logger, memory.Site("entry-2"))
		peer.Handle(taker, kindHandover, func(context.Context, ServiceRequest) (HandoverAnswer, error) {
			taker.Close()
			return HandoverAnswer{}, nil
		})
		listener, err := memory.Site("entry-2").Listen("entry-2:1")
		is.NoErr(err)
		defer listener.Close()
		go func() { _ = taker.Serve(listener) }()
		sender := &fakeSender{}
		services := testServices(t, sender)
		services.handover = newHandover(testIdentity(), newDirectory(), newLinks(logger, memory.Site("entry-1")))
		defer services.handover.links.Close()
		services.handover.acceptingHosts = []storage.Member{{ID: "entry-2", Address: "entry-2:1"}}
		services.handover.offerOnce.Do(func() {})
		go func() { _, _ = services.Do(t.Context(), ServiceRequest{Service: "logs", Body: []byte("2s")}) }()
		synctest.Wait() // the only slot is in use
		services.handover.begin()
		_, failure := services.Do(t.Context(), ServiceRequest{Service: "logs", Idempotent: true, Timeout: time.Second, Body: []byte("1ms")})
		is.Equal(failure.Kind, outcome.Unknown)
		is.Equal(failure.Code, outcome.DeadlinePassed)
		time.Sleep(2 * time.Second)
		is.Equal(sender.sent.Load(), int32(1))
	})
}

// TestResubmissionAtShutdown checks the refusal of submissions during a shutdown:
// it must not say of a resubmission that it did not run.
func TestResubmissionAtShutdown(t *testing.T) {
	tests := map[string]struct {
		body string
		kind outcome.Kind
	}{
		"first":        {body: `{"team":"kusweg","key":"j","pool":"logs","tasks":[{"index":0}]}`, kind: outcome.NotRun},
		"resubmission": {body: `{"team":"kusweg","key":"j","pool":"logs","tasks":[{"index":0}],"resubmission":true}`, kind: outcome.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			services := testServices(t, &fakeSender{})
			s := settings.Default()
			shutdown := newShutdown(s, nil, nil, services.handover)
			handler := newAPI(s, services.store, nil, services, nil, newMetrics(), newRequestLog(&log.Logger{Handler: discard.Default}), nil, shutdown).Handler()
			services.handover.begin()
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, pathJobs, strings.NewReader(tt.body)))
			var answer ErrorAnswer
			is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &answer))
			is.Equal(answer.Error.Kind, tt.kind)
			is.Equal(answer.Error.Code, outcome.Shutdown)
			is.Equal(recorder.Header().Get("Retry-After"), "1")
		})
	}
}
