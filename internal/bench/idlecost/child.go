package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/pprof"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"rosedrift.example/rosedrift/internal/agent"
	"rosedrift.example/rosedrift/internal/auth"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/gateway"
	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

const (
	service = "lending"
	zone    = "catania"
	// settleTime lets takeover, fences and the configuration pass before a measurement.
	settleTime = 5 * time.Second
	// announceInterval is that of backend servers.
	announceInterval = time.Second
)

// countedListener counts the bytes on its connections.
type countedListener struct {
	net.Listener
	in, out atomic.Int64
	open    atomic.Int64
}

type countedConn struct {
	net.Conn
	listener *countedListener
	closed   atomic.Bool
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: conn, listener: l}, nil
}

// Read implements net.Conn.
func (c *countedConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	c.listener.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(buf []byte) (int, error) {
	n, err := c.Conn.Write(buf)
	c.listener.out.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// runGateway prints the link address, waits for the agents and then for the order to measure.
func runGateway(o *options) error {
	stored := standin.NewStore(1)
	defer stored.Close()
	if err := configure(stored); err != nil {
		return err
	}
	api, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	links := &countedListener{Listener: plain}
	keys, err := auth.OpenKeys("", log.NewNopLogger())
	if err != nil {
		return err
	}
	g, err := gateway.New(gateway.Options{
		Name: "gateway-1", Zone: zone, Store: stored, Listener: api, LinkListener: links, Auth: keys,
	})
	if err != nil {
		return err
	}
	go func() { _ = g.Run(context.Background()) }()
	fmt.Println(links.Addr())
	if err := links.await(o.Agents[0]); err != nil {
		return err
	}
	time.Sleep(settleTime)
	fmt.Println("linked")
	return measureSelf(o, links)
}

func configure(s store.Store) error {
	document := configuration.Default()
	document.Revision = 1
	document.Change = structs.Change{ID: "idlecost", Operator: "idlecost", Command: "idlecost", Time: time.Unix(0, 0)}
	document.Services = map[string]structs.ServiceConfig{service: structs.DefaultServiceConfig()}
	raw, err := configuration.Encode(document)
	if err != nil {
		return err
	}
	_, err = s.Put(context.Background(), configuration.Key, raw, store.AnyVersion, 0)
	return err
}

func (l *countedListener) await(agents int) error {
	const pause = 50 * time.Millisecond
	for end := time.Now().Add(linkLimit); time.Now().Before(end); time.Sleep(pause) {
		if int(l.open.Load()) == agents {
			return nil
		}
	}
	return fmt.Errorf("%d of %d agents linked in %s", l.open.Load(), agents, linkLimit)
}

// measureSelf waits for an order on the standard input, measures this process and prints the sample.
func measureSelf(o *options, links *countedListener) error {
	input := bufio.NewReader(os.Stdin)
	if _, err := input.ReadString('\n'); err != nil {
		return err
	}
	if o.Profile != "" {
		file, err := os.Create(o.Profile)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
	}
	begin, in, out, cpu := time.Now(), links.in.Load(), links.out.Load(), processorTime()
	time.Sleep(o.Duration)
	took := time.Since(begin).Seconds()
	s := sample{
		CPU: 100 * (processorTime() - cpu).Seconds() / took, Memory: residentMB(),
		In: float64(links.in.Load()-in) / took, Out: float64(links.out.Load()-out) / took, Links: int(links.open.Load()),
	}
	pprof.StopCPUProfile()
	if err := json.NewEncoder(os.Stdout).Encode(s); err != nil {
		return err
	}
	// The parent ends this process.
	_, _ = io.Copy(io.Discard, input)
	return nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func residentMB() float64 {
	raw, _ := os.ReadFile("/proc/self/statm")
	var size, resident float64
	_, _ = fmt.Fscan(bytes.NewReader(raw), &size, &resident)
	return resident * float64(os.Getpagesize()) / (1 << 20)
}

// runAgents runs the agents and the announcements of their backend servers.
func runAgents(o *options) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := range o.Agents[0] {
		name := fmt.Sprintf("%s-%04d", service, i)
		a, err := agent.NewAgent(agent.ProcessOptions{
			MachineOptions: agent.MachineOptions{
				Self: structs.AgentRef{ID: structs.AgentID(name), Incarnation: 1}, Zone: zone, QueueLength: 2,
				RecordBytes: 1 << 20,
			},
			Listen: "127.0.0.1:0", Gateways: []string{o.Gateway},
		})
		if err != nil {
			return err
		}
		go func() { _ = a.Run(context.Background()) }()
		go announce(client, a.Address(), name, time.Duration(i)*announceInterval/time.Duration(o.Agents[0]))
	}
	return measureSelf(o, &countedListener{})
}

// announce announces an idle backend server until the process ends.
func announce(client *http.Client, address, name string, phase time.Duration) {
	time.Sleep(phase)
	body := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:1","slots":8,"connections":64,"name":%q}`, service, name)
	for ; ; time.Sleep(announceInterval) {
		response, err := client.Post("http://"+address+"/v1/announce", "application/json", strings.NewReader(body))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}
