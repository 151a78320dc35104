// Package cmd is the command line of catkingap: one file for each command.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/settings"
)

// The exit codes of the command line.
const (
	// ExitDone means that all was done.
	ExitDone = 0
	// ExitFailed means that the work ran and failed, or that the command did.
	ExitFailed = 1
	// ExitUsage means that flags, files or settings are wrong.
	ExitUsage = 2
	// ExitNotRun means that the work provably did not run.
	ExitNotRun = 3
	// ExitUnknown means that the work may or may not have run.
	ExitUnknown = 4
)

// usageError marks an error in what the user gave.
type usageError struct {
	error
}

// Unwrap returns the marked error.
func (e *usageError) Unwrap() error { return e.error }

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newConfig(stdin, stdout, stderr).newRootCmd()
	root.SetArgs(args)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return ExitDone
	}
	fmt.Fprintf(stderr, "catkingap: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *usageError
	var invalid *settings.InvalidError
	if errors.As(err, &usage) || errors.As(err, &invalid) {
		return ExitUsage
	}
	var ended *outcome.Error
	if errors.As(err, &ended) {
		switch ended.Kind {
		case outcome.NotRun:
			return ExitNotRun
		case outcome.Unknown:
			return ExitUnknown
		}
	}
	return ExitFailed
}
