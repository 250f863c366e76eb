// Command driver plays the cases of the review against the project's programs. It stands in for the clients, the minions and
// the platform, starts the programs as separate processes on loopback addresses, and records what was sent, answered and run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var (
	firstBeat *time.Duration
	keep      *bool
)

func main() {
	scenario := flag.String("case", "fuzz", "the case to play")
	programs := flag.String("programs", "target", "the folder of the project's programs")
	record := flag.String("record", "record.txt", "the file to write what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "seed of the case fuzz")
	length := flag.Duration("length", 30*time.Second, "length of the case fuzz")
	firstBeat = flag.Duration("first-beat", 50*time.Millisecond, "when the first heartbeat of a new life leaves, in the case kind")
	keep = flag.Bool("keep", false, "keep the logs of the processes")
	trouble := flag.Bool("trouble", true, "play the disturbance")
	flag.Parse()
	os.Exit(run(*scenario, *programs, *record, *seed, *length, *trouble))
}

// run plays a case and returns the exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func run(scenario, programs, record string, seed uint64, length time.Duration, trouble bool) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.dir = tempDir()
	if *keep {
		fmt.Println("logs of the processes in", w.dir)
	} else {
		defer func() { _ = os.RemoveAll(w.dir) }()
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		if !*keep {
			_ = os.RemoveAll(w.dir)
		}
		os.Exit(2) // the processes end with this one: the kernel kills them
	}()
	switch scenario {
	case "fuzz":
		err = fuzz(w, programs, seed, length)
	case "kind":
		err = caseKind(w, programs, trouble, *firstBeat)
	case "cancel":
		err = caseCancel(w, programs, trouble)
	case "resubmitted":
		err = caseResubmitted(w, programs, trouble)
	case "evacuate":
		err = caseEvacuate(w, programs, trouble)
	case "born":
		err = caseBorn(w, programs, trouble)
	default:
		err = fmt.Errorf("no case %q", scenario)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.logLocked("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w.logLocked("%d jobs, %d starts, ends %v, broken %v", len(w.jobs), w.starts, w.ends, w.broken)
	fmt.Printf("%d jobs, %d starts, ends %v, broken %v, trouble %v\n", len(w.jobs), w.starts, w.ends, w.broken, trouble)
	for _, line := range w.first {
		fmt.Println(line)
	}
	if len(w.broken) > 0 {
		return 1
	}
	return 0
}
