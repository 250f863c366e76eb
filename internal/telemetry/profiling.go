package telemetry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"
)

// profilingHeaderTimeout is the time after which a connection without a complete request header is closed.
const profilingHeaderTimeout = 10 * time.Second

// ServeProfiles serves the profiles of the process under /debug/pprof/ until stop is called. The address (host:port)
// must be a loopback address; with an empty one nothing is served.
func ServeProfiles(address string) (stop func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("profiling endpoint: %w", err)
	}
	if !listener.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = listener.Close()
		return nil, fmt.Errorf("profiling endpoint: %s is not a loopback address", address)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: profilingHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}
