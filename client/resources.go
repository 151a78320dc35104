package client

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
)

// maxWatchLineBytes bounds one event of a watch.
const maxWatchLineBytes = 4 << 20

// ResourceError is returned if a host refused to write a resource.
type ResourceError struct {
	Outcome *outcome.Error
	// CurrentRevision is the current revision of the resource, if the write named
	// another one.
	CurrentRevision ident.Revision
	// Problems lists everything that is wrong with the resource.
	Problems []resource.Problem
}

// Error implements error.
func (e *ResourceError) Error() string { return e.Outcome.Error() }

// Unwrap returns the outcome.
func (e *ResourceError) Unwrap() error { return e.Outcome }

// Put creates or replaces a resource and returns its new state. If it is repeated
// with the same operation, it takes effect once.
func (c *Client) Put(ctx context.Context, o resource.Object) (resource.Object, error) {
	return c.writeResource(ctx, http.MethodPut, resourcePath(o.Kind, o.Name), o)
}

// Create creates a resource that does not exist yet.
func (c *Client) Create(ctx context.Context, o resource.Object) (resource.Object, error) {
	return c.writeResource(ctx, http.MethodPost, "/v1/resources/"+url.PathEscape(string(o.Kind)), o)
}

// Patch merges the spec and the labels of patch into the resource, which must be
// at the revision that patch names.
func (c *Client) Patch(ctx context.Context, patch resource.Object) (resource.Object, error) {
	return c.writeResource(ctx, http.MethodPatch, resourcePath(patch.Kind, patch.Name), patch)
}

func (c *Client) writeResource(ctx context.Context, method, path string, o resource.Object) (resource.Object, error) {
	if o.Operation == "" {
		o.Operation = ident.NewToken()
	}
	body, err := json.Marshal(o)
	if err != nil {
		return o, outcome.New(outcome.NotRun, outcome.Invalid, "%v", err)
	}
	var written resource.Object
	err = c.do(ctx, method, path, nil, body, &written)
	return written, err
}

// Delete deletes a resource, which must be at the given revision.
func (c *Client) Delete(ctx context.Context, k resource.Kind, name string, revision ident.Revision) error {
	query := url.Values{"revision": {strconv.FormatInt(int64(revision), 10)}, "operation": {ident.NewToken()}}
	return c.do(ctx, http.MethodDelete, resourcePath(k, name)+"?"+query.Encode(), nil, nil, nil)
}

// Get returns a resource.
func (c *Client) Get(ctx context.Context, k resource.Kind, name string) (resource.Object, error) {
	var o resource.Object
	err := c.do(ctx, http.MethodGet, resourcePath(k, name), nil, nil, &o)
	return o, err
}

// ListOptions selects resources.
type ListOptions struct {
	// Limit bounds one page. Zero means as many as the host allows.
	Limit int
	// Continue is the continuation token of the previous page.
	Continue string
	// Labels selects by labels, in the form key=value,key=value.
	Labels string
}

// List returns one page of resources.
func (c *Client) List(ctx context.Context, k resource.Kind, l ListOptions) (entry.ResourceList, error) {
	query := url.Values{"continue": {l.Continue}, "labels": {l.Labels}}
	if l.Limit > 0 {
		query.Set("limit", strconv.Itoa(l.Limit))
	}
	var list entry.ResourceList
	err := c.do(ctx, http.MethodGet, "/v1/resources/"+url.PathEscape(string(k))+"?"+query.Encode(), nil, nil, &list)
	return list, err
}

// ListAll returns all resources of a kind that labels select, with the
// revision of the first page.
func (c *Client) ListAll(ctx context.Context, k resource.Kind, labels string) (entry.ResourceList, error) {
	all, err := c.List(ctx, k, ListOptions{Labels: labels})
	for err == nil && all.Continue != "" {
		var next entry.ResourceList
		next, err = c.List(ctx, k, ListOptions{Labels: labels, Continue: all.Continue})
		all.Items, all.Continue = append(all.Items, next.Items...), next.Continue
	}
	return all, err
}

// Watch calls f with each change of a kind after a revision until ctx ends, f
// returns an error or the connection breaks. It returns an *outcome.Error with
// the code gone if the caller must list the resources again.
func (c *Client) Watch(ctx context.Context, k resource.Kind, revision ident.Revision, f func(entry.WatchEvent) error) error {
	path := "/v1/watch/" + url.PathEscape(string(k)) + "?revision=" + strconv.FormatInt(int64(revision), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+path, nil)
	if err != nil {
		return outcome.New(outcome.NotRun, outcome.Invalid, "%v", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return outcome.New(outcome.NotRun, outcome.Unreachable, "%v", err)
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxWatchLineBytes)
	for scanner.Scan() {
		if response.StatusCode != http.StatusOK {
			return decodeFailure(response.Status, scanner.Bytes())
		}
		var line struct {
			entry.WatchEvent
			Error *outcome.Error `json:"error"`
		}
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return outcome.New(outcome.NotRun, outcome.WrongAnswer, "%v", err)
		}
		if line.Error != nil {
			return line.Error
		}
		if err := f(line.WatchEvent); err != nil {
			return err
		}
	}
	return outcome.New(outcome.NotRun, outcome.LinkLost, "the watch ended: %v", scanner.Err())
}

func resourcePath(k resource.Kind, name string) string {
	return "/v1/resources/" + url.PathEscape(string(k)) + "/" + url.PathEscape(name)
}
