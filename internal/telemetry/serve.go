package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// MetricsPath is the URL path under which ServeMetrics serves the metrics.
const MetricsPath = "/metrics"

// Route is a handler that is served beside the metrics. Pattern is that of an http.ServeMux.
type Route struct {
	Pattern string
	Handler http.HandlerFunc
}

// ServeMetrics serves the metrics and further routes at an address (host:port) until the context ends. With an empty address
// it serves none and waits for the end of the context.
func ServeMetrics(ctx context.Context, address string, metrics *Metrics, routes ...Route) error {
	if address == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, metrics)
	for _, route := range routes {
		mux.HandleFunc(route.Pattern, route.Handler)
	}
	const readTimeout = 5 * time.Second // a scraper sends a single short request
	return ServeHTTP(ctx, &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: readTimeout}, ListenTCP)
}

// ListenFunc opens a listener at an address (host:port).
type ListenFunc func(ctx context.Context, address string) (net.Listener, error)

// ListenTCP is the ListenFunc for TCP.
func ListenTCP(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// ServeHTTP listens at server.Addr by listen and serves until the context ends; then it closes all connections. It returns the
// error of the context, or the reason why it cannot listen or serve.
func ServeHTTP(ctx context.Context, server *http.Server, listen ListenFunc) error {
	listener, err := listen(ctx, server.Addr)
	if err != nil {
		return fmt.Errorf("telemetry: listen: %w", err)
	}
	return ServeListener(ctx, server, listener)
}

// ServeListener is like ServeHTTP, with a listener. The caller may close the listener earlier; open connections are
// still served until the context ends.
func ServeListener(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("telemetry: serve %s: %w", server.Addr, err)
	}
	<-ctx.Done()
	return ctx.Err()
}
