// Package cmd is the command line of catkingap: one file for each command.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/catkingap/catkingap/outcome"
	"github.com/catkingap/catkingap/settings"
)

// The exit codes of the command line.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the work ran and failed, or that the command failed.
	ExitFailed = 1
	// ExitUsage means that flags, files or settings are wrong.
	ExitUsage = 2
	// ExitNotRun means that the work provably did not run.
	ExitNotRun = 3
	// ExitUnknown means that the work may or may not have run.
	ExitUnknown = 4
)

// usageError marks an error in the arguments or files that the user gave.
type usageError struct {
	error
}

// Unwrap returns the marked error.
func (e *usageError) Unwrap() error { return e.error }

// Main runs the command line and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	config := newConfig(stdin, stdout, stderr)
	root := config.newRootCmd()
	root.SetArgs(args)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return ExitDone
	}
	if !config.workStarted {
		err = &usageError{err}
	}
	fmt.Fprintf(stderr, "catkingap: %v\n", err)
	if text := hint(err, config.server); text != "" {
		fmt.Fprintf(stderr, "catkingap: %s\n", text)
	}
	return exitCode(err)
}

// hint returns advice on how to resolve an error, or an empty text if there is
// none.
func hint(err error, server string) string {
	var invalid *settings.InvalidError
	if errors.As(err, &invalid) {
		return "docs/SETTINGS.md lists all keys"
	}
	var usage *usageError
	if errors.As(err, &usage) {
		return "add --help to the command to see what it takes"
	}
	var ended *outcome.Error
	if !errors.As(err, &ended) {
		return ""
	}
	switch {
	case ended.Code == outcome.Unreachable:
		return fmt.Sprintf("no entry host answers at %s; name another by --server", server)
	case ended.Kind == outcome.Unknown:
		return "it may have run; a job can be submitted again by its key, and the time line shows what happened"
	case ended.Kind == outcome.NotRun && ended.RetryAfter > 0:
		return fmt.Sprintf("it did not run; try again after %s", ended.RetryAfter)
	case ended.Code == outcome.Conflict:
		return "read it again, and repeat the change on what it holds now"
	case ended.Code == outcome.NotFound:
		return "check the name, and that the configuration is in force on this host"
	}
	return ""
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
