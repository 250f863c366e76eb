package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/client"
)

func (s *testCluster) client(nodes ...*node) *client.Client {
	options := client.Options{Team: "counter", HTTP: s.http}
	for _, n := range nodes {
		options.Gateways = append(options.Gateways, n.url)
	}
	c, err := client.New(options)
	require.NoError(s.t, err)
	return c
}

// tasks returns the payloads of n tasks.
func tasks(n int) []json.RawMessage {
	list := make([]json.RawMessage, n)
	for i := range list {
		list[i] = json.RawMessage(fmt.Sprintf(`{"run_ms":5,"echo":"%d"}`, i))
	}
	return list
}

// TestSubmitToSingleGateway guards against an incomplete answer on the shortest path: one gateway, no forwarding.
func TestSubmitToSingleGateway(t *testing.T) {
	s := newTestCluster(t)
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

// TestRepeatedKeyGetsSameAnswerFromBothGateways guards against two different answers to one key if one of the gateways
// forwards to the owner.
func TestRepeatedKeyGetsSameAnswerFromBothGateways(t *testing.T) {
	s := newTestCluster(t)
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

// TestForwardedAnswersAreNotMixedUp guards against a caller receiving the answer of another job while many requests are
// in flight between two gateways.
func TestForwardedAnswersAreNotMixedUp(t *testing.T) {
	s := newTestCluster(t)
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

// TestCompleteAnswerHasResultsWhenWaitEnds guards against a complete answer without results when the caller's wait ends
// at the same moment as the job.
func TestCompleteAnswerHasResultsWhenWaitEnds(t *testing.T) {
	s := newTestCluster(t)
	g := s.gateway("g1")
	g.awaitConfig(t)
	s.fakeAgent("a0", g)
	_, err := s.client(g).Submit(t.Context(), client.Job{Service: "lending", Tasks: tasks(1)})
	require.NoError(t, err)
	for i := range 300 {
		body := `{"service":"lending","repeatable":true,"tasks":[{"payload":{"run_ms":1}}]}`
		url := fmt.Sprintf("%s/v1/jobs?wait=%dus", g.url, 800+10*(i%100))
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
		require.NoError(t, err)
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Rosedrift-Team", "counter")
		response, err := s.http.Do(request)
		require.NoError(t, err)
		var answer struct {
			Outcome string
			Results []json.RawMessage
		}
		require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
		require.NoError(t, response.Body.Close())
		if answer.Outcome == "complete" {
			require.Len(t, answer.Results, 1)
		}
	}
}
