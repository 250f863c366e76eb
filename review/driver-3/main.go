package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	record := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *record, os.Getenv("TROUBLE") != "0"))
}

func run(name, record string, trouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	w, err := newWorld(play.site())
	if w != nil {
		defer w.close()
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
		go func() {
			<-stop
			w.close()
			os.Exit(exitNotRun)
		}()
	}
	if err == nil {
		err = w.launchAll()
	}
	if err == nil {
		err = play.run(w, trouble)
	}
	if w != nil {
		if writeErr := w.write(record); err == nil {
			err = writeErr
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for _, text := range w.broken {
		fmt.Println("broken:", text)
	}
	if len(w.broken) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
