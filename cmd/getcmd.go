package cmd

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/resource"
)

// getCmdConfig holds the flags of the get command.
type getCmdConfig struct {
	labels string
	output string
}

func (c *Config) newGetCmd() *cobra.Command {
	var g getCmdConfig
	command := &cobra.Command{
		Use:     "get KIND [NAME]",
		Short:   "Print resources",
		Example: "  catkingap get backendServers -l rack=3 -o yaml",
		Args:    cobra.RangeArgs(1, 2),
		RunE: func(command *cobra.Command, args []string) error {
			return c.runGetCmd(command.Context(), args, g)
		},
	}
	command.Flags().StringVarP(&g.labels, "labels", "l", "", "labels to choose by, as in key=value,key=value")
	addOutputFlag(command.Flags(), &g.output)
	return command
}

func (c *Config) runGetCmd(ctx context.Context, args []string, g getCmdConfig) error {
	kind, err := parseKind(args[0])
	if err != nil {
		return err
	}
	if len(args) == 2 {
		o, err := c.newClient().Get(ctx, kind, args[1])
		if err != nil {
			return errors.Wrapf(err, "%s %s", kind, args[1])
		}
		return c.write(g.output, o, func(w io.Writer) error { return writeResources(w, []resource.Object{o}) })
	}
	list, err := c.newClient().ListAll(ctx, kind, g.labels)
	if err != nil {
		return errors.Wrap(err, string(kind))
	}
	return c.write(g.output, list, func(w io.Writer) error { return writeResources(w, list.Items) })
}
