package cmd

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/ident"
)

func (c *Config) newCancelCmd() *cobra.Command {
	var team string
	command := &cobra.Command{
		Use:   "cancel --team TEAM KEY",
		Short: "Give up a job",
		Long: "Asks for a job to be given up. Its tasks that have not started never start; the\n" +
			"job then ends failed, and whoever waits for it is told so.",
		Example: "  catkingap cancel --team kusweg tide-1",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return c.runCancelCmd(command, ident.Job{Team: ident.Team(team), Key: ident.JobKey(args[0])})
		},
	}
	command.Flags().StringVar(&team, "team", "", "team that the job belongs to")
	_ = command.MarkFlagRequired("team")
	return command
}

func (c *Config) runCancelCmd(command *cobra.Command, j ident.Job) error {
	if err := c.newClient().Cancel(command.Context(), j); err != nil {
		return errors.Wrapf(err, "job %s", j)
	}
	_, err := fmt.Fprintf(c.stdout, "%s: asked to end\n", j)
	return err
}
