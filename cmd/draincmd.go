package cmd

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
)

func (c *Config) newDrainCmd() *cobra.Command {
	var undo bool
	command := &cobra.Command{
		Use:   "drain SERVER",
		Short: "Give a backend server no new work",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return c.runDrainCmd(command.Context(), args[0], !undo)
		},
	}
	command.Flags().BoolVar(&undo, "undo", false, "give the server work again")
	return command
}

func (c *Config) runDrainCmd(ctx context.Context, name string, drain bool) error {
	if err := patchDrain(ctx, c.newResources(false), name, drain); err != nil {
		return errors.Wrapf(err, "%s %s", resource.KindBackendServer, name)
	}
	state := "drains"
	if !drain {
		state = "serves again"
	}
	_, err := fmt.Fprintf(c.stdout, "%s %s %s\n", resource.KindBackendServer, name, state)
	return err
}

// patchDrain changes the drain field of a backend server. It retries on a conflict,
// so that it succeeds while other fields are being changed.
func patchDrain(ctx context.Context, target resources, name string, drain bool) error {
	spec, err := json.Marshal(map[string]bool{"drain": drain})
	if err != nil {
		return err
	}
	for try := 1; ; try++ {
		present, err := target.Get(ctx, resource.KindBackendServer, name)
		if err != nil {
			return err
		}
		_, err = target.Patch(ctx, resource.Object{Kind: present.Kind, Name: name, Revision: present.Revision, Spec: spec})
		if err == nil || try == maxWriteTries || outcome.From(err).Code != outcome.Conflict {
			return err
		}
	}
}
