package cmd

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/catkingap/catkingap/dispatch"
	"github.com/catkingap/catkingap/losses"
	"github.com/catkingap/catkingap/work"
)

func (c *Config) newLossesCmd() *cobra.Command {
	var window time.Duration
	command := &cobra.Command{
		Use:   "losses LOG...",
		Short: "Count the calls that were not served in time, by cause and time",
		Long: "Count the calls that were not served in time, by cause and by the time at which they arrived, " +
			"from the logs of all hosts. A call whose host died is in no log. A line may have text before its JSON.",
		Example: "  catkingap losses --window 2s hosts.log",
		Args:    cobra.MinimumNArgs(1),
		RunE:    func(_ *cobra.Command, args []string) error { return c.runLossesCmd(args, window) },
	}
	command.Flags().DurationVar(&window, "window", 2*time.Second, "length of the windows of time")
	return command
}

func (c *Config) runLossesCmd(files []string, window time.Duration) error {
	if window <= 0 {
		return &usageError{fmt.Errorf("--window %v is not allowed; it must be positive", window)}
	}
	lines, err := readLogs(files)
	if err != nil {
		return &usageError{err}
	}
	return writeLosses(c.stdout, losses.ByWindow(callsOf(lines), window))
}

// callKey identifies a call in the lines of its host and of its owner.
type callKey struct {
	host, job string
	call      float64
}

// callsOf returns the calls that log lines describe.
func callsOf(lines []logLine) []losses.Call {
	dispatches := map[callKey]*losses.Dispatch{}
	for i := range lines {
		if l := &lines[i]; l.Message == "job dispatched" {
			dispatches[callKey{host: l.text("peer"), job: l.text("job"), call: l.number("call")}] = l.dispatch()
		}
	}
	var calls []losses.Call
	for i := range lines {
		if l := &lines[i]; l.Message == "job answered" {
			calls = append(calls, losses.Call{
				Job: work.ID(l.text("job")), Ended: l.Time, Took: l.milliseconds("tookMs"), Result: dispatch.Result(l.text("result")), Reason: l.text("reason"),
				Dispatch: dispatches[callKey{host: l.text("host"), job: l.text("job"), call: l.number("call")}],
			})
		}
	}
	return calls
}

// dispatch returns what an owner's line says about a job.
func (l *logLine) dispatch() *losses.Dispatch {
	d := &losses.Dispatch{Waited: l.milliseconds("waitedMs"), Objective: l.milliseconds("objectiveMs")}
	runs, _ := l.Fields["runs"].([]any)
	for _, r := range runs {
		// A run is written as "step.index#run worker started+took how".
		words := strings.SplitN(fmt.Sprint(r), " ", 4)
		var started, took int64
		if len(words) < 4 {
			continue
		}
		if _, err := fmt.Sscanf(words[2], "%d+%d", &started, &took); err != nil {
			continue
		}
		d.Runs = append(d.Runs, losses.Run{
			Started: time.Duration(started) * time.Millisecond, Took: time.Duration(took) * time.Millisecond, Done: words[3] == "done",
		})
	}
	return d
}

func (l *logLine) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

func (l *logLine) number(name string) float64 {
	x, _ := l.Fields[name].(float64)
	return x
}

func (l *logLine) milliseconds(name string) time.Duration {
	return time.Duration(l.number(name) * float64(time.Millisecond))
}

// writeLosses writes a line for each window with losses, and their sums.
func writeLosses(w io.Writer, windows []losses.Window) error {
	total := losses.Window{Lost: map[losses.Cause]int{}}
	for _, x := range windows {
		total.Calls += x.Calls
		for c, n := range x.Lost {
			total.Lost[c] += n
		}
		if len(x.Lost) > 0 {
			if _, err := fmt.Fprintf(w, "%s %5d calls: %s\n", x.From.UTC().Format("15:04:05"), x.Calls, describeLosses(x.Lost)); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "all      %5d calls: %s\n", total.Calls, describeLosses(total.Lost))
	return err
}

// describeLosses names the causes, the most frequent first.
func describeLosses(lost map[losses.Cause]int) string {
	causes := make([]losses.Cause, 0, len(lost))
	for c := range lost {
		causes = append(causes, c)
	}
	slices.SortFunc(causes, func(a, b losses.Cause) int {
		if lost[a] != lost[b] {
			return lost[b] - lost[a]
		}
		return strings.Compare(string(a), string(b))
	})
	var words []string
	for _, c := range causes {
		words = append(words, fmt.Sprintf("%d %s", lost[c], c))
	}
	if len(words) == 0 {
		return "none lost"
	}
	return strings.Join(words, ", ")
}
