package entry

import (
	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/outcome"
)

// guard makes the router return an ErrorAnswer for unknown paths, unsupported
// methods and handlers that panic too.
func (a *API) guard(r *gin.Engine) {
	r.HandleMethodNotAllowed = true
	r.NoRoute(func(c *gin.Context) {
		refuse(c, outcome.New(outcome.NotRun, outcome.NotFound, "there is no path %s", c.Request.URL.Path))
	})
	r.NoMethod(func(c *gin.Context) {
		refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "path %s takes no %s", c.Request.URL.Path, c.Request.Method))
	})
	r.Use(gin.CustomRecoveryWithWriter(nil, func(c *gin.Context, cause any) {
		refuse(c, outcome.New(outcome.Unknown, outcome.Internal, "%v", cause))
	}))
}
