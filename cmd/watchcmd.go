package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/resource"
)

// watchRetryPause is the pause before a broken watch is resumed.
const watchRetryPause = time.Second

// errCountReached ends a watch that has printed the requested number of changes.
var errCountReached = errors.New("requested number of changes reached")

// watchCmdConfig holds the flags of the watch command.
type watchCmdConfig struct {
	kind     resource.Kind
	revision ident.Revision
	count    int
}

func (c *Config) newWatchCmd() *cobra.Command {
	var w watchCmdConfig
	var revision int64
	command := &cobra.Command{
		Use:   "watch KIND",
		Short: "Print changes of resources and of their conditions",
		Long: "Prints one line a change. A watch that breaks is resumed; if the host no\n" +
			"longer knows what was deleted since, it starts over and says so.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			kind, err := parseKind(args[0])
			if err != nil {
				return err
			}
			w.kind, w.revision = kind, ident.Revision(revision)
			return c.runWatchCmd(command.Context(), w)
		},
	}
	command.Flags().Int64Var(&revision, "revision", 0, "revision to start after; 0 is the present one")
	command.Flags().IntVar(&w.count, "count", 0, "end after this many changes; 0 is never")
	return command
}

func (c *Config) runWatchCmd(ctx context.Context, w watchCmdConfig) error {
	target := c.newWatchClient()
	for {
		err := c.watchOnce(ctx, target, &w)
		if errors.Is(err, errCountReached) {
			return nil
		}
		switch outcome.From(err).Code {
		case outcome.Gone:
			fmt.Fprintf(c.stderr, "catkingap: %v\n", err)
			w.revision = 0
		case outcome.LinkLost:
			time.Sleep(watchRetryPause)
		default:
			return errors.Wrap(err, string(w.kind))
		}
	}
}

// watchOnce watches until the connection breaks. It starts at the current revision
// if w names none.
func (c *Config) watchOnce(ctx context.Context, target *client.Client, w *watchCmdConfig) error {
	if w.revision == 0 {
		list, err := target.List(ctx, w.kind, client.ListOptions{Limit: 1})
		if err != nil {
			return err
		}
		w.revision = list.Revision
	}
	return target.Watch(ctx, w.kind, w.revision, func(e entry.WatchEvent) error {
		w.revision = max(w.revision, e.Revision)
		if e.Object == nil {
			return nil
		}
		c.printChange(e)
		if w.count--; w.count == 0 {
			return errCountReached
		}
		return nil
	})
}

func (c *Config) printChange(e entry.WatchEvent) {
	reason := ""
	if e.Object.Status != nil && len(e.Object.Status.Conditions) > 0 {
		first := e.Object.Status.Conditions[0]
		reason = fmt.Sprintf(" %s=%t %s", first.Type, first.Status, first.Reason)
	}
	fmt.Fprintf(c.stdout, "%s %s %s revision=%d%s\n", e.Type, e.Object.Kind, e.Object.Name, e.Object.Revision, reason)
}
