package main

import (
	"context"
	"sync"
	"syscall"
	"time"
)

// unguardedSite is the small site with minions that start whatever they are told (admissionCheck false).
func unguardedSite() site {
	s := smallSite()
	s.admission = false
	return s
}

// load keeps jobs coming at the fronts in turn until the context ends.
func (w *world) load(ctx context.Context, every time.Duration, work time.Duration, tasks int, cpu int64, fronts []*front) *sync.WaitGroup {
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			j := w.newJob(work, step{Count: tasks, CPU: cpu, MemMb: 64})
			f := fronts[n%len(fronts)]
			clients.Go(func() { w.call(context.Background(), f, "POST", j.id, j.body, 1500*time.Millisecond) })
		}
	})
	return &clients
}

// roomAfterRestart: a minion's room shrinks, and the process beside it is killed before the next beat and started again.
func roomAfterRestart(w *world, trouble bool) error {
	const rounds, down = 6, 3500 * time.Millisecond
	const large, small = 16000, 4000
	ctx, cancel := context.WithCancel(context.Background())
	clients := w.load(ctx, 90*time.Millisecond, time.Second, 2, 4000, w.fronts)
	time.Sleep(2 * time.Second)
	for round := range rounds {
		d := w.sides[round%len(w.sides)]
		m := d.minion
		sequence := func() uint64 {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.sequence
		}
		for last := sequence(); sequence() == last; {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond) // the beat has been answered
		shrunk := time.Now()
		m.setCPU(small)
		w.note("the room of %s shrinks to %d", m.id, small)
		time.Sleep(1200 * time.Millisecond)
		if trouble {
			w.signal(&d.process, syscall.SIGKILL)
		}
		time.Sleep(down)
		if trouble {
			w.note("%s starts again", d.name)
			if err := w.launch(&d.process); err != nil {
				cancel()
				return err
			}
		}
		time.Sleep(3 * time.Second)
		m.setCPU(large)
		w.note("the room of %s grows to %d", m.id, large)
		w.mu.Lock()
		starts := append([]startEvent(nil), w.starts...)
		w.mu.Unlock()
		for _, s := range starts {
			if s.minion == m.id && s.at.After(shrunk.Add(3*time.Second+beatEvery)) && s.used > s.room {
				w.breach("LIMIT: the start of %s brings %s to %d of %d, %.3f s after its room has shrunk", s.task, s.minion, s.used, s.room, s.at.Sub(shrunk).Seconds())
			}
		}
		if len(w.broken) > 0 {
			break
		}
		time.Sleep(1600 * time.Millisecond)
	}
	cancel()
	clients.Wait()
	return nil
}
