package cmd

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// progress shows that a command is waiting. It draws a bar only on a terminal.
type progress struct {
	stderr io.Writer
	bar    *progressbar.ProgressBar
	done   chan struct{}
}

// progressInterval is the time between two steps of the bar.
const progressInterval = 100 * time.Millisecond

// newProgress starts to show progress with a description.
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
	go p.animate()
	return p
}

// animate advances the bar until stop is called.
func (p *progress) animate() {
	ticker := time.NewTicker(progressInterval)
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

// printLine prints a line above the bar.
func (p *progress) printLine(line string) {
	if p.bar != nil {
		_ = p.bar.Clear()
	}
	fmt.Fprintln(p.stderr, line)
}

// stop removes the bar.
func (p *progress) stop() {
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
