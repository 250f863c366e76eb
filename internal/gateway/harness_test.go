package gateway_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/auth"
	"rosedrift.example/rosedrift/internal/configuration"
	"rosedrift.example/rosedrift/internal/gateway"
	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// testCluster is a small rosedrift system in this process: a store stand-in and gateways.
type testCluster struct {
	t     testing.TB
	store *standin.Store
	// view is the store that the gateways are given.
	view store.Store
	http *http.Client
}

// node is one running gateway.
type node struct {
	*gateway.Gateway
	url  string
	link string
	kill context.CancelFunc
	done chan struct{}
}

// newTestCluster returns a cluster without gateways. Its configuration has the service lending.
func newTestCluster(t testing.TB) *testCluster {
	s := &testCluster{t: t, store: standin.NewStore(1), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
	s.view = s.store
	t.Cleanup(s.store.Close)
	t.Cleanup(s.http.CloseIdleConnections)
	document := configuration.Default()
	document.Revision = 1
	document.Change = structs.Change{ID: "test", Operator: "test", Command: "test", Time: time.Unix(0, 0)}
	document.Services = map[string]structs.ServiceConfig{"lending": structs.DefaultServiceConfig()}
	raw, err := configuration.Encode(document)
	require.NoError(t, err)
	_, err = s.store.Put(context.Background(), configuration.Key, raw, store.AnyVersion, 0)
	require.NoError(t, err)
	return s
}

// gateway starts a gateway that runs until the end of the test.
func (s *testCluster) gateway(name string, changes ...func(*gateway.Options)) *node {
	api, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	links, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	keys, err := auth.OpenKeys("", log.NewNopLogger())
	require.NoError(s.t, err)
	options := gateway.Options{
		Name: structs.GatewayID(name), Zone: "catania", Store: s.view, Listener: api, LinkListener: links,
		Auth: keys, DrainTimeout: 20 * time.Second,
	}
	for _, change := range changes {
		change(&options)
	}
	g, err := gateway.New(options)
	require.NoError(s.t, err)
	ctx, kill := context.WithCancel(context.Background())
	n := &node{
		Gateway: g, url: "http://" + api.Addr().String(), link: links.Addr().String(), kill: kill,
		done: make(chan struct{}),
	}
	go func() {
		defer close(n.done)
		_ = g.Run(ctx)
	}()
	s.t.Cleanup(n.end)
	return n
}

// end stops the gateway abruptly and waits for its goroutines.
func (n *node) end() {
	n.kill()
	<-n.done
}

// awaitConfig waits until the gateway has applied a configuration.
func (n *node) awaitConfig(t testing.TB) {
	require.Eventually(t, func() bool { return n.Config().Revision > 0 }, time.Minute, time.Millisecond)
}
