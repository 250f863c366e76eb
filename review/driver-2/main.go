// Command driver-2 runs the cases of the second review: it starts the project's programs as separate processes against stand-ins of
// the store, the minions and the clients, and checks one rule from outside.
package main

import (
	"errors"
	"fmt"
	"os"
)

// cases maps the names of the cases to their functions. A case returns whether the rule held.
var cases = map[string]func(root, record string, trouble bool) (bool, error){
	"shutdown": shutdownCase,
	"route":    routeCase,
	"arbiter":  arbiterCase,
	"restart":  restartCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE ROOT RECORD")
		os.Exit(2)
	}
	held, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errSetup), err != nil:
		fmt.Fprintln(os.Stderr, "driver-2:", err)
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}
