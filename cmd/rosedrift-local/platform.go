package main

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"rosedrift.example/rosedrift/internal/local"
	"rosedrift.example/rosedrift/internal/structs"
)

const (
	// platformStart bounds the start of a site of the users' platform.
	platformStart = 10 * time.Second
	// whereOptions are the options of the command where for whereJob.
	whereOptions = "--count 5 --cpu 1700 --memory 64 --estimate 60ms --rack " + local.PlatformRack
)

// whereJob returns the job of the demo, whose data is on one rack.
func whereJob() *structs.JobSpec {
	return &structs.JobSpec{Steps: []structs.StepSpec{{
		Count: 5, Need: structs.Resources{CPU: 1700, MemoryMB: 64}, Estimate: 60 * time.Millisecond, Rack: local.PlatformRack,
	}}}
}

func startPlatform(ctx context.Context, logger log.Logger) (*local.Platform, error) {
	ctx, cancel := context.WithTimeout(ctx, platformStart)
	defer cancel()
	return local.StartPlatform(ctx, logger)
}

func whereCommand(site *local.Platform) string {
	return "rosedrift --gateway " + site.MetricsURL + " where " + local.PlatformQueue + " " + whereOptions
}

// runPlatform runs a site of the users' platform until the context ends.
func runPlatform(ctx context.Context, logger log.Logger) error {
	site, err := startPlatform(ctx, logger)
	if err != nil {
		return err
	}
	defer site.Close()
	fmt.Printf("site of the users' platform, metrics of its gateway: %s\n\nTry:\n  %s\n\nStop with Ctrl-C.\n", site.MetricsURL, whereCommand(site))
	<-ctx.Done()
	return nil
}

// demoWhere shows where a job would be placed on a site of the users' platform.
func demoWhere(ctx context.Context, logger log.Logger) error {
	site, err := startPlatform(ctx, logger)
	if err != nil {
		return err
	}
	defer site.Close()
	preview, err := site.Where(ctx, whereJob())
	if err != nil {
		return err
	}
	fmt.Printf("\non a site of the users' platform (--platform runs one):\n  $ %s\n", whereCommand(site))
	fmt.Printf("  %s\n", preview.Outcome)
	for _, st := range preview.Steps {
		for _, c := range st.Choices {
			if c.Server == nil {
				fmt.Printf("  task %d waits\n", c.Task)
				continue
			}
			distance := "near its data"
			if c.Server.OffRack {
				distance = "off its rack"
			}
			fmt.Printf("  task %d: %s in %s, %s, run time %s, load %.0f%%\n", c.Task, c.Server.Server, c.Server.Zone, distance,
				c.Server.Run.Round(time.Millisecond), 100*c.Server.Load)
		}
		for _, e := range st.Excluded {
			fmt.Printf("  not %s: %s (%s)\n", e.Server, e.Reason, e.Detail)
		}
	}
	return nil
}
