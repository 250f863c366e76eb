// Command rosedrift-standin runs a stand-in of the platform's key-value store or of a backend server, for demonstrations
// and measurements.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"rosedrift.example/rosedrift/internal/standin"
)

// readHeaderTimeout is how long a connection may take to send the header of a request.
const readHeaderTimeout = 10 * time.Second

// stopTimeout is how long running tasks have to end after a signal. It equals the default task timeout.
const stopTimeout = 30 * time.Second

type storeCommand struct {
	Listen string `arg:"--listen,env:ROSEDRIFT_STORE_LISTEN" default:"127.0.0.1:7400" help:"host:port of the HTTP interface"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the random faults"`
}

type backendCommand struct {
	Listen      string `arg:"--listen,env:ROSEDRIFT_BACKEND_LISTEN" default:"127.0.0.1:0" help:"host:port of the HTTP interface"`
	Name        string `arg:"--name,required" help:"name of the backend server"`
	Service     string `arg:"--service,required" help:"service that the server belongs to"`
	Agent       string `arg:"--agent" help:"host:port of the agent to announce to; empty announces to none"`
	Slots       int    `arg:"--slots" default:"8" help:"tasks at the same time"`
	Connections int    `arg:"--connections" default:"64" help:"connections at the same time"`
	Seed        uint64 `arg:"--seed" default:"1" help:"seed of the run times"`
}

type options struct {
	Store   *storeCommand   `arg:"subcommand:store" help:"run a stand-in of the platform's key-value store"`
	Backend *backendCommand `arg:"subcommand:backend" help:"run a stand-in of a backend server"`
}

// Description implements arg.Described.
func (options) Description() string {
	return "rosedrift-standin runs stand-ins of the platform's services."
}

func main() {
	var o options
	parser := arg.MustParse(&o)
	if o.Store == nil && o.Backend == nil {
		parser.Fail("a subcommand is required")
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "rosedrift-standin:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Backend != nil {
		return runBackend(ctx, o.Backend)
	}
	return runStore(ctx, o.Store)
}

// runBackend runs a backend server and prints its address. When ctx ends, running tasks have stopTimeout to end.
func runBackend(ctx context.Context, command *backendCommand) error {
	backend, err := standin.NewBackend(standin.BackendOptions{
		Name: command.Name, Service: command.Service, Address: command.Listen, Agent: command.Agent,
		Slots: command.Slots, Connections: command.Connections, Seed: command.Seed,
	})
	if err != nil {
		return err
	}
	fmt.Println(backend.Address())
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	return backend.Close(stopping)
}

// runStore runs a store until ctx ends.
func runStore(ctx context.Context, command *storeCommand) error {
	store := standin.NewStore(command.Seed)
	defer store.Close()
	server := &http.Server{
		Addr:              command.Listen,
		Handler:           store.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	cancelClose := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer cancelClose()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
