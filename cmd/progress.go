package cmd

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// progress shows that a command waits. It shows a bar on a terminal only.
type progress struct {
	stderr io.Writer
	bar    *progressbar.ProgressBar
	done   chan struct{}
}

// progressPause is the time between two steps of the bar.
const progressPause = 100 * time.Millisecond

// newProgress starts a progress with a description.
func (c *Config) newProgress(description string) *progress {
	p := &progress{stderr: c.stderr, done: make(chan struct{})}
	if !isTerminal(c.stderr) {
		return p
	}
	p.bar = progressbar.NewOptions(-1,
		progressbar.OptionSetWriter(c.stderr),
		progressbar.OptionSetDescription(description),
		progressbar.OptionSetElapsedTime(true),
		progressbar.OptionClearOnFinish(),
	)
	go p.turn()
	return p
}

// turn moves the bar until the end.
func (p *progress) turn() {
	ticker := time.NewTicker(progressPause)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
			_ = p.bar.Add(1)
		}
	}
}

// say prints a line above the bar.
func (p *progress) say(line string) {
	if p.bar != nil {
		_ = p.bar.Clear()
	}
	fmt.Fprintln(p.stderr, line)
}

// end takes the bar away.
func (p *progress) end() {
	close(p.done)
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}

// isTerminal returns true if w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	return ok && term.IsTerminal(int(file.Fd()))
}
