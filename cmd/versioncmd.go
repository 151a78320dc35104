package cmd

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// version is the build information of the binary.
type version struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (c *Config) newVersionCmd() *cobra.Command {
	var output string
	command := &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return c.runVersionCmd(output)
		},
	}
	addOutputFlag(command.Flags(), &output)
	return command
}

func (c *Config) runVersionCmd(output string) error {
	v := version{Version: "unknown", Go: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version, v.Go = info.Main.Version, info.GoVersion
	}
	return c.write(output, v, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "catkingap %s (%s)\n", v.Version, v.Go)
		return err
	})
}
