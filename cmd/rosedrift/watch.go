package main

import (
	"context"
	"time"

	"rosedrift.example/rosedrift/internal/query"
)

// watchInterval is fast enough to follow a zone change and slow enough for the fan-out to all gateways.
const watchInterval = 2 * time.Second

// clearScreen moves to the top left and erases what is below.
const clearScreen = "\x1b[H\x1b[2J"

// watch repeats a listing until the context ends. A failed round is printed, and the watch goes on.
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
