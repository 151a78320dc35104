package cmd

import (
	"fmt"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/platform"
	"github.com/catkingap/catkingap/settings"
)

// platformSettingsExtension is the file extension of the settings files that the
// users' platform writes.
const platformSettingsExtension = ".toml"

func (c *Config) newSettingsCmd() *cobra.Command {
	command := &cobra.Command{
		Use:   "settings",
		Short: "Check or show the settings of an entry host",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	command.AddCommand(
		&cobra.Command{
			Use:   "check FILE",
			Short: "Say all that is wrong with a file of settings",
			Args:  cobra.ExactArgs(1),
			RunE:  func(_ *cobra.Command, args []string) error { return c.runSettingsCheckCmd(args[0]) },
		},
		&cobra.Command{
			Use:   "default",
			Short: "Print the default settings",
			Args:  cobra.NoArgs,
			RunE:  func(*cobra.Command, []string) error { return c.writeSettings(settings.Default()) },
		},
		&cobra.Command{
			Use:   "show FILE",
			Short: "Print all settings that a file puts in force, defaults included",
			Args:  cobra.ExactArgs(1),
			RunE:  func(_ *cobra.Command, args []string) error { return c.runSettingsShowCmd(args[0]) },
		},
	)
	return command
}

func (c *Config) runSettingsCheckCmd(file string) error {
	load := func() error { _, err := settings.Load(file); return err }
	if filepath.Ext(file) == platformSettingsExtension {
		load = func() error { _, err := platform.LoadSettings(file); return err }
	}
	if err := load(); err != nil {
		return &usageError{err}
	}
	_, err := fmt.Fprintf(c.stdout, "%s: ok\n", file)
	return err
}

func (c *Config) runSettingsShowCmd(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return &usageError{err}
	}
	return c.writeSettings(s)
}

// writeSettings prints settings as YAML.
func (c *Config) writeSettings(s settings.Settings) error {
	data, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	_, err = c.stdout.Write(data)
	return err
}
