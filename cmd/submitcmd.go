package cmd

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/job"
	"github.com/catkingap/catkingap/repairlog"
)

type submitCmdConfig struct {
	team    string
	key     string
	pool    string
	file    string
	expires time.Duration
}

func (c *Config) newSubmitCmd() *cobra.Command {
	var s submitCmdConfig
	command := &cobra.Command{
		Use:   "submit --team TEAM --key KEY --pool POOL --tasks FILE",
		Short: "Submit a job of one task a line and print its answers",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.runSubmitCmd(command, s)
		},
	}
	flags := command.Flags()
	flags.StringVar(&s.team, "team", "", "team that the job belongs to")
	flags.StringVar(&s.key, "key", "", "idempotency key of the job within its team")
	flags.StringVar(&s.pool, "pool", "", "pool that runs the job")
	flags.StringVar(&s.file, "tasks", "-", "file of JSON lines, one payload a line")
	flags.DurationVar(&s.expires, "deadline", 0, "time after which the job fails")
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
	answer, err := c.newClient().Submit(command.Context(), submission)
	if err != nil {
		return err
	}
	return c.writeJSON(answer)
}

func (c *Config) readSubmission(s submitCmdConfig, now time.Time) (*job.Submission, error) {
	reader := c.stdin
	if s.file != "-" {
		file, err := os.Open(s.file)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		reader = io.Reader(file)
	}
	payloads, err := repairlog.Read(reader)
	if err != nil {
		return nil, errors.Wrap(err, s.file)
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
