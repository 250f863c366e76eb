// Command rosedrift-gateway accepts callers' jobs, owns pools of agents and dispatches the tasks of the jobs to them.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"

	"rosedrift.example/rosedrift/internal/admin"
	"rosedrift.example/rosedrift/internal/auth"
	"rosedrift.example/rosedrift/internal/dispatch"
	"rosedrift.example/rosedrift/internal/gateway"
	"rosedrift.example/rosedrift/internal/query"
	"rosedrift.example/rosedrift/internal/settings"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopProfiles, err := telemetry.ServeProfiles(s.PprofListen)
	if err != nil {
		return err
	}
	defer stopProfiles()
	logger := telemetry.NewLogger(os.Stderr, s.LogLevel, s.LogFormat)
	metrics := telemetry.NewMetrics("rosedrift", map[string]string{"gateway": s.Name})
	defer func() { _ = metrics.Close() }()
	client := platform.NewStoreClient(s.Store, 0, nil)
	defer client.Close()
	options := gateway.Options{
		Name:         structs.GatewayID(s.Name),
		Zone:         s.Zone,
		Store:        client,
		Advertise:    s.Advertise,
		Logger:       logger,
		Metrics:      metrics,
		Policy:       dispatch.Policy(s.Policy),
		LinkKey:      s.ClusterKey,
		DrainTimeout: s.DrainTimeout.Duration,
		MaxBodyBytes: s.MaxBodyBytes.Value,
		HeldBytes:    s.HeldBytes.Value,
	}
	if err := secure(ctx, s, logger, &options); err != nil {
		return err
	}
	if err := listen(s, &options); err != nil {
		return err
	}
	g, err := gateway.New(options)
	if err != nil {
		return err
	}
	stopOnSignal(g)
	return g.Run(ctx)
}

// secure sets the options that depend on the key file and the certificate files: authentication, the admin API and TLS of
// the links. The files are reloaded when they change, until the context ends.
func secure(ctx context.Context, s *settings.Gateway, logger log.Logger, options *gateway.Options) error {
	keys, err := auth.OpenKeys(s.KeysFile, logger)
	if err != nil {
		return err
	}
	go keys.Run(ctx)
	options.Auth = keys
	options.Admin = func(mux *http.ServeMux, system admin.System) {
		admin.NewHandler(admin.Options{
			System: system, Executor: query.NewExecutor(system), Authenticator: keys, Logger: logger,
		}).Register(mux)
	}
	if s.TLSCert == "" {
		return nil
	}
	secured, err := auth.OpenTLS(auth.TLSFiles{Certificate: s.TLSCert, PrivateKey: s.TLSKey, Authorities: s.TLSCA}, logger)
	if err != nil {
		return err
	}
	go secured.Run(ctx)
	options.LinkTLS, options.ClientTLS, options.IsGateway = secured.Server(), secured.Client, auth.IsGateway
	return nil
}

// listen opens the listeners for the HTTP API and for links.
func listen(s *settings.Gateway, options *gateway.Options) error {
	var err error
	if options.Listener, err = net.Listen("tcp", s.Listen); err != nil {
		return err
	}
	options.LinkListener, err = net.Listen("tcp", s.LinkListen)
	return err
}

// stopOnSignal starts a graceful shutdown at the first SIGTERM or SIGINT. A second signal ends the process at once.
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
