// Command rig3 runs one case of the review as a script: the hosts of a small deployment as
// processes, and stand-ins for the platform's store, the runners and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken means that a rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	cases := map[string]func(folder string) error{"wide": wide, "flood": flood, "large": large}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig3 CASE FOLDER")
		os.Exit(2)
	}
	switch err := cases[os.Args[1]](os.Args[2]); {
	case errors.Is(err, errBroken):
		fmt.Println("BROKEN")
		os.Exit(1)
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	fmt.Println("held")
}
