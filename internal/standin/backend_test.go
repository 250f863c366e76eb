package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestBackend(t *testing.T, options BackendOptions) (*Backend, *http.Client) {
	t.Helper()
	options.Address = "127.0.0.1:0"
	b, err := NewBackend(options)
	require.NoError(t, err)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		require.NoError(t, b.Close(context.Background()))
	})
	return b, client
}

// runTask sends a request to run a task and returns the answer and, if the task succeeded, its result.
func runTask(ctx context.Context, b *Backend, client *http.Client, task, payload string) (*http.Response, []byte, error) {
	url := "http://" + b.Address() + "/run"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(payload))
	if err != nil {
		return nil, nil, err
	}
	request.Header.Set(headerJob, "job")
	request.Header.Set(headerTask, task)
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var body json.RawMessage
	if response.StatusCode == http.StatusOK {
		err = json.NewDecoder(response.Body).Decode(&body)
	}
	return response, body, err
}

// TestBackendEnforcesSlotsAndConnections guards against a stand-in that does not notice when an agent exceeds its limits.
func TestBackendEnforcesSlotsAndConnections(t *testing.T) {
	b, client := newTestBackend(t, BackendOptions{Slots: 1, Connections: 2})
	b.SetFaults(BackendFaults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _, _, _ = runTask(ctx, b, client, "0", `{}`) })
	require.Eventually(t, func() bool { return b.Stats().Running == 1 }, time.Minute, time.Millisecond)
	response, _, err := runTask(ctx, b, client, "1", `{}`)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	cancel()
	group.Wait()
	require.Eventually(t, func() bool { return b.Stats().Aborted == 1 }, time.Minute, time.Millisecond)
	stats := b.Stats()
	require.EqualValues(t, 1, stats.SlotViolations)
	require.EqualValues(t, 1, stats.Started)
	require.Equal(t, 2, stats.MaxConnections)
}

// TestBackendRecordsStartsAndResults guards against results that a caller cannot verify and starts that are not recorded.
func TestBackendRecordsStartsAndResults(t *testing.T) {
	b, client := newTestBackend(t, BackendOptions{Slots: 2, Connections: 2})
	payload := `{"run_ms":1,"echo":"x"}`
	for _, task := range []string{"0", "1"} {
		response, body, err := runTask(context.Background(), b, client, task, payload)
		require.NoError(t, err)
		require.Equal(t, task, response.Header.Get(headerTask))
		require.NoError(t, VerifyBackendResult(body, "job", task, []byte(payload)))
		require.Error(t, VerifyBackendResult(body, "job", "7", []byte(payload)))
	}
	response, err := client.Get("http://" + b.Address() + "/starts?after=1")
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	var starts []BackendStart
	require.NoError(t, json.NewDecoder(response.Body).Decode(&starts))
	require.Len(t, starts, 1)
	require.Equal(t, "1", starts[0].Task)
	require.EqualValues(t, 2, starts[0].Seq)
}

// TestBackendFaultsTakeEffect guards against fault injection without effect, with which tests of faults would pass although
// nothing failed.
func TestBackendFaultsTakeEffect(t *testing.T) {
	b, client := newTestBackend(t, BackendOptions{Slots: 1, Connections: 4})
	post := func(faults string) {
		response, err := client.Post("http://"+b.Address()+"/faults", "application/json", strings.NewReader(faults))
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	post(`{"fail_all":true,"answer_twice":true}`)
	response, _, err := runTask(context.Background(), b, client, "0", `{}`)
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	post(`{"answer_wrong":true}`)
	response, _, err = runTask(context.Background(), b, client, "1", `{}`)
	require.NoError(t, err)
	require.Equal(t, "0", response.Header.Get(headerTask))
	post(`{"freeze":true}`)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, _, err = runTask(ctx, b, client, "2", `{}`)
	require.Error(t, err)
	require.EqualValues(t, 2, b.Stats().Started)
	post(`{}`)
	_, _, err = runTask(context.Background(), b, client, "3", `{}`)
	require.NoError(t, err)
}

// TestBackendAnnouncesItself guards against a server that does not announce itself to its agent, or does not withdraw the
// announcement when it closes.
func TestBackendAnnouncesItself(t *testing.T) {
	methods := make(chan string, 100)
	agent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { methods <- r.Method }))
	defer agent.Close()
	address := strings.TrimPrefix(agent.URL, "http://")
	b, err := NewBackend(BackendOptions{Address: "127.0.0.1:0", Agent: address, Slots: 1, Connections: 1})
	require.NoError(t, err)
	require.Equal(t, http.MethodPost, <-methods)
	require.NoError(t, b.Close(context.Background()))
	require.Equal(t, http.MethodDelete, <-methods)
}
