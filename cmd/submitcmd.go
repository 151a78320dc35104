package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/client"
	"github.com/catkingap/catkingap/entry"
	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/outcome"
)

// submitCmdConfig holds the flags of the submit command.
type submitCmdConfig struct {
	team    string
	key     string
	pool    string
	file    string
	expires time.Duration
	tries   int
	output  string
}

const defaultTries = 5

func (c *Config) newSubmitCmd() *cobra.Command {
	var s submitCmdConfig
	command := &cobra.Command{
		Use:   "submit --team TEAM --key KEY --pool POOL --tasks FILE",
		Short: "Submit a job of one task a line and print its answers",
		Long: "Submits a job and waits until it is complete or has failed. If the outcome is\n" +
			"unknown, as when the entry host dies, the job is submitted again by its key,\n" +
			"up to --tries times: the key makes that safe, since no task starts twice. A job\n" +
			"that failed or provably did not run is not submitted again.",
		Example: "  catkingap submit --team kusweg --key tide-1 --pool groyne-log --tasks logs.jsonl",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.runSubmitCmd(command, s)
		},
	}
	flags := command.Flags()
	flags.StringVar(&s.team, "team", "", "team that the job belongs to")
	flags.StringVar(&s.key, "key", "", "idempotency key of the job within its team")
	flags.StringVar(&s.pool, "pool", "", "pool that runs the job")
	flags.StringVar(&s.file, "tasks", "-", "file of JSON lines, one payload a line; - is the standard input")
	flags.DurationVar(&s.expires, "deadline", 0, "time after which the job fails")
	flags.IntVar(&s.tries, "tries", defaultTries, "how often to submit while the outcome is unknown")
	addOutputFlag(flags, &s.output)
	for _, required := range []string{"key", "pool", "team"} {
		_ = command.MarkFlagRequired(required)
	}
	return command
}

func (c *Config) runSubmitCmd(command *cobra.Command, s submitCmdConfig) error {
	submission, err := c.readSubmission(s, time.Now())
	if err != nil {
		return &usageError{err}
	}
	if s.tries < 1 {
		return &usageError{errors.Newf("--tries %d is not allowed; at least 1", s.tries)}
	}
	progress := c.newProgress(fmt.Sprintf("%s: %d tasks", submission.Job, len(submission.Tasks)))
	answer, err := c.submit(command.Context(), submission, s.tries, progress)
	progress.stop()
	if err != nil {
		return errors.Wrapf(err, "job %s", submission.Job)
	}
	return c.write(s.output, answer, func(w io.Writer) error { return writeAnswers(w, answer) })
}

// submit submits a job until its outcome is known or all tries are used.
func (c *Config) submit(ctx context.Context, s *job.Submission, tries int, p *progress) (entry.JobAnswer, error) {
	entryHost := c.newClient()
	for try := 1; ; try++ {
		answer, err := entryHost.Submit(ctx, s)
		failure := outcome.From(err)
		if err == nil || failure.Kind != outcome.Unknown || try == tries {
			return answer, err
		}
		p.printLine(fmt.Sprintf("catkingap: try %d of %d: %v", try, tries, failure))
		select {
		case <-ctx.Done():
			return answer, err
		case <-time.After(failure.RetryAfter):
		}
	}
}

func (c *Config) readSubmission(s submitCmdConfig, now time.Time) (*job.Submission, error) {
	reader := c.stdin
	if s.file != "-" {
		file, err := os.Open(s.file)
		if err != nil {
			return nil, errors.Wrap(err, "--tasks")
		}
		defer file.Close()
		reader = file
	}
	payloads, err := client.ReadPayloads(reader)
	if err != nil {
		return nil, errors.Wrapf(err, "--tasks %s", s.file)
	}
	if len(payloads) == 0 || len(payloads) > job.MaxTasks {
		return nil, errors.Newf("--tasks %s has %d tasks; a job has 1 to %d", s.file, len(payloads), job.MaxTasks)
	}
	submission := &job.Submission{
		Job:  ident.Job{Team: ident.Team(s.team), Key: ident.JobKey(s.key)},
		Pool: ident.Pool(s.pool),
	}
	if s.expires > 0 {
		submission.Deadline = now.Add(s.expires)
	}
	for i, p := range payloads {
		submission.Tasks = append(submission.Tasks, job.Task{Index: ident.TaskIndex(i), Payload: p})
	}
	return submission, nil
}

// writeAnswers prints the answers of a job, one line for each task.
func writeAnswers(w io.Writer, answer entry.JobAnswer) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(table, "TASK\tANSWER\n")
	for _, a := range answer.Answers {
		fmt.Fprintf(table, "%d\t%s\n", a.Index, a.Answer)
	}
	return table.Flush()
}
