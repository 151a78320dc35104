package cmd

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
)

func (c *Config) newCallCmd() *cobra.Command {
	var call entry.ServiceRequest
	var team string
	command := &cobra.Command{
		Use:   "call SERVICE",
		Short: "Send the standard input to a service and print the answer",
		Long: "Sends one request, at most once unless --idempotent is given. Exit code 3 means\n" +
			"that it provably did not run, 4 that it may have run.",
		Example: "  echo '{\"groyneId\":\"G-7\"}' | catkingap call groyne-log --team kusweg",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			call.Team, call.Service = ident.Team(team), ident.Service(args[0])
			return c.runCallCmd(command, call)
		},
	}
	flags := command.Flags()
	flags.StringVar(&team, "team", "", "team that calls")
	flags.BoolVar(&call.Idempotent, "idempotent", false, "the request may run more than once")
	return command
}

func (c *Config) runCallCmd(command *cobra.Command, call entry.ServiceRequest) error {
	body, err := io.ReadAll(c.stdin)
	if err != nil {
		return errors.Wrap(err, "standard input")
	}
	call.Body, call.Timeout = body, c.timeout
	answer, err := c.newClient().Call(command.Context(), call)
	if err != nil {
		return errors.Wrapf(err, "service %s", call.Service)
	}
	_, err = fmt.Fprintf(c.stdout, "%s\n", answer)
	return err
}
