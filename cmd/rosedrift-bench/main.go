// Command rosedrift-bench runs load and failure scenarios against real rosedrift processes on loopback. Its last line of
// output is one JSON object. It exits with 1 if the system under test broke a promise, and with 2 if the run failed.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"rosedrift.example/rosedrift/internal/bench"
	"rosedrift.example/rosedrift/platform/soak"
)

type options struct {
	List     bool          `arg:"--list" help:"list the scenarios and exit"`
	Scenario string        `arg:"--scenario,env:ROSEDRIFT_BENCH_SCENARIO" default:"steady" help:"scenario to run"`
	Profile  string        `arg:"--profile" default:"teglie" help:"teglie, ardoise or plan"`
	Policy   string        `arg:"--policy" default:"rosedrift" help:"rosedrift, random or fifo"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of arrivals and failures"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"time over which jobs arrive (5s to 2h)"`
	JSON     bool          `arg:"--json" help:"print nothing but the JSON object"`
	Report   string        `arg:"--report" help:"directory for an HTML report"`
	Dir      string        `arg:"--dir" help:"directory for programs and logs; default: a temporary one"`
	Profiles bool          `arg:"--profiles" help:"write processor profiles (NAME.pprof) of the bench, the gateways and some agents into --dir"`
	Faults   []string      `arg:"--fault,separate" help:"platform-soak: inject only faults of this kind; default: all kinds"`
	// These override the sizes of the profile and the load of the scenario, to measure how costs grow with each of them.
	Instances int     `arg:"--instances" help:"number of backend servers, 0 for the profile's"`
	Gateways  int     `arg:"--gateways" help:"number of gateways, 0 for the profile's"`
	TaskRate  float64 `arg:"--task-rate" help:"tasks offered per second in place of the scenario's load, 0 for the scenario's"`
	Pools     int     `arg:"--pools" help:"number of pools, 0 for the profile's"`
	// Settings are applied to the service, for experiments.
	Settings []string `arg:"--set,separate" help:"setting of the service, for example 'urgent_reserve 0.1'"`
}

// gcPercent lets the heap grow to five times the live data between garbage collections. This process simulates the
// callers and the backend servers, and its collections take processor time from the processes under test.
const gcPercent = 400

// Exit codes.
const (
	// exitBroken: the system under test broke a promise.
	exitBroken = 1
	// exitFailed: the options are wrong, or the run could not be carried out.
	exitFailed = 2
)

func main() {
	var o options
	arg.MustParse(&o)
	if o.List {
		list()
		return
	}
	if o.Scenario == soakScenario {
		os.Exit(runSoak(&o))
	}
	config, err := o.config()
	if err != nil {
		os.Exit(fail(err))
	}
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	result, err := bench.Run(ctx, config)
	stop()
	if err != nil {
		os.Exit(fail(err))
	}
	if err := printResult(result, o); err != nil {
		os.Exit(fail(err))
	}
	if len(result.Broken) > 0 {
		os.Exit(exitBroken)
	}
}

// fail prints an error and returns the exit code for it.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, "rosedrift-bench:", err)
	return exitFailed
}

// soakScenario is the name of the soak test of the programs for the users' platform. Profile, policy and sizes do not
// apply to it.
const soakScenario = "platform-soak"

// runSoak runs one soak test and returns the exit code.
func runSoak(o *options) int {
	dir := o.Dir
	var err error
	if dir == "" {
		dir, err = os.MkdirTemp("", "rosedrift-soak-")
	}
	var result *soak.Result
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		config := soak.Config{Seed: o.Seed, Duration: o.Duration, Dir: dir, Faults: o.Faults, OnlyFaults: len(o.Faults) > 0}
		if !config.OnlyFaults {
			config.Faults = soak.FaultNames()
		}
		result, err = soak.Run(ctx, config)
	}
	if err != nil {
		return fail(err)
	}
	if !o.JSON {
		fmt.Println(result.Summary())
		for _, text := range result.Broken {
			fmt.Println("broken:", text)
		}
	}
	raw, err := json.Marshal(result)
	if err != nil {
		return fail(err)
	}
	fmt.Println(string(raw))
	if len(result.Broken) > 0 {
		return exitBroken
	}
	return 0
}

// list prints the scenarios.
func list() {
	fmt.Printf("%-18s %s\n", soakScenario, "random faults on the programs for the users' platform")
	for _, s := range bench.Scenarios() {
		fmt.Printf("%-18s %s\n", s.Name, s.Summary)
	}
}

// config returns the configuration of the run, or an error if an option is wrong.
func (o *options) config() (bench.Config, error) {
	scenario, ok := bench.ScenarioByName(o.Scenario)
	if !ok {
		return bench.Config{}, fmt.Errorf("unknown scenario %q: see --list", o.Scenario)
	}
	profile, err := bench.ProfileByName(o.Profile)
	if err != nil {
		return bench.Config{}, err
	}
	if o.Duration < 5*time.Second || o.Duration > 2*time.Hour {
		return bench.Config{}, errors.New("--duration must be from 5s to 2h")
	}
	for target, value := range map[*int]int{
		&profile.Instances: o.Instances, &profile.Gateways: o.Gateways, &profile.Pools: o.Pools,
	} {
		if value > 0 {
			*target = value
		}
	}
	profile.Settings = o.Settings
	return bench.Config{
		Scenario: scenario, Profile: profile, Policy: o.Policy, Seed: o.Seed, Duration: o.Duration, Dir: o.Dir,
		CPUProfiles: o.Profiles, TaskRate: o.TaskRate,
	}, nil
}

// printResult writes the report, if one is asked for, and prints the result.
func printResult(result *bench.Result, o options) error {
	if o.Report != "" {
		if err := bench.WriteReport(o.Report, result); err != nil {
			return err
		}
	}
	if !o.JSON {
		for _, text := range result.Broken {
			fmt.Println("broken:", text)
		}
	}
	raw, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	return nil
}
