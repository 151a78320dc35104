package cmd

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/catkingap/catkingap/backend"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/settings"
)

func (c *Config) newEntryCmd() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "entry --settings FILE",
		Short: "Run the daemon of an entry host",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.runEntryCmd(command.Context(), file)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "YAML file with the settings")
	_ = command.MarkFlagRequired("settings")
	return command
}

// runEntryCmd runs the daemon until SIGTERM or SIGINT, and then shuts it down
// gracefully. A second signal ends the shutdown at once. It returns an
// *outcome.Error if open requests were aborted.
func (c *Config) runEntryCmd(_ context.Context, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	var shutdown *entry.Shutdown
	var sender *backend.Client
	app := entry.New(entry.Options{Settings: s, Log: c.stderr, Network: c.network}, fx.Populate(&shutdown, &sender))
	if err := app.Err(); err != nil {
		return err
	}
	start, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := app.Start(start); err != nil {
		return err
	}
	tuning, stopTuning := context.WithCancel(context.Background())
	defer stopTuning()
	go (&gcTuner{}).run(tuning, sender.Counters.Messages.Value, debug.SetGCPercent)
	<-signals
	go func() {
		<-signals
		shutdown.Force()
	}()
	stop, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	return app.Stop(stop)
}
