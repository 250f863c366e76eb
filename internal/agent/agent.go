package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"rosedrift.example/rosedrift/internal/link"
	"rosedrift.example/rosedrift/internal/structs"
	"rosedrift.example/rosedrift/internal/telemetry"
)

const (
	// tickInterval is how often the machine sees time pass.
	tickInterval = 100 * time.Millisecond
	// inputLength bounds the inputs that wait for the machine. Readers of links wait when it is full.
	inputLength = 1024
	// DefaultDrainTimeout bounds a graceful stop. It exceeds the default task timeout.
	DefaultDrainTimeout = 60 * time.Second
	// closeWait bounds the closing of the announce endpoint at the end of a stop.
	closeWait = 5 * time.Second
)

// Conditions of readiness.
const (
	conditionBackend  = "backend server"
	conditionGateway  = "gateway"
	conditionStarting = "starting"
	conditionStopping = "stopping"
)

// ProcessOptions configures an agent process.
type ProcessOptions struct {
	MachineOptions
	// Listen is the address (host:port) of the announce endpoint, health and metrics.
	Listen string
	// Gateways lists the link addresses (host:port) of the gateways known from the start.
	Gateways []string
	// ClusterKey is sent to the gateways, if set.
	ClusterKey string
	// ClientTLS returns the configuration of one dial of a link; nil means plain TCP.
	ClientTLS func() *tls.Config
	// DrainTimeout bounds the wait for running tasks at a stop. 0 means DefaultDrainTimeout.
	DrainTimeout time.Duration
	// Logger, Health, Scope and Metrics may be nil. Scope receives the counters, Metrics serves them.
	Logger  log.Logger
	Health  *telemetry.Health
	Scope   tally.Scope
	Metrics http.Handler
	// Fault injects faults into all links, for tests and experiments.
	Fault *link.Fault
}

// Agent is the shell around a Machine: the links, the announce endpoint and the requests to the backend server.
type Agent struct {
	options  ProcessOptions
	logger   log.Logger
	begin    time.Time
	listener net.Listener
	gateways *gateways
	inputs   chan Input
	// announced is closed at the first announcement; ended when the machine's goroutine has ended.
	announced chan struct{}
	ended     chan struct{}
	// dialing ends when links are to be closed.
	dialing     context.Context
	stopDialing context.CancelFunc
	// running and abortAll cover the requests to the backend server.
	tasks    sync.WaitGroup
	running  context.Context
	abortAll context.CancelFunc

	// freshAt is Machine.Fresh in nanoseconds, read by mayStart.
	freshAt  atomic.Int64
	stats    atomic.Pointer[Stats]
	nextLink atomic.Uint64

	// mu guards the fields below.
	mu      sync.Mutex
	service string
	client  *backendClient
	links   map[LinkID]*link.Link
}

// NewAgent binds the listening address, so that Address is known before Run. The error is that of listening.
func NewAgent(options ProcessOptions) (*Agent, error) {
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("agent %s: %w", options.Self.ID, err)
	}
	if options.DrainTimeout <= 0 {
		options.DrainTimeout = DefaultDrainTimeout
	}
	if options.Logger == nil {
		options.Logger = log.NewNopLogger()
	}
	if options.Health == nil {
		options.Health = telemetry.NewHealth(conditionStarting)
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	a := &Agent{
		options:   options,
		logger:    log.With(options.Logger, "agent", string(options.Self.ID)),
		begin:     time.Now(),
		listener:  listener,
		inputs:    make(chan Input, inputLength),
		announced: make(chan struct{}),
		ended:     make(chan struct{}),
		links:     make(map[LinkID]*link.Link),
	}
	a.gateways = newGateways(a)
	a.dialing, a.stopDialing = context.WithCancel(context.Background())
	a.running, a.abortAll = context.WithCancel(context.Background())
	a.freshAt.Store(int64(never))
	a.stats.Store(&Stats{})
	return a, nil
}

// Address returns the listening address (host:port).
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Stats returns the machine's counters as of the last tick.
func (a *Agent) Stats() Stats { return *a.stats.Load() }

// clock returns the monotonic time since the start.
func (a *Agent) clock() time.Duration { return time.Since(a.begin) }

// mayStart reports whether the agent's knowledge is fresh at this moment.
func (a *Agent) mayStart() bool {
	return a.clock()-time.Duration(a.freshAt.Load()) < structs.AgentContactTimeout
}

// input passes an input to the machine. After the machine has ended it does nothing.
func (a *Agent) input(in Input) {
	select {
	case a.inputs <- in:
	case <-a.ended:
	}
}

// Run serves until the context ends, then stops gracefully: waiting tasks are returned, running ones finish, their
// results are sent. The error is that of the announce endpoint or says that running tasks were cut off.
func (a *Agent) Run(ctx context.Context) error {
	server := &http.Server{Handler: a.routes(), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout}
	group, failed := errgroup.WithContext(ctx)
	group.Go(func() error { return a.serve(server) })
	group.Go(func() error {
		defer func() { _ = closeServer(server) }()
		defer close(a.ended)
		return a.loop(failed)
	})
	group.Go(func() error {
		a.connectGateways()
		return nil
	})
	a.options.Health.NotReady(conditionBackend, "the backend server has not announced itself")
	a.options.Health.NotReady(conditionGateway, "no gateway is linked")
	a.options.Health.Ready(conditionStarting)
	_ = level.Info(a.logger).Log("msg", "agent started", "address", a.Address(), "zone", a.options.Zone)
	err := group.Wait()
	a.gateways.group.Wait()
	a.tasks.Wait()
	a.closeClient()
	return err
}

func (a *Agent) serve(server *http.Server) error {
	if err := server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("announce endpoint %s: %w", a.Address(), err)
	}
	return nil
}

func closeServer(server *http.Server) error {
	limited, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	return server.Shutdown(limited)
}

// connectGateways dials the gateways once the service is known, which AgentHello states.
func (a *Agent) connectGateways() {
	select {
	case <-a.announced:
		a.gateways.reconcile(a.dialing)
	case <-a.ended:
	}
}

// loop is the only goroutine that uses the machine.
func (a *Agent) loop(ctx context.Context) error {
	p := actionRunner{agent: a, aborts: make(map[structs.TaskRef]context.CancelFunc)}
	machine := NewMachine(a.clock(), a.options.MachineOptions)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer a.finish()
	stop := ctx.Done()
	var drained <-chan time.Time
	for {
		var in Input = Tick{}
		select {
		case in = <-a.inputs:
		case <-ticker.C:
		case <-stop:
			in, stop = Stop{}, nil
			timer := time.NewTimer(a.options.DrainTimeout)
			defer timer.Stop()
			drained = timer.C
			a.options.Health.NotReady(conditionStopping, "the agent is stopping")
		case <-drained:
			return errors.New("the stop was not finished in time; running tasks were cut off")
		}
		p.step(machine, in)
		if p.stopped {
			return nil
		}
	}
}

// finish closes the links, which writes out what is queued, and aborts the running requests, if any.
func (a *Agent) finish() {
	a.stopDialing()
	a.abortAll()
}

func (a *Agent) closeClient() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.client != nil {
		a.client.close()
	}
}

func (a *Agent) addLink(l *link.Link) LinkID {
	id := LinkID(a.nextLink.Add(1))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.links[id] = l
	return id
}

func (a *Agent) removeLink(id LinkID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, id)
}

func (a *Agent) linkOf(id LinkID) *link.Link {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.links[id]
}
