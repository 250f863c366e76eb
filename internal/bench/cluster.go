package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rosedrift.example/rosedrift/internal/standin"
)

// Cluster is a set of real rosedrift processes on loopback with stand-ins for the store and the backend servers.
type Cluster struct {
	profile  Profile
	dir      string
	runStart time.Time

	Store    *Process
	storeURL string
	Gateways []*GatewayNode
	Agents   []*AgentNode

	client *http.Client
	// cpuProfiles makes the gateways and some agents serve CPU profiles.
	cpuProfiles bool
	// bypassRelays connects links and the store directly instead of through the relays.
	bypassRelays bool
	// scriptLog receives the steps of the script.
	scriptLog *os.File
}

// GatewayNode is a gateway process with the relays that its connections pass.
type GatewayNode struct {
	*Process
	// Addr is the address of the caller and admin API.
	Addr string
	// advertisedAddr is the address that agents and other gateways dial: that of LinkRelay unless relays are bypassed.
	advertisedAddr string
	// LinkRelay carries the links of the agents and gateways that dial this gateway.
	LinkRelay *Relay
	// StoreRelay carries the gateway's connections to the store.
	StoreRelay *Relay
}

// AgentNode is an agent process with its backend server stand-in, which runs in the bench process.
type AgentNode struct {
	*Process
	Addr    string
	Backend *standin.Backend
}

// Timing of the cluster's start.
const (
	startLimit   = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// NewCluster builds the programs, starts every process and waits until all backend servers can take tasks.
func NewCluster(ctx context.Context, config Config) (*Cluster, error) {
	dir, p, policy := config.Dir, config.Profile, config.Policy
	c := &Cluster{profile: p, dir: dir, cpuProfiles: config.CPUProfiles, bypassRelays: config.Scenario.BypassRelays, client: &http.Client{Timeout: 10 * time.Second}}
	if err := Build(dir, "rosedrift-standin", "rosedrift-gateway", "rosedrift-agent"); err != nil {
		return nil, err
	}
	for _, step := range []func() error{
		c.startStore,
		func() error { return c.startGateways(policy) },
		func() error { return c.createService(ctx) },
		c.startAgents,
		func() error { return c.waitReady(ctx) },
	} {
		if err := step(); err != nil {
			c.Close()
			return nil, fmt.Errorf("start of the cluster (logs in %s): %w", dir, err)
		}
	}
	c.runStart = time.Now()
	return c, nil
}

func (c *Cluster) startStore() error {
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	c.storeURL = "http://" + addr
	c.Store, err = NewProcess(c.dir, "rosedrift-standin", "store", "store", "--listen", addr)
	if err != nil {
		return err
	}
	if err := c.Store.Start(); err != nil {
		return err
	}
	return waitHTTP(c.client, c.storeURL+"/stats")
}

func (c *Cluster) startGateways(policy string) error {
	for i := range c.profile.Gateways {
		node, err := c.newGateway(i, policy)
		if err != nil {
			return err
		}
		c.Gateways = append(c.Gateways, node)
		if err := node.Start(); err != nil {
			return err
		}
	}
	for _, node := range c.Gateways {
		if err := waitHTTP(c.client, "http://"+node.Addr+"/healthz"); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) newGateway(i int, policy string) (*GatewayNode, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	linkAddr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	links, err := NewRelay(linkAddr, c.profile.ZoneDelay)
	if err != nil {
		return nil, err
	}
	store, err := NewRelay(c.storeURL[len("http://"):], c.profile.ZoneDelay)
	if err != nil {
		return nil, err
	}
	advertise, storeURL := links.Addr(), "http://"+store.Addr()
	if c.bypassRelays {
		advertise, storeURL = linkAddr, c.storeURL
	}
	name := fmt.Sprintf("g%d", i+1)
	args := []string{
		"--name", name, "--zone", c.profile.Zone(i), "--listen", addr, "--link-listen", linkAddr,
		"--advertise", advertise, "--store", storeURL, "--policy", policy,
	}
	process, err := NewProcess(c.dir, "rosedrift-gateway", name, args...)
	if err != nil {
		return nil, err
	}
	if c.cpuProfiles {
		if err := process.enablePprof(); err != nil {
			return nil, err
		}
	}
	return &GatewayNode{Process: process, Addr: addr, advertisedAddr: advertise, LinkRelay: links, StoreRelay: store}, nil
}

// createService creates the service with its pools and settings by operators' commands. It retries the creation,
// since the gateways may not be ready yet.
func (c *Cluster) createService(ctx context.Context) error {
	limit := time.Now().Add(startLimit)
	command := fmt.Sprintf("service %s create pools %d", c.profile.Service, c.profile.Pools)
	for {
		_, err := c.Command(ctx, 0, command)
		if err == nil {
			return c.applySettings(ctx)
		}
		if time.Now().After(limit) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

func (c *Cluster) applySettings(ctx context.Context) error {
	for _, setting := range c.profile.Settings {
		if _, err := c.Command(ctx, 0, "service "+c.profile.Service+" set "+setting); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startAgents() error {
	for i := range c.profile.Instances {
		node, err := c.newAgent(i)
		if err != nil {
			return err
		}
		c.Agents = append(c.Agents, node)
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

func agentName(instance int) string { return fmt.Sprintf("server-%d", instance) }

func (c *Cluster) newAgent(i int) (*AgentNode, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	name := agentName(i)
	args := []string{"--name", name, "--zone", c.profile.Zone(i), "--listen", addr, "--gateways"}
	for _, gateway := range c.Gateways {
		args = append(args, gateway.advertisedAddr)
	}
	process, err := NewProcess(c.dir, "rosedrift-agent", name, args...)
	if err != nil {
		return nil, err
	}
	if c.cpuProfiles && i < profiledAgents {
		if err := process.enablePprof(); err != nil {
			return nil, err
		}
	}
	backend, err := standin.NewBackend(standin.BackendOptions{
		Name: name, Service: c.profile.Service, Address: "127.0.0.1:0", Agent: addr,
		Slots: c.profile.Slots, Connections: c.profile.Connections,
		Faults: standin.BackendFaults{Slowness: c.profile.Slowdown(i)}, Seed: uint64(i),
	})
	if err != nil {
		return nil, err
	}
	return &AgentNode{Process: process, Addr: addr, Backend: backend}, nil
}

// Command executes an operator's command through a gateway and returns the reply. An HTTP status of 400 or above is
// returned as an error.
func (c *Cluster) Command(ctx context.Context, gateway int, command string) (commandReply, error) {
	var reply commandReply
	body, err := json.Marshal(map[string]any{"command": command})
	if err != nil {
		return reply, err
	}
	node := c.Gateways[gateway%len(c.Gateways)]
	url := "http://" + node.Addr + "/v1/admin/commands"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return reply, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return reply, fmt.Errorf("command %q: status %d: %s", command, response.StatusCode, raw)
	}
	return reply, json.Unmarshal(raw, &reply)
}

// commandReply holds the fields of a command's result that the bench reads.
type commandReply struct {
	Revision uint64 `json:"revision"`
	Data     any    `json:"data"`
	InForce  *struct {
		InForce bool `json:"in_force"`
	} `json:"in_force"`
}

// waitReady waits until every backend server is active, so that the pool owners dispatch to all of them.
func (c *Cluster) waitReady(ctx context.Context) error {
	limit := time.Now().Add(startLimit)
	for {
		active, err := c.activeServers(ctx)
		if err == nil && active == c.profile.Instances {
			return nil
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%d of %d backend servers ready, last error: %w", active, c.profile.Instances, err)
		}
		time.Sleep(pollInterval)
	}
}

func (c *Cluster) activeServers(ctx context.Context) (int, error) {
	reply, err := c.Command(ctx, 0, "servers")
	if err != nil {
		return 0, err
	}
	rows, ok := reply.Data.([]any)
	if !ok {
		return 0, errors.New("the servers query has no data")
	}
	active := 0
	for _, row := range rows {
		info, _ := row.(map[string]any)
		if info["state"] == "active" {
			active++
		}
	}
	return active, nil
}

// SetStoreFaults replaces the faults of the store stand-in.
func (c *Cluster) SetStoreFaults(faults any) error {
	return postJSON(c.client, c.storeURL+"/faults", faults)
}

// Close kills every process and keeps the logs, so that they can be inspected.
func (c *Cluster) Close() {
	var wait sync.WaitGroup
	for _, process := range c.processes() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			process.Resume()
			process.Kill()
			_ = process.log.Close()
		}()
	}
	wait.Wait()
	for _, node := range c.Agents {
		_ = node.Backend.Close(context.Background())
	}
	for _, node := range c.Gateways {
		node.LinkRelay.Close()
		node.StoreRelay.Close()
	}
}

func (c *Cluster) processes() []*Process {
	var all []*Process
	for _, node := range c.Agents {
		all = append(all, node.Process)
	}
	for _, node := range c.Gateways {
		all = append(all, node.Process)
	}
	if c.Store != nil {
		all = append(all, c.Store)
	}
	return all
}

func postJSON(client *http.Client, url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	response, err := client.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s: status %d", url, response.StatusCode)
	}
	return nil
}

func waitHTTP(client *http.Client, url string) error {
	limit := time.Now().Add(startLimit)
	for {
		response, err := client.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode < http.StatusInternalServerError {
				return nil
			}
			err = fmt.Errorf("status %d", response.StatusCode)
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%s: %w", url, err)
		}
		time.Sleep(pollInterval)
	}
}

// Ports of the processes under test lie below the range from which Linux takes the ports of outgoing connections and of
// listeners on port 0 (32768 and up), so that none of these takes a port between its choice and its use.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portCounter selects the next port to try. It starts at random, so that benches that run at the same time rarely try
// the same ports.
var portCounter atomic.Uint32

func init() { portCounter.Store(rand.Uint32N(portCount)) }

// freeAddr returns a loopback address on which it has just opened and closed a listener.
func freeAddr() (string, error) {
	var listener net.Listener
	var err error
	for range portCount {
		port := firstPort + int(portCounter.Add(1)%portCount)
		listener, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
		if err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", err
}

// tempDir returns a directory for programs and logs.
func tempDir() (string, error) {
	dir, err := os.MkdirTemp("", "rosedrift-bench-")
	if err != nil {
		return "", err
	}
	return filepath.Clean(dir), nil
}
