package cmd

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func (c *Config) newVersionCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.runVersionCmd()
		},
	}
}

func (c *Config) runVersionCmd() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Fprintf(c.stdout, "catkingap %s\n", version)
	return err
}
