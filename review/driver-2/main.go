// Command driver-2 runs the cases of the second review: it starts the project's programs as separate processes against stand-ins of
// the store, the minions and the clients, and checks one rule from outside.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// timeLimit is the longest time that a case may take.
const timeLimit = 110 * time.Second

// ending is set once the case ends early. Its result then says nothing.
var ending atomic.Bool

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
	go endEarly()
	held, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if ending.Load() {
		select {} // endEarly exits
	}
	switch {
	case errors.Is(err, errSetup), err != nil:
		fmt.Fprintln(os.Stderr, "driver-2:", err)
		os.Exit(2)
	case !held:
		os.Exit(1)
	}
}

// endEarly ends the processes of the case and this one at a signal or the time limit.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	ending.Store(true)
	if s := current.Load(); s != nil {
		s.note("ended early")
		s.close()
	}
	fmt.Fprintln(os.Stderr, "driver-2: ended early")
	os.Exit(2)
}
