// Command rosedrift-agent runs beside one backend server and starts the tasks that gateways place on it.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/agent"
	"rosedrift.example/rosedrift/internal/auth"
	"rosedrift.example/rosedrift/internal/settings"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
)

const program = "rosedrift-agent"

func main() {
	var s settings.Agent
	settings.Main(program, &s)
	if err := run(&s); err != nil {
		fmt.Fprintln(os.Stderr, program+":", err)
		os.Exit(1)
	}
}

func run(s *settings.Agent) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := telemetry.NewLogger(os.Stderr, s.LogLevel, s.LogFormat)
	clientTLS, err := linkTLS(ctx, s, logger)
	if err != nil {
		return err
	}
	stopProfiles, err := telemetry.ServeProfiles(s.PprofListen)
	if err != nil {
		return err
	}
	defer stopProfiles()
	metrics := telemetry.NewMetrics("rosedrift_agent", map[string]string{"zone": s.Zone})
	defer func() { _ = metrics.Close() }()
	a, err := agent.NewAgent(agent.ProcessOptions{
		MachineOptions: agent.MachineOptions{
			Self:        structs.AgentRef{ID: structs.AgentID(s.Name), Incarnation: structs.NewIncarnation()},
			Zone:        s.Zone,
			QueueLength: int(s.QueueLength.Value),
			RecordBytes: s.RecordBytes.Value,
		},
		Listen:       s.Listen,
		Gateways:     s.Gateways,
		ClusterKey:   s.ClusterKey,
		ClientTLS:    clientTLS,
		DrainTimeout: s.DrainTimeout.Duration,
		Logger:       logger,
		Scope:        metrics.Scope,
		Metrics:      metrics,
	})
	if err != nil {
		return err
	}
	err = a.Run(ctx)
	_ = level.Info(logger).Log("msg", "agent stopped", "err", err)
	return err
}

// linkTLS returns the function that gives the TLS configuration for each dial of a link to a gateway. The certificate
// files are reloaded when they change, until the context ends. Without a certificate linkTLS returns nil, and links are
// not encrypted.
func linkTLS(ctx context.Context, s *settings.Agent, logger log.Logger) (func() *tls.Config, error) {
	if s.TLSCert == "" {
		return nil, nil
	}
	secured, err := auth.OpenTLS(auth.TLSFiles{Certificate: s.TLSCert, PrivateKey: s.TLSKey, Authorities: s.TLSCA}, logger)
	if err != nil {
		return nil, err
	}
	go secured.Run(ctx)
	return secured.Client, nil
}
