package agent

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/structs"
)

// BenchmarkBackend measures tasks without run time that one agent's HTTP client sends to a stand-in backend server, as
// many at a time as GOMAXPROCS.
func BenchmarkBackend(b *testing.B) {
	server, err := standin.NewBackend(standin.BackendOptions{Address: "127.0.0.1:0", Slots: 64, Connections: 64})
	require.NoError(b, err)
	defer server.Kill()
	client := newBackendClient(server.Address(), MaxConnections, func() bool { return true })
	defer client.close()
	b.SetParallelism(1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		task := structs.TaskStart{Task: testTask(1, 0), Payload: []byte(`{"run_ms":0}`)}
		for pb.Next() {
			if ended := client.run(context.Background(), &task, 1<<20); ended.Kind != structs.TaskFinished {
				b.Fatal(ended.Error)
			}
		}
	})
}
