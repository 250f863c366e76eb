// Command rosedrift-local runs a whole rosedrift system in one process, with stand-ins of the store and of the backend
// servers: by default 11 servers of uneven speed in 3 availability zones with their agents, and 2 gateways.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"rosedrift.example/rosedrift/client"
	"rosedrift.example/rosedrift/internal/local"
	"rosedrift.example/rosedrift/internal/settings"
	"rosedrift.example/rosedrift/internal/telemetry"
)

// options holds the settings of this program.
type options struct {
	settings.Common
	Demo     bool         `arg:"--demo" help:"submit a job of 670 tasks, show its progress and the summary of its answer, show where a job would be placed on a site of the users' platform, and exit"`
	Platform bool         `arg:"--platform" help:"run a small site of the users' platform instead, on free ports, to try the command rosedrift where"`
	Port     settings.Int `arg:"--port,env:ROSEDRIFT_LOCAL_PORT" default:"7400" min:"0" max:"65000" unit:"port" help:"port of the first gateway on loopback; the next ones follow; 0 chooses free ports"`
	Servers  settings.Int `arg:"--servers,env:ROSEDRIFT_LOCAL_SERVERS" default:"11" min:"1" max:"100" unit:"servers" help:"number of backend servers with agents"`
	Gateways settings.Int `arg:"--gateways,env:ROSEDRIFT_LOCAL_GATEWAYS" default:"2" min:"1" max:"10" unit:"gateways" help:"number of gateways"`
	Pools    settings.Int `arg:"--pools,env:ROSEDRIFT_LOCAL_POOLS" default:"1" min:"1" max:"16" unit:"pools" help:"number of pools of the service"`
}

// The demonstration submits demoTasks tasks. Their run times begin at demoMinRunMS and take demoRunTimes values, 10 ms
// apart.
const (
	demoTasks    = 670
	demoMinRunMS = 50
	demoRunTimes = 7
)

func main() {
	var o options
	settings.Main("rosedrift-local", &o)
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "rosedrift-local:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	logLevel := o.LogLevel
	if o.Demo && logLevel == "info" {
		logLevel = "warn"
	}
	logger := telemetry.NewLogger(os.Stderr, logLevel, o.LogFormat)
	if o.Platform {
		return runPlatform(ctx, logger)
	}
	config := local.Options{
		Servers: int(o.Servers.Value), Gateways: int(o.Gateways.Value), Pools: uint16(o.Pools.Value),
		FirstPort: int(o.Port.Value), Seed: uint64(time.Now().UnixNano()), Metrics: true,
		Logger: logger,
	}
	if o.Demo {
		// Free ports let a demonstration run beside a system on the default port.
		config.FirstPort = 0
	}
	system, err := local.Start(config)
	if err != nil {
		return err
	}
	defer system.Close()
	if o.Demo {
		if err := demo(ctx, system); err != nil {
			return err
		}
		return demoWhere(ctx, logger)
	}
	printUsage(system)
	<-ctx.Done()
	return nil
}

func printUsage(system *local.System) {
	for i, g := range system.Gateways {
		fmt.Printf("gateway %d: %s (caller and admin API, status page), links %s\n", i+1, g.URL, g.Links)
	}
	fmt.Printf("%d backend servers of service %s\n\nTry:\n", len(system.Backends), local.DefaultService)
	fmt.Printf("  curl -sS '%s/v1/jobs?wait=30s' -H 'Rosedrift-Team: counter' \\\n", system.Gateways[0].URL)
	fmt.Printf("    -d '{\"service\":\"%s\",\"tasks\":[{\"payload\":{\"run_ms\":50,\"echo\":\"hello\"}}]}'\n",
		local.DefaultService)
	fmt.Println("\nStop with Ctrl-C.")
}

// demo submits a job to the first gateway, prints its progress and fetches the answer from the last gateway.
func demo(ctx context.Context, system *local.System) error {
	urls := system.URLs()
	first, err := client.New(client.Options{Gateways: urls[:1], Team: "counter"})
	if err != nil {
		return err
	}
	defer first.Close()
	last, err := client.New(client.Options{Gateways: urls[len(urls)-1:], Team: "counter"})
	if err != nil {
		return err
	}
	defer last.Close()
	started := time.Now()
	status, err := first.Start(ctx, client.Job{Service: local.DefaultService, Tasks: demoPayloads()})
	if err != nil {
		return err
	}
	fmt.Printf("job %s: %d tasks on %d backend servers\n", status.Job, demoTasks, len(system.Backends))
	if _, err := first.Progress(ctx, status.Job, printProgress); err != nil {
		return err
	}
	answer, err := last.Await(ctx, status.Job)
	if err != nil {
		return err
	}
	return summarize(answer, time.Since(started))
}

// demoPayloads returns the payloads of tasks that run for 50 to 110 ms.
func demoPayloads() []json.RawMessage {
	payloads := make([]json.RawMessage, demoTasks)
	for i := range payloads {
		runMS := demoMinRunMS + 10*(i%demoRunTimes)
		payloads[i] = json.RawMessage(fmt.Sprintf(`{"run_ms":%d,"echo":"%d"}`, runMS, i))
	}
	return payloads
}

func printProgress(s client.Status) {
	const width = 40
	done := width * s.Finished / max(s.Tasks, 1)
	bar := strings.Repeat("#", done) + strings.Repeat(".", width-done)
	fmt.Printf("  [%s] %3d finished, %2d running, %3d queued\n", bar, s.Finished, s.Running, s.Queued)
}

// summarize checks that the answer is complete and prints how many tasks ran on each server.
func summarize(answer *client.Answer, took time.Duration) error {
	if len(answer.Results) != demoTasks {
		return fmt.Errorf("the answer has %d results, want %d", len(answer.Results), demoTasks)
	}
	var order []string
	perServer := map[string]int{}
	for i, raw := range answer.Results {
		var result struct{ Server, Echo string }
		if err := json.Unmarshal(raw, &result); err != nil {
			return err
		}
		if result.Echo != fmt.Sprint(i) {
			return fmt.Errorf("result %d belongs to task %s", i, result.Echo)
		}
		if perServer[result.Server] == 0 {
			order = append(order, result.Server)
		}
		perServer[result.Server]++
	}
	fmt.Printf("complete: %d results in %s, fetched through another gateway\n", len(answer.Results), took.Round(time.Millisecond))
	for _, server := range order {
		fmt.Printf("  %-12s %3d tasks\n", server, perServer[server])
	}
	return nil
}
