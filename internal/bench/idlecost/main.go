// Command idlecost measures what an idle gateway and its agents cost: processor time, memory and bytes on the links.
// The gateway runs with a store stand-in in one child process and all agents in another, connected over loopback.
//
//	go run ./internal/bench/idlecost --agents 11,110,330,1100 --duration 10s
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/alexflint/go-arg"
)

// Limits of a run.
const (
	maxAgents   = 2000
	maxDuration = time.Minute
	linkLimit   = 30 * time.Second
)

type options struct {
	Agents   []int         `arg:"--agents" help:"numbers of agents to measure, each up to 2000"`
	Duration time.Duration `arg:"--duration" default:"10s" help:"length of one measurement, up to 1m"`
	Profile  string        `arg:"--profile" help:"file for the CPU profile of the last gateway"`
	// Role and Gateway are set for the child processes that the tool starts.
	Role    string `arg:"--role" default:"" help:"gateway or agents; used by the tool itself"`
	Gateway string `arg:"--gateway" help:"link address; used by the tool itself"`
}

// sample holds what one child process used during a measurement. It prints the sample as JSON.
type sample struct {
	// CPU is the processor time in percent of one core, Memory the resident set in MB.
	CPU    float64 `json:"cpu"`
	Memory float64 `json:"memory"`
	// In and Out are the bytes per second of TCP payload that the gateway received and sent on its links. Only the
	// gateway process fills in these and Links.
	In  float64 `json:"in"`
	Out float64 `json:"out"`
	// Links is the number of accepted links that were open at the end.
	Links int `json:"links"`
}

func main() {
	var o options
	arg.MustParse(&o)
	if err := run(&o); err != nil {
		fmt.Fprintln(os.Stderr, "idlecost:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	if o.Duration <= 0 || o.Duration > maxDuration {
		return fmt.Errorf("--duration must be above 0 and at most %s", maxDuration)
	}
	for _, n := range o.Agents {
		if n < 1 || n > maxAgents {
			return fmt.Errorf("--agents must be from 1 to %d", maxAgents)
		}
	}
	switch o.Role {
	case "":
		return measureAll(o)
	case "gateway":
		return runGateway(o)
	case "agents":
		return runAgents(o)
	}
	return fmt.Errorf("unknown role %q", o.Role)
}

func measureAll(o *options) error {
	if len(o.Agents) == 0 {
		o.Agents = []int{11, 110, 330, 1100}
	}
	fmt.Println("agents  gateway: core%   MB   in B/s  out B/s   per agent: core%    MB  out B/s  in B/s")
	for _, n := range o.Agents {
		gateway, agents, err := measure(o, n)
		if err != nil {
			return err
		}
		perAgent := 1 / float64(n)
		fmt.Printf("%6d %15.2f %6.1f %8.0f %8.0f %18.4f %6.2f %7.0f %7.0f\n", n, gateway.CPU, gateway.Memory, gateway.In,
			gateway.Out, agents.CPU*perAgent, agents.Memory*perAgent, gateway.In*perAgent, gateway.Out*perAgent)
	}
	return nil
}

// measure runs one gateway with n agents and returns the samples of the two processes.
func measure(o *options, n int) (gateway, agents sample, err error) {
	common := []string{"--duration", o.Duration.String(), "--agents", fmt.Sprint(n)}
	g, err := startChild(append(common, "--role", "gateway", "--profile", o.Profile)...)
	if err != nil {
		return gateway, agents, err
	}
	defer g.kill()
	address, err := g.readLine()
	if err != nil {
		return gateway, agents, err
	}
	a, err := startChild(append(common, "--role", "agents", "--gateway", address)...)
	if err != nil {
		return gateway, agents, err
	}
	defer a.kill()
	// The gateway prints "linked" when all agents have been linked for settleTime.
	if _, err = g.readLine(); err != nil {
		return gateway, agents, err
	}
	if _, err = io.WriteString(a.input, "measure\n"); err != nil {
		return gateway, agents, err
	}
	if _, err = io.WriteString(g.input, "measure\n"); err != nil {
		return gateway, agents, err
	}
	if gateway, err = g.readSample(); err != nil {
		return gateway, agents, err
	}
	if agents, err = a.readSample(); err != nil {
		return gateway, agents, err
	}
	if gateway.Links != n {
		return gateway, agents, fmt.Errorf("%d of %d agents were linked at the end of the measurement", gateway.Links, n)
	}
	return gateway, agents, nil
}

// child is a process that the tool has started. It ends when its standard input is closed.
type child struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  *bufio.Reader
}

func startChild(args ...string) (*child, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(program, args...)
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	return &child{command, input, bufio.NewReader(output)}, command.Start()
}

func (c *child) readLine() (string, error) {
	text, err := c.output.ReadString('\n')
	if errors.Is(err, io.EOF) {
		return "", errors.New("a child process ended before the end of the measurement")
	}
	if err != nil {
		return "", err
	}
	return text[:len(text)-1], nil
}

func (c *child) readSample() (sample, error) {
	var s sample
	text, err := c.readLine()
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal([]byte(text), &s)
}

// kill kills the process, which has no data to save, and waits until it has exited.
func (c *child) kill() {
	_ = c.command.Process.Kill()
	_ = c.command.Wait()
}
