package cmd

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/ident"
	"github.com/catkingap/catkingap/timeline"
)

// timelineCmdConfig holds the flags of the timeline command.
type timelineCmdConfig struct {
	host, job, service, team string
	since, until             string
	output                   string
}

func (c *Config) newTimelineCmd() *cobra.Command {
	var t timelineCmdConfig
	command := &cobra.Command{
		Use:   "timeline",
		Short: "Print what happened on all entry hosts, in order",
		Long: "Asks one entry host, which merges the events of all entry hosts that it\n" +
			"reaches. Events are ordered by cause where it is known, and otherwise by time\n" +
			"with the differences of the clocks taken out. Hosts that could not be reached\n" +
			"are named first.",
		Example: "  catkingap timeline --team kusweg --job tide-1\n" +
			"  catkingap timeline --host entry-2 --since 10m",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return c.runTimelineCmd(command, t)
		},
	}
	flags := command.Flags()
	flags.StringVar(&t.host, "host", "", "entry host whose events are printed")
	flags.StringVar(&t.job, "job", "", "key of a job; needs --team")
	flags.StringVar(&t.service, "service", "", "service whose events are printed")
	flags.StringVar(&t.team, "team", "", "team whose events are printed")
	flags.StringVar(&t.since, "since", "", "earliest time: RFC 3339, or a duration before now as in 10m")
	flags.StringVar(&t.until, "until", "", "latest time: RFC 3339, or a duration before now as in 5m")
	addOutputFlag(flags, &t.output)
	return command
}

func (c *Config) runTimelineCmd(command *cobra.Command, t timelineCmdConfig) error {
	filter, err := t.filter(time.Now())
	if err != nil {
		return &usageError{err}
	}
	view, err := c.newClient().MergedTimeline(command.Context(), filter)
	if err != nil {
		return err
	}
	return c.write(t.output, view, func(w io.Writer) error { return writeTimeline(w, view) })
}

func (t timelineCmdConfig) filter(now time.Time) (timeline.Filter, error) {
	f := timeline.Filter{
		Host: ident.Host(t.host), Job: ident.JobKey(t.job), Service: ident.Service(t.service), Team: ident.Team(t.team),
	}
	if t.job != "" && t.team == "" {
		return f, errors.New("--job needs --team: a key is unique within its team only")
	}
	var err error
	if f.Since, err = parseTime("--since", t.since, now); err != nil {
		return f, err
	}
	if f.Until, err = parseTime("--until", t.until, now); err != nil {
		return f, err
	}
	if !f.Until.IsZero() && !f.Since.Before(f.Until) {
		return f, errors.New("--since is not before --until")
	}
	return f, nil
}

// parseTime parses a time or a duration before now. An empty text is the zero
// time.
func parseTime(flag, text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if ago, err := time.ParseDuration(text); err == nil && ago >= 0 {
		return now.Add(-ago), nil
	}
	parsed, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return time.Time{}, errors.Newf("%s: %q is neither a time as in 2026-12-04T05:00:00Z nor a duration as in 10m", flag, text)
	}
	return parsed, nil
}

// writeTimeline prints a merged view as text.
func writeTimeline(w io.Writer, view timeline.View) error {
	for _, s := range view.Sources {
		if s.Error != "" {
			fmt.Fprintf(w, "# %s was not reached: %s\n", s.Host, s.Error)
		}
		if s.Omitted > 0 {
			fmt.Fprintf(w, "# %s left out its %d oldest events; narrow the span\n", s.Host, s.Omitted)
		}
		if s.Overwritten > 0 {
			fmt.Fprintf(w, "# %s keeps no more than its newest events; %d older ones are gone\n", s.Host, s.Overwritten)
		}
	}
	for _, e := range view.Entries {
		if _, err := fmt.Fprintln(w, formatEvent(e)); err != nil {
			return err
		}
	}
	return nil
}

const timelineTimeLayout = "2006-01-02T15:04:05.000000Z"

// formatEvent formats one event as a line of text.
func formatEvent(e timeline.Entry) string {
	parts := []string{e.Time.UTC().Format(timelineTimeLayout), string(e.Host), string(e.Kind)}
	add := func(name, value string) {
		if value != "" && value != "0" {
			parts = append(parts, name+"="+value)
		}
	}
	add("team", string(e.Team))
	add("job", string(e.Job))
	if e.Task != nil {
		parts = append(parts, fmt.Sprintf("task=%d", *e.Task))
	}
	add("epoch", fmt.Sprint(e.Epoch))
	add("revision", fmt.Sprint(e.Revision))
	add("service", string(e.Service))
	add("server", string(e.Server))
	add("request", string(e.Request))
	if e.Detail != "" {
		parts = append(parts, fmt.Sprintf("%q", e.Detail))
	}
	return strings.Join(parts, " ")
}
