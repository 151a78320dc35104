package cmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/resource"
)

func (c *Config) newDescribeCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "describe KIND NAME",
		Short: "Print a resource with its conditions and the age of the answer",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return c.runDescribeCmd(command.Context(), args)
		},
	}
}

func (c *Config) runDescribeCmd(ctx context.Context, args []string) error {
	kind, name, err := parseKindAndName(args)
	if err != nil {
		return err
	}
	o, err := c.newClient().Get(ctx, kind, name)
	if err != nil {
		return errors.Wrapf(err, "%s %s", kind, name)
	}
	return describe(c.stdout, o)
}

func describe(w io.Writer, o resource.Object) error {
	spec, err := yaml.JSONToYAML(o.Spec)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "kind: %s\nname: %s\nrevision: %d\nlabels: %s\n", o.Kind, o.Name, o.Revision, formatLabels(o.Labels))
	fmt.Fprintf(w, "spec:\n%s", spec)
	if o.Status == nil {
		return nil
	}
	fmt.Fprintf(w, "seen by %s, which heard from the table %s ago\n", o.Status.Host, time.Duration(o.Status.StaleMS)*time.Millisecond)
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "CONDITION\tSTATUS\tREASON\tSINCE\tMESSAGE")
	for _, k := range o.Status.Conditions {
		fmt.Fprintf(table, "%s\t%t\t%s\t%s\t%s\n", k.Type, k.Status, k.Reason, k.Since.Format(time.RFC3339), k.Message)
	}
	return table.Flush()
}
