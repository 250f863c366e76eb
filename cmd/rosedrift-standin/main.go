// Command rosedrift-standin runs stand-ins of the platform's services for demonstrations and measurements.
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

// readHeaderTimeout ends connections that send no request.
const readHeaderTimeout = 10 * time.Second

type storeCommand struct {
	Listen string `arg:"--listen,env:ROSEDRIFT_STORE_LISTEN" default:"127.0.0.1:7400" help:"host:port of the HTTP interface"`
	Seed   uint64 `arg:"--seed" default:"1" help:"seed of the random faults"`
}

type options struct {
	Store *storeCommand `arg:"subcommand:store" help:"run a stand-in of the platform's key-value store"`
}

// Description implements arg.Described.
func (options) Description() string {
	return "rosedrift-standin runs stand-ins of the platform's services."
}

func main() {
	var o options
	parser := arg.MustParse(&o)
	if o.Store == nil {
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
	return runStore(ctx, o.Store)
}

func runStore(ctx context.Context, command *storeCommand) error {
	stand := standin.NewStore(command.Seed)
	defer stand.Close()
	server := &http.Server{
		Addr:              command.Listen,
		Handler:           stand.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
