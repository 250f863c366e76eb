package gateway_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"rosedrift.example/rosedrift/client"
	"rosedrift.example/rosedrift/internal/ownership"
	"rosedrift.example/rosedrift/internal/standin"
	"rosedrift.example/rosedrift/internal/store"
	"rosedrift.example/rosedrift/internal/structs"
)

// blockingStore blocks the writes of journal entries for non-repeatable jobs until release is closed.
type blockingStore struct {
	store.Store
	arrived, release chan struct{}
}

func (b *blockingStore) Put(
	ctx context.Context, key string, value []byte, expect uint64, lease store.LeaseID,
) (uint64, error) {
	if strings.HasSuffix(key, "-once") {
		b.arrived <- struct{}{}
		select {
		case <-b.release:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return b.Store.Put(ctx, key, value, expect, lease)
}

// TestKeyIsJournaledBeforeStart guards against starting a job whose key is not in the store: a later owner that cannot
// query all agents would accept the key as new.
func TestKeyIsJournaledBeforeStart(t *testing.T) {
	s := newTestCluster(t)
	blocking := &blockingStore{Store: s.store, arrived: make(chan struct{}, 9), release: make(chan struct{})}
	s.view = blocking
	g := s.gateway("g1")
	g.awaitConfig(t)
	a := s.fakeAgent("a1", g)
	c := s.client(g)
	status, err := c.Start(t.Context(), client.Job{Service: "lending", Tasks: tasks(2), Key: "k1", Once: true})
	require.NoError(t, err)
	job, err := structs.ParseJobID(status.Job)
	require.NoError(t, err)
	<-blocking.arrived

	// A later job of the same team needs no journal entry and overtakes the blocked one.
	later, err := c.Submit(t.Context(), client.Job{Service: "lending", Tasks: tasks(2)})
	require.NoError(t, err)
	require.Len(t, later.Results, 2)
	require.Zero(t, a.startsOf(job), "start before the journal entry")
	close(blocking.release)
	answer, err := c.Await(t.Context(), status.Job)
	require.NoError(t, err)
	require.Len(t, answer.Results, 2)
	require.Equal(t, 2, a.startsOf(job))
}

// TestSuspendedOwnerStartsNothing guards against starts after the right to start tasks has expired: the store is
// unavailable, and no agent acknowledges the owner. The wait is shorter than the time after which the agent counts as
// lost.
func TestSuspendedOwnerStartsNothing(t *testing.T) {
	s := newTestCluster(t)
	g := s.gateway("g1")
	g.awaitConfig(t)
	a := s.fakeAgent("a1", g)
	c := s.client(g)
	_, err := c.Submit(t.Context(), client.Job{Service: "lending", Tasks: tasks(1)})
	require.NoError(t, err)
	a.mu.Lock()
	a.mute = true
	a.mu.Unlock()
	s.store.SetFaults(standin.StoreFaults{Outage: true})
	time.Sleep(ownership.LeaseValidity + 100*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	_, err = c.Submit(ctx, client.Job{Service: "lending", Tasks: tasks(1)})
	require.Error(t, err)
	a.mu.Lock()
	defer a.mu.Unlock()
	require.Len(t, a.started, 1)
}
