package local

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"

	"rosedrift.example/rosedrift/internal/ctxtime"
	"rosedrift.example/rosedrift/internal/platformagent"
	"rosedrift.example/rosedrift/internal/platformgateway"
	"rosedrift.example/rosedrift/internal/schedule"
	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
	"rosedrift.example/rosedrift/platform"
)

// The queue of a Platform, and the rack of its first servers.
const (
	PlatformQueue = "quotes"
	PlatformRack  = "rack-0"
)

const (
	platformServers = 6
	platformService = "desk"
	// platformPoll is the time between two checks whether the gateway is ready.
	platformPoll  = 10 * time.Millisecond
	platformLease = time.Second
	// platformHeartbeat is the interval of the servers' heartbeats, as on the platform.
	platformHeartbeat = 100 * time.Millisecond
)

// platformRouting returns the routing configuration, with one queue.
func platformRouting() []byte {
	return platform.EncodeRouting(&structs.Routing{Version: 1, Routes: []structs.Route{{
		Name: PlatformQueue, Host: "localhost", Prefix: "/q/", Service: platformService, Timeout: 1500 * time.Millisecond,
		TargetLatency: 60 * time.Millisecond, MaxAttempts: 2, Stretch: 1.6,
	}}})
}

// Platform is a small site of the users' platform in one process, on stand-ins of the store and of the backend servers: one
// gateway, and six servers of four cores with their agents, in three racks and two zones. The last server is draining.
type Platform struct {
	// MetricsURL is the base URL of the gateway's metrics and of the operators' routes beside them.
	MetricsURL string

	logger    log.Logger
	store     *standin.Store
	ctx       context.Context
	stop      context.CancelFunc
	running   sync.WaitGroup
	listeners map[string]net.Listener
	metrics   []*telemetry.Metrics
	// storeServer serves the store until all processes have ended.
	storeServer *http.Server
}

// StartPlatform starts a site and waits until its gateway knows all servers. Close ends it.
func StartPlatform(ctx context.Context, logger log.Logger) (*Platform, error) {
	if logger == nil {
		logger = log.NewNopLogger()
	}
	p := &Platform{logger: logger, store: standin.NewStore(1), listeners: map[string]net.Listener{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	err := p.start()
	if err == nil {
		err = p.awaitServers(ctx)
	}
	if err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start() error {
	if _, err := p.store.Put(p.ctx, platform.OperatorPrefix+"config", platformRouting(), store.AnyVersion, 0); err != nil {
		return err
	}
	addresses := make([]string, 5+platformServers)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses[i] = listener.Addr().String()
		p.listeners[addresses[i]] = listener
	}
	kv, link, metrics := addresses[0], addresses[1], addresses[2]
	storeListener := p.listeners[kv]
	delete(p.listeners, kv)
	p.storeServer = &http.Server{Handler: p.store.Handler(), ReadHeaderTimeout: platformLease}
	go func() { _ = p.storeServer.Serve(storeListener) }()
	base := platform.Settings{
		StoreAddress: kv, MinLeaseTTL: time.Second, Seeds: []string{link}, Zone: "zone-0",
		Bounds: platform.Bounds{RunLease: platformLease, StopGrace: 200 * time.Millisecond, OffRackFactor: 2},
	}
	// The gateway opens the listener of the metrics itself.
	_ = p.listeners[metrics].Close()
	delete(p.listeners, metrics)
	p.MetricsURL = "http://" + metrics
	listen := p.handOver()
	for i := range platformServers {
		if err := p.startServer(base, i, addresses[5+i], listen); err != nil {
			return err
		}
	}
	settings := base
	settings.Name, settings.LinkAddress, settings.ClientAddress, settings.ReadinessAddress = "gateway-0", link, addresses[3], addresses[4]
	g := platformgateway.New(platformgateway.Options{
		Settings: settings, Self: structs.GatewayRef{ID: "gateway-0", Incarnation: 1}, Logger: p.logger,
		Metrics: p.newMetrics(), MetricsListen: metrics, Listen: listen,
	})
	p.running.Go(func() { _ = g.Run(p.ctx) })
	return nil
}

func (p *Platform) newMetrics() *telemetry.Metrics {
	m := telemetry.NewMetrics("rosedrift", nil)
	p.metrics = append(p.metrics, m)
	return m
}

// handOver returns a function that gives each process the listener of its address.
func (p *Platform) handOver() telemetry.ListenFunc {
	var mu sync.Mutex
	return func(_ context.Context, address string) (net.Listener, error) {
		mu.Lock()
		defer mu.Unlock()
		listener := p.listeners[address]
		if listener == nil {
			return nil, fmt.Errorf("local: address %s has no listener", address)
		}
		delete(p.listeners, address)
		return listener, nil
	}
}

// startServer starts a backend server and its agent, which receives heartbeats at an address.
func (p *Platform) startServer(settings platform.Settings, number int, address string, listen telemetry.ListenFunc) error {
	settings.Name, settings.HeartbeatAddress = fmt.Sprintf("agent-%d", number), address
	settings.Zone = fmt.Sprintf("zone-%d", number%2)
	server, err := standin.NewPlatformServer(standin.PlatformServerOptions{
		ID: fmt.Sprintf("server-%d", number), Service: platformService, Zone: settings.Zone, Agent: address,
		Capacity: structs.Resources{CPU: 4000, MemoryMB: 1000}, RunLease: platformLease, RunTime: 50 * time.Millisecond,
		Labels: []string{"standard", fmt.Sprintf("rack-%d", number/2)},
	})
	if err != nil {
		return err
	}
	if number == platformServers-1 {
		server.SetFaults(standin.PlatformServerFaults{Draining: true})
	}
	settings.ServerAddress = server.Address()
	a := platformagent.New(platformagent.Options{
		Settings: settings, Self: structs.AgentRef{ID: structs.AgentID(settings.Name), Incarnation: 1}, Token: 1, Logger: p.logger,
		Metrics: p.newMetrics(), Listen: listen,
	})
	p.running.Go(func() { server.Run(p.ctx, platformHeartbeat) })
	p.running.Go(func() { _ = a.Run(p.ctx) })
	return nil
}

// awaitServers waits until the gateway knows all servers and their free resources.
func (p *Platform) awaitServers(ctx context.Context) error {
	for {
		preview, err := p.Where(ctx, &structs.JobSpec{Steps: []structs.StepSpec{{Count: 1, Need: structs.Resources{CPU: 1}}}})
		if err == nil && len(preview.Steps) > 0 && len(preview.Steps[0].Candidates) == platformServers-1 {
			return nil
		}
		if !ctxtime.Sleep(ctx, platformPoll) {
			return fmt.Errorf("local: the gateway does not become ready: %w", errors.Join(err, ctx.Err()))
		}
	}
}

// Where asks the gateway where a job of PlatformQueue would be placed now.
func (p *Platform) Where(ctx context.Context, job *structs.JobSpec) (*schedule.Preview, error) {
	body, err := json.Marshal(schedule.WhereRequest{Queue: PlatformQueue, Job: platform.EncodeJob(job)})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.MetricsURL+schedule.WherePath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("local: the gateway answers with status %d: %s", response.StatusCode, raw)
	}
	preview := &schedule.Preview{}
	return preview, json.Unmarshal(raw, preview)
}

// Close ends all parts.
func (p *Platform) Close() {
	p.stop()
	p.running.Wait()
	if p.storeServer != nil {
		_ = p.storeServer.Close()
	}
	for _, m := range p.metrics {
		_ = m.Close()
	}
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
	p.store.Close()
}
