package gateway_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/client"
)

func (s *system) client(nodes ...*node) *client.Client {
	options := client.Options{Team: "counter", HTTP: s.http}
	for _, n := range nodes {
		options.Gateways = append(options.Gateways, n.url)
	}
	c, err := client.New(options)
	require.NoError(s.t, err)
	return c
}

func tasks(n int) []json.RawMessage {
	list := make([]json.RawMessage, n)
	for i := range list {
		list[i] = json.RawMessage(fmt.Sprintf(`{"run_ms":5,"echo":"%d"}`, i))
	}
	return list
}

// TestSingleGateway guards against an answer that is not whole on the shortest way: one gateway, no forwarding.
func TestSingleGateway(t *testing.T) {
	s := newSystem(t)
	g := s.gateway("g1")
	g.awaitConfig(t)
	for i := range 3 {
		s.fakeAgent(fmt.Sprintf("a%d", i), g)
	}
	c := s.client(g)
	answer, err := c.Submit(t.Context(), client.Job{Service: "lending", Tasks: tasks(670)})
	require.NoError(t, err)
	require.Len(t, answer.Results, 670)
}

// TestForward guards against two answers to one key when the gateways forward to the owner.
func TestForward(t *testing.T) {
	s := newSystem(t)
	nodes := []*node{s.gateway("g1"), s.gateway("g2")}
	for _, n := range nodes {
		n.awaitConfig(t)
	}
	for i := range 3 {
		s.fakeAgent(fmt.Sprintf("a%d", i), nodes...)
	}
	job := client.Job{Service: "lending", Tasks: tasks(670), Key: "k1"}
	first, err := s.client(nodes[0]).Submit(t.Context(), job)
	require.NoError(t, err)
	second, err := s.client(nodes[1]).Submit(t.Context(), job)
	require.NoError(t, err)
	require.Equal(t, first, second)
}

// TestForwardedAnswersDoNotCross guards against the answer of another job when many are under way between two gateways.
func TestForwardedAnswersDoNotCross(t *testing.T) {
	s := newSystem(t)
	nodes := []*node{s.gateway("g1"), s.gateway("g2")}
	for _, n := range nodes {
		n.awaitConfig(t)
	}
	s.fakeAgent("a1", nodes...)
	clients := []*client.Client{s.client(nodes[0]), s.client(nodes[1])}
	const jobs, size = 40, 20
	var wait sync.WaitGroup
	for i := range jobs {
		wait.Go(func() {
			payloads := make([]json.RawMessage, size)
			for k := range payloads {
				payloads[k] = json.RawMessage(fmt.Sprintf(`{"job":%d,"task":%d}`, i, k))
			}
			answer, err := clients[i%2].Submit(t.Context(), client.Job{Service: "lending", Tasks: payloads})
			if assert.NoError(t, err) {
				assert.Equal(t, payloads, answer.Results)
			}
		})
	}
	wait.Wait()
}
