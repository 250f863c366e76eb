package gateway_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"rosedrift.example/rosedrift/client"
)

// benchSubmit submits jobs of the given size from 64 goroutines to one gateway.
func benchSubmit(b *testing.B, size, agents int) {
	s := newTestCluster(b)
	g := s.gateway("g1")
	g.awaitConfig(b)
	for i := range agents {
		s.fakeAgent(fmt.Sprintf("a%d", i), g)
	}
	c := s.client(g)
	list := tasks(size)
	if _, err := c.Submit(b.Context(), client.Job{Service: "lending", Tasks: list}); err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	var n atomic.Int64
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			for n.Add(int64(size)) <= int64(b.N)+int64(size) {
				if _, err := c.Submit(b.Context(), client.Job{Service: "lending", Tasks: list}); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
}

func BenchmarkSubmit670Tasks(b *testing.B) { benchSubmit(b, 670, 128) }
func BenchmarkSubmit1Task(b *testing.B)    { benchSubmit(b, 1, 128) }
