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

	"github.com/catkingap/catkingap/httplimit"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
	"github.com/catkingap/catkingap/storage"
	"github.com/catkingap/catkingap/timeline"
)

const (
	// writeTimeout bounds the write of a resource, including the time to find
	// out whether an uncertain write took effect.
	writeTimeout = 10 * time.Second
	// maxPageSize bounds the resources of one page.
	maxPageSize = 500
)

// ResourceList is one page of resources, sorted by name.
type ResourceList struct {
	// Revision is the revision from which a watch continues after the list.
	Revision   ident.Revision `json:"revision"`
	Host       ident.Host     `json:"host"`
	ObservedAt time.Time      `json:"observedAt"`
	StaleMS    int64          `json:"staleMs"`
	// Continue is the token for the next page. It is empty on the last page.
	Continue string            `json:"continue,omitempty"`
	Items    []resource.Object `json:"items"`
}

// routeResources adds the routes for resources.
func (a *API) routeResources(r *gin.Engine) {
	r.GET("/v1/resources/:kind", a.requireKind(a.listResources))
	r.GET("/v1/resources/:kind/:name", a.requireKind(a.getResource))
	r.POST("/v1/resources/:kind", a.requireKind(a.createResource))
	r.PUT("/v1/resources/:kind/:name", a.requireKind(a.putResource))
	r.PATCH("/v1/resources/:kind/:name", a.requireKind(a.patchResource))
	r.DELETE("/v1/resources/:kind/:name", a.requireKind(a.deleteResource))
	r.GET("/v1/watch/:kind", a.requireKind(a.watchResources))
}

// requireKind rejects requests for kinds that do not exist.
func (a *API) requireKind(next func(*gin.Context, resource.Kind)) gin.HandlerFunc {
	return func(c *gin.Context) {
		kind := resource.Kind(c.Param("kind"))
		if !slices.Contains(resource.Kinds(), kind) {
			refuse(c, outcome.New(outcome.NotRun, outcome.Invalid, "kind %q is not one of %v", kind, resource.Kinds()))
			return
		}
		next(c, kind)
	}
}

// page holds the query of a list request.
type page struct {
	limit    int
	after    string
	revision ident.Revision
	labels   map[string]string
}

// parsePage parses the query of a list request. The continue token is the
// revision of the first page and the last name, joined by a slash.
func parsePage(c *gin.Context) (page, error) {
	p := page{limit: maxPageSize, labels: map[string]string{}}
	if text := c.Query("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 {
			return p, errors.Newf("limit %q is not a positive number", text)
		}
		p.limit = min(limit, maxPageSize)
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

func (p page) matches(o resource.Object) bool {
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
		refuse(c, outcome.New(outcome.NotRun, outcome.Busy, "this host is at revision %d yet, before %d of the first page", snapshot.Revision, p.revision).WithRetryAfter(storeRetryDelay))
		return
	}
	now := time.Now()
	list := ResourceList{Revision: snapshot.Revision, Host: a.settings.Host, Items: []resource.Object{}}
	if p.revision > 0 {
		// A watch from the first page's revision reports all later changes.
		list.Revision = p.revision
	}
	list.ObservedAt, list.StaleMS = a.statuses.observed(now)
	for _, name := range slices.Sorted(maps.Keys(snapshot.Objects[kind])) {
		o := snapshot.Objects[kind][name]
		if !p.matches(o) {
			continue
		}
		if len(list.Items) == p.limit {
			last := list.Items[p.limit-1].Name
			list.Continue = strconv.FormatInt(int64(list.Revision), 10) + "/" + last
			break
		}
		list.Items = append(list.Items, a.statuses.withStatus(now, o))
	}
	c.JSON(http.StatusOK, list)
}

func (a *API) getResource(c *gin.Context, kind resource.Kind) {
	o, ok := a.store.Snapshot().Objects[kind][c.Param("name")]
	if !ok {
		refuse(c, notFoundError(kind, c.Param("name")))
		return
	}
	c.JSON(http.StatusOK, a.statuses.withStatus(time.Now(), o))
}

func notFoundError(kind resource.Kind, name string) *outcome.Error {
	return outcome.New(outcome.NotRun, outcome.NotFound, "there is no %s %s", kind, name)
}

// readObject decodes the body of a write.
func (a *API) readObject(c *gin.Context, kind resource.Kind) (resource.Object, bool) {
	var o resource.Object
	data, ok := a.readBody(c, httplimit.WeighCopy)
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

// patchResource merges the body into the resource at the revision given in the
// body, as specified by RFC 7396.
func (a *API) patchResource(c *gin.Context, kind resource.Kind) {
	patch, ok := a.readObject(c, kind)
	if !ok {
		return
	}
	present, ok := a.store.Snapshot().Objects[kind][patch.Name]
	if !ok {
		refuse(c, notFoundError(kind, patch.Name))
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

// write makes a change and responds once it is known whether it took effect.
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

// writeRefusal responds to a write that failed with err.
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
		answer.Error = outcome.New(outcome.NotRun, outcome.StoreDown, "%v", err).WithRetryAfter(storeRetryDelay)
	default:
		answer.Error = outcome.New(outcome.Unknown, outcome.StoreDown, "%v", err).WithRetryAfter(storeRetryDelay)
	}
	refuseWith(c, answer)
}
