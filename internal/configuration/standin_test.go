package configuration

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/structs"
)

// TestAuthorOnStoreStandin guards against a fake store that differs from the platform's in errors or key order.
func TestAuthorOnStoreStandin(t *testing.T) {
	s := standin.NewStore(1)
	defer s.Close()
	author := NewWriter(s, WriterOptions{})
	s.SetFaults(standin.StoreFaults{LoseNext: 2})
	_, err := author.Propose(t.Context(), counting(0, 0))
	require.NoError(t, err)
	require.Equal(t, uint64(2), s.Stats().Lost)

	var mu sync.Mutex
	accepted := 1
	var group sync.WaitGroup
	for n := range 6 {
		group.Go(func() {
			for i := range 5 {
				if _, err := author.Propose(t.Context(), counting(n, i)); err == nil {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	now, err := author.read(t.Context())
	require.NoError(t, err)
	require.Equal(t, structs.Revision(accepted), now.document.Revision)
	require.Equal(t, accepted, now.document.Teams["counter"].MaxRunning)
	page, err := author.History(t.Context(), 0, MaxHistoryPage)
	require.NoError(t, err)
	states := map[AuditState]int{}
	for _, entry := range page.Entries {
		states[entry.State]++
	}
	require.Equal(t, accepted, states[AuditAccepted])
	s.SetFaults(standin.StoreFaults{Outage: true})
}
