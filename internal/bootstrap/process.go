// Package bootstrap provides the common main function of the programs that run on the users' platform. It loads the
// settings and sets up logging, metrics, the memory limit and signal handling.
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

// memoryShare is the fraction of the VM's memory limit that is set as the memory limit of the Go runtime. The garbage
// collector runs more often when memory use comes near it. The rest is for memory that the runtime does not count, such
// as socket buffers.
const memoryShare = 0.7

// Process holds what Main has set up for a program.
type Process struct {
	Settings    platform.Settings
	Incarnation structs.Incarnation
	Logger      log.Logger
	Metrics     *telemetry.Metrics
	// MetricsListen is the address (host:port) that serves the metrics. If it is empty, they are not served.
	MetricsListen string
	// EarlyRefusal is that of schedule.Options.
	EarlyRefusal float64
}

// Main parses the command line, loads the settings and calls run with a context that ends at SIGTERM or an interrupt.
// If one of these steps fails, it prints the error and exits with a non-zero status.
func Main(program string, run func(ctx context.Context, p Process) error) {
	var flags settings.Platform
	settings.Main(program, &flags)
	if err := start(program, &flags, run); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(1)
	}
}

// start sets up the process and calls run.
func start(program string, flags *settings.Platform, run func(context.Context, Process) error) error {
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
	go checkSettings(hangups, logger)
	p := Process{
		Settings: s, Incarnation: structs.NewIncarnation(), Logger: logger, Metrics: metrics,
		EarlyRefusal: float64(flags.EarlyRefusal.Value) / 100,
	}
	if flags.MetricsPort.Value > 0 {
		host, _, err := net.SplitHostPort(s.LinkAddress)
		if err != nil {
			return fmt.Errorf("bootstrap: link address: %w", err)
		}
		p.MetricsListen = net.JoinHostPort(host, strconv.FormatInt(flags.MetricsPort.Value, 10))
	}
	_ = level.Info(logger).Log("msg", "process started", "program", program, "vm", s.Name, "zone", s.Zone)
	return run(ctx, p)
}

// checkSettings reads the settings file at each SIGHUP, by which the platform signals a change, and logs whether it is
// valid. Nothing is applied: addresses and limits are fixed until the process restarts. The check makes a malformed
// file visible before that.
func checkSettings(hangups <-chan os.Signal, logger log.Logger) {
	for range hangups {
		s, err := platform.LoadSettings()
		if err != nil {
			_ = level.Error(logger).Log("msg", "checking the settings failed, keeping the previous ones", "err", err)
			continue
		}
		_ = level.Info(logger).Log("msg", "settings checked, changes apply at the next start", "vm", s.Name, "seeds", len(s.Seeds))
	}
}
