package entry

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

const (
	// writeTimeout bounds a write of a resource with the time to settle it.
	writeTimeout = 10 * time.Second
	// maxPage bounds the resources of one page.
	maxPage = 500
)

// ResourceList is one page of resources in order of their names.
type ResourceList struct {
	// Revision is the revision that a watch after the list starts from.
	Revision   ident.Revision `json:"revision"`
	Host       ident.Host     `json:"host"`
	ObservedAt time.Time      `json:"observedAt"`
	StaleMS    int64          `json:"staleMs"`
	// Continue asks for the next page. It is empty on the last.
	Continue string            `json:"continue,omitempty"`
	Items    []resource.Object `json:"items"`
}

// routeResources adds the paths of resources.
func (a *API) routeResources(r *gin.Engine) {
	r.GET("/v1/resources/:kind", a.known(a.listResources))
	r.GET("/v1/resources/:kind/:name", a.known(a.getResource))
	r.POST("/v1/resources/:kind", a.known(a.createResource))
	r.PUT("/v1/resources/:kind/:name", a.known(a.putResource))
	r.PATCH("/v1/resources/:kind/:name", a.known(a.patchResource))
	r.DELETE("/v1/resources/:kind/:name", a.known(a.deleteResource))
	r.GET("/v1/watch/:kind", a.known(a.watchResources))
}

// known refuses kinds that do not exist.
func (a *API) known(next func(*gin.Context, resource.Kind)) gin.HandlerFunc {
	return func(c *gin.Context) {
		kind := resource.Kind(c.Param("kind"))
		if !slices.Contains(resource.Kinds(), kind) {
			refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "kind %q is not one of %v", kind, resource.Kinds()))
			return
		}
		next(c, kind)
	}
}

// page is what a list asks for.
type page struct {
	limit    int
	after    string
	revision ident.Revision
	labels   map[string]string
}

// parsePage reads the query of a list. The continue token is the revision of
// the first page and the last name, joined by a slash.
func parsePage(c *gin.Context) (page, error) {
	p := page{limit: maxPage, labels: map[string]string{}}
	if text := c.Query("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			return p, errors.Newf("limit %q is not a positive number", text)
		}
		p.limit = min(limit, maxPage)
	}
	if token := c.Query("continue"); token != "" {
		text, after, ok := strings.Cut(token, "/")
		revision, err := strconv.ParseInt(text, 10, 64)
		if !ok || err != nil {
			return p, errors.Newf("continue token %q is not one of a list", token)
		}
		p.after, p.revision = after, ident.Revision(revision)
	}
	for _, pair := range strings.FieldsFunc(c.Query("labels"), func(r rune) bool { return r == ',' }) {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return p, errors.Newf("label %q is not of the form key=value", pair)
		}
		p.labels[key] = value
	}
	return p, nil
}

func (p page) match(o resource.Object) bool {
	for key, value := range p.labels {
		if present, ok := o.Labels[key]; !ok || present != value {
			return false
		}
	}
	return o.Name > p.after
}

func (a *API) listResources(c *gin.Context, kind resource.Kind) {
	p, err := parsePage(c)
	if err != nil {
		refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "%v", err))
		return
	}
	snapshot := a.store.Snapshot()
	if snapshot.Revision < p.revision {
		refuse(c, outcome.New(outcome.NotRun, outcome.Busy, "this host is at revision %d yet, before %d of the first page", snapshot.Revision, p.revision).After(storeRetry))
		return
	}
	now := time.Now()
	list := ResourceList{Revision: snapshot.Revision, Host: a.settings.Host, Items: []resource.Object{}}
	if p.revision > 0 {
		// A watch from the first page's revision tells what changed since.
		list.Revision = p.revision
	}
	list.ObservedAt, list.StaleMS = a.statuses.observed(now)
	for _, name := range slices.Sorted(maps.Keys(snapshot.Objects[kind])) {
		o := snapshot.Objects[kind][name]
		if !p.match(o) {
			continue
		}
		if len(list.Items) == p.limit {
			last := list.Items[p.limit-1].Name
			list.Continue = strconv.FormatInt(int64(list.Revision), 10) + "/" + last
			break
		}
		list.Items = append(list.Items, a.statuses.with(now, o))
	}
	c.JSON(http.StatusOK, list)
}

func (a *API) getResource(c *gin.Context, kind resource.Kind) {
	o, ok := a.store.Snapshot().Objects[kind][c.Param("name")]
	if !ok {
		refuse(c, missing(kind, c.Param("name")))
		return
	}
	c.JSON(http.StatusOK, a.statuses.with(time.Now(), o))
}

func missing(kind resource.Kind, name string) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.NotFound, "there is no %s %s", kind, name)
}

// readObject decodes the body of a write.
func (a *API) readObject(c *gin.Context, kind resource.Kind) (resource.Object, bool) {
	var o resource.Object
	data, ok := a.body(c)
	if !ok {
		return o, false
	}
	if err := json.Unmarshal(data, &o); err != nil {
		refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "the body is not a resource: %v", err))
		return o, false
	}
	if (o.Kind != "" && o.Kind != kind) || (o.Name != "" && c.Param("name") != "" && o.Name != c.Param("name")) {
		refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "the body is %s %s, not what the path names", o.Kind, o.Name))
		return o, false
	}
	o.Kind, o.Status = kind, nil
	if name := c.Param("name"); name != "" {
		o.Name = name
	}
	return o, true
}

func (a *API) createResource(c *gin.Context, kind resource.Kind) {
	o, ok := a.readObject(c, kind)
	if !ok {
		return
	}
	o.Revision = 0
	a.write(c, resource.Change{Object: o}, http.StatusCreated)
}

func (a *API) putResource(c *gin.Context, kind resource.Kind) {
	if o, ok := a.readObject(c, kind); ok {
		a.write(c, resource.Change{Object: o}, http.StatusOK)
	}
}

// patchResource merges the body into the resource at the revision that the
// body names, after RFC 7396.
func (a *API) patchResource(c *gin.Context, kind resource.Kind) {
	patch, ok := a.readObject(c, kind)
	if !ok {
		return
	}
	present, ok := a.store.Snapshot().Objects[kind][patch.Name]
	if !ok {
		refuse(c, missing(kind, patch.Name))
		return
	}
	if patch.Revision != present.Revision {
		writeRefusal(c, &resource.ConflictError{Kind: kind, Name: patch.Name, Present: present.Revision})
		return
	}
	next, err := resource.Patch(present, patch)
	if err != nil {
		refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "%v", err))
		return
	}
	a.write(c, resource.Change{Object: next}, http.StatusOK)
}

func (a *API) deleteResource(c *gin.Context, kind resource.Kind) {
	revision, err := strconv.ParseInt(c.Query("revision"), 10, 64)
	if err != nil || revision < 1 {
		refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "revision %q is not the revision of a resource", c.Query("revision")))
		return
	}
	a.write(c, resource.Change{Delete: true, Object: resource.Object{
		Kind: kind, Name: c.Param("name"), Revision: ident.Revision(revision), Operation: c.Query("operation"),
	}}, http.StatusOK)
}

// write makes a change and answers once it is known whether it took effect.
func (a *API) write(c *gin.Context, change resource.Change, status int) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), writeTimeout)
	defer cancel()
	revision, err := a.store.Write(ctx, change)
	if err != nil {
		writeRefusal(c, err)
		return
	}
	o := change.Object
	o.Revision = revision
	a.timelines.ring.Add(time.Now(), timeline.Event{Kind: timeline.ConfigWritten, Revision: revision, Detail: string(o.Kind) + " " + o.Name})
	c.JSON(status, o)
}

// writeRefusal answers a write that has no revision.
func writeRefusal(c *gin.Context, err error) {
	answer := ErrorAnswer{}
	var conflict *resource.ConflictError
	var invalid *resource.InvalidError
	var notSent *storage.NotSentError
	switch {
	case errors.As(err, &conflict) && conflict.Present == 0:
		answer.Error = outcome.New(outcome.NotRun, outcome.NotFound, "%v", conflict)
	case errors.As(err, &conflict):
		answer.Error = outcome.New(outcome.NotRun, outcome.Conflict, "%v", conflict)
		answer.Revision = conflict.Present
	case errors.As(err, &invalid):
		answer.Error = outcome.New(outcome.NotRun, outcome.Invalid, "%v", invalid)
		answer.Problems = invalid.Problems
	case errors.As(err, &notSent):
		answer.Error = outcome.New(outcome.NotRun, outcome.StoreDown, "%v", err).After(storeRetry)
	default:
		answer.Error = outcome.New(outcome.Unknown, outcome.StoreDown, "%v", err).After(storeRetry)
	}
	refuseWith(c, answer)
}
