package entry

import (
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/intake"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/settings"
)

// API serves callers and operators over HTTP.
type API struct {
	settings  settings.Settings
	store     *resource.Store
	jobs      *Jobs
	services  *Services
	timelines *Timelines
	metrics   *Metrics
	log       *requestLog
	statuses  *Statuses
	shutdown  *Shutdown
}

func newAPI(s settings.Settings, store *resource.Store, j *Jobs, services *Services, t *Timelines, m *Metrics, l *requestLog, st *Statuses, down *Shutdown) *API {
	return &API{settings: s, store: store, jobs: j, services: services, timelines: t, metrics: m, log: l, statuses: st, shutdown: down}
}

// ErrorAnswer is the body of all error responses.
type ErrorAnswer struct {
	Error *outcome.Error `json:"error"`
	// Revision is the current revision of the resource after a conflict.
	Revision ident.Revision `json:"revision,omitempty"`
	// Problems lists all problems of an invalid resource.
	Problems []resource.Problem `json:"problems,omitempty"`
}

// Handler returns the HTTP handler.
func (a *API) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusNoContent) })
	router.GET("/readyz", a.ready)
	router.GET("/debug/vars", gin.WrapH(a.metrics.set.Handler()))
	router.Use(a.metrics.measure, a.log.log, a.shutdown.middleware)
	a.guard(router)
	a.routeJobs(router)
	a.routeResources(router)
	a.routeServices(router)
	a.routeTimeline(router)
	return router
}

// ready answers 204 from the first applied configuration until the shutdown.
func (a *API) ready(c *gin.Context) {
	if a.shutdown.unready.Load() || a.store.Snapshot().Revision == 0 {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusNoContent)
}

func refuse(c *gin.Context, e *outcome.Error) {
	refuseWith(c, ErrorAnswer{Error: e})
}

func refuseWith(c *gin.Context, answer ErrorAnswer) {
	e := answer.Error
	c.Set(contextOutcome, e)
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	c.JSON(e.Status(), answer)
}

// readBody reads the whole body of a request or rejects the request. What is decoded from it
// is held until the request is answered, and takes what weigh returns.
func (a *API) readBody(c *gin.Context, weigh func([]byte) intake.Bytes) ([]byte, bool) {
	limit := a.settings.Limits.BodyBytes
	data, err := httplimit.ReadBody(c.Writer, c.Request, httplimit.BodyConfig{Limit: limit, Weigh: weigh})
	if err == nil {
		return data, true
	}
	refusal := outcome.New(outcome.NotRun, outcome.Invalid, "the body was cut: %v", err)
	if errors.As(err, new(*http.MaxBytesError)) {
		refusal = outcome.New(outcome.NotRun, outcome.TooLarge, "the body is larger than %d bytes", limit)
	} else if errors.As(err, new(*httplimit.OverloadedError)) {
		refusal = outcome.New(outcome.NotRun, outcome.Busy, "%v", err).WithRetryAfter(storeRetryDelay)
		if c.FullPath() == pathJobs {
			// The body may be that of a resubmission, an earlier attempt of which has run.
			refusal.Kind = outcome.Unknown
		}
	}
	refuse(c, refusal)
	return nil, false
}
