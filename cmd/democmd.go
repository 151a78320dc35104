package cmd

import (
	"io"

	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/demo"
)

func (c *Config) newDemoCmd() *cobra.Command {
	var cross, verbose bool
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole path in one process and check each answer",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.runDemoCmd(command, cross, verbose)
		},
	}
	command.Flags().BoolVar(&cross, "cross", false, "make a backend server give a wrong answer")
	command.Flags().BoolVar(&verbose, "verbose", false, "print the logs of the entry hosts")
	return command
}

func (c *Config) runDemoCmd(command *cobra.Command, cross, verbose bool) error {
	logs := io.Discard
	if verbose {
		logs = c.stderr
	}
	summary, err := demo.Run(command.Context(), demo.Config{Progress: c.stdout, Log: logs, Cross: cross})
	if err != nil {
		return err
	}
	if err := c.writeJSON(summary); err != nil {
		return err
	}
	return summary.Err()
}
