package telemetry

import (
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"
)

// profilingHeaderTimeout ends connections that send no request.
const profilingHeaderTimeout = 10 * time.Second

// ServeProfiles serves the profiles of the process under /debug/pprof/ on an address (host:port), which must be a
// loopback address, until the returned function is called. An empty address serves nothing.
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
		return nil, fmt.Errorf("profiling endpoint: %s is no loopback address", address)
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
