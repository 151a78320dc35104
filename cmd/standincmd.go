package cmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/demo"
	"github.com/catkingap/catkingap/standin"
)

func (c *Config) newStandinCmd() *cobra.Command {
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for a system around catkingap, for tests",
	}
	command.AddCommand(c.newStandinBackendCmd(), c.newStandinPlatformCmd())
	return command
}

func (c *Config) newStandinBackendCmd() *cobra.Command {
	config := standin.BackendConfig{Work: demo.Work, Log: c.stdout}
	var listen string
	command := &cobra.Command{
		Use:   "backend",
		Short: "Run a stand-in for a backend server",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.serveUntilSignal(command.Context(), listen, standin.NewBackend(config).Handler())
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.StringVar(&config.Name, "name", "backend", "name of the server")
	flags.IntVar(&config.Slots, "slots", 8, "tasks that run at once")
	flags.Float64Var(&config.Speed, "speed", 1, "speed that divides run times")
	return command
}

func (c *Config) newStandinPlatformCmd() *cobra.Command {
	var config standin.PlatformConfig
	var listen string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's table, object store and membership list",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.serveUntilSignal(command.Context(), listen, standin.NewPlatform(config).Handler())
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	flags.DurationVar(&config.Table.WriteTime, "write-time", 4*time.Millisecond, "time that a synced write takes")
	flags.Float64Var(&config.Table.WritesPerSecond, "writes-per-second", 400, "transactions that the table carries; 0 for no limit")
	flags.DurationVar(&config.MembershipLag, "membership-lag", 2*time.Second, "lag of the membership list")
	return command
}

// serveUntilSignal prints the address that it listens on and serves h until an
// interrupt or SIGTERM.
func (c *Config) serveUntilSignal(ctx context.Context, listen string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := c.network.Listen(listen)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "listening %s\n", listener.Addr())
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
