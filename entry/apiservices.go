package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
)

// The headers of requests to services.
const (
	// HeaderTeam is the team of the caller.
	HeaderTeam = "Catkingap-Team"
	// HeaderIdempotent is true for requests that may run more than once.
	HeaderIdempotent = "Catkingap-Idempotent"
	// HeaderTimeout is how long the caller waits, in milliseconds.
	HeaderTimeout = "Catkingap-Timeout"
)

// pathCall is the path for requests to services.
const pathCall = "/v1/services/:name/call"

// routeServices adds the routes for requests to services.
func (a *API) routeServices(r *gin.Engine) {
	r.POST(pathCall, a.call)
}

func (a *API) call(c *gin.Context) {
	call := ServiceRequest{Team: ident.Team(c.GetHeader(HeaderTeam)), Service: ident.Service(c.Param("name"))}
	var invalid *outcome.Error
	if call.Timeout, invalid = timeoutHeader(c.GetHeader(HeaderTimeout)); invalid != nil {
		refuse(c, invalid)
		return
	}
	if call.Idempotent, invalid = idempotentHeader(c.GetHeader(HeaderIdempotent)); invalid != nil {
		refuse(c, invalid)
		return
	}
	var ok bool
	if call.Body, ok = a.readBody(c, httplimit.WeighCopy); !ok {
		return
	}
	answer, failure := a.services.Do(c.Request.Context(), call)
	if failure != nil {
		refuse(c, failure)
		return
	}
	c.Data(http.StatusOK, "application/json", answer)
}

// timeoutHeader parses the value of HeaderTimeout. It returns zero if the caller
// gave none.
func timeoutHeader(value string) (time.Duration, *outcome.Error) {
	if value == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	if err != nil || milliseconds <= 0 || milliseconds > maxTimeout.Milliseconds() {
		return 0, outcome.New(outcome.NotRun, outcome.Invalid, "header %s: %q is not a number of milliseconds from 1 to %d",
			HeaderTimeout, value, maxTimeout.Milliseconds())
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// idempotentHeader parses the value of HeaderIdempotent.
func idempotentHeader(value string) (bool, *outcome.Error) {
	switch value {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	}
	return false, outcome.New(outcome.NotRun, outcome.Invalid, "header %s: %q is neither true nor false", HeaderIdempotent, value)
}
