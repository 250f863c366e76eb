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
	// settleTime is the wait before a measurement, in which takeover, fences and the first configuration complete.
	settleTime = 5 * time.Second
	// announceInterval is the interval at which backend servers announce themselves.
	announceInterval = time.Second
)

// countingListener counts its open connections and the bytes on all of its connections.
type countingListener struct {
	net.Listener
	bytesIn, bytesOut atomic.Int64
	open              atomic.Int64
}

// countingConn is a connection that its listener counts.
type countingConn struct {
	net.Conn
	listener *countingListener
	closed   atomic.Bool
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countingConn{Conn: conn, listener: l}, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	c.listener.bytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(buf []byte) (int, error) {
	n, err := c.Conn.Write(buf)
	c.listener.bytesOut.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// runGateway runs a gateway: it prints the link address, waits until all agents are linked, prints "linked" and
// measures on request.
func runGateway(o *options) error {
	memoryStore := standin.NewStore(1)
	defer memoryStore.Close()
	if err := writeConfiguration(memoryStore); err != nil {
		return err
	}
	api, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	links := &countingListener{Listener: listener}
	keys, err := auth.OpenKeys("", log.NewNopLogger())
	if err != nil {
		return err
	}
	g, err := gateway.New(gateway.Options{
		Name: "gateway-1", Zone: zone, Store: memoryStore, Listener: api, LinkListener: links, Auth: keys,
	})
	if err != nil {
		return err
	}
	go func() { _ = g.Run(context.Background()) }()
	fmt.Println(links.Addr())
	if err := links.awaitLinks(o.Agents[0]); err != nil {
		return err
	}
	time.Sleep(settleTime)
	fmt.Println("linked")
	return measureSelf(o, links)
}

// writeConfiguration stores a configuration with one service.
func writeConfiguration(s store.Store) error {
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

func (l *countingListener) awaitLinks(want int) error {
	const pause = 50 * time.Millisecond
	for end := time.Now().Add(linkLimit); time.Now().Before(end); time.Sleep(pause) {
		if int(l.open.Load()) == want {
			return nil
		}
	}
	return fmt.Errorf("%d of %d agents linked in %s", l.open.Load(), want, linkLimit)
}

// measureSelf waits for a line on standard input, measures this process for o.Duration and prints the sample.
func measureSelf(o *options, links *countingListener) error {
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
	begin, in, out, cpu := time.Now(), links.bytesIn.Load(), links.bytesOut.Load(), processorTime()
	time.Sleep(o.Duration)
	took := time.Since(begin).Seconds()
	s := sample{
		CPU: 100 * (processorTime() - cpu).Seconds() / took, Memory: residentMB(),
		In: float64(links.bytesIn.Load()-in) / took, Out: float64(links.bytesOut.Load()-out) / took, Links: int(links.open.Load()),
	}
	pprof.StopCPUProfile()
	if err := json.NewEncoder(os.Stdout).Encode(s); err != nil {
		return err
	}
	// Keep running until the parent kills this process: the other one may still be measuring.
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

// runAgents runs the agents, announces a backend server to each of them and measures on request.
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
	return measureSelf(o, &countingListener{})
}

// announce announces an idle backend server to an agent until the process ends. The first announcement is delayed by
// phase, so that the announcements to all agents are spread over the interval.
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
