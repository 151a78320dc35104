package entry

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
)

// routeResources adds the paths of resources.
func (a *API) routeResources(r *gin.Engine) {
	r.GET("/v1/resources/:kind", a.listResources)
	r.GET("/v1/resources/:kind/:name", a.getResource)
	r.PUT("/v1/resources/:kind/:name", a.putResource)
}

func (a *API) listResources(c *gin.Context) {
	objects := []resource.Object{}
	for _, o := range a.store.Snapshot().Objects[resource.Kind(c.Param("kind"))] {
		objects = append(objects, o)
	}
	c.JSON(http.StatusOK, objects)
}

func (a *API) getResource(c *gin.Context) {
	o, ok := a.store.Snapshot().Objects[resource.Kind(c.Param("kind"))][c.Param("name")]
	if !ok {
		refuse(c, outcome.New(outcome.NotRun, outcome.NotFound, "there is no %s %s", c.Param("kind"), c.Param("name")))
		return
	}
	c.JSON(http.StatusOK, o)
}

func (a *API) putResource(c *gin.Context) {
	data, ok := a.body(c)
	if !ok {
		return
	}
	var o resource.Object
	if err := json.Unmarshal(data, &o); err != nil {
		refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "the body is not a resource: %v", err))
		return
	}
	o.Kind, o.Name = resource.Kind(c.Param("kind")), c.Param("name")
	revision, err := a.store.Write(c.Request.Context(), resource.Change{Object: o})
	var conflict *resource.ConflictError
	switch {
	case errors.As(err, &conflict):
		refuse(c, outcome.New(outcome.NotRun, outcome.Conflict, "%v", err))
	case err != nil:
		refuse(c, outcome.New(outcome.Unknown, outcome.StoreDown, "%v", err).After(storeRetry))
	default:
		o.Revision = revision
		c.JSON(http.StatusOK, o)
	}
}
