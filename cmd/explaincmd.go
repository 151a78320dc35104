package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/explain"
	"github.com/catkingap/catkingap/work"
)

// maxExplanation bounds an answer. One for 1,000 workers takes some 150 kB.
const maxExplanation = 4 << 20

// explainCmdConfig holds the flags of the explain command.
type explainCmdConfig struct {
	host, output string
	cores        float64
	request      explain.Request
}

func (c *Config) newExplainCmd() *cobra.Command {
	var x explainCmdConfig
	command := &cobra.Command{
		Use:   "explain QUEUE",
		Short: "Say where a job would go now, and why, without sending it",
		Long: "Asks a running host where a job of one step would go now: which owner and worker get\n" +
			"it, which are ruled out and why, how long it would wait, or why it would be refused.\n" +
			"Only the host that owns the workers knows about them: ask the one that the answer names.",
		Example: "  catkingap explain QUEUE --host 10.0.1.7:6160 --tasks 2 --cores 48 --estimate 200ms",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			x.request.Queue = work.Queue(args[0])
			return c.runExplainCmd(command.Context(), x)
		},
	}
	flags := command.Flags()
	flags.StringVar(&x.host, "host", "127.0.0.1:6160", "metrics address of the host")
	flags.IntVar(&x.request.Step.Count, "tasks", 1, "number of tasks")
	flags.Float64Var(&x.cores, "cores", 1, "processor cores that a task needs")
	flags.IntVar(&x.request.Step.Size.Memory, "memory", 0, "memory that a task needs, in megabytes")
	flags.DurationVar(&x.request.Step.Estimate, "estimate", 100*time.Millisecond, "estimated run time of a task")
	flags.StringVar(&x.request.Step.Label, "label", "", "label that a worker must have")
	flags.StringVar(&x.request.Step.Rack, "rack", "", "rack that holds the data")
	addOutputFlag(flags, &x.output)
	return command
}

func (c *Config) runExplainCmd(ctx context.Context, x explainCmdConfig) error {
	x.request.Step.Size.Cores = int(1000 * x.cores)
	if _, err := explain.Parse(x.request.Values()); err != nil {
		return &usageError{err}
	}
	a, err := c.fetchExplanation(ctx, x)
	if err != nil {
		return err
	}
	return c.write(x.output, a, a.Write)
}

// fetchExplanation asks a host.
func (c *Config) fetchExplanation(ctx context.Context, x explainCmdConfig) (*explain.Answer, error) {
	u := url.URL{Scheme: "http", Host: x.host, Path: explain.Path, RawQuery: x.request.Values().Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return nil, &usageError{err}
	}
	client := &http.Client{Timeout: c.timeout, Transport: &http.Transport{DialContext: c.network.DialContext}}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "host %s cannot be reached at its metrics address", x.host)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanation))
	if err != nil {
		return nil, errors.Wrapf(err, "answer of host %s", x.host)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("host %s does not explain queue %s: %s", x.host, x.request.Queue, strings.TrimSpace(string(body)))
	}
	var a explain.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, errors.Wrapf(err, "answer of host %s", x.host)
	}
	return &a, nil
}
