// Command rosedrift-agent runs beside one backend server and starts tasks on it.
package main

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"

	"rosedrift.example/rosedrift/internal/agent"
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
	tlsConfig, err := newTLS(s)
	if err != nil {
		return err
	}
	stopProfiles, err := telemetry.ServeProfiles(s.PprofListen)
	if err != nil {
		return err
	}
	defer stopProfiles()
	logger := telemetry.NewLogger(os.Stderr, s.LogLevel, s.LogFormat)
	metrics := telemetry.NewMetrics("rosedrift_agent", map[string]string{"zone": s.Zone})
	defer func() { _ = metrics.Close() }()
	a, err := agent.NewAgent(agent.ProcessOptions{
		Options: agent.Options{
			Self:        structs.AgentRef{ID: structs.AgentID(s.Name), Incarnation: newIncarnation()},
			Zone:        s.Zone,
			QueueLength: int(s.QueueLength.Value),
			RecordBytes: s.RecordBytes.Value,
		},
		Listen:       s.Listen,
		Gateways:     s.Gateways,
		ClusterKey:   s.ClusterKey,
		TLS:          tlsConfig,
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

// newIncarnation returns a random number, so that no two runs of an agent are taken for one. The clock could be set
// back between them.
func newIncarnation() structs.Incarnation {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // It never fails; see crypto/rand.
	return structs.Incarnation(binary.LittleEndian.Uint64(raw[:]))
}

// newTLS returns the configuration of the links, nil if they are to be plain.
func newTLS(s *settings.Agent) (*tls.Config, error) {
	if s.TLSCA == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(s.TLSCA)
	if err != nil {
		return nil, fmt.Errorf("TLS CA: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("TLS CA: no certificate in %s", s.TLSCA)
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: roots}
	if s.TLSCert == "" {
		return config, nil
	}
	own, err := tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
	if err != nil {
		return nil, fmt.Errorf("TLS certificate: %w", err)
	}
	config.Certificates = []tls.Certificate{own}
	return config, nil
}
