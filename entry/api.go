package entry

import (
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/ident"
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

// readBody reads the whole body of a request or rejects the request.
func (a *API) readBody(c *gin.Context) ([]byte, bool) {
	limit := a.settings.Limits.BodyBytes
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	if err == nil {
		return data, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuse(c, outcome.New(outcome.NotRun, outcome.TooLarge, "the body is larger than %d bytes", limit))
		return nil, false
	}
	refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "the body was cut: %v", err))
	return nil, false
}
