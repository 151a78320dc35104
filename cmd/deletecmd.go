package cmd

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/ident"
)

func (c *Config) newDeleteCmd() *cobra.Command {
	var revision int64
	command := &cobra.Command{
		Use:   "delete KIND NAME",
		Short: "Delete a resource",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return c.runDeleteCmd(command.Context(), args, ident.Revision(revision))
		},
	}
	command.Flags().Int64Var(&revision, "revision", 0, "delete only if the resource is at this revision; 0 is the present one")
	return command
}

func (c *Config) runDeleteCmd(ctx context.Context, args []string, revision ident.Revision) error {
	kind, name, err := parseKindAndName(args)
	if err != nil {
		return err
	}
	target := c.newResources(false)
	if revision == 0 {
		o, err := target.Get(ctx, kind, name)
		if err != nil {
			return errors.Wrapf(err, "%s %s", kind, name)
		}
		revision = o.Revision
	}
	if err := target.Delete(ctx, kind, name, revision); err != nil {
		return errors.Wrapf(err, "%s %s", kind, name)
	}
	_, err = fmt.Fprintf(c.stdout, "%s %s deleted\n", kind, name)
	return err
}
