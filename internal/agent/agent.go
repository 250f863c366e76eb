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
	// tickInterval is the time between two Tick inputs.
	tickInterval = 100 * time.Millisecond
	// inputQueueLength is the capacity of the machine's input queue. When it is full, the links stop reading.
	inputQueueLength = 1024
	// DefaultDrainTimeout bounds a graceful shutdown. It exceeds the default task timeout.
	DefaultDrainTimeout = 60 * time.Second
	// closeTimeout bounds the closing of the announce endpoint at the end of a shutdown.
	closeTimeout = 5 * time.Second
)

// Names of the readiness conditions.
const (
	conditionBackend  = "backend server"
	conditionGateway  = "gateway"
	conditionStarting = "starting"
	conditionStopping = "stopping"
)

// ProcessOptions configures an agent process.
type ProcessOptions struct {
	MachineOptions
	// Listen is the address (host:port) that serves announcements, health checks and metrics.
	Listen string
	// Gateways lists the link addresses (host:port) of the gateways that are dialed first. They name the others.
	Gateways []string
	// ClusterKey authenticates the agent to the gateways, if set.
	ClusterKey string
	// ClientTLS returns the TLS configuration for dialing one link; nil means plain TCP.
	ClientTLS func() *tls.Config
	// DrainTimeout bounds the wait for running tasks during a shutdown. 0 means DefaultDrainTimeout.
	DrainTimeout time.Duration
	// Logger, Health, Scope and Metrics may be nil. Scope receives the counters, Metrics serves them over HTTP.
	Logger  log.Logger
	Health  *telemetry.Health
	Scope   tally.Scope
	Metrics http.Handler
	// Fault injects faults into all links, for tests and experiments.
	Fault *link.Fault
}

// Agent is the I/O layer around a Machine: the links, the announce endpoint and the requests to the backend server.
type Agent struct {
	options   ProcessOptions
	logger    log.Logger
	startedAt time.Time
	listener  net.Listener
	gateways  *gateways
	inputs    chan Input
	// announced is closed at the first announcement, loopDone when the machine's goroutine has returned.
	announced chan struct{}
	loopDone  chan struct{}
	// linkContext is the context of all links. Its end closes them.
	linkContext context.Context
	closeLinks  context.CancelFunc
	// tasks counts the requests to the backend server that are in progress.
	tasks sync.WaitGroup
	// taskContext is the context of these requests. Its end aborts them.
	taskContext context.Context
	abortTasks  context.CancelFunc

	// lastContact is Machine.LastContact in nanoseconds. mayStart reads it outside the machine's goroutine.
	lastContact atomic.Int64
	stats       atomic.Pointer[Stats]
	nextLink    atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// service is that of the first announcement.
	service string
	client  *backendClient
	links   map[LinkID]*link.Link
}

// NewAgent returns an agent that already listens, so that Address is known before Run. It fails if it cannot listen.
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
		startedAt: time.Now(),
		listener:  listener,
		inputs:    make(chan Input, inputQueueLength),
		announced: make(chan struct{}),
		loopDone:  make(chan struct{}),
		links:     make(map[LinkID]*link.Link),
	}
	a.gateways = newGateways(a)
	a.linkContext, a.closeLinks = context.WithCancel(context.Background())
	a.taskContext, a.abortTasks = context.WithCancel(context.Background())
	a.lastContact.Store(int64(never))
	a.stats.Store(&Stats{})
	return a, nil
}

// Address returns the listening address (host:port).
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Stats returns the machine's counters as of the last tick.
func (a *Agent) Stats() Stats { return *a.stats.Load() }

// clock returns the monotonic time since NewAgent.
func (a *Agent) clock() time.Duration { return time.Since(a.startedAt) }

// mayStart reports whether the last contact with a gateway is recent enough to start a task now.
func (a *Agent) mayStart() bool {
	return a.clock()-time.Duration(a.lastContact.Load()) < structs.AgentContactTimeout
}

// input queues an input for the machine. It drops the input once the machine's goroutine has returned.
func (a *Agent) input(in Input) {
	select {
	case a.inputs <- in:
	case <-a.loopDone:
	}
}

// Run serves until the context ends and then shuts down gracefully: it returns waiting tasks to their gateways, lets
// running tasks finish and sends their results. It returns the error of the announce endpoint, or an error if running
// tasks had to be aborted.
func (a *Agent) Run(ctx context.Context) error {
	server := &http.Server{Handler: a.routes(), ReadTimeout: requestTimeout, WriteTimeout: requestTimeout}
	group, running := errgroup.WithContext(ctx)
	group.Go(func() error { return a.serve(server) })
	group.Go(func() error {
		defer func() { _ = closeServer(server) }()
		defer close(a.loopDone)
		return a.loop(running)
	})
	group.Go(func() error {
		a.connectGateways()
		return nil
	})
	a.options.Health.MarkNotReady(conditionBackend, "the backend server has not announced itself")
	a.options.Health.MarkNotReady(conditionGateway, "no gateway is linked")
	a.options.Health.MarkReady(conditionStarting)
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
	limited, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	return server.Shutdown(limited)
}

// connectGateways dials the gateways after the first announcement, since AgentHello names the service.
func (a *Agent) connectGateways() {
	select {
	case <-a.announced:
		a.gateways.reconcile(a.linkContext)
	case <-a.loopDone:
	}
}

// loop runs the machine. No other goroutine uses it.
func (a *Agent) loop(ctx context.Context) error {
	runner := actionRunner{agent: a, aborts: make(map[structs.TaskRef]context.CancelFunc)}
	machine := NewMachine(a.clock(), a.options.MachineOptions)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer a.closeLinksAndTasks()
	stop := ctx.Done()
	var drainTimeout <-chan time.Time
	for {
		var in Input = Tick{}
		select {
		case in = <-a.inputs:
		case <-ticker.C:
		case <-stop:
			in, stop = Stop{}, nil
			timer := time.NewTimer(a.options.DrainTimeout)
			defer timer.Stop()
			drainTimeout = timer.C
			a.options.Health.MarkNotReady(conditionStopping, "the agent is stopping")
		case <-drainTimeout:
			return errors.New("graceful shutdown timed out, running tasks were aborted")
		}
		runner.step(machine, in)
		if runner.stopped {
			return nil
		}
	}
}

// closeLinksAndTasks closes the links after their queued messages are written, and aborts the requests that still run.
func (a *Agent) closeLinksAndTasks() {
	a.closeLinks()
	a.abortTasks()
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
