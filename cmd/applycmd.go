package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
)

// applyOrder is the order in which kinds are written, so that a resource exists
// before others refer to it.
var applyOrder = []resource.Kind{resource.KindTeam, resource.KindPool, resource.KindService, resource.KindBackendServer}

// document is one document of a file of resources.
type document struct {
	Kind   string            `yaml:"kind"`
	Name   string            `yaml:"name"`
	Labels map[string]string `yaml:"labels"`
	Spec   map[string]any    `yaml:"spec"`
}

func (c *Config) newApplyCmd() *cobra.Command {
	var file string
	var dry bool
	command := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Make resources as a YAML file declares them",
		Long: "Reads YAML documents of kind, name, labels and spec, and creates or changes\n" +
			"the resources that differ. All documents are checked before the first write.",
		Example: "  catkingap apply -f resources.yaml --dry-run",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.runApplyCmd(command.Context(), file, dry)
		},
	}
	command.Flags().StringVarP(&file, "file", "f", "", "YAML file, - for the standard input")
	command.Flags().BoolVar(&dry, "dry-run", false, "print what would change and write nothing")
	_ = command.MarkFlagRequired("file")
	return command
}

func (c *Config) runApplyCmd(ctx context.Context, file string, dry bool) error {
	objects, err := c.readResources(file)
	if err != nil {
		return &usageError{err}
	}
	target, suffix := c.newResources(dry), ""
	if dry {
		suffix = " (dry run)"
	}
	for _, o := range objects {
		change, err := apply(ctx, target, o)
		if err != nil {
			return errors.Wrapf(err, "%s %s", o.Kind, o.Name)
		}
		fmt.Fprintf(c.stdout, "%s %s %s%s\n", o.Kind, o.Name, change, suffix)
	}
	return nil
}

// apply creates or changes one resource as declared and returns what it did.
func apply(ctx context.Context, target resources, o resource.Object) (string, error) {
	present, err := target.Get(ctx, o.Kind, o.Name)
	if err != nil && outcome.From(err).Code != outcome.NotFound {
		return "", err
	}
	if err == nil && equalJSON(present.Spec, o.Spec) && maps.Equal(present.Labels, o.Labels) {
		return "unchanged", nil
	}
	done := "changed"
	if err != nil {
		done = "created"
	}
	o.Revision = present.Revision
	_, err = target.Put(ctx, o)
	return done, err
}

// readResources reads and checks all documents of a file.
func (c *Config) readResources(file string) ([]resource.Object, error) {
	reader := c.stdin
	if file != "-" {
		opened, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer opened.Close()
		reader = opened
	}
	decoder := yaml.NewDecoder(reader, yaml.Strict())
	var objects []resource.Object
	var failed error
	for number := 1; ; number++ {
		var d document
		err := decoder.Decode(&d)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Newf("%s: document %d: %s", file, number, yaml.FormatError(err, false, false))
		}
		o, err := d.resource()
		if err != nil {
			failed = errors.Join(failed, errors.Wrapf(err, "%s: document %d", file, number))
		}
		objects = append(objects, o)
	}
	if failed == nil && len(objects) == 0 {
		failed = errors.Newf("%s: no document", file)
	}
	slices.SortStableFunc(objects, func(a, b resource.Object) int {
		return slices.Index(applyOrder, a.Kind) - slices.Index(applyOrder, b.Kind)
	})
	return objects, failed
}

// resource returns the checked resource of a document.
func (d document) resource() (resource.Object, error) {
	if d.Spec == nil {
		d.Spec = map[string]any{}
	}
	spec, err := json.Marshal(d.Spec)
	if err != nil {
		return resource.Object{}, err
	}
	o := resource.Object{Kind: resource.Kind(d.Kind), Name: d.Name, Labels: d.Labels, Spec: spec}
	return o, resource.Check(o)
}
