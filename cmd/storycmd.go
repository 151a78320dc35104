package cmd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// storyMargin is the time before and after the lines of a job within which lines
// about hosts, ownerships and dependencies are printed with them.
const storyMargin = 2 * time.Second

// maxLogLineBytes bounds the length of one log line.
const maxLogLineBytes = 1 << 20

func (c *Config) newStoryCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "story JOB LOG...",
		Short: "Print what the logs of several hosts say about one job",
		Long: "Print what the logs of several hosts say about one job, in order of time, " +
			"and what they say about hosts, ownerships and dependencies around it. A line may have text before its JSON.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error { return c.runStoryCmd(args[0], args[1:]) },
	}
}

// logLine is one line of a log.
type logLine struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// concernsJob returns true if the line names a job or one of its tasks.
func (l *logLine) concernsJob(job string) bool {
	isTask := func(name any) bool {
		task, _ := name.(string)
		return strings.HasPrefix(task, job+".")
	}
	tasks, _ := l.Fields["tasks"].([]any)
	return l.Fields["job"] == job || isTask(l.Fields["task"]) || slices.ContainsFunc(tasks, isTask)
}

// isGeneral returns true if the line is not about a single job, task or order.
func (l *logLine) isGeneral() bool {
	return l.Fields["job"] == nil && l.Fields["task"] == nil && l.Fields["order"] == nil
}

func (c *Config) runStoryCmd(job string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return &usageError{err}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	first := slices.IndexFunc(lines, func(l logLine) bool { return l.concernsJob(job) })
	if first < 0 {
		return errors.Newf("no line names the job %s", job)
	}
	last := first
	for i := range lines {
		if lines[i].concernsJob(job) {
			last = i
		}
	}
	from, to := lines[first].Time.Add(-storyMargin), lines[last].Time.Add(storyMargin)
	for i := range lines {
		l := &lines[i]
		if l.concernsJob(job) || (l.isGeneral() && l.Time.After(from) && l.Time.Before(to)) {
			if err := l.print(c.stdout); err != nil {
				return err
			}
		}
	}
	return nil
}

// print writes the line as text, with its fields sorted by name.
func (l *logLine) print(w io.Writer) error {
	host, _ := l.Fields["host"].(string)
	if _, err := fmt.Fprintf(w, "%s %-5s %s: %s", l.Time.Format("15:04:05.000"), l.Level, host, l.Message); err != nil {
		return err
	}
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		if n != "host" && n != "source" {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		if _, err := fmt.Fprintf(w, " %s=%v", n, l.Fields[n]); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

// readLogs reads the lines of several log files.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, f := range files {
		read, err := readLogLines(f)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// readLogLines reads the lines of a log file. Lines that are not JSON are skipped.
func readLogLines(file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		_, text, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			continue
		}
		var l logLine
		if json.Unmarshal(append([]byte("{"), text...), &l) == nil && !l.Time.IsZero() {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), file)
}
