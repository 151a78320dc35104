package cmd

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/network"
)

// Config holds what all commands share: their streams, the flags of the root
// command and the network.
type Config struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer

	// server is the base URL of an entry host.
	server  string
	timeout time.Duration
	network network.Network

	// workStarted is true once a command has started its work.
	workStarted bool
}

const (
	defaultServer  = "http://127.0.0.1:8080"
	defaultTimeout = time.Minute
	dialTimeout    = time.Second
)

func newConfig(stdin io.Reader, stdout, stderr io.Writer) *Config {
	return &Config{
		stdin: stdin, stdout: stdout, stderr: stderr,
		network: network.Real{DialTimeout: dialTimeout},
	}
}

// newClient returns a client of the entry host that the flags name.
func (c *Config) newClient() *client.Client {
	return client.New(&http.Client{
		Timeout:   c.timeout,
		Transport: &http.Transport{DialContext: c.network.DialContext},
	}, c.server)
}

// writeJSON prints value as indented JSON.
func (c *Config) writeJSON(value any) error {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newRootCmd returns the root command with all its subcommands.
func (c *Config) newRootCmd() *cobra.Command {
	root := &cobra.Command{
		Use:           "catkingap",
		Short:         "Dispatch sub-second tasks from callers to backend servers",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.SetIn(c.stdin)
	root.SetOut(c.stdout)
	root.SetErr(c.stderr)
	flags := root.PersistentFlags()
	flags.StringVar(&c.server, "server", defaultServer, "base URL of an entry host")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time to wait for an answer")
	root.AddCommand(
		c.newApplyCmd(),
		c.newCallCmd(),
		c.newCancelCmd(),
		c.newCompletionCmd(),
		c.newDeleteCmd(),
		c.newDemoCmd(),
		c.newDescribeCmd(),
		c.newDrainCmd(),
		c.newEntryCmd(),
		c.newGetCmd(),
		c.newExplainCmd(),
		c.newLossesCmd(),
		c.newServeCmd(),
		c.newSettingsCmd(),
		c.newStandinCmd(),
		c.newStoryCmd(),
		c.newSubmitCmd(),
		c.newTimelineCmd(),
		c.newVersionCmd(),
		c.newWatchCmd(),
	)
	c.trackWorkStart(root)
	return root
}

// trackWorkStart makes every command set workStarted when its work starts. Errors
// before that are usage errors.
func (c *Config) trackWorkStart(command *cobra.Command) {
	if run := command.RunE; run != nil {
		command.RunE = func(command *cobra.Command, args []string) error {
			c.workStarted = true
			return run(command, args)
		}
	}
	for _, child := range command.Commands() {
		c.trackWorkStart(child)
	}
}
