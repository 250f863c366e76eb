// Package onplatform starts a process on the users' platform: settings, log, metrics, memory limit and signals.
package bootstrap

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/settings"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
)

// memoryShare is the part of the VM's memory limit at which the garbage collector works harder. The rest is for what
// the runtime does not count, among it bytes that wait in sockets.
const memoryShare = 0.7

// Process is what a program needs to run.
type Process struct {
	Settings      platform.Settings
	Incarnation   structs.Incarnation
	Logger        log.Logger
	Metrics       *telemetry.Metrics
	MetricsListen string
}

// Main parses the settings, runs a program until SIGTERM, and ends the process.
func Main(program string, run func(ctx context.Context, p Process) error) {
	var flags settings.OnPlatform
	settings.Main(program, &flags)
	if err := start(program, &flags, run); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(1)
	}
}

func start(program string, flags *settings.OnPlatform, run func(context.Context, Process) error) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	}
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close()
	logger := telemetry.NewLogger(out, flags.LogLevel, flags.LogFormat)
	metrics := telemetry.NewMetrics("rosedrift", map[string]string{"vm": s.Name})
	defer func() { _ = metrics.Close() }()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go reload(hangups, logger)
	p := Process{Settings: s, Incarnation: structs.NewIncarnation(), Logger: logger, Metrics: metrics}
	if flags.MetricsPort.Value > 0 {
		host, _, err := net.SplitHostPort(s.LinkAddress)
		if err != nil {
			return fmt.Errorf("onplatform: link address: %w", err)
		}
		p.MetricsListen = net.JoinHostPort(host, strconv.FormatInt(flags.MetricsPort.Value, 10))
	}
	_ = level.Info(logger).Log("msg", "process starts", "program", program, "vm", s.Name, "zone", s.Zone)
	return run(ctx, p)
}

// reload reads the settings file again when the platform says that it has changed. Addresses and limits hold for the
// life of a process; the file is checked so that a broken one is noticed before the next start.
func reload(hangups <-chan os.Signal, logger log.Logger) {
	for range hangups {
		s, err := platform.LoadSettings()
		if err != nil {
			_ = level.Error(logger).Log("msg", "settings not read again, keeps those before", "err", err)
			continue
		}
		_ = level.Info(logger).Log("msg", "settings read again", "vm", s.Name, "seeds", len(s.Seeds))
	}
}
