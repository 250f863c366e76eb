package main

import (
	"context"
	"time"

	"rosedrift.example/rosedrift/internal/query"
)

// watchInterval is short enough to follow a change of a zone, and long enough for a listing that asks all gateways.
const watchInterval = 2 * time.Second

// clearScreen moves the cursor to the top left and erases the screen below it.
const clearScreen = "\x1b[H\x1b[2J"

// watch repeats a listing until the context ends. If a listing fails, watch prints the error and goes on.
func (s session) watch(ctx context.Context, line string, command *query.Command) int {
	if !command.ReadOnly() {
		return s.fail(exitUsage, "--watch repeats listings only; "+line+" changes something")
	}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		if !s.JSON {
			s.println(clearScreen + time.Now().UTC().Format(time.DateTime) + " UTC: " + line)
		}
		s.execute(ctx, line, "", command)
		select {
		case <-ctx.Done():
			return exitDone
		case <-ticker.C:
		}
	}
}
