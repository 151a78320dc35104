package entry

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/timeline"
)

// routeTimeline adds the paths of the time line.
func (a *API) routeTimeline(r *gin.Engine) {
	r.GET("/v1/timeline", a.timeline)
}

func (a *API) timeline(c *gin.Context) {
	c.JSON(http.StatusOK, a.ring.Events(timeline.Filter{
		Team:    ident.Team(c.Query("team")),
		Job:     ident.JobKey(c.Query("job")),
		Service: ident.Service(c.Query("service")),
	}))
}
