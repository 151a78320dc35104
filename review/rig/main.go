// Command rig holds the stand-ins of the review and the cases that use them. It has
// no dependency and starts the project's daemon as the deploy file does.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig store|runner|case ...")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "store":
		runStore(os.Args[2:])
	case "runner":
		runRunner(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2:]))
	default:
		fmt.Fprintln(os.Stderr, "unknown command", os.Args[1])
		os.Exit(exitNotRun)
	}
}

// exitNotRun is the exit code of a case that could not run.
const exitNotRun = 2
