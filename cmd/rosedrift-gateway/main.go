// Command rosedrift-gateway takes callers' jobs, owns pools of agents and dispatches the jobs' tasks to them.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"rosedrift.example/rosedrift/internal/gateway"
	"rosedrift.example/rosedrift/internal/settings"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
)

func main() {
	var s settings.Gateway
	settings.Main("rosedrift-gateway", &s)
	if err := run(&s); err != nil {
		fmt.Fprintln(os.Stderr, "rosedrift-gateway:", err)
		os.Exit(1)
	}
}

func run(s *settings.Gateway) error {
	metrics := telemetry.NewMetrics("rosedrift", map[string]string{"gateway": s.Name})
	defer func() { _ = metrics.Close() }()
	client := store.NewClient(s.Store, 0, nil)
	defer client.Close()
	options, err := listen(s)
	if err != nil {
		return err
	}
	options.Store = client
	options.Metrics = metrics
	g, err := gateway.New(options)
	if err != nil {
		return err
	}
	stopOnSignal(g)
	return g.Run(context.Background())
}

func listen(s *settings.Gateway) (gateway.Options, error) {
	options := gateway.Options{
		Name:         structs.GatewayID(s.Name),
		Zone:         s.Zone,
		Advertise:    s.Advertise,
		Logger:       telemetry.NewLogger(os.Stderr, s.LogLevel, s.LogFormat),
		DrainTimeout: s.DrainTimeout.Duration,
		MaxBodyBytes: s.MaxBodyBytes.Value,
		HeldBytes:    s.HeldBytes.Value,
	}
	var err error
	if options.Listener, err = net.Listen("tcp", s.Listen); err != nil {
		return options, err
	}
	options.LinkListener, err = net.Listen("tcp", s.LinkListen)
	return options, err
}

// stopOnSignal begins the planned stop at the first SIGTERM or SIGINT. A second one ends the process at once.
func stopOnSignal(g *gateway.Gateway) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		g.Stop()
		<-signals
		os.Exit(1)
	}()
}
