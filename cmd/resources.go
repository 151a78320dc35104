package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
)

// maxWriteTries bounds the attempts at one write of a resource.
const maxWriteTries = 3

// resources is the part of the entry host's API that the resource commands use.
type resources interface {
	Get(ctx context.Context, k resource.Kind, name string) (resource.Object, error)
	Put(ctx context.Context, o resource.Object) (resource.Object, error)
	Patch(ctx context.Context, patch resource.Object) (resource.Object, error)
	Delete(ctx context.Context, k resource.Kind, name string, revision ident.Revision) error
}

// dryRun wraps resources and drops all writes.
type dryRun struct{ resources }

// Put implements resources.
func (dryRun) Put(_ context.Context, o resource.Object) (resource.Object, error) { return o, nil }

// Patch implements resources.
func (dryRun) Patch(_ context.Context, patch resource.Object) (resource.Object, error) {
	return patch, nil
}

// Delete implements resources.
func (dryRun) Delete(context.Context, resource.Kind, string, ident.Revision) error { return nil }

// retryingResources wraps resources and repeats a Put whose outcome is unknown. All
// attempts carry the same operation, so that the write takes effect once.
type retryingResources struct{ resources }

// Put implements resources.
func (r retryingResources) Put(ctx context.Context, o resource.Object) (resource.Object, error) {
	o.Operation = ident.NewToken()
	for try := 1; ; try++ {
		written, err := r.resources.Put(ctx, o)
		if err == nil || try == maxWriteTries || outcome.From(err).Kind != outcome.Unknown {
			return written, err
		}
	}
}

// newResources returns the resource API of the entry host that the flags name.
func (c *Config) newResources(dry bool) resources {
	if dry {
		return dryRun{c.newClient()}
	}
	return retryingResources{c.newClient()}
}

// newWatchClient returns a client without a timeout.
func (c *Config) newWatchClient() *client.Client {
	return client.New(&http.Client{Transport: &http.Transport{DialContext: c.network.DialContext}}, c.server)
}

// parseKind returns the kind with a name. It ignores case and accepts plurals.
func parseKind(text string) (resource.Kind, error) {
	for _, k := range resource.Kinds() {
		if strings.EqualFold(text, string(k)) || strings.EqualFold(text, string(k)+"s") {
			return k, nil
		}
	}
	return "", &usageError{errors.Newf("kind %q is not one of %v", text, resource.Kinds())}
}

// parseKindAndName parses the arguments KIND and NAME.
func parseKindAndName(args []string) (resource.Kind, string, error) {
	kind, err := parseKind(args[0])
	return kind, args[1], err
}

// equalJSON returns true if two JSON texts encode the same value.
func equalJSON(a, b json.RawMessage) bool {
	var left, right any
	return json.Unmarshal(a, &left) == nil && json.Unmarshal(b, &right) == nil && reflect.DeepEqual(left, right)
}

// writeResources prints resources as a table.
func writeResources(w io.Writer, objects []resource.Object) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "KIND\tNAME\tREVISION\tREADY\tREASON\tLABELS")
	for _, o := range objects {
		ready, reason := "unknown", ""
		if o.Status != nil && len(o.Status.Conditions) > 0 {
			first := o.Status.Conditions[0]
			ready, reason = fmt.Sprint(first.Status), first.Reason
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", o.Kind, o.Name, o.Revision, ready, reason, formatLabels(o.Labels))
	}
	return table.Flush()
}

func formatLabels(labels map[string]string) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(labels)) {
		parts = append(parts, k+"="+labels[k])
	}
	return strings.Join(parts, ",")
}
