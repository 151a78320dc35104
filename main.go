// Command catkingap dispatches sub-second tasks from callers to backend servers.
package main

import (
	"os"

	"github.com/catkingap/catkingap/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
