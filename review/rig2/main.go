// Command rig2 plays one case of the second review: it starts stand-ins for the
// platform's store, for runners and for clients, starts the daemons of catkingap as
// processes, brings about a disruption, and checks one rule by what the stand-ins have
// seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds a case.
const maxTime = 118 * time.Second

// scenario plays one case. It returns the breaches of the rule that it saw.
type scenario func(w *world, trouble bool) ([]string, error)

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("dir", ".", "folder of record.txt")
	program := flag.String("program", "target/catkingap", "the program of catkingap")
	flag.Parse()
	play, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(*folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	r.printf("case %s, trouble %t", *name, trouble)
	w, err := newWorld(r, *program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	type result struct {
		breaches []string
		err      error
	}
	results := make(chan result, 1)
	go func() {
		// The processes have to be ended also after a panic.
		defer func() {
			if cause := recover(); cause != nil {
				results <- result{err: fmt.Errorf("%v", cause)}
			}
		}()
		breaches, err := play(w, trouble)
		results <- result{breaches, err}
	}()
	var x result
	select {
	case x = <-results:
	case <-signals:
		x.err = fmt.Errorf("the case was interrupted")
	case <-time.After(maxTime):
		x.err = fmt.Errorf("the case took longer than %s", maxTime)
	}
	if x.err != nil {
		r.printf("the case could not run: %v", x.err)
		fmt.Fprintln(os.Stderr, x.err)
		return exitFailed
	}
	for _, b := range x.breaches {
		r.printf("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(x.breaches) > 0 {
		return exitBroken
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
