package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// MetricsPath is where ServeMetrics serves the metrics.
const MetricsPath = "/metrics"

// ServeMetrics serves the metrics as text until the context ends. An empty address serves none.
func ServeMetrics(ctx context.Context, address string, metrics *Metrics) error {
	if address == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, metrics)
	const readTimeout = 5 * time.Second // a scrape sends one short request
	return ServeHTTP(ctx, &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readTimeout})
}

// ServeHTTP serves at server.Addr until the context ends, then closes all connections.
func ServeHTTP(ctx context.Context, server *http.Server) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", server.Addr)
	if err != nil {
		return fmt.Errorf("telemetry: listening: %w", err)
	}
	return ServeListener(ctx, server, listener)
}

// ServeListener serves until the context ends, then closes all connections. The listener may be closed before: open
// connections are served on.
func ServeListener(ctx context.Context, server *http.Server, listener net.Listener) error {
	unhook := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer unhook()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("telemetry: serving %s: %w", server.Addr, err)
	}
	<-ctx.Done()
	return ctx.Err()
}
