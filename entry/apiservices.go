package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/ident"
)

// The headers of requests to services.
const (
	// HeaderTeam names the team of the caller.
	HeaderTeam = "Catkingap-Team"
	// HeaderIdempotent is true for requests that may run more than once.
	HeaderIdempotent = "Catkingap-Idempotent"
	// HeaderTimeout is the time that the caller waits, in milliseconds.
	HeaderTimeout = "Catkingap-Timeout"
)

// routeServices adds the paths of requests to services.
func (a *API) routeServices(r *gin.Engine) {
	r.POST("/v1/services/:name/call", a.call)
}

func (a *API) call(c *gin.Context) {
	data, ok := a.body(c)
	if !ok {
		return
	}
	timeout, _ := strconv.Atoi(c.GetHeader(HeaderTimeout))
	answer, failure := a.services.Do(c.Request.Context(), Call{
		Team:       ident.Team(c.GetHeader(HeaderTeam)),
		Service:    ident.Service(c.Param("name")),
		Idempotent: c.GetHeader(HeaderIdempotent) == "true",
		Timeout:    time.Duration(timeout) * time.Millisecond,
		Body:       data,
	})
	if failure != nil {
		refuse(c, failure)
		return
	}
	c.Data(http.StatusOK, "application/json", answer)
}
