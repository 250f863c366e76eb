package configuration

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/structs"
)

// TestWriterOnStoreStandin guards against tests that pass only on fakeStore, because it differs from the platform's
// store in errors or in the order of keys.
func TestWriterOnStoreStandin(t *testing.T) {
	s := standin.NewStore(1)
	defer s.Close()
	writer := NewWriter(s, WriterOptions{})
	s.SetFaults(standin.StoreFaults{LoseNext: 2})
	_, err := writer.Propose(t.Context(), incrementProposal(0, 0))
	require.NoError(t, err)
	require.Equal(t, uint64(2), s.Stats().Lost)

	var mu sync.Mutex
	accepted := 1
	var group sync.WaitGroup
	for n := range 6 {
		group.Go(func() {
			for i := range 5 {
				if _, err := writer.Propose(t.Context(), incrementProposal(n, i)); err == nil {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	current, err := writer.read(t.Context())
	require.NoError(t, err)
	require.Equal(t, structs.Revision(accepted), current.document.Revision)
	require.Equal(t, accepted, current.document.Teams["counter"].MaxRunning)
	page, err := writer.History(t.Context(), 0, MaxHistoryPage)
	require.NoError(t, err)
	states := map[AuditState]int{}
	for _, entry := range page.Entries {
		states[entry.State]++
	}
	require.Equal(t, accepted, states[AuditAccepted])
	s.SetFaults(standin.StoreFaults{Outage: true})
}
